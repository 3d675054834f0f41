"""A backend server that runs as a process, so that it can be killed.

Its answers end with their connection. It listens once it has read a line from
standard input, also if another process still listens at the port.

Arguments: port, number of events and seconds between them.
"""

import asyncio
import socket
import sys


async def _serve(reader, writer, events, gap_s):
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = dict(
            line.lower().split(": ", 1)
            for line in head.split("\r\n")[1:]
            if ": " in line
        )
        request = fields["x-bilberryturn-attempt-id"]
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
            "X-Bilberryturn-Server-Seal: s.1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        after = int(fields.get("last-event-id", 0))
        for number in range(after + 1, events + 1):
            await asyncio.sleep(gap_s)
            writer.write(b"id: %d\ndata: token-%d\n\n" % (number, number))
            await writer.drain()
    except (OSError, EOFError):
        pass
    finally:
        writer.close()


async def _run(port, events, gap_s):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(("127.0.0.1", port))
    print("started", flush=True)
    sys.stdin.readline()
    server = await asyncio.start_server(
        lambda reader, writer: _serve(reader, writer, events, gap_s),
        sock=listener,
    )
    print("listens", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_run(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
