"""A stand-in for the users' store and duty interfaces.

It follows their published protocol."""

import base64
import bisect
import http.server
import json
import operator
import threading
import time
import urllib.parse

import expression

from bilberryturn.platform import exceptions
from bilberryturn.platform import http as platform_http


def _now_ms():
    """Return the store's steady clock."""
    return int(time.monotonic() * 1000)


class MemoryStore:
    """The store's calls, in memory and without a network.

    Attributes:
        era: Number of restores; None if the store states none.
    """

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.history_from = 0
        self.era = 0
        self.lock = threading.Condition(threading.RLock())

    def put(self, table, key, value):
        """Write a row; a value that is not bytes is encoded as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.lock:
            self._write(table, key, base64.b64encode(raw).decode())
            self.lock.notify_all()

    def put_text(self, table, key, text):
        """Write a raw stored value, which may be invalid Base64."""
        with self.lock:
            self._write(table, key, text)
            self.lock.notify_all()

    def remove(self, table, key):
        """Remove a row."""
        with self.lock:
            self._write(table, key, None)
            self.lock.notify_all()

    def compact_history(self):
        """Drop the change history, as a compaction does."""
        with self.lock:
            self.history_from = self.version
            self.lock.notify_all()

    def copy(self):
        """Return a copy of all rows, from which the store can be restored."""
        with self.lock:
            return dict(self.rows), len(self.changes), self.version

    def restore(self, copy, writes=()):
        """Continue from a copy.

        Args:
            copy: As from copy(), of this history.
            writes: Table, key and value of the rows that are written before
                any other call.
        """
        with self.lock:
            rows, change_count, self.version = copy
            self.rows = dict(rows)
            del self.changes[change_count:]
            self.era += 1
            for table, key, value in writes:
                self.put(table, key, value)
            self.lock.notify_all()

    def raw_rows(self, tables):
        """Return table, key and stored bytes of the rows of some tables."""
        with self.lock:
            return [
                (table, key, base64.b64decode(value))
                for (table, key), (value, _) in self.rows.items()
                if table in tables
            ]

    def value(self, table, key):
        """Return the decoded value of a row, or None."""
        with self.lock:
            found = self.rows.get((table, key))
        return json.loads(base64.b64decode(found[0])) if found else None

    def _write(self, table, key, value):
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.changes.append((self.version, table, key, value))

    # Calls of the protocol

    def get(self, query):
        with self.lock:
            rows = [
                self._row(table, key, value, version)
                for (table, key), (value, version) in sorted(self.rows.items())
                if table == query["table"]
                and query.get("from", "") <= key
                and (not query.get("to") or key < query["to"])
            ]
            limit = min(int(query.get("limit", 500)), 500)
            return 200, {
                "rows": rows[:limit],
                "hasMore": len(rows) > limit,
                "ver": self.version,
                "nowMs": _now_ms(),
            }

    def feed(self, query):
        since = int(query["sinceRev"])
        deadline_s = time.monotonic() + int(query["waitMs"]) / 1000
        with self.lock:
            while True:
                if not self.history_from <= since <= self.version:
                    return 410, {}
                # Versions ascend.
                first = bisect.bisect_right(
                    self.changes, since, key=operator.itemgetter(0)
                )
                found = [
                    c for c in self.changes[first:] if c[1] == query["table"]
                ]
                remaining_s = deadline_s - time.monotonic()
                if found or remaining_s <= 0:
                    break
                self.lock.wait(remaining_s)
            rows = []
            for version, table, key, value in found:
                row = self._row(table, key, value or "", version)
                if value is None:
                    row["deleted"] = True
                rows.append(row)
            return 200, {"rows": rows, "ver": self.version, "nowMs": _now_ms()}

    def transact(self, body):
        with self.lock:
            for check in body["expectRev"]:
                row_id = (check["table"], check["key"])
                version = self.rows.get(row_id, ("", 0))[1]
                if version != check["ver"]:
                    return 412, {"rows": []}
            self.version += 1
            for write in body["write"]:
                row_id = (write["table"], write["key"])
                self.rows[row_id] = (write["value"], self.version)
                self.changes.append((self.version, *row_id, write["value"]))
            for row_id in body["remove"]:
                self.rows.pop((row_id["table"], row_id["key"]), None)
            self.lock.notify_all()
            return 200, {"ver": self.version, "nowMs": _now_ms()}

    def _row(self, table, key, value, version):
        return {
            "table": table,
            "part": "",
            "key": key,
            "value": value,
            "ver": version,
        }

    def dispatch(self, path, query, body):
        """Answer a call; returns status and value."""
        arguments = dict(urllib.parse.parse_qsl(query))
        if path == "/rows-get":
            return self.get(arguments)
        if path == "/rows-feed":
            return self.feed(arguments)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}


class StoreStandin(MemoryStore):
    """An in-memory store over HTTP with fault injection.

    Attributes:
        faults: Faults to inject into the next calls, in order.
        fault: Fault injected into all other calls, or "" for none.
        calls: Method, path and headers of each call.
        duty_calls: Path, body and headers of each order and usage report.
        sent_bytes: Size of all bodies sent.
    """

    def __init__(self):
        super().__init__()
        self.sent_bytes = 0
        self.faults = []
        self.fault = ""
        self.calls = []
        self.duty_calls = []
        handler = type("Handler", (_Handler,), {"standin": self})
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), handler
        )
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()

    def pop_next_fault(self):
        """Return the fault to inject into the current call."""
        with self.lock:
            if self.faults:
                return self.faults.pop(0)
            return self.fault


class DirectClient:
    """Calls a stand-in without a network.

    Attributes:
        is_cut: Whether calls get no answer.
    """

    def __init__(self, standin):
        self.is_cut = False
        self._standin = standin

    def call(self, method, path, body=None):
        """Make a call, as platform.http.HttpClient does."""
        if self.is_cut:
            return expression.Error(
                exceptions.PlatformUnreachableError("store", "cut off")
            )
        path, _, query = path.partition("?")
        status, value = self._standin.dispatch(path, query, json.dumps(body))
        headers = {"store-era": str(self._standin.era)}
        return expression.Ok(
            platform_http.Response(status, json.dumps(value).encode(), headers)
        )


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    standin = None

    def log_message(self, *arguments):
        pass

    def do_GET(self):  # noqa: N802
        self._serve(b"")

    def do_POST(self):  # noqa: N802
        length = int(self.headers.get("Content-Length", 0))
        self._serve(self.rfile.read(length))

    def _serve(self, body):
        path, _, query = self.path.partition("?")
        self.standin.calls.append((self.command, path, dict(self.headers)))
        fault = self.standin.pop_next_fault()
        if fault == "silent":
            time.sleep(3)
            self.close_connection = True
            return
        if fault in ("429", "503", "500"):
            self._answer(int(fault), {"error": fault})
            return
        status, value = self._dispatch(path, query, body)
        if fault == "lost":
            self.close_connection = True
            return
        if fault == "garbage":
            self._send(200, b"\x00{nonsense")
            return
        self._answer(status, value)

    def _dispatch(self, path, query, body):
        if path in ("/usage", "/scale"):
            self.standin.duty_calls.append(
                (path, json.loads(body), dict(self.headers))
            )
            return 200, {}
        return self.standin.dispatch(path, query, body)

    def _answer(self, status, value):
        self._send(status, json.dumps(value).encode())

    def _send(self, status, data):
        with self.standin.lock:
            self.standin.sent_bytes += len(data)
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        if self.standin.era is not None:
            self.send_header("Store-Era", str(self.standin.era))
        self.end_headers()
        self.wfile.write(data)
