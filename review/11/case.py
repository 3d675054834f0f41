"""Runners stop at their time limit in answers that have no length.

The operator shortens the timeoutMs of two routes, so that their requests last
longer than it. The runners stop work at the X-Bilberryturn-Deadline-Ms that
they receive, which the node derives from the timeoutMs. Their answers have
neither a length nor chunks and end with their channel. Clients wait for longer
than the timeoutMs. The rule: an answer that ends early must not look complete.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import lab as lab_module  # noqa: E402

PIECES = 60
PIECE_S = 0.1
# The work takes 6 s. Without the change it ends within the timeoutMs.
SHORT_TIMEOUT_MS = 3000
LONG_TIMEOUT_MS = 12000
DEADLINE_MS = 12000
CLIENTS = 6


def answer(runner, connection, head, body):
    """Send an answer without framing until it is complete or time is up."""
    request = runner.run(head, body)
    limit_s = int(lab_module.header(head, "X-Bilberryturn-Deadline-Ms")) / 1000
    end_s = time.monotonic() + limit_s
    is_stream = head.startswith("POST /draft/")
    media_type = "text/event-stream" if is_stream else "text/plain"
    connection.sendall(
        (
            f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
            f"X-Bilberryturn-Server-Seal: seal.{request}\r\n"
            f"Content-Type: {media_type}\r\nConnection: close\r\n\r\n"
        ).encode()
    )
    for number in range(1, PIECES + 1):
        if time.monotonic() >= end_s:
            runner.lab.record.add(
                f"runner stops {request} at its time limit of {limit_s} s"
                f" after {number - 1} of {PIECES} pieces"
            )
            return "close"
        piece = f"piece-{number};"
        if is_stream:
            piece = f"id: {number}\ndata: {piece}\n\n"
        connection.sendall(piece.encode())
        time.sleep(min(PIECE_S, max(0.0, end_s - time.monotonic())))
    runner.lab.record.add(f"runner has sent all of {request}")
    return "close"


def ask(lab, node, path, early):
    """Send a request, and note its answer if it ends early as complete."""
    client = lab_module.Client(lab, node, timeout_s=DEADLINE_MS / 1000)
    request = client.send(
        "POST", path, "k1", b"x" * 100, deadline_ms=DEADLINE_MS
    )
    status, data, is_complete = read_answer(client)
    pieces = data.count(b"piece-")
    state = "complete" if is_complete else "broken off"
    lab.record.add(f"answered {request} {status}: {pieces} pieces, {state}")
    if status == 200 and is_complete and pieces < PIECES:
        early.append(request)
    client.close()


def read_answer(client):
    """Return status and body, and whether the answer ended as complete."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            received = client.socket.recv(65536)
            if not received:
                return 0, b"", False
            data += received
        raw, _, rest = data.partition(b"\r\n\r\n")
        head = raw.decode("latin-1")
        status = int(head.split(" ")[1])
        length = lab_module.header(head, "Content-Length")
        while True:
            if length is not None and len(rest) >= int(length):
                return status, rest, True
            if length is None and rest.endswith(b"0\r\n\r\n"):
                return status, rest, True
            received = client.socket.recv(65536)
            if not received:
                return status, rest, False
            rest += received
    except OSError:
        return 0, b"", False


def config(version, timeout_ms):
    """Return a configuration with a stream and an unsafe route."""
    routes = [
        lab_module.route(
            "draft",
            "stream",
            "bench-assistant",
            timeoutMs=timeout_ms,
            itlTargetMs=600,
        ),
        lab_module.route(
            "booking", "unsafe", "front-desk", timeoutMs=timeout_ms
        ),
    ]
    return lab_module.config(version, routes, {"acme": ["k1"]})


def play(lab, has_trouble):
    """Play the case; returns whether the rule held."""
    for _ in range(3):
        lab.add_runner("bench-assistant", answer=answer)
        lab.add_runner("front-desk", answer=answer)
    lab.publish(config(1, LONG_TIMEOUT_MS))
    lab.start_nodes(3)
    time.sleep(1)
    if has_trouble:
        lab.publish(config(4, SHORT_TIMEOUT_MS))
    # Longer than configMs.
    time.sleep(4)
    early = []
    threads = [
        threading.Thread(
            target=ask,
            args=(lab, lab.nodes[number % 3], f"/{name}/{number}", early),
        )
        for name in ("draft", "booking")
        for number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    lab.record.add(f"{len(early)} answers ended early and looked complete")
    return not early


lab_module.main(FOLDER, play)
