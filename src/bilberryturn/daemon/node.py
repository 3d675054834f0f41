"""Build, start and stop one node."""

import time

from bilberryturn import backends
from bilberryturn import brokers
from bilberryturn import conf
from bilberryturn import declarations
from bilberryturn import entry
from bilberryturn import events
from bilberryturn import fleet
from bilberryturn import leases
from bilberryturn import membership
from bilberryturn import messages
from bilberryturn import metrics
from bilberryturn import platform
from bilberryturn import scheduling
from bilberryturn import usage
from bilberryturn.conf import loader
from bilberryturn.daemon import admin
from bilberryturn.daemon import configuration
from bilberryturn.daemon import control as control_module
from bilberryturn.daemon import jobs
from bilberryturn.daemon import usage_recorder
from bilberryturn.entry import context
from bilberryturn.entry import exceptions as entry_exceptions
from bilberryturn.entry import server

LEASE_CANDIDATES = 3
STOP_POLL_INTERVAL_S = 0.05
LAST_FLUSH_ATTEMPTS = 3
ADMIN_THREADS = 6
STATUS_INTERVAL_S = 1.0
SNAPSHOT_INTERVAL_S = 30.0
FLEET_INTERVAL_S = 1.0


class Node:
    """A running daemon: builds its components, starts and stops them."""

    def __init__(self, settings: conf.Settings, settings_path: str = ""):
        self.settings = settings
        self.settings_path = settings_path
        self.incarnation = int(time.time() * 1000)
        node = settings.node
        self._build_platform()
        self._build_control()
        self._build_entry()
        owner = usage_recorder.owner_name(node.name, self.incarnation)
        options = leases.LeaseOptions(
            settings.timing.lease_ttl_s, settings.timing.lease_margin_s
        )
        self.reporter_lease = leases.Lease(
            "usage-reporter", owner, options, self.table
        )
        self.fleet_lease = leases.Lease(
            f"fleet/{node.failure_domain}", owner, options, self.table
        )
        window_s = settings.timing.usage_window_s
        self.reporter = usage.Reporter(
            self.reporter_lease,
            self.table,
            platform.Reporting(
                self._platform_client(
                    "reporting", settings.platform.reporting_address
                )
            ),
            lambda: time.time() / window_s,
            settings.timing.usage_close_delay_s / window_s,
        )
        self.controller = fleet.Controller(
            fleet.ControllerOptions(
                node.failure_domain, settings.timing.order_settle_s
            ),
            self.fleet_lease,
            self.table,
            platform.Ordering(
                self._platform_client(
                    "ordering", settings.platform.ordering_address
                )
            ),
            self.declaration_store,
            time.monotonic,
        )
        self.jobs = jobs.JobRunner()
        self._add_jobs()

    def _platform_client(
        self, interface: str, address: str
    ) -> platform.HttpClient:
        return platform.HttpClient(
            interface,
            address,
            self.settings.platform.timeout_s,
            self.settings.node.source_address,
        )

    def _build_platform(self) -> None:
        addresses = self.settings.platform
        self._table_client = self._platform_client(
            "table", addresses.table_address
        )
        self.table = platform.TableService(self._table_client)
        objects = platform.ObjectStore(
            self._platform_client("objects", addresses.objects_address)
        )
        self.vm_list = platform.VmList(
            self._platform_client("vms", addresses.vms_address)
        )
        self.declaration_store = declarations.DeclarationStore(
            self.table, objects
        )

    def _build_control(self) -> None:
        settings = self.settings
        node, timing = settings.node, settings.timing
        own_address = node.advertised_control_address or node.control_address
        options = messages.LinkOptions(
            node.control_address,
            own_address,
            node.source_address,
            _read_secret(settings.security.control_public_key_file),
            _read_secret(settings.security.control_secret_key_file),
        )
        self.control = messages.ControlLoop(
            options, lambda message: self.plane.receive(message)
        )
        own = membership.Member(
            node.name,
            own_address,
            self.incarnation,
            0,
            False,
            time.monotonic(),
            0.0,
        )
        self.directory = membership.Directory(
            own, node.failure_domain, node.region, timing.member_timeout_s
        )
        self.plane = control_module.ControlPlane(
            settings,
            self.incarnation,
            self.control,
            self.directory,
            self.platform_age_s,
        )
        self.broker = brokers.Broker(
            brokers.broker.BrokerOptions(
                own_address,
                timing.grant_timeout_s,
                scheduling.PoolOptions(
                    max_waiting=settings.limits.max_waiting_per_pool
                ),
            ),
            self.control,
            self.directory,
            time.monotonic,
        )
        self.grants = brokers.GrantClient(
            own_address,
            timing.broker_reply_timeout_s,
            timing.entry_sync_interval_s,
            self.control,
            self.directory,
            time.monotonic,
        )
        self.router = brokers.PoolRouter(self.directory)
        self.configuration = configuration.ConfigurationSync(
            self.control,
            self.directory,
            self.declaration_store,
            self._declarations_changed,
        )
        self.suspects = context.SharedSuspects(
            lambda message: self.control.submit(
                self.plane.broadcast_suspect, message
            )
        )
        self.usage = usage_recorder.UsageRecorder(
            usage_recorder.owner_name(node.name, self.incarnation),
            usage.Ledger(
                usage_recorder.owner_name(node.name, self.incarnation),
                self.incarnation,
                timing.usage_window_s,
            ),
            usage.UsageStore(self.table),
            self.control,
            self.directory,
        )

    def _build_entry(self) -> None:
        settings = self.settings
        limits, security = settings.limits, settings.security
        self.hasher = declarations.KeyHasher(
            _read_secret(security.key_hash_secret_file)
        )
        self.stream_loop = backends.StreamLoop()
        self.running = entry.RunningRequests(
            settings.node.name, self.incarnation
        )
        self.context = entry.EntryContext(
            settings,
            self.hasher,
            self.control,
            self.grants,
            self.router,
            self.stream_loop,
            self.table,
            self.running,
            self.suspects,
            self.usage.record,
        )
        self.caller_server = entry.CallerServer(
            settings.node.caller_address,
            entry.Application(self.context),
            limits,
            limits.max_concurrent_requests + server.SPARE_THREADS,
            security.tls_certificate_file,
            security.tls_private_key_file,
        )
        self.admin_server = entry.CallerServer(
            settings.node.admin_address,
            admin.AdminApplication(self),
            limits,
            ADMIN_THREADS,
        )

    def _add_jobs(self) -> None:
        timing = self.settings.timing

        def poll_interval_s() -> float:
            if self.directory.is_relay():
                return timing.config_poll_interval_s
            return timing.config_backstop_interval_s

        def vm_interval_s() -> float:
            if self.directory.is_relay():
                return timing.vm_poll_interval_s
            return timing.config_backstop_interval_s

        call_periodically = self.jobs.call_periodically
        call_periodically(
            "configuration", poll_interval_s, self.configuration.poll
        )
        call_periodically("vms", vm_interval_s, self._poll_vms)
        call_periodically(
            "usage",
            lambda: timing.usage_flush_interval_s,
            self._flush_usage,
        )
        call_periodically(
            "leases",
            lambda: self.reporter_lease.renew_interval_s,
            self._maintain_leases,
        )
        call_periodically(
            "reports",
            lambda: min(1.0, timing.usage_window_s / 4),
            self.reporter.run,
        )
        call_periodically(
            "fleet", lambda: FLEET_INTERVAL_S, self._run_fleet_controller
        )
        call_periodically(
            "observe", lambda: STATUS_INTERVAL_S, self._update_status
        )
        call_periodically(
            "snapshot",
            lambda: SNAPSHOT_INTERVAL_S,
            self._write_snapshot,
        )

    def start(self) -> None:
        """Bind all addresses and start to serve requests.

        Raises:
            OSError: An address cannot be bound.
        """
        self.control.start()
        self.plane.start(
            self.broker,
            self.grants,
            self.router,
            self.configuration,
            self.usage,
            self.suspects,
        )
        self.stream_loop.start()
        self.jobs.start()
        self.admin_server.start()
        self.caller_server.start()
        node = self.settings.node
        events.log(
            events.NODE_STARTED,
            caller_address=node.caller_address,
            control_address=node.control_address,
            admin_address=node.admin_address,
            failure_domain=node.failure_domain,
        )

    def platform_age_s(self) -> float:
        """Return the seconds since the last response of the table service."""
        return min(1e9, time.monotonic() - self._table_client.last_response_s)

    def _declarations_changed(self, declared) -> None:
        """Apply declarations and cancel the requests of withdrawn keys."""
        self.context.declared = declared
        for exchange in self.running.all():
            if exchange.key_hash and exchange.key_hash not in declared.keys:
                events.log(
                    events.KEY_WITHDRAWN_IN_USE,
                    request_id=exchange.request_id,
                )
                exchange.cancel(entry_exceptions.UnknownKeyError())
        self.control.submit(self.plane.declarations_changed)

    def _poll_vms(self) -> None:
        read_s = time.monotonic()
        result = self.vm_list.fetch()
        if result.is_error():
            return

        def apply_vms() -> None:
            is_changed = result.ok != self.plane.vms
            self.plane.update_vms(result.ok, read_s)
            if is_changed and self.directory.is_relay():
                self.plane.push_vms()

        self.control.submit(apply_vms)

    def _flush_usage(self) -> None:
        self.usage.flush()
        self.usage.flush_lost_owners()

    def _is_lease_candidate(self, role: str) -> bool:
        """Return whether this node ranks among the candidates for a lease."""
        members = [
            m.name
            for m in list(self.directory.members.values())
            if not m.leaving
        ]
        ranked = membership.rank(members, role)[:LEASE_CANDIDATES]
        return self.settings.node.name in ranked

    def _maintain_leases(self) -> None:
        for lease in (self.reporter_lease, self.fleet_lease):
            if lease.is_held() or self._is_lease_candidate(lease.name):
                lease.renew_or_acquire()

    def _run_fleet_controller(self) -> None:
        if not self.fleet_lease.is_held():
            return
        pools = tuple(
            summary
            for member in list(self.directory.members.values())
            for summary in member.pools
        )
        self.controller.run(
            fleet.controller.FleetView(pools, self.configuration.current)
        )

    def _write_snapshot(self) -> None:
        if self.directory.is_relay():
            self.configuration.write_snapshot()

    def _update_status(self) -> None:
        limit_s = self.settings.timing.isolated_key_limit_s
        self.context.has_vm_list = bool(self.plane.vms)
        self.context.is_isolated = self.plane.isolated_s() > limit_s
        metrics.set_gauge(metrics.RUNNING_REQUESTS, {}, self.running.count())
        self.plane.update_control_metrics()

    def reload(self) -> bool:
        """Reload the settings and apply the reloadable sections.

        Returns:
            Whether the settings are valid and were applied.
        """
        result = loader.load(self.settings_path)
        if result.is_error():
            events.log(
                events.SETTINGS_REFUSED,
                faults=[str(fault) for fault in result.error],
            )
            return False
        reloaded = result.ok
        reloadable_sections = {
            name: getattr(reloaded, name)
            for name in conf.global_settings.RELOADABLE_SECTIONS
        }
        self.settings = self.settings._replace(**reloadable_sections)
        self.context.settings = self.settings
        self.plane.settings = self.settings
        security = self.settings.security
        if security.tls_certificate_file:
            self.caller_server.reload_certificate(
                security.tls_certificate_file, security.tls_private_key_file
            )
        events.log(events.SETTINGS_RELOADED)
        return True

    def stop(self) -> None:
        """Shut down gracefully: finish running requests, then leave."""
        timing = self.settings.timing
        events.log(events.NODE_STOPPING, running=self.running.count())
        self.plane.is_leaving = True
        self.control.submit(self.plane.heartbeat)
        self.context.is_draining = True
        time.sleep(timing.drain_announce_s)
        self.context.is_stopping = True
        deadline_s = time.monotonic() + timing.stop_deadline_s
        cut_count = 0
        while self.running.count():
            if time.monotonic() >= deadline_s:
                cut_count = self._cut_running()
                break
            time.sleep(STOP_POLL_INTERVAL_S)
        self.caller_server.stop()
        self.jobs.stop()
        self._leave()
        self.stream_loop.stop()
        self.admin_server.stop()
        self.control.stop()
        events.log(events.NODE_STOPPED, cut=cut_count)

    def _cut_running(self) -> int:
        """End the running requests with an error; returns their number."""
        running = self.running.all()
        for exchange in running:
            exchange.cancel(entry_exceptions.NodeStoppedError())
        return len(running)

    def _leave(self) -> None:
        """Release the leases and send unflushed usage to peers."""
        self.reporter_lease.release()
        self.fleet_lease.release()
        for _ in range(LAST_FLUSH_ATTEMPTS):
            if self.usage.flush(is_last=True):
                break
        self.usage.hand_off()
        time.sleep(STOP_POLL_INTERVAL_S)


def _read_secret(path: str) -> str:
    return loader.read_secret(path) if path else ""
