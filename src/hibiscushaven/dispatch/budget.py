"""Budgets that grow with the requests they are a share of."""

from collections import OrderedDict

__all__ = ["ShareBudget", "TenantBudgets"]

# More tenants than a deployment has; bounds the memory if names are made up.
_TENANT_LIMIT = 1024


class ShareBudget:
    """A token bucket that each request fills by a share of one token.

    Examples
    ========

    >>> budget = ShareBudget(burst=2)
    >>> budget.earn(0.5), budget.spend(), budget.earn(0.5), budget.spend()
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
        # Sums of shares such as 0.05 fall short of a whole token by rounding.
        return self._level < 1 - 1e-9

    def earn(self, share: float) -> None:
        self._level = min(self._burst, self._level + share)

    def spend(self) -> bool:
        """Take one token; return whether there was one."""
        if self.is_empty:
            return False
        self._level -= 1
        return True


class TenantBudgets:
    """One budget per tenant, bounded in number.

    :param initial: tokens of a new tenant, so that the first failures can be retried.
    """

    def __init__(self, burst: float, initial: float) -> None:
        self._burst = burst
        self._initial = initial
        self._budgets: OrderedDict[str, ShareBudget] = OrderedDict()

    def of(self, tenant: str) -> ShareBudget:
        budget = self._budgets.get(tenant)
        if budget is None:
            budget = self._budgets[tenant] = ShareBudget(self._burst, self._initial)
            if len(self._budgets) > _TENANT_LIMIT:
                self._budgets.popitem(last=False)
        self._budgets.move_to_end(tenant)
        return budget
