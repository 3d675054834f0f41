"""Run one gateway node: caller server, store access, duties and signals."""

import asyncio
from collections.abc import Callable
import concurrent.futures
import secrets
import signal
import threading
import time

import msgspec

from bilberryturn import events
from bilberryturn import leases
from bilberryturn import metrics
from bilberryturn.edge import config_transfer
from bilberryturn.edge import duties
from bilberryturn.edge import feeds
from bilberryturn.edge import followers as store_followers
from bilberryturn.edge import intervals
from bilberryturn.edge import orders
from bilberryturn.edge import peer_state
from bilberryturn.edge import presence
from bilberryturn.edge import relays
from bilberryturn.edge import shared_clock
from bilberryturn.edge import stream_records
from bilberryturn.edge import usage_windows
from bilberryturn.edge import watchdog
from bilberryturn.gateway import drain
from bilberryturn.gateway import internal_server
from bilberryturn.gateway import issuer_checks
from bilberryturn.gateway import permits
from bilberryturn.gateway import places
from bilberryturn.gateway import server as caller_server
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import tunnel_server
from bilberryturn.gateway import upstream
from bilberryturn.platform import decoding
from bilberryturn.platform import duty_calls
from bilberryturn.platform import http
from bilberryturn.platform import rows
from bilberryturn.platform import settings_file
from bilberryturn.platform import store_era

METRICS_PORT = 9464
STORE_CALL_TIMEOUT_S = 1.5
# A caller waits for these.
STREAM_CALL_TIMEOUT_S = 0.5
TICK_INTERVAL_S = 0.25
SWEEP_INTERVAL_S = 1.0
# Settings that a running node can reload; all others need a restart.
RELOADABLE = ("seeds", "stop_grace_s")
# Settings that are read only at the start.
START_ONLY = ("is_first_start",)
STOP_POLL_INTERVAL_S = 0.05
HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})


