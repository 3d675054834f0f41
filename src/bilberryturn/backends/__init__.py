"""HTTP client for backend servers that runs on one event loop."""

from bilberryturn.backends import calls
from bilberryturn.backends import stream_loop

Call = calls.Call
CallEnd = calls.CallEnd
CallHead = calls.CallHead
CallData = calls.CallData
CallOptions = calls.CallOptions
StreamLoop = stream_loop.StreamLoop

__all__ = [
    "Call",
    "CallData",
    "CallEnd",
    "CallHead",
    "CallOptions",
    "StreamLoop",
]
