"""Serve operator requests on the admin address."""

import hmac
import pathlib
import time
from typing import Any

import msgspec
import werkzeug.exceptions
import werkzeug.routing
import werkzeug.wrappers

from bilberryturn import declarations
from bilberryturn import events
from bilberryturn import exceptions
from bilberryturn import metrics
from bilberryturn.daemon import admin_messages
from bilberryturn.daemon import commits
from bilberryturn.declarations import keys
from bilberryturn.declarations import models

Request = werkzeug.wrappers.Request
Response = werkzeug.wrappers.Response
Rule = werkzeug.routing.Rule

MAX_WAIT_S = 60.0
MAX_LOG_ROWS = 500
READ_TIMEOUT_S = 2.0

ROUTES = werkzeug.routing.Map(
    [
        Rule("/status", endpoint="status", methods=["GET"]),
        Rule("/declarations", endpoint="declarations", methods=["GET"]),
        Rule("/changes", endpoint="change", methods=["POST"]),
        Rule("/changes", endpoint="change_log", methods=["GET"]),
        Rule("/changes/<int:version>", endpoint="shown", methods=["GET"]),
        Rule("/keys", endpoint="keys", methods=["GET"]),
        Rule("/keys", endpoint="grant", methods=["POST"]),
        Rule("/keys/<name>", endpoint="withdraw", methods=["DELETE"]),
        Rule("/marks", endpoint="mark", methods=["POST"]),
        Rule("/vms", endpoint="vms", methods=["GET"]),
        Rule("/usage", endpoint="usage", methods=["GET"]),
        Rule("/requests/<request_id>", endpoint="explain", methods=["GET"]),
    ]
)


