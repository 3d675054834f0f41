"""Scheduling decisions of a broker, free of I/O and clock access.

Callers pass the present time in seconds of any monotonic clock.
"""

from bilberryturn.scheduling import breakers
from bilberryturn.scheduling import fairness
from bilberryturn.scheduling import queue
from bilberryturn.scheduling import retries
from bilberryturn.scheduling import scaling
from bilberryturn.scheduling import servers
from bilberryturn.scheduling import spill
from bilberryturn.scheduling import suspects
from bilberryturn.scheduling import types

CircuitBreaker = breakers.CircuitBreaker
Grant = types.Grant
PoolOptions = types.PoolOptions
PoolQueue = queue.PoolQueue
Preemption = types.Preemption
Refusal = types.Refusal
RetryBudget = retries.RetryBudget
Scaler = scaling.Scaler
ServerSpec = types.ServerSpec
ServerTable = servers.ServerTable
SpillChoice = spill.SpillChoice
SuspectRegistry = suspects.SuspectRegistry
TokenCounters = fairness.TokenCounters
WaitingRequest = types.WaitingRequest
choose_pool = spill.choose_pool

__all__ = [
    "CircuitBreaker",
    "Grant",
    "PoolOptions",
    "PoolQueue",
    "Preemption",
    "Refusal",
    "RetryBudget",
    "Scaler",
    "ServerSpec",
    "ServerTable",
    "SpillChoice",
    "SuspectRegistry",
    "TokenCounters",
    "WaitingRequest",
    "choose_pool",
]
