"""Exchange typed messages between nodes over authenticated zmq sockets."""

from bilberryturn.messages import kinds
from bilberryturn.messages import link

ControlLoop = link.ControlLoop
LinkOptions = link.LinkOptions

__all__ = ["ControlLoop", "LinkOptions", "kinds"]