class AdminApplication:
    """The WSGI application that the command-line tool calls."""

    def __init__(self, node):
        self._node = node
        self._committer = commits.Committer(node)

    def __call__(self, environ, start_response):
        """Handle one request."""
        response = self._respond(Request(environ))
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        if request.path == "/metrics":
            body, headers = metrics.render()
            return Response(body, headers=headers)
        try:
            author = self._authenticate(request)
            adapter = ROUTES.bind_to_environ(request.environ)
            endpoint, arguments = adapter.match()
            handler = getattr(self, f"_serve_{endpoint}")
            return admin_messages.json_response(
                handler(request, author, **arguments)
            )
        except werkzeug.exceptions.HTTPException as error:
            return admin_messages.error_response(
                error.code, error.name, "Use the command-line tool"
            )
        except admin_messages.AdminError as error:
            return admin_messages.error_response(
                error.status, error.problem, error.remedy
            )
        except declarations.Conflict as error:
            events.log(
                events.CONFIG_CONFLICT,
                version=error.version,
                author=error.author,
            )
            return admin_messages.error_response(
                409, error.problem, error.remedy
            )
        except commits.InvalidDeclarationsError as error:
            return admin_messages.error_response(
                422, error.problem, error.remedy,
                [fault._asdict() for fault in error.faults],
            )  # fmt: skip
        except exceptions.BilberryturnError as error:
            return admin_messages.error_response(
                503, error.problem, error.remedy
            )
        except Exception as error:
            events.log(
                events.JOB_FAILED,
                job="admin",
                error=f"{type(error).__name__}: {error}",
            )
            return admin_messages.error_response(
                500, "The node failed", "Look at its log"
            )

    def _authenticate(self, request: Request) -> str:
        """Return the operator whose token the request carries.

        Raises:
            AdminError: The token is missing or unknown.
        """
        _, _, token = request.headers.get("Authorization", "").partition(" ")
        path = self._node.settings.security.operator_tokens_file
        for line in pathlib.Path(path).read_text("utf-8").splitlines():
            name, separator, known_token = line.partition("=")
            if (
                separator
                and token
                and hmac.compare_digest(
                    known_token.strip().encode(), token.strip().encode()
                )
            ):
                return name.strip()
        raise admin_messages.AdminError(
            401,
            "The operator token is not known",
            "Set BILBERRYTURN_TOKEN to a token of the operator tokens file",
        )

    def _serve_status(self, request: Request, author: str) -> dict[str, Any]:
        return self._node.control.submit_with_result(self._status).result(
            READ_TIMEOUT_S
        )

    def _status(self) -> dict[str, Any]:
        """Return the status of the node; runs on the control thread."""
        node = self._node
        now_s = time.monotonic()
        directory = node.directory
        return {
            "node": node.settings.node.name,
            "failure_domain": directory.failure_domain,
            "version": node.configuration.current.version,
            "platform_age_s": round(node.platform_age_s(), 3),
            "isolated_s": round(node.plane.isolated_s(), 3),
            "is_relay": directory.is_relay(),
            "running": node.running.count(),
            "vms": len(node.plane.vms),
            "leases": [
                {
                    "name": lease.name,
                    "held": lease.is_held(),
                    "epoch": lease.epoch,
                }
                for lease in (node.reporter_lease, node.fleet_lease)
            ],
            "members": [
                {
                    "name": m.name,
                    "address": m.control_address,
                    "version": m.config_version,
                    "leaving": m.leaving,
                    "heard_s": round(now_s - m.last_seen_s, 3),
                }
                for m in directory.members.values()
            ],
            "domains": [
                {
                    "name": d.name,
                    "region": d.region,
                    "members": len(d.members),
                    "lowest_version": d.lowest_version,
                    "heard_s": round(now_s - d.last_seen_s, 3),
                }
                for d in directory.remote_domains.values()
            ],
            "pools": [
                msgspec.to_builtins(_fields_by_name(summary))
                for member in directory.members.values()
                for summary in member.pools
            ],
        }

    def _serve_declarations(self, request, author: str) -> dict[str, Any]:
        current = self._node.configuration.current
        sections = {
            name: options
            for name, options in current.sections.items()
            if models.kind_of(name) != "key"
        }
        return {"version": current.version, "sections": sections}

    def _serve_change(self, request: Request, author: str) -> dict[str, Any]:
        body = admin_messages.decode(request, admin_messages.ChangeBody)
        for name in (*body.changed, *body.removed):
            if models.kind_of(name) == "key":
                raise admin_messages.AdminError(
                    422,
                    "Keys are not changed by declarations",
                    "Use `bilberryturn key grant` or `key withdraw`",
                )
        change = self._committer.commit_at_version(
            author, body.changed, body.removed, body.expected_version
        )
        return self._rollout_result(change.version, body.wait_s)

    def _rollout_result(self, version: int, wait_s: float) -> dict[str, Any]:
        state = self._committer.wait_for_rollout(
            version, min(max(wait_s, 0.0), MAX_WAIT_S)
        )
        return {"version": version, **state}

    def _serve_change_log(self, request: Request, author: str):
        after = request.args.get("after", 0, int)
        result = self._node.declaration_store.changes_after(after)
        if result.is_error():
            raise result.error
        return {
            "changes": [
                {
                    "version": change.version,
                    "author": change.author,
                    "at": change.at,
                    "changed": sorted(change.changed),
                    "removed": list(change.removed),
                }
                for change in result.ok[-MAX_LOG_ROWS:]
            ]
        }

    def _serve_shown(self, request: Request, author: str, version: int):
        result = self._node.declaration_store.changes_after(version - 1)
        if result.is_error():
            raise result.error
        for change in result.ok:
            if change.version == version:
                return change.as_row()
        raise admin_messages.AdminError(
            404, f"Version {version} does not exist",
            "List the versions with `bilberryturn config log`",
        )  # fmt: skip

    def _serve_keys(self, request: Request, author: str) -> dict[str, Any]:
        sections = self._node.configuration.current.sections
        return {
            "keys": [
                {"hash": name.partition(" ")[2], **options}
                for name, options in sections.items()
                if models.kind_of(name) == "key"
            ]
        }

    def _serve_grant(self, request: Request, author: str) -> dict[str, Any]:
        body = admin_messages.decode(request, admin_messages.GrantBody)
        declared = self._node.configuration.current
        if body.client_account not in declared.client_accounts:
            raise admin_messages.AdminError(
                422,
                f"The client account {body.client_account!r} is not declared",
                f"Declare [client_account {body.client_account}] first",
            )
        key = keys.new_key()
        key_hash = self._node.hasher.hash(key)
        options = {
            "client_account": body.client_account,
            "label": body.label,
            "author": author,
        }
        change = self._committer.commit_with_retry(
            author, {f"key {key_hash}": options}, ()
        )
        rollout = self._rollout_result(change.version, body.wait_s)
        return {"key": key, "hash": key_hash, **rollout}

    def _serve_withdraw(self, request: Request, author: str, name: str):
        """Withdraw the key with this hash prefix, or this whole key."""
        declared = self._node.configuration.current
        if name.startswith(keys.KEY_PREFIX):
            name = self._node.hasher.hash(name)
        matching_hashes = [h for h in declared.keys if h.startswith(name)]
        if len(matching_hashes) != 1:
            raise admin_messages.AdminError(
                404,
                f"{len(matching_hashes)} keys start with {name[:8]!r}",
                "Give more of the hash that `bilberryturn key list` shows",
            )
        change = self._committer.commit_with_retry(
            author, {}, (f"key {matching_hashes[0]}",)
        )
        wait_s = request.args.get(
            "wait_s", admin_messages.DEFAULT_WAIT_S, float
        )
        return self._rollout_result(change.version, wait_s)

    def _serve_mark(self, request: Request, author: str) -> dict[str, Any]:
        body = admin_messages.decode(request, admin_messages.MarkBody)
        if body.kind not in ("vm", "backend_server"):
            raise admin_messages.AdminError(
                422, f"{body.kind!r} cannot be marked",
                "Mark a vm or a backend_server",
            )  # fmt: skip
        known_names = {vm.name for vm in self._node.plane.vms}
        if body.mark and body.name not in known_names:
            raise admin_messages.AdminError(
                404, f"The VM {body.name!r} is not in the platform's list",
                "List the VMs with `bilberryturn vm list`",
            )  # fmt: skip
        section = f"{body.kind} {body.name}"
        if not body.mark:
            change = self._committer.commit_with_retry(author, {}, (section,))
        else:
            options = {"mark": body.mark, "author": author}
            change = self._committer.commit_with_retry(
                author, {section: options}, ()
            )
        return self._rollout_result(change.version, body.wait_s)

    def _serve_vms(self, request: Request, author: str) -> dict[str, Any]:
        declared = self._node.configuration.current
        rows = []
        for vm in self._node.plane.vms:
            mark = declared.vm_marks.get(vm.name)
            drain = declared.backend_server_marks.get(vm.name)
            rows.append(
                {
                    **msgspec.to_builtins(vm),
                    "kind": vm.kind,
                    "state": vm.state,
                    "cheap": vm.cheap,
                    "mark": (mark or drain).mark if mark or drain else "",
                }
            )
        return {"vms": rows}

    def _serve_usage(self, request: Request, author: str) -> dict[str, Any]:
        result = self._node.table.scan("usage/frozen/")
        if result.is_error():
            raise result.error
        windows = [
            {"window": int(row.key.rsplit("/", 1)[1]),
             "figures": row.value["figures"]}
            for row in result.ok
            if row.value["figures"]
        ]  # fmt: skip
        return {
            "window_s": self._node.settings.timing.usage_window_s,
            "windows": windows[-MAX_LOG_ROWS:],
        }

    def _serve_explain(self, request: Request, author: str, request_id: str):
        trace = self._node.running.trace(request_id)
        if trace is None:
            raise admin_messages.AdminError(
                404,
                f"This node does not know the request {request_id[:80]!r}",
                "Ask the node whose name the identifier starts with; only"
                " the newest requests are kept",
            )
        return {"request_id": request_id, "steps": trace}


def _fields_by_name(summary) -> dict[str, Any]:
    return {name: getattr(summary, name) for name in summary.__struct_fields__}
