"""A link in front of a server that can be cut for some of its clients."""

import socket
import struct
import threading
import time

LINGER_RESET = struct.pack("ii", 1, 0)


class PartialLink:
    """Forwards connections to a server, except those of clients that are cut.

    Attributes:
        port: Port at which clients reach the server.
        cuts: How the connections of each cut client fail, by its address:
            "reset" for all, "reset new" for those that are opened from then on,
            "silent" if they stay open and nothing passes.
        opened: Addresses of the clients that connected, in order.
    """

    def __init__(self, target_port):
        self.cuts = {}
        self.opened = []
        self._target_port = target_port
        self._connections = []
        # Connections that the thread in the other direction must not end.
        self._ended = set()
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, client, kind):
        """Cut a client off, or heal its connections if the kind is None."""
        if kind is None:
            self.cuts.pop(client, None)
            return
        self.cuts[client] = kind
        if kind == "reset":
            for address, *pair in self._connections:
                if address == client:
                    self._reset(*pair)

    def close(self):
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()
        for _, *pair in self._connections:
            _shut(*pair)

    def _accept(self):
        while True:
            try:
                client, (address, _) = self._socket.accept()
            except OSError:
                return
            self.opened.append(address)
            if self.cuts.get(address, "").startswith("reset"):
                self._reset(client)
                continue
            threading.Thread(
                target=self._connect, args=(client, address), daemon=True
            ).start()

    def _connect(self, client, address):
        self._wait(address)
        try:
            server = socket.create_connection(("127.0.0.1", self._target_port))
        except OSError:
            self._reset(client)
            return
        self._connections.append((address, client, server))
        for source, target in ((client, server), (server, client)):
            threading.Thread(
                target=self._pump, args=(source, target, address), daemon=True
            ).start()

    def _wait(self, address):
        while self.cuts.get(address) == "silent":
            time.sleep(0.01)

    def _pump(self, source, target, address):
        try:
            while data := source.recv(65536):
                self._wait(address)
                target.sendall(data)
            self._wait(address)
            if source not in self._ended:
                target.shutdown(socket.SHUT_WR)
        except OSError as error:
            if source in self._ended or target in self._ended:
                return
            if isinstance(error, ConnectionResetError):
                self._reset(source, target)
            else:
                _shut(source, target)

    def _reset(self, *connections):
        self._ended.update(connections)
        for connection in connections:
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
                # Wakes the thread that reads it; the reset follows at the
                # close.
                connection.shutdown(socket.SHUT_RD)
                connection.close()
            except OSError:
                pass


def _shut(*connections):
    for connection in connections:
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
