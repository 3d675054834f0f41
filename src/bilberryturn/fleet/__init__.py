"""Scale the backend servers of a failure domain under a lease."""

from bilberryturn.fleet import controller

Controller = controller.Controller
ControllerOptions = controller.ControllerOptions

__all__ = ["Controller", "ControllerOptions"]
