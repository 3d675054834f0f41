"""Dispatch each kind of message to the component that handles it."""

import functools
import time

import msgspec

from bilberryturn import events
from bilberryturn import messages
from bilberryturn import platform

kinds = messages.kinds


@functools.singledispatch
def handle(message: kinds.Message, plane) -> None:
    """Dispatch a message to a component of the control plane."""
    raise TypeError(f"no handler for {type(message).__name__}")


@handle.register
def _(message: kinds.Heartbeat, plane) -> None:
    plane.receive_heartbeat(message)


@handle.register
def _(message: kinds.DomainSummary, plane) -> None:
    plane.receive_summary(message)


@handle.register
def _(message: kinds.GrantRequest, plane) -> None:
    plane.broker.request(message)


@handle.register
def _(message: kinds.Release, plane) -> None:
    plane.broker.release(message)


@handle.register
def _(message: kinds.ProbationPassed, plane) -> None:
    plane.broker.end_probation(message)


@handle.register
def _(message: kinds.EntrySync, plane) -> None:
    plane.broker.sync(message)


@handle.register
def _(message: kinds.HoldQuery, plane) -> None:
    plane.grants.answer_query(message)


@handle.register
def _(message: kinds.Granted, plane) -> None:
    plane.grants.granted(message)


@handle.register
def _(message: kinds.Queued, plane) -> None:
    plane.grants.queued(message)


@handle.register
def _(message: kinds.Refused, plane) -> None:
    plane.grants.refused(message)


@handle.register
def _(message: kinds.Preempted, plane) -> None:
    plane.grants.revoked(message)


@handle.register
def _(message: kinds.Moved, plane) -> None:
    plane.grants.revoked(message)


@handle.register
def _(message: kinds.SyncUnknown, plane) -> None:
    plane.grants.sync_unknown(message)


@handle.register
def _(message: kinds.SuspectMark, plane) -> None:
    plane.suspects.merge(message)


@handle.register
def _(message: kinds.ConfigPush, plane) -> None:
    plane.configuration.receive_push(message)


@handle.register
def _(message: kinds.ConfigRequest, plane) -> None:
    plane.configuration.answer_request(message)


@handle.register
def _(message: kinds.ConfigState, plane) -> None:
    plane.configuration.receive_state(message)


@handle.register
def _(message: kinds.VmListPush, plane) -> None:
    try:
        vms = msgspec.convert(message.vms, tuple[platform.Vm, ...])
    except msgspec.ValidationError as error:
        events.log(events.FRAME_REFUSED, problem=str(error))
        return
    if vms:
        plane.update_vms(vms, time.monotonic() - message.age_s)


@handle.register
def _(message: kinds.UsageHold, plane) -> None:
    plane.usage.receive_hold(message)


@handle.register
def _(message: kinds.UsageHeld, plane) -> None:
    plane.usage.receive_held(message)


@handle.register
def _(message: kinds.UsageFlushed, plane) -> None:
    plane.usage.receive_flushed(message)
