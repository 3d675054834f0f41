"""Run all calls to backend servers on one curl multi handle.

Every call uses a new connection: if a reused connection turns out to be
closed, curl resends the request without reporting it.
"""

import collections
import os
import select
import threading
import time

import pycurl

from bilberryturn import events
from bilberryturn.backends import calls

POLL_LIMIT_S = 1.0
HEAD_CUT = "the head of the answer was cut"
MAX_HEADER_LINES = 200
NO_PROXY = ""


class StreamLoop:
    """Runs the thread that reads from all backend servers."""

    def __init__(self):
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._epoll = select.epoll()
        self._watched: set[int] = set()
        self._timer_due_s: float | None = None
        self._commands: collections.deque = collections.deque()
        self._calls: dict[pycurl.Curl, calls.Call] = {}
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        os.set_blocking(self._wake_writer, False)
        self._epoll.register(self._wake_reader, select.EPOLLIN)
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, name="backends", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; calls in flight end in an error."""
        self._is_stopping = True
        self._wake()
        self._thread.join(5.0)

    def submit(self, options: calls.CallOptions, deliver) -> calls.Call:
        """Send a request; its events go to a callback on the loop's thread.

        Args:
            options: The request.
            deliver: Callback for CallHead, CallData and finally one CallEnd.

        Returns:
            The call.
        """
        call = calls.Call(options, deliver)
        self._queue_command(self._start_call, call)
        return call

    def cancel(self, call: calls.Call) -> None:
        """Cancel a call; no further event of it is delivered."""
        call.is_cancelled = True
        self._queue_command(self._abort_call, call)

    def mark_consumed(self, call: calls.Call, size_bytes: int) -> None:
        """Record that the reader consumed data; may resume a paused call."""
        call.buffered_bytes -= size_bytes
        if call.is_paused and call.buffered_bytes <= (
            call.options.buffer_bytes // 2
        ):
            self._queue_command(self._resume_call, call)

    def _queue_command(self, function, call: calls.Call) -> None:
        self._commands.append((function, call))
        self._wake()

    def _wake(self) -> None:
        try:
            os.write(self._wake_writer, b"x")
        except BlockingIOError:
            pass

    def _run(self) -> None:
        while not self._is_stopping:
            try:
                self._run_once()
            except Exception as error:
                events.log(
                    events.JOB_FAILED,
                    job="backends",
                    error=f"{type(error).__name__}: {error}",
                )
        for call in list(self._calls.values()):
            self._finish_call(call, "the node stops")
        self._epoll.close()
        os.close(self._wake_reader)
        os.close(self._wake_writer)

    def _run_once(self) -> None:
        for descriptor, mask in self._epoll.poll(self._timeout_s()):
            if descriptor == self._wake_reader:
                self._drain_wake_pipe()
                continue
            action = 0
            if mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
                action |= pycurl.CSELECT_IN
            if mask & select.EPOLLOUT:
                action |= pycurl.CSELECT_OUT
            self._multi.socket_action(descriptor, action)
        self._run_commands()
        if self._timer_due_s is not None and (
            time.monotonic() >= self._timer_due_s
        ):
            self._timer_due_s = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._handle_completed()

    def _timeout_s(self) -> float:
        if self._commands:
            return 0.0
        if self._timer_due_s is None:
            return POLL_LIMIT_S
        remaining_s = self._timer_due_s - time.monotonic()
        return max(0.0, min(POLL_LIMIT_S, remaining_s))

    def _drain_wake_pipe(self) -> None:
        try:
            os.read(self._wake_reader, 65536)
        except BlockingIOError:
            pass

    def _run_commands(self) -> None:
        for _ in range(len(self._commands)):
            function, call = self._commands.popleft()
            function(call)

    def _watch_socket(self, event, descriptor, multi, data) -> None:
        if event == pycurl.POLL_REMOVE:
            self._watched.discard(descriptor)
            try:
                self._epoll.unregister(descriptor)
            except (OSError, ValueError):
                pass
            return
        mask = 0
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= select.EPOLLIN
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= select.EPOLLOUT
        try:
            if descriptor in self._watched:
                self._epoll.modify(descriptor, mask)
            else:
                self._epoll.register(descriptor, mask)
        except FileNotFoundError:
            self._epoll.register(descriptor, mask)
        except FileExistsError:
            self._epoll.modify(descriptor, mask)
        self._watched.add(descriptor)

    def _set_timer(self, timeout_ms: int) -> None:
        self._timer_due_s = None
        if timeout_ms >= 0:
            self._timer_due_s = time.monotonic() + timeout_ms / 1000

    def _start_call(self, call: calls.Call) -> None:
        if call.is_cancelled:
            return
        options = call.options
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, options.url)
        curl.setopt(pycurl.CUSTOMREQUEST, options.method)
        curl.setopt(pycurl.PROXY, NO_PROXY)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.FOLLOWLOCATION, 0)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(
            pycurl.CONNECTTIMEOUT_MS, int(options.connect_timeout_s * 1000)
        )
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(options.timeout_s * 1000)))
        curl.setopt(pycurl.HTTPHEADER, ["Expect:", *options.headers])
        curl.setopt(pycurl.USERAGENT, "bilberryturn")
        if options.source_address:
            curl.setopt(pycurl.INTERFACE, options.source_address)
        if options.body is not None:
            curl.setopt(pycurl.POSTFIELDS, options.body)
        if options.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        curl.setopt(
            pycurl.HEADERFUNCTION,
            lambda line: self._handle_header_line(call, line),
        )
        curl.setopt(
            pycurl.WRITEFUNCTION, lambda data: self._handle_data(call, data)
        )
        call.curl = curl
        self._calls[curl] = call
        self._multi.add_handle(curl)

    def _handle_header_line(self, call: calls.Call, line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            parts = text.split(" ", 2)
            call.status = int(parts[1])
            call.headers = {}
            call.is_head_complete = False
            return
        call.is_head_complete = call.is_head_complete or not text
        name, separator, value = text.partition(":")
        if separator and len(call.headers) < MAX_HEADER_LINES:
            call.headers[name.lower()] = value.strip()

    def _deliver_head(self, call: calls.Call) -> None:
        if call.is_head_delivered:
            return
        call.is_head_delivered = True
        call.deliver(calls.CallHead(call.number, call.status, call.headers))

    def _handle_data(self, call: calls.Call, data: bytes) -> int | None:
        if call.buffered_bytes > call.options.buffer_bytes:
            call.is_paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._deliver_head(call)
        call.buffered_bytes += len(data)
        call.deliver(calls.CallData(call.number, data))
        return None

    def _resume_call(self, call: calls.Call) -> None:
        if call.curl is None or not call.is_paused:
            return
        call.is_paused = False
        call.curl.pause(pycurl.PAUSE_CONT)

    def _abort_call(self, call: calls.Call) -> None:
        if call.curl is None:
            return
        self._remove_call(call)

    def _remove_call(self, call: calls.Call) -> None:
        curl, call.curl = call.curl, None
        self._calls.pop(curl, None)
        self._multi.remove_handle(curl)
        curl.close()

    def _handle_completed(self) -> None:
        while True:
            remaining, succeeded, failed = self._multi.info_read()
            for curl in succeeded:
                call = self._calls[curl]
                # A server may close before the end of its head; curl reports
                # that as a success.
                self._finish_call(
                    call, "" if call.is_head_complete else HEAD_CUT
                )
            for curl, _, text in failed:
                self._finish_call(
                    self._calls[curl], text or "connection failed"
                )
            if not remaining:
                return

    def _finish_call(self, call: calls.Call, error: str) -> None:
        sent_bytes = call.curl.getinfo(pycurl.REQUEST_SIZE)
        is_connected = call.curl.getinfo(pycurl.CONNECT_TIME) > 0
        self._remove_call(call)
        if call.is_cancelled:
            return
        if not error:
            self._deliver_head(call)
        call.deliver(
            calls.CallEnd(
                call.number, error, sent_bytes > 0 or not error, is_connected
            )
        )
