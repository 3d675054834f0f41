"""Commit operators' changes and wait until all nodes have applied them."""

import time
from typing import Any

from bilberryturn import declarations
from bilberryturn import events
from bilberryturn.declarations import exceptions

InvalidDeclarationsError = exceptions.InvalidDeclarationsError

MAX_COMMIT_ATTEMPTS = 8
POLL_INTERVAL_S = 0.05
READ_TIMEOUT_S = 2.0


class Committer:
    """Commits changes on behalf of operators."""

    def __init__(self, node):
        self._node = node

    def commit_at_version(
        self,
        author: str,
        changed: dict[str, dict[str, str]],
        removed: tuple[str, ...],
        expected_version: int,
    ) -> declarations.Change:
        """Commit a change that is valid only on top of one version.

        Raises:
            ConfigConflictError: The current version is another one.
            InvalidDeclarationsError: The resulting declarations are invalid.
            PlatformError: The table service does not answer.
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

    def commit_with_retry(
        self,
        author: str,
        changed: dict[str, dict[str, str]],
        removed: tuple[str, ...],
    ) -> declarations.Change:
        """Commit a change that is valid on top of any version.

        Raises:
            ConfigConflictError: Other changes were committed first in each of
                MAX_COMMIT_ATTEMPTS attempts.
            InvalidDeclarationsError: The resulting declarations are invalid.
            PlatformError: The table service does not answer.
        """
        for attempt in range(MAX_COMMIT_ATTEMPTS):
            current = self._node.configuration.current
            self._check(current, changed, removed)
            try:
                return self._commit(current, author, changed, removed)
            except declarations.Conflict:
                if attempt == MAX_COMMIT_ATTEMPTS - 1:
                    raise
                self._node.configuration.poll()
        raise AssertionError("unreachable")

    def _check(self, current, changed, removed) -> None:
        """Reject a change whose resulting declarations are invalid."""
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
        self._node.configuration.apply_committed(change)
        return change

    def wait_for_rollout(self, version: int, wait_s: float) -> dict[str, Any]:
        """Wait until every reachable node has applied a version.

        Returns:
            Counts of nodes, and the failure domains that have not confirmed
            the version before wait_s was over.
        """
        deadline_s = time.monotonic() + wait_s
        while True:
            state = self._node.control.submit_with_result(
                self._rollout_state, version
            ).result(READ_TIMEOUT_S)
            if not state["pending_domains"] or time.monotonic() >= deadline_s:
                return state
            time.sleep(POLL_INTERVAL_S)

    def _rollout_state(self, version: int) -> dict[str, Any]:
        """Count the nodes that have applied a version; control thread only."""
        directory = self._node.directory
        members = list(directory.members.values())
        ready = sum(1 for m in members if m.config_version >= version)
        total = len(members)
        pending_domains = []
        if ready < total:
            pending_domains.append(directory.failure_domain)
        reachable_domains = {
            d.name: d for d in directory.live_domains(time.monotonic())
        }
        declared = self._node.configuration.current.failure_domains
        for name in sorted(
            {*reachable_domains, *declared} - {directory.failure_domain}
        ):
            domain = reachable_domains.get(name)
            total += len(domain.members) if domain else 0
            if domain is not None and domain.lowest_version >= version:
                ready += len(domain.members)
            else:
                pending_domains.append(name)
        return {
            "nodes_ready": ready,
            "nodes_total": total,
            "pending_domains": pending_domains,
        }
