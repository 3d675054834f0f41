"""Commit operators' changes and wait until they are in force."""

import time
from typing import Any

from bilberryturn import declarations
from bilberryturn import events
from bilberryturn.declarations import exceptions

InvalidDeclarationsError = exceptions.InvalidDeclarationsError

ABSOLUTE_ATTEMPTS = 8
POLL_STEP_S = 0.05
READ_TIMEOUT_S = 2.0


class Committer:
    """Commits changes on behalf of operators."""

    def __init__(self, node):
        self._node = node

    def commit_expected(
        self,
        author: str,
        changed: dict[str, dict[str, str]],
        removed: tuple[str, ...],
        expected_version: int,
    ) -> declarations.Change:
        """Commit a change that is based on one version.

        Raises:
            ConfigConflictError: Another version is in force by now.
            InvalidDeclarationsError: The result would hold faults.
            PlatformError: The table service gives no answer.
        """
        self._node.configuration.poll()
        current = self._node.configuration.current
        if current.version != expected_version:
            raise self._conflict(expected_version)
        self._check(current, changed, removed)
        return self._commit(current, author, changed, removed)

    def _conflict(self, expected_version: int) -> declarations.Conflict:
        result = self._node.declaration_store.head()
        if result.is_error():
            raise result.error
        head = result.ok
        return declarations.Conflict(
            head.version, head.author, expected_version
        )

    def commit_absolute(
        self,
        author: str,
        changed: dict[str, dict[str, str]],
        removed: tuple[str, ...],
    ) -> declarations.Change:
        """Commit a change that is right on top of any version.

        Raises:
            ConfigConflictError: Too many other changes came first.
            InvalidDeclarationsError: The result would hold faults.
            PlatformError: The table service gives no answer.
        """
        for attempt in range(ABSOLUTE_ATTEMPTS):
            current = self._node.configuration.current
            self._check(current, changed, removed)
            try:
                return self._commit(current, author, changed, removed)
            except declarations.Conflict:
                if attempt == ABSOLUTE_ATTEMPTS - 1:
                    raise
                self._node.configuration.poll()
        raise AssertionError("unreachable")

    def _check(self, current, changed, removed) -> None:
        """Refuse a change whose result would hold faults."""
        sections = {
            name: options
            for name, options in current.sections.items()
            if name not in removed
        }
        sections.update(changed)
        faults = declarations.check_sections(sections)
        if faults:
            raise InvalidDeclarationsError(faults)

    def _commit(self, current, author, changed, removed):
        result = self._node.declaration_store.commit(
            current, author, changed, tuple(removed)
        )
        if result.is_error():
            raise result.error
        change = result.ok
        events.log(
            events.CONFIG_COMMITTED, version=change.version, author=author
        )
        self._node.configuration.committed(change)
        return change

    def wait_in_force(self, version: int, wait_s: float) -> dict[str, Any]:
        """Wait until every reachable node has a version in force.

        Returns:
            Counts of nodes, and the failure domains that have not confirmed.
        """
        until_s = time.monotonic() + wait_s
        while True:
            state = self._node.control.submit_with_result(
                self._in_force, version
            ).result(READ_TIMEOUT_S)
            if not state["pending_domains"] or time.monotonic() >= until_s:
                return state
            time.sleep(POLL_STEP_S)

    def _in_force(self, version: int) -> dict[str, Any]:
        """Count the nodes that have a version; control thread only."""
        directory = self._node.directory
        members = list(directory.members.values())
        ready = sum(1 for m in members if m.config_version >= version)
        total = len(members)
        pending = []
        if ready < total:
            pending.append(directory.failure_domain)
        heard = {d.name: d for d in directory.live_domains(time.monotonic())}
        declared = self._node.configuration.current.failure_domains
        for name in sorted({*heard, *declared} - {directory.failure_domain}):
            domain = heard.get(name)
            total += len(domain.members) if domain else 0
            if domain is not None and domain.lowest_version >= version:
                ready += len(domain.members)
            else:
                pending.append(name)
        return {
            "nodes_ready": ready,
            "nodes_total": total,
            "pending_domains": pending,
        }
