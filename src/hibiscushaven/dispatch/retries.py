"""Retry policy: which failed attempts are retried."""

from .actions import RefusalReason
from .budget import TenantBudgets
from .config import DispatchConfig
from .items import ItemState

__all__ = ["RetryPolicy"]

_BUDGET_BURST = 20.0
# Lets a tenant with little traffic retry its first failures.
_INITIAL_TOKENS = 3.0


class RetryPolicy:
    """Limits retries to a budget per tenant, and never retries work that must not run twice."""

    def __init__(self, config: DispatchConfig) -> None:
        self._attempt_limit = config.attempt_limit
        self._budgets = TenantBudgets(_BUDGET_BURST, _INITIAL_TOKENS)

    def deposit(self, tenant: str, share: float) -> None:
        """Add the share of one request to the budget of its tenant."""
        self._budgets.for_tenant(tenant).deposit(share)

    def refusal(self, item: ItemState) -> RefusalReason | None:
        """Return why an item is not retried.

        If it is retried, withdraw from the budget and return ``None``.
        """
        if item.may_have_run and not item.work.is_idempotent:
            return RefusalReason.ATTEMPT_FAILED
        if item.attempts_made >= self._attempt_limit:
            return RefusalReason.ATTEMPT_FAILED
        if not self._budgets.for_tenant(item.work.tenant).try_withdraw():
            return RefusalReason.RETRY_BUDGET
        return None
