"""Tokens borrowed from other homes, for one service."""

from dataclasses import dataclass, field

from .demand import LongDemand
from .lender import LOAN_TERM_S
from .messages import AnswerItem, RenewalItem

__all__ = ["Borrower", "Loan"]

# Renewals whose responses may still count; a response that is later than this is useless.
_SENT_KEPT = 32


@dataclass(slots=True)
class Loan:
    """What one lender lends.

    :ivar limit: tokens that may be in use by pool; only a newer grant raises it.
    :ivar limit_long: how many of them may start long work; likewise raised only by a grant.
    :ivar short_s: longest time after the loan term that a short request may be in progress.
    :ivar emptied: first statement of a row that kept nothing, ``None`` while anything is kept.
    :ivar epoch: number of times that the loan lapsed; a token of an earlier epoch is void.
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
    answered: int = -1
    emptied: int | None = None
    sent: dict[int, float] = field(default_factory=dict)

    def kept(self, pool: str) -> int:
        return max(self.limit.get(pool, 0), self.in_use.get(pool, 0))

    def free(self, pool: str) -> int:
        return max(0, self.limit.get(pool, 0) - self.in_use.get(pool, 0))

    def is_short(self, deadline: float) -> bool:
        """Return whether the lender waits for a request even if it is not granted as long."""
        return deadline <= self.expires_at + self.short_s

    def allows(self, now: float, pool: str, deadline: float) -> bool:
        """Return whether a request that ends by ``deadline`` may start now."""
        if now >= self.expires_at or not self.free(pool):
            return False
        if self.is_short(deadline):
            return True
        is_free = self.long_in_use.get(pool, 0) < self.limit_long.get(pool, 0)
        return is_free and deadline <= self.expires_at + self.hold_s

    def state_long(self, now: float, demand: LongDemand) -> dict[str, int]:
        """Limit long work to what is in use and a headroom; return where the grant differs.

        The limit changes in steps, so that most requests change no statement.
        """
        stated = {}
        for pool in {*self.limit, *self.granted_long, *self.long_in_use}:
            used, limit = self.long_in_use.get(pool, 0), self.limit_long.get(pool, 0)
            room = demand.headroom(now, pool)
            count = min(max(limit, used + (room + 1) // 2), used + 2 * room)
            count = max(used, min(count, self.limit.get(pool, 0)))
            self.limit_long[pool] = min(limit, count)
            if count != self.granted_long.get(pool, 0):
                stated[pool] = count
        return stated

    def note_kept(self, seq: int) -> None:
        if any(map(self.kept, {*self.limit, *self.in_use})):
            self.emptied = None
        elif self.emptied is None:
            self.emptied = seq

    @property
    def exceptions(self) -> dict[str, int]:
        """Tokens kept, where that differs from the grant."""
        pools = {*self.granted, *self.limit, *self.in_use}
        return {
            pool: self.kept(pool) for pool in pools if self.kept(pool) != self.granted.get(pool, 0)
        }

    @property
    def is_over(self) -> bool:
        """Whether nothing is kept and the lender has answered a statement of that."""
        if self.granted or self.in_use or self.emptied is None:
            return False
        return self.answered >= self.emptied


class Borrower:
    """Loans by the lender's incarnation."""

    def __init__(self) -> None:
        self._loans: dict[str, Loan] = {}
        self._demand = LongDemand()

    @property
    def loans(self) -> dict[str, Loan]:
        return self._loans

    @property
    def is_idle(self) -> bool:
        return all(loan.is_over for loan in self._loans.values())

    def statement(
        self, now: float, lender: str, seq: int, service: str, is_wanted: bool
    ) -> RenewalItem:
        """Return what to send to a lender; the loan term counts from now."""
        loan = self._loans.setdefault(lender, Loan())
        if not is_wanted:
            loan.limit = {}
        long = loan.state_long(now, self._demand)
        loan.sent[seq] = now
        loan.note_kept(seq)
        while len(loan.sent) > _SENT_KEPT:
            del loan.sent[next(iter(loan.sent))]
        return RenewalItem(service, loan.version, is_wanted, loan.exceptions, long)

    def on_answer(self, lender: str, seq: int, item: AnswerItem) -> bool:
        """Take a grant; return whether it has to be acknowledged."""
        loan = self._loans.get(lender)
        if loan is None or seq <= loan.answered or item.version < loan.version:
            return False
        sent_at = loan.sent.get(seq)
        if sent_at is None:
            return False
        loan.answered = seq
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

    def give_back(self) -> None:
        """Keep only what is in use; it is given back as it falls free."""
        for loan in self._loans.values():
            loan.limit = {}

    def holdings(self, now: float, pool: str) -> int:
        """Return how many borrowed tokens of a pool are free for use."""
        return sum(loan.free(pool) for loan in self._loans.values() if now < loan.expires_at)

    def in_use(self, pool: str) -> int:
        return sum(loan.in_use.get(pool, 0) for loan in self._loans.values())

    def acquire(self, now: float, pool: str, deadline: float) -> tuple[str, bool] | None:
        """Use a token of the loan that lasts longest, for short work if that will do.

        :return: its lender and whether it counts as used for long work.
        """
        usable = [
            (loan.is_short(deadline), loan.expires_at, lender)
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
            self._demand.note(now, pool)
        return lender, not is_short

    def note_missed(self, now: float, pool: str, deadline: float) -> None:
        """Note a request that started nowhere; ask for more if only long tokens are missing."""
        if self.holdings(now, pool) and not any(
            loan.allows(now, pool, deadline) for loan in self._loans.values()
        ):
            self._demand.note(now, pool, is_missed=True)

    def release(self, lender: str, pool: str, is_long: bool = False) -> None:
        loan = self._loans[lender]
        for uses in (loan.in_use, loan.long_in_use) if is_long else (loan.in_use,):
            uses[pool] -= 1
            if not uses[pool]:
                del uses[pool]

    def forget(self, now: float, kept: frozenset[str]) -> None:
        """Drop lapsed loans of lenders that are not kept and from which nothing is in use."""
        for lender, loan in list(self._loans.items()):
            if lender not in kept and not loan.in_use and now >= loan.expires_at:
                del self._loans[lender]
