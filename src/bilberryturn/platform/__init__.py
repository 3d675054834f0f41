"""Clients of the platform's interfaces, one module for each interface."""

from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import objects
from bilberryturn.platform import ordering
from bilberryturn.platform import reporting
from bilberryturn.platform import tables
from bilberryturn.platform import vms

HttpClient = http.HttpClient
ObjectStore = objects.ObjectStore
Ordering = ordering.Ordering
PlatformError = exceptions.PlatformError
Reporting = reporting.Reporting
TableService = tables.TableService
Vm = vms.Vm
VmList = vms.VmList

__all__ = [
    "HttpClient",
    "ObjectStore",
    "Ordering",
    "PlatformError",
    "Reporting",
    "TableService",
    "Vm",
    "VmList",
]
