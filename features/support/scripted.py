"""Backend servers that answer requests with a scripted function."""

import socket
import struct
import threading
import time

SEAL = "X-Bilberryturn-Server-Seal: s.1\r\n"


class ScriptedServer:
    """Listens on loopback and calls a function for each request.

    Attributes:
        requests: Head and body of each request received, in order.
        most: Connections that it takes at once; further ones are reset.
        idle_s: Time after which it closes a connection without a request.
        script: The function; another one may take its place.
    """

    def __init__(self, script):
        self.requests = []
        self.most = None
        self.idle_s = None
        self.script = script
        self._connections = set()
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port = self._socket.getsockname()[1]
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        try:
            # Wakes the thread that accepts connections, which would otherwise
            # keep the socket open.
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()

    def end_connections(self):
        """Close all connections at once, as the system does for a process."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            with self._lock:
                is_full = len(self._connections) == self.most
                if not is_full:
                    self._connections.add(connection)
            if is_full:
                # The other side has seen the connection established by then.
                time.sleep(0.03)
                AcceptedConnection(connection).reset()
                continue
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        peer = AcceptedConnection(connection)
        connection.settimeout(self.idle_s)
        try:
            while True:
                head, body = peer.read_request()
                if head is None:
                    break
                with self._lock:
                    self.requests.append((head, body))
                    number = len(self.requests)
                if self.script(peer, head, body, number) == "close":
                    break
        except OSError:
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()


class AcceptedConnection:
    """An accepted connection."""

    def __init__(self, connection):
        self.connection = connection
        self._buffer = b""

    def read_request(self):
        """Return head and body of the next request.

        The head is None once the other side has closed the connection.
        """
        while b"\r\n\r\n" not in self._buffer:
            data = self.connection.recv(65536)
            if not data:
                return None, b""
            self._buffer += data
        head, _, rest = self._buffer.partition(b"\r\n\r\n")
        text = head.decode("latin-1")
        length = 0
        for line in text.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        while len(rest) < length:
            rest += self.connection.recv(65536)
        self._buffer = rest[length:]
        return text, rest[:length]

    def send(self, text):
        """Send bytes or text."""
        data = text if isinstance(text, bytes) else text.encode("latin-1")
        self.connection.sendall(data)

    def reset(self):
        """Close the connection with a TCP reset."""
        self.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.connection.close()

    def answer(self, head, body=b"", status="200 OK", extra="", request=None):
        """Send an answer with a server seal and a Content-Length."""
        request = request or header(head, "X-Bilberryturn-Attempt-Id")
        self.send(
            f"HTTP/1.1 {status}\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
            f"{SEAL}{extra}Content-Length: {len(body)}\r\n\r\n"
        )
        self.send(body)

    def start_stream(self, head):
        """Send the head of a chunked stream."""
        request = header(head, "X-Bilberryturn-Attempt-Id")
        self.send(
            f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
            f"{SEAL}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )

    def chunk(self, data):
        """Send one chunk; empty data ends the stream."""
        self.send(b"%x\r\n%s\r\n" % (len(data), data))


def header(head, name):
    """Return the value of a header, or None."""
    for line in head.split("\r\n")[1:]:
        found_name, _, value = line.partition(":")
        if found_name.lower() == name.lower():
            return value.strip()
    return None


def event(number):
    """Return a server-sent event with a number as its identifier."""
    return b"id: %d\ndata: token-%d\n\n" % (number, number)
