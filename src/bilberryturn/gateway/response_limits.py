"""Bounds on what a backend server may send in response to one request.

Those on what all requests hold together are in `memory` and `loop_time`.

A faulty server may send bytes without end. At each bound the connection is
closed and the attempt counts as a failure of the server.
"""

# Status line and headers, and likewise each chunk header and the trailers.
MAX_HEAD_BYTES = 64 * 1024
# Higher ones name no kind of response (RFC 9110, section 15).
MAX_STATUS = 599
# Informational responses (1xx) before the final one.
MAX_INFORMATIONAL_RESPONSES = 8
# Answers to earlier requests before the one to the request that was sent.
MAX_LATE_COPIES = 16
# One event of a stream.
MAX_EVENT_BYTES = 1024 * 1024
# Lines of one event, and comments and blank lines in a row, that a server in
# order doesn't reach. Each takes as long as a line of an answer.
MAX_EVENT_LINES = 10_000
MAX_EMPTY_EVENTS = 1000
# Body of a response that is buffered until it is complete. That of all
# responses together is bounded by the account of memory of the node.
MAX_BUFFERED_BODY_BYTES = 4 * 1024 * 1024
