"""Share servers fairly between client accounts by counting served tokens.

The counter of an account grows with the tokens that it was served, divided by
its weight; the waiting account with the lowest counter is served first. Output
tokens are charged as they are generated because their number cannot be
predicted.
"""

OUTPUT_TOKEN_COST = 4.0
MAX_IDLE_ACCOUNTS = 4000


class TokenCounters:
    """Token counters of client accounts, shared by the pools of a node."""

    def __init__(self):
        self._values: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._new_costs: dict[str, float] = {}

    def value(self, client_account: str) -> float:
        """Return the counter of an account."""
        return self._values.get(client_account, 0.0)

    def activate(self, client_account: str) -> None:
        """Record one more waiting request of an account.

        The counter of an account that was idle is raised to the lowest counter
        of the waiting accounts, so that idle time earns no credit.
        """
        if client_account not in self._waiting:
            floor = self._floor()
            if floor is not None and floor > self.value(client_account):
                self._values[client_account] = floor
        self._waiting[client_account] = self._waiting.get(client_account, 0) + 1
        self._evict_idle()

    def deactivate(self, client_account: str) -> None:
        """Record one waiting request less."""
        count = self._waiting.get(client_account, 0) - 1
        if count > 0:
            self._waiting[client_account] = count
            return
        self._waiting.pop(client_account, None)

    def charge(
        self,
        client_account: str,
        weight: float,
        input_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        """Add served tokens, divided by the weight, to an account."""
        cost = (input_tokens + OUTPUT_TOKEN_COST * output_tokens) / weight
        if cost <= 0:
            return
        self._values[client_account] = self.value(client_account) + cost
        self._new_costs[client_account] = (
            self._new_costs.get(client_account, 0.0) + cost
        )

    def take_new_costs(self) -> dict[str, float]:
        """Return the costs that this node charged since the last call."""
        costs, self._new_costs = self._new_costs, {}
        return costs

    def merge(self, costs: dict[str, float]) -> None:
        """Add costs that other nodes charged."""
        for client_account, cost in costs.items():
            if cost == cost and 0 < cost < 1e12:
                self._values[client_account] = self.value(client_account) + cost
        self._evict_idle()

    def _floor(self) -> float | None:
        if not self._waiting:
            return None
        return min(self.value(account) for account in self._waiting)

    def _evict_idle(self) -> None:
        """Evict the idle accounts with the lowest counters over the limit."""
        if len(self._values) <= MAX_IDLE_ACCOUNTS:
            return
        idle = [a for a in self._values if a not in self._waiting]
        idle.sort(key=self.value)
        for account in idle[: len(self._values) - MAX_IDLE_ACCOUNTS]:
            del self._values[account]
