"""Tokens borrowed from other VMs, for one service."""

from dataclasses import dataclass, field

from .demand import LongWorkDemand
from .lender import LOAN_TERM_S
from .messages import AnswerItem, RenewalItem

__all__ = ["Borrower", "Loan"]

# Renewals to each lender whose responses are still accepted; responses to older ones are too late
# to be of use.
_MAX_TRACKED_RENEWALS = 32


@dataclass(slots=True)
class Loan:
    """Tokens that one lender lends.

    :ivar limit: tokens that may be in use by pool; only a newer grant raises it.
    :ivar limit_long: tokens that may be in use for long work by pool; only a newer grant raises
        it.
    :ivar hold_s: longest time after the loan term that a long request may be in progress.
    :ivar short_s: longest time after the loan term that a short request may be in progress.
    :ivar epoch: number of times that the loan lapsed; a token of an earlier epoch is void.
    :ivar empty_since_seq: ``seq`` of the first of the latest renewals that retained no tokens,
        ``None`` while any are retained.
    :ivar sent: times at which the latest renewals were sent, by ``seq``.
    """

    version: int = 0
    granted: dict[str, int] = field(default_factory=dict)
    limit: dict[str, int] = field(default_factory=dict)
    in_use: dict[str, int] = field(default_factory=dict)
    granted_long: dict[str, int] = field(default_factory=dict)
    limit_long: dict[str, int] = field(default_factory=dict)
    long_in_use: dict[str, int] = field(default_factory=dict)
    expires_at: float = float("-inf")
    hold_s: float = 0.0
    short_s: float = 0.0
    epoch: int = 0
    last_answered_seq: int = -1
    empty_since_seq: int | None = None
    sent: dict[int, float] = field(default_factory=dict)

    def retained(self, pool: str) -> int:
        """Return how many tokens of a pool are not returned to the lender."""
        return max(self.limit.get(pool, 0), self.in_use.get(pool, 0))

    def free(self, pool: str) -> int:
        return max(0, self.limit.get(pool, 0) - self.in_use.get(pool, 0))

    def is_short_work(self, deadline: float) -> bool:
        """Return whether a request that ends by ``deadline`` needs no token for long work."""
        return deadline <= self.expires_at + self.short_s

    def allows(self, now: float, pool: str, deadline: float) -> bool:
        """Return whether a request that ends by ``deadline`` may start now."""
        if now >= self.expires_at or not self.free(pool):
            return False
        if self.is_short_work(deadline):
            return True
        is_free = self.long_in_use.get(pool, 0) < self.limit_long.get(pool, 0)
        return is_free and deadline <= self.expires_at + self.hold_s

    def update_long_limits(self, now: float, demand: LongWorkDemand) -> dict[str, int]:
        """Limit long work to the tokens in use and a headroom; return limits not as granted.

        The limit changes in steps, so that most requests do not change the renewals.
        """
        changed = {}
        for pool in {*self.limit, *self.granted_long, *self.long_in_use}:
            used, limit = self.long_in_use.get(pool, 0), self.limit_long.get(pool, 0)
            headroom = demand.headroom(now, pool)
            count = min(max(limit, used + (headroom + 1) // 2), used + 2 * headroom)
            count = max(used, min(count, self.limit.get(pool, 0)))
            self.limit_long[pool] = min(limit, count)
            if count != self.granted_long.get(pool, 0):
                changed[pool] = count
        return changed

    def record_retained(self, seq: int) -> None:
        """Record whether the renewal ``seq`` retains any tokens."""
        if any(map(self.retained, {*self.limit, *self.in_use})):
            self.empty_since_seq = None
        elif self.empty_since_seq is None:
            self.empty_since_seq = seq

    @property
    def retained_exceptions(self) -> dict[str, int]:
        """Retained tokens by pool; contains only pools where this differs from the grant."""
        pools = {*self.granted, *self.limit, *self.in_use}
        return {
            pool: self.retained(pool)
            for pool in pools
            if self.retained(pool) != self.granted.get(pool, 0)
        }

    @property
    def is_closed(self) -> bool:
        """Whether no tokens are retained and the lender has answered a renewal that said so."""
        if self.granted or self.in_use or self.empty_since_seq is None:
            return False
        return self.last_answered_seq >= self.empty_since_seq


class Borrower:
    """Loans to this VM, by the lender's incarnation."""

    def __init__(self) -> None:
        self._loans: dict[str, Loan] = {}
        self._demand = LongWorkDemand()

    @property
    def loans(self) -> dict[str, Loan]:
        return self._loans

    @property
    def is_idle(self) -> bool:
        return all(loan.is_closed for loan in self._loans.values())

    def renewal_item(
        self, now: float, lender: str, seq: int, service: str, is_needed: bool
    ) -> RenewalItem:
        """Return the item of a renewal for a lender; the loan term counts from now."""
        loan = self._loans.setdefault(lender, Loan())
        if not is_needed:
            loan.limit = {}
        long = loan.update_long_limits(now, self._demand)
        loan.sent[seq] = now
        loan.record_retained(seq)
        while len(loan.sent) > _MAX_TRACKED_RENEWALS:
            del loan.sent[next(iter(loan.sent))]
        return RenewalItem(service, loan.version, is_needed, loan.retained_exceptions, long)

    def on_answer(self, lender: str, seq: int, item: AnswerItem) -> bool:
        """Apply a grant; return whether it has to be acknowledged."""
        loan = self._loans.get(lender)
        if loan is None or seq <= loan.last_answered_seq or item.version < loan.version:
            return False
        sent_at = loan.sent.get(seq)
        if sent_at is None:
            return False
        loan.last_answered_seq = seq
        is_changed = item.version > loan.version
        if is_changed:
            if item.granted is None:
                return False
            loan.version = item.version
            loan.granted = dict(item.granted)
            loan.limit = dict(item.granted)
            loan.granted_long = dict(item.long)
            loan.limit_long = dict(item.long)
        if item.is_renewed:
            if sent_at >= loan.expires_at:
                loan.epoch += 1
            loan.expires_at = max(loan.expires_at, sent_at + LOAN_TERM_S)
            loan.hold_s = item.hold_ms / 1000
            loan.short_s = (item.hold_ms if item.short_ms is None else item.short_ms) / 1000
        return is_changed

    def return_unused(self) -> None:
        """Return all tokens that are not in use; the others are returned when they are released."""
        for loan in self._loans.values():
            loan.limit = {}

    def free_count(self, now: float, pool: str) -> int:
        """Return how many borrowed tokens of a pool are free for use."""
        return sum(loan.free(pool) for loan in self._loans.values() if now < loan.expires_at)

    def in_use(self, pool: str) -> int:
        return sum(loan.in_use.get(pool, 0) for loan in self._loans.values())

    def acquire(self, now: float, pool: str, deadline: float) -> tuple[str, bool] | None:
        """Acquire a token of the loan that expires last, preferably without a token for long work.

        :return: the lender and whether the token counts as used for long work.
        """
        usable = [
            (loan.is_short_work(deadline), loan.expires_at, lender)
            for lender, loan in self._loans.items()
            if loan.allows(now, pool, deadline)
        ]
        if not usable:
            return None
        is_short, _, lender = max(usable)
        loan = self._loans[lender]
        loan.in_use[pool] = loan.in_use.get(pool, 0) + 1
        if not is_short:
            loan.long_in_use[pool] = loan.long_in_use.get(pool, 0) + 1
            self._demand.record(now, pool)
        return lender, not is_short

    def record_shortage(self, now: float, pool: str, deadline: float) -> None:
        """Record demand for long work if tokens are free but none for a request's deadline."""
        if self.free_count(now, pool) and not any(
            loan.allows(now, pool, deadline) for loan in self._loans.values()
        ):
            self._demand.record(now, pool, is_shortage=True)

    def release(self, lender: str, pool: str, is_long: bool = False) -> None:
        loan = self._loans[lender]
        for uses in (loan.in_use, loan.long_in_use) if is_long else (loan.in_use,):
            uses[pool] -= 1
            if not uses[pool]:
                del uses[pool]

    def drop_lapsed(self, now: float, live_lenders: frozenset[str]) -> None:
        """Remove expired loans without tokens in use, except those of ``live_lenders``."""
        for lender, loan in list(self._loans.items()):
            if lender not in live_lenders and not loan.in_use and now >= loan.expires_at:
                del self._loans[lender]
