"""Count usage, replicate it until stored and report it exactly once."""

from bilberryturn.usage import ledger
from bilberryturn.usage import reporter
from bilberryturn.usage import store

Batch = ledger.Batch
Ledger = ledger.Ledger
Reporter = reporter.Reporter
UsageStore = store.UsageStore

__all__ = ["Batch", "Ledger", "Reporter", "UsageStore"]
