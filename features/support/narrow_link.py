"""A link of limited bandwidth in front of a server."""

import socket
import threading
import time

PACKET_BYTES = 1500


class NarrowLink:
    """Forwards connections; all bytes to the clients share one bandwidth.

    Attributes:
        address: HOST:PORT at which clients reach the server.
        is_stalled: Whether no further byte reaches a client.
    """

    def __init__(self, target_port, mbps):
        self.is_stalled = False
        self._target_port = target_port
        self._bytes_per_s = mbps * 1e6 / 8
        self._lock = threading.Lock()
        self._free_s = 0.0
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._socket.close()

    def _accept(self):
        while True:
            try:
                client, _ = self._socket.accept()
            except OSError:
                return
            server = socket.create_connection(("127.0.0.1", self._target_port))
            for pump, source, target in (
                (self._pump, client, server),
                (self._pump_slowly, server, client),
            ):
                threading.Thread(
                    target=pump, args=(source, target), daemon=True
                ).start()

    def _pump(self, source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            target.close()

    def _pump_slowly(self, source, target):
        try:
            while data := source.recv(PACKET_BYTES):
                self._wait_for(len(data))
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()

    def _wait_for(self, size_bytes):
        """Wait for the end of the packets that are queued before."""
        with self._lock:
            self._free_s = max(self._free_s, time.monotonic())
            self._free_s += size_bytes / self._bytes_per_s
            sent_s = self._free_s
        time.sleep(max(0.0, sent_s - time.monotonic()))
        while self.is_stalled:
            time.sleep(0.02)