class EdgeNode:
    """Creates the components of a node and runs them."""

    def __init__(self, settings: settings_file.VmSettings, settings_path: str):
        self._settings = settings
        self._settings_path = settings_path
        self._stopping = threading.Event()
        self._stop_requested = asyncio.Event()
        self._is_ready = False
        self._raw = peer_state.RawState()
        self._own_reports: dict[str, int] = {}
        self._lifetime = f"{settings.name}@{secrets.token_hex(6)}"
        self._era_tracker = store_era.EraTracker()
        self._clock = shared_clock.SharedClock()
        self._clock_samples = shared_clock.OffsetSamples()
        self._started_s = leases.boottime_s()
        self._watchdog = watchdog.Watchdog()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        settings = self._settings
        self._pool = upstream.ConnectionPool(settings.ip)
        self.shared = shared_state.SharedState(
            settings.failure_domain,
            shared_state.RetryLimits(
                settings.repeat_ratio,
                settings.repeat_slack,
                settings.repeat_window_s,
            ),
            settings.usage_window_s,
            self._pool,
            self._clock.now_s,
            settings.drain_s,
            permits.Peers(
                str(settings.peers or ""),
                lambda domain: self._node_presence.addresses(domain),
                lambda: self._node_presence.are_known(),
            ),
            settings.memory_mb,
            settings.domain_regions(),
        )
        self._applier = feeds.Applier(
            self.shared,
            self._raw,
            self._lifetime,
            lambda nodes: self._node_presence.take_nodes(nodes),
            settings.heartbeat_s,
        )
        self._config_server = config_transfer.ConfigServer(self._raw)
        self._callers = caller_server.CallerServer(self.shared)
        self._tunnels = tunnel_server.TunnelServer(
            self.shared.directory,
            self.shared.reachability,
            self.shared.memory,
            lambda: self.shared.is_stopping,
            settings.ip,
        )
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=7, thread_name_prefix="store"
        )
        jobs = self._start_jobs(loop, executor)
        # Blocked by the start script, and so in all threads started until now;
        # those that are pending are handled now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        self.shared.arrival.begin(time.monotonic())
        await self._listen()
        events.log(
            events.NODE_STARTED,
            callers=str(settings.callers),
            failure_domain=settings.failure_domain,
        )
        self._watchdog.start()
        tick_task = loop.create_task(self._tick())
        await self._stop_requested.wait()
        # The handlers end with the event loop, before the process does.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        cut_count = await self._stop(jobs, executor)
        tick_task.cancel()
        events.log(events.NODE_STOPPED, cut=cut_count)

    # Start.

    def _start_jobs(self, loop, executor) -> list[concurrent.futures.Future]:
        settings = self._settings
        store_address = str(settings.store)
        store = rows.RowStore(
            http.HttpClient(
                "store", store_address, STORE_CALL_TIMEOUT_S, settings.ip
            ),
            self._clock.record_store_time,
            self._era_tracker,
        )
        self._count_writer = usage_windows.CountWriter(
            store, settings.usage_window_s
        )
        self._node_presence = node_presence = presence.Presence(
            store,
            settings.name,
            settings.failure_domain,
            str(settings.peers or ""),
            tuple(str(seed) for seed in settings.seeds),
            store_followers.on_loop(loop, self._applier.set_nodes),
        )
        poll_intervals = intervals.from_bounds(
            settings.drain_s,
            settings.operator_s,
            settings.settle_s,
        )
        followers = [
            store_followers.Follower(
                table,
                store_address,
                wait_s,
                pause_s,
                settings.ip,
                store_followers.on_loop(loop, self._applied(apply)),
                self._era_tracker,
                peer_readings,
            )
            for table, wait_s, pause_s, apply, peer_readings in (
                (
                    rows.SERVER_TABLE,
                    0.0,
                    poll_intervals.server_poll_s,
                    self._applier.on_servers_read,
                    lambda: self._raw.peer_server_readings,
                ),
                (
                    rows.OPERATOR_TABLE,
                    poll_intervals.config_wait_s,
                    0.0,
                    self._applier.on_config_read,
                    lambda: self._raw.peer_configs,
                ),
                (
                    rows.SUSPECT_TABLE,
                    poll_intervals.suspect_wait_s,
                    poll_intervals.suspect_pause_s,
                    self._applier.on_suspects_read,
                    lambda: 0,
                ),
            )
        ]
        fetcher = config_transfer.ConfigFetcher(
            settings.ip,
            lambda: self._raw.config,
            store_followers.on_loop(
                loop, self._applied(self._applier.apply_fetched_config)
            ),
            lambda address: relay.skip(address),
        )
        relay = relays.RelayClient(
            self._lifetime,
            str(settings.peers or ""),
            settings.failure_domain,
            settings.ip,
            poll_intervals,
            node_presence.domain_peers,
            node_presence.peers,
            self._usage_snapshot,
            lambda: self._own_reports,
            self._clock,
            followers,
            self._applier.known,
            store_followers.on_loop(
                loop, self._applied(self._applier.apply_peer_state)
            ),
            node_presence.first_read,
            (
                relays.FIRST_START_WAITS
                if settings.is_first_start
                else relays.RESTART_WAITS
            ),
            self._era_tracker,
            is_store_reached=lambda: node_presence.has_reached_store,
            offer_config=fetcher.offer,
            needs_reading=self.shared.list_waits.is_awaited,
        )
        self._hastened = (followers[0], relay)
        self.shared.list_waits.hasten = self._hasten_readings
        self._duty_runner = self._create_duty_runner(
            store, node_presence, relay
        )
        return [
            executor.submit(job.run, self._stopping)
            for job in (
                *followers,
                relay,
                fetcher,
                self._create_stream_recorder(),
                self._duty_runner,
            )
        ]

    def _hasten_readings(self) -> None:
        """Read the list of servers soon, from the store or from a relay."""
        for reader in self._hastened:
            reader.hasten()

    def _create_stream_recorder(self) -> stream_records.StreamRecorder:
        settings = self._settings
        return stream_records.StreamRecorder(
            self.shared.stream_origins,
            rows.RowStore(
                http.HttpClient(
                    "store",
                    str(settings.store),
                    STREAM_CALL_TIMEOUT_S,
                    settings.ip,
                ),
                era_tracker=self._era_tracker,
            ),
            settings.store_writes_per_s,
            self._node_presence.count,
            lambda: self._lease.is_held() and not self.shared.has_mixed_service,
        )

    def _create_duty_runner(
        self, store, node_presence, relay
    ) -> duties.DutyRunner:
        settings = self._settings
        lease = self._lease = leases.Lease(
            "duties",
            settings.name,
            leases.LeaseOptions(settings.lease_s, duties.LEASE_MARGIN_S),
            store,
        )
        reporter = server_orders = None
        if settings.duties is not None:
            calls = duty_calls.DutyCalls(self._duty_client(), settings.name)
            if duty_calls.USAGE in settings.duty_names:
                reporter = usage_windows.Reporter(
                    store,
                    lease,
                    calls,
                    settings.usage_window_s,
                    settings.usage_due_s,
                    self._uptime_s if settings.is_first_start else None,
                )
            if duty_calls.SERVERS in settings.duty_names:
                server_orders = orders.OrderSender(
                    store, lease, calls, self.shared
                )
        return duties.DutyRunner(
            lease,
            settings.lease_s,
            node_presence,
            self._write_counts,
            reporter,
            server_orders,
            settings.is_first_start,
            lambda: relay.reads_store,
            self._clock,
            shared_clock.OffsetKeeper(
                store, lease, self._clock, self._clock_samples
            ),
        )

    def _uptime_s(self) -> float:
        return leases.boottime_s() - self._started_s

    def _duty_client(self) -> http.HttpClient:
        return http.HttpClient(
            "duties",
            str(self._settings.duties),
            duties.DUTY_CALL_TIMEOUT_S,
            self._settings.ip,
            drops_unsent=True,
        )

    async def _listen(self) -> None:
        settings = self._settings
        callers = settings.callers
        await self._callers.start(callers.host, callers.port)
        self._ready_server = internal_server.InternalServer(
            self._handle_readiness
        )
        await self._ready_server.start(
            settings.readiness.host, settings.readiness.port
        )
        self._metrics_server = internal_server.InternalServer(
            self._handle_metrics
        )
        await self._metrics_server.start(settings.ip, METRICS_PORT)
        self._peer_server = internal_server.InternalServer(
            self._handle_peer_request, self._tunnels.serve
        )
        if settings.peers is not None:
            await self._peer_server.start(
                settings.peers.host, settings.peers.port
            )

    # Counts.

    def _write_counts(self, is_last: bool) -> None:
        """Write the counts of this node and of the nodes that poll it."""
        self._count_writer.update_usage(self._lifetime, self._usage_snapshot())
        self._count_writer.update_suspects(self._lifetime, self._own_reports)
        usage_interval_s = 0.0
        if not is_last:
            usage_interval_s = usage_windows.write_interval_s(
                self._node_presence.count()
            )
        self._count_writer.write(self._clock.now_s(), usage_interval_s)

    def _usage_snapshot(self) -> dict[int, shared_state.WindowCounts]:
        return self.shared.usage.snapshot(self._clock.now_s())

    # Request handlers.

    def _handle_readiness(
        self, path: str, body: bytes
    ) -> internal_server.Reply:
        return internal_server.Reply(200 if self._is_ready else 503)

    def _handle_metrics(self, path: str, body: bytes) -> internal_server.Reply:
        body, _ = metrics.render()
        return internal_server.Reply(200, body, "text/plain; version=0.0.4")

    def _handle_peer_request(
        self, path: str, body: bytes
    ) -> internal_server.Reply:
        if path == config_transfer.PATH:
            return self._config_server.reply(body)
        availability = self.shared.availability
        issuing = {
            permits.PATH: availability.permits.issue,
            places.PATH: availability.places.issue,
            places.END_PATH: availability.places.end,
        }
        if path not in (*issuing, issuer_checks.PATH):
            return self._handle_state_request(body)
        if not availability.permits.can_issue():
            return internal_server.Reply(issuer_checks.NO_ISSUER_STATUS)
        if path == issuer_checks.PATH:
            return internal_server.Reply(200)
        reply = issuing[path](body)
        if reply is None:
            return internal_server.Reply(400)
        return internal_server.Reply(200, reply, "application/json")

    def _handle_state_request(self, body: bytes) -> internal_server.Reply:
        try:
            request = decoding.decode_json(body, type=relays.StateRequest)
        except msgspec.DecodeError as error:
            events.log(
                events.FRAME_REFUSED, member="unknown", problem=str(error)
            )
            return internal_server.Reply(400)
        self._count_writer.update_usage(request.lifetime, request.usage)
        self._count_writer.update_suspects(request.lifetime, request.suspects)
        self._applier.merge_suspects(request.lifetime, request.suspects)
        self._clock_samples.record(request.lifetime, request.clock_offset_s)
        if request.needs_reading:
            server_follower, _ = self._hastened
            server_follower.hasten()
        state = msgspec.structs.replace(
            self._raw.state(request.known()),
            store_s=self._clock.store_s(),
            utc_offset_s=self._clock.utc_offset_s,
        )
        return internal_server.Reply(
            200, msgspec.json.encode(state), "application/json"
        )

    # Periodic work.

    async def _tick(self) -> None:
        next_sweep_s = 0.0
        while True:
            now_s = time.monotonic()
            try:
                self._update_state(now_s)
                if now_s >= next_sweep_s:
                    next_sweep_s = now_s + SWEEP_INTERVAL_S
                    self._watchdog.rearm()
                    self._sweep()
            except Exception as error:
                # Readiness must stay up to date whatever one update meets.
                events.log(
                    events.JOB_FAILED,
                    job="tick",
                    error=f"{type(error).__name__}: {error}",
                )
            await asyncio.sleep(TICK_INTERVAL_S)

    def _update_state(self, now_s: float) -> None:
        self._applier.expire()
        self.shared.evacuation.step(now_s)
        self.shared.update_versions()
        self.shared.stream_origins.expire(now_s)
        self.shared.availability.log_cold()
        for cause in self.shared.part_crashes.new_causes():
            event = (
                events.REQUEST_QUARANTINED
                if cause.is_request
                else events.PART_QUARANTINED
            )
            events.log(event, **cause._asdict())
        self._own_reports = self.shared.own_reports()
        self._applier.set_own_suspects(self._own_reports)
        self._update_readiness()
        self.shared.set_node_count(self._node_presence.count())

    def _sweep(self) -> None:
        """Drop idle connections and load data of servers not used any more."""
        servers = self.shared.directory.all_servers()
        self._pool.close_stale(
            {s.lifetime for s in servers if not s.is_leaving}
        )
        self.shared.witnesses.close_unused()
        self.shared.retain_servers({s.lifetime for s in servers})
        self._callers.update_memory()

    def _applied(self, apply: Callable[..., None]) -> Callable[..., None]:
        """Return a function that makes applied state known at once.

        Requests that wait for it and the readiness don't wait for a tick.
        """

        def call(*arguments) -> None:
            apply(*arguments)
            self.shared.update_versions()
            self.shared.record_arrival()
            self._update_readiness()

        return call

    def _update_readiness(self) -> None:
        is_ready = (
            self.shared.table is not None
            and bool(self.shared.directory.all_servers())
            and not self.shared.is_stopping
        )
        if is_ready != self._is_ready:
            self._is_ready = is_ready
            events.log(
                events.READINESS_CHANGED,
                is_ready=is_ready,
                config_age_s=self.shared.config_age_s(),
                servers_age_s=self.shared.servers_age_s(),
            )

    # Reload and stop.

    def _reload(self) -> None:
        result = settings_file.load(self._settings_path)
        if result.is_error():
            events.log(
                events.SETTINGS_REFUSED,
                faults=[str(fault) for fault in result.error],
            )
            return
        loaded = result.ok
        reloaded = {name: getattr(loaded, name) for name in RELOADABLE}
        self._settings = self._settings._replace(**reloaded)
        self._node_presence.set_seeds(tuple(str(seed) for seed in loaded.seeds))
        events.log(
            events.SETTINGS_RELOADED,
            need_restart=[
                name
                for name in loaded._fields
                if name not in START_ONLY
                and getattr(loaded, name) != getattr(self._settings, name)
            ],
        )

    def _request_stop(self) -> None:
        self._stop_requested.set()

    async def _stop(self, jobs, executor) -> int:
        """Drain running requests while another node takes over the duties.

        Returns:
            The number of requests that were cut.
        """
        plan = drain.plan(time.monotonic(), self._settings.stop_grace_s)
        self.shared.drain = plan
        self._duty_runner.hand_over()
        self._update_readiness()
        events.log(events.NODE_STOPPING, running=self._callers.busy_count())
        await asyncio.sleep(max(0.0, plan.listen_until_s - time.monotonic()))
        self._callers.stop_listening()
        while time.monotonic() < plan.end_s:
            # Connections that were just accepted are set up meanwhile.
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            self._callers.close_idle()
            if not self._callers.busy_count() and not self._tunnels.count:
                break
        self.shared.usage.close()
        self._stopping.set()
        self._hasten_readings()
        remaining_s = plan.kill_s - time.monotonic()
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(
            None, concurrent.futures.wait, jobs, max(0.1, remaining_s - 0.3)
        )
        cut_count = await self._callers.end_all()
        executor.shutdown(wait=False, cancel_futures=True)
        return cut_count
