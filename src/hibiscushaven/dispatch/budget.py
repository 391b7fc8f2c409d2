"""Budgets for retries, hedges and probes: a fixed share of the request rate."""

from collections import OrderedDict

__all__ = ["ShareBudget", "TenantBudgets"]

# More tenants than a deployment has; bounds the memory used for unknown tenant names.
_MAX_TENANTS = 1024


class ShareBudget:
    """A token bucket that is refilled by a fraction of a token per request.

    Examples
    ========

    >>> budget = ShareBudget(burst=2)
    >>> budget.deposit(0.5), budget.try_withdraw(), budget.deposit(0.5), budget.try_withdraw()
    (None, False, None, True)

    """

    def __init__(self, burst: float, initial: float = 0.0) -> None:
        self._burst = burst
        self._level = initial

    @property
    def level(self) -> float:
        return self._level

    @property
    def is_empty(self) -> bool:
        # Rounding leaves sums of shares such as 0.05 slightly below a whole token.
        return self._level < 1 - 1e-9

    def deposit(self, share: float) -> None:
        self._level = min(self._burst, self._level + share)

    def try_withdraw(self) -> bool:
        """Withdraw one token; return ``False`` if there is none."""
        if self.is_empty:
            return False
        self._level -= 1
        return True


class TenantBudgets:
    """One budget per tenant; the least recently used is evicted beyond a limit.

    :param initial: initial tokens of a new tenant, so that its first failures can be retried.
    """

    def __init__(self, burst: float, initial: float) -> None:
        self._burst = burst
        self._initial = initial
        self._budgets: OrderedDict[str, ShareBudget] = OrderedDict()

    def for_tenant(self, tenant: str) -> ShareBudget:
        budget = self._budgets.get(tenant)
        if budget is None:
            budget = self._budgets[tenant] = ShareBudget(self._burst, self._initial)
            if len(self._budgets) > _MAX_TENANTS:
                self._budgets.popitem(last=False)
        self._budgets.move_to_end(tenant)
        return budget
