"""Threaded HTTP server for the WSGI application."""

import logging
import select
import threading

import cheroot.server
import cheroot.ssl.builtin
import cheroot.wsgi

from bilberryturn.conf import global_settings

LISTEN_BACKLOG = 1024
SPARE_THREADS = 16
THREAD_STACK_BYTES = 512 * 1024
CONNECTION_KEY = "bilberryturn.connection"
CLOSE = ("Connection", "close")
CLOSE_BYTES = (b"Connection", b"close")
LINE_BREAK = b"\r\n"


class _Gateway(cheroot.wsgi.Gateway_10):
    """Connects the application with the connection of its request.

    The socket in the environ serves to detect disconnected callers.
    """

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ

    def start_response(self, status, headers, exc_info=None):
        """Announce whether the connection closes behind the response.

        It doesn't close if the caller has sent a request ahead. It closes
        behind a chunked body that the application has left unread, whose rest
        would be parsed as the next request.
        """
        leaves_chunks = self.req.chunked_read and self._has_unread_body()
        if leaves_chunks and CLOSE not in headers:
            headers = [*headers, CLOSE]
        elif CLOSE in headers and self._has_next_request():
            headers = [field for field in headers if field != CLOSE]
        return super().start_response(status, headers, exc_info)

    def respond(self):
        """Close the connection after a response that announces that."""
        super().respond()
        if CLOSE_BYTES in self.req.outheaders:
            self.req.close_connection = True

    def _has_next_request(self) -> bool:
        """Return whether part of the next request has arrived already."""
        if self._has_unread_body():
            return False
        connection = self.req.conn
        received = connection.rfile
        # The line break behind a chunked body isn't read with it.
        if received.has_data() and received.peek() != LINE_BREAK:
            return True
        poller = select.poll()
        poller.register(connection.socket, select.POLLIN)
        return bool(poller.poll(0))

    def _has_unread_body(self) -> bool:
        """Return whether the application has left part of the body unread."""
        body = self.req.rfile
        if self.req.chunked_read:
            return not body.closed
        return body.remaining > 0


class CallerServer:
    """HTTP server that listens on one address.

    The number of threads limits the number of concurrent requests. Each
    thread blocks on the inbox of its request, never on a backend server.
    """

    def __init__(
        self,
        address: str,
        application,
        limits: global_settings.Limits,
        threads: int,
        certificate_file: str = "",
        private_key_file: str = "",
    ):
        host, port = address.rsplit(":", 1)
        threading.stack_size(THREAD_STACK_BYTES)
        self._server = cheroot.wsgi.Server(
            (host.strip("[]"), int(port)),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=limits.caller_timeout_s,
            accepted_queue_size=threads * 4,
        )
        self._server.gateway = _Gateway
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.error_log = self._log_error
        self._server.shutdown_timeout = 1
        if certificate_file:
            self._server.ssl_adapter = cheroot.ssl.builtin.BuiltinSSLAdapter(
                certificate_file, private_key_file
            )
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start listening and serve in a background thread.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="callers", daemon=True
        )
        self._thread.start()

    def reload_certificate(self, certificate_file: str, key_file: str) -> None:
        """Use the new certificate and key for new connections."""
        self._server.ssl_adapter = cheroot.ssl.builtin.BuiltinSSLAdapter(
            certificate_file, key_file
        )

    def stop(self) -> None:
        """Stop listening and close idle connections."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(5.0)

    def _log_error(self, message="", level=logging.INFO, traceback=False):
        """Discard cheroot's messages; the daemon logs its own events."""
