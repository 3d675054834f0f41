"""Steps of restores.feature: the store continues from an older copy."""

import behave

from bilberryturn.platform import exceptions
from bilberryturn.platform import rows
from bilberryturn.platform import store_era
from bilberryturn.platform import tables
from support import store_standin


class _Client(store_standin.DirectClient):
    """Restores the store from a copy after a number of calls."""

    def __init__(self, standin, copy, calls):
        super().__init__(standin)
        self._copy = copy
        self._calls = calls

    def call(self, method, path, body=None):
        result = super().call(method, path, body)
        self._calls -= 1
        if self._calls == 0:
            self._standin.restore(self._copy)
        return result


def _connect(context):
    """Return a client of the store with an era of its own."""
    client = store_standin.DirectClient(context.standin)
    return rows.RowStore(client, era_tracker=store_era.EraTracker())


# Versions


@behave.given(
    "a node that follows a table up to a version that the store then loses"
)
def given_follows(context):
    context.standin = store_standin.MemoryStore()
    context.standin.put("t", "first", 1)
    context.copy = context.standin.copy()
    for number in range(3):
        context.standin.put("t", f"lost{number}", number)
    context.store = _connect(context)
    context.known = context.store.snapshot("t").ok


@behave.when("the store has given the same versions out again")
def when_again(context):
    names = ("a", "b", "c", "d")
    writes = [("t", name, 0) for name in names]
    context.standin.restore(context.copy, writes)


@behave.then("the node learns of all rows")
def then_learns(context):
    store, known = context.store, context.known
    found = store.wait_for_changes("t", known.version, 0.0, known.era)
    assert isinstance(found.error, exceptions.HistoryLostError), found
    keys = [row.key for row in store.snapshot("t").ok.rows]
    assert keys == ["a", "b", "c", "d", "first"], keys


@behave.given("a node that has read a row that is then replaced by another one")
def given_row(context):
    context.standin = store_standin.MemoryStore()
    copy = context.standin.copy()
    context.standin.put("t", "k", "lost")
    context.store = _connect(context)
    context.row = context.store.read("t/k").ok
    context.standin.restore(copy, [("t", "k", "new")])


@behave.when(
    "it writes where it expects the version, {when} it knows of the restore"
)
def when_writes(context, when):
    if when == "after":
        context.store.read("t/other")
    context.result = context.store.transact(
        {"t/k": context.row.version}, {"t/k": "mine"}
    )


@behave.then("it is told that it {told}")
def then_told(context, told):
    if told == "was not performed":
        assert isinstance(context.result.ok, tables.Aborted), context.result
        assert context.standin.value("t", "k") == "new"
        return
    error = context.result.error
    assert isinstance(error, exceptions.StoreRestoredError), context.result


@behave.given(
    "a table of {count:d} rows that the store restores between two pages"
)
def given_pages(context, count):
    context.standin = store_standin.MemoryStore()
    for number in range(count):
        if number == count - 100:
            copy = context.standin.copy()
        context.standin.put("t", f"{number:04d}", number)
    client = _Client(context.standin, copy, 1)
    context.store = rows.RowStore(client, era_tracker=store_era.EraTracker())


@behave.then("a snapshot is refused, and the next one holds {count:d} rows")
def then_pages(context, count):
    error = context.store.snapshot("t").error
    assert isinstance(error, exceptions.StoreRestoredError), error
    found = context.store.snapshot("t").ok
    assert (len(found.rows), found.era) == (count, 1)
