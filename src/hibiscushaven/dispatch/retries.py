"""Which failed attempts are followed by another one."""

from .actions import RefusalReason
from .budget import TenantBudgets
from .config import DispatchConfig
from .items import Item

__all__ = ["RetryPolicy"]

_BURST = 20.0
# A tenant with little traffic can retry its first failures.
_INITIAL = 3.0


class RetryPolicy:
    """Retries within a budget per tenant, never of work that may have run twice."""

    def __init__(self, config: DispatchConfig) -> None:
        self._limit = config.attempt_limit
        self._budgets = TenantBudgets(_BURST, _INITIAL)

    def earn(self, tenant: str, share: float) -> None:
        """Count a request of a tenant."""
        self._budgets.of(tenant).earn(share)

    def refusal(self, item: Item) -> RefusalReason | None:
        """Return why an item is not retried, or ``None`` after taking from the budget."""
        if item.maybe_ran and not item.work.is_idempotent:
            return RefusalReason.ATTEMPT_FAILED
        if item.attempts_made >= self._limit:
            return RefusalReason.ATTEMPT_FAILED
        if not self._budgets.of(item.work.tenant).spend():
            return RefusalReason.RETRY_BUDGET
        return None
