"""Serve a WSGI application to callers with threads."""

import logging
import threading

import cheroot.server
import cheroot.ssl.builtin
import cheroot.wsgi

from bilberryturn.conf import global_settings

LISTEN_BACKLOG = 1024
SPARE_THREADS = 16
THREAD_STACK_BYTES = 512 * 1024
CONNECTION_KEY = "bilberryturn.connection"


class _Gateway(cheroot.wsgi.Gateway_10):
    """Shows the application the connection, to see that a caller left."""

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


class CallerServer:
    """Listens on one address.

    The number of threads bounds the number of requests at a time; each
    thread waits on its request's inbox, never on a backend server.
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
        """Listen and serve in a thread of its own.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="callers", daemon=True
        )
        self._thread.start()

    def reload_certificate(self, certificate_file: str, key_file: str) -> None:
        """Use new files for connections from now on."""
        self._server.ssl_adapter = cheroot.ssl.builtin.BuiltinSSLAdapter(
            certificate_file, key_file
        )

    def stop(self) -> None:
        """Stop listening and close idle connections."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(5.0)

    def _log_error(self, message="", level=logging.INFO, traceback=False):
        """Drop the server's own messages; the product logs its events."""
