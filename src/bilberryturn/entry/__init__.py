"""Serve callers: authenticate, obtain grants, stream responses."""

from bilberryturn.entry import application
from bilberryturn.entry import context
from bilberryturn.entry import server

Application = application.Application
CallerServer = server.CallerServer
EntryContext = context.EntryContext
RunningRequests = context.RunningRequests

__all__ = ["Application", "CallerServer", "EntryContext", "RunningRequests"]
