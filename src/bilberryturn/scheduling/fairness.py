"""Count service by client account so that each gets its fair share.

The counter of an account grows with the tokens that it was served, divided by
its weight; the waiting account with the lowest counter goes first. Output
counts as it is generated because its length cannot be predicted.
"""

OUTPUT_TOKEN_COST = 4.0
MAX_IDLE_ACCOUNTS = 4000


class TokenCounters:
    """Holds the counters that the pools of a node share."""

    def __init__(self):
        self._values: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._growth: dict[str, float] = {}

    def value(self, client_account: str) -> float:
        """Return the counter of an account."""
        return self._values.get(client_account, 0.0)

    def activate(self, client_account: str) -> None:
        """Note one more waiting request of an account.

        An account that returns from idleness is lifted to the lowest counter
        of the active accounts, so that it banks no credit.
        """
        if client_account not in self._waiting:
            floor = self._floor()
            if floor is not None and floor > self.value(client_account):
                self._values[client_account] = floor
        self._waiting[client_account] = self._waiting.get(client_account, 0) + 1
        self._evict_idle()

    def deactivate(self, client_account: str) -> None:
        """Note one waiting request less."""
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
        """Add served tokens to an account."""
        cost = (input_tokens + OUTPUT_TOKEN_COST * output_tokens) / weight
        if cost <= 0:
            return
        self._values[client_account] = self.value(client_account) + cost
        self._growth[client_account] = (
            self._growth.get(client_account, 0.0) + cost
        )

    def take_growth(self) -> dict[str, float]:
        """Return and reset the growth caused by this node."""
        growth, self._growth = self._growth, {}
        return growth

    def merge(self, growth: dict[str, float]) -> None:
        """Add growth caused by other nodes."""
        for client_account, cost in growth.items():
            if cost == cost and 0 < cost < 1e12:
                self._values[client_account] = self.value(client_account) + cost
        self._evict_idle()

    def _floor(self) -> float | None:
        if not self._waiting:
            return None
        return min(self.value(account) for account in self._waiting)

    def _evict_idle(self) -> None:
        """Forget the lowest idle accounts beyond the bound."""
        if len(self._values) <= MAX_IDLE_ACCOUNTS:
            return
        idle = [a for a in self._values if a not in self._waiting]
        idle.sort(key=self.value)
        for account in idle[: len(self._values) - MAX_IDLE_ACCOUNTS]:
            del self._values[account]
