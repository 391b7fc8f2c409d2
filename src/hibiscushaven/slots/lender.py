"""Lending of the tokens whose home is this VM, for one service."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .messages import AnswerItem, RenewalItem

__all__ = ["LOAN_TERM_S", "MARGIN_S", "Lender"]

LOAN_TERM_S = 2.0

# Added to waits for the longest deadline: the remaining time in a request is stated before the
# request reaches the backend server, and clocks drift.
MARGIN_S = 0.5


@dataclass(slots=True)
class _BorrowerAccount:
    """Tokens that one borrower may hold.

    :ivar version: version of the grant.
    :ivar seq: ``seq`` of the last renewal.
    :ivar granted: tokens granted by pool at ``version``.
    :ivar max_held: upper bound of the tokens that the borrower holds by pool, whichever messages
        were lost.
    :ivar granted_long: how many of the granted tokens may start long work, by pool.
    :ivar max_held_long: upper bound of the tokens in use for long work by pool.
    :ivar hold_s: longest time after the loan term that a borrowed token may be in use.
    :ivar short_s: longest time after the loan term that a token may be in use for short work.
    """

    version: int
    expires_at: float
    seq: int = -1
    granted: dict[str, int] = field(default_factory=dict)
    max_held: dict[str, int] = field(default_factory=dict)
    granted_long: dict[str, int] = field(default_factory=dict)
    max_held_long: dict[str, int] = field(default_factory=dict)
    hold_s: float = 0.0
    short_s: float = 0.0

    @property
    def short_free_at(self) -> float:
        return self.expires_at + self.short_s + MARGIN_S

    @property
    def all_free_at(self) -> float:
        return self.expires_at + self.hold_s + MARGIN_S


class Lender:
    """Lends tokens by count.

    Explanation
    ===========

    The sum of the tokens used here and of those that borrowers may hold never rises above the
    number of home tokens. When that number falls, grants are reduced, and nothing more is lent
    until the sum is within it. Tokens of a silent borrower are free again only after the loan
    term and the longest deadline of the work that they may be used for: long work for as many
    tokens as were granted for it, short work for the others.
    """

    def __init__(self) -> None:
        self._owned: dict[str, int] = {}
        self._own_use: dict[str, int] = {}
        self._accounts: dict[str, _BorrowerAccount] = {}
        self._version = 0

    @property
    def owned(self) -> dict[str, int]:
        """Settled home tokens by pool."""
        return self._owned

    def set_owned(self, owned: dict[str, int]) -> None:
        self._owned = owned

    def lent(self, pool: str) -> int:
        """Return the upper bound of the tokens of a pool that borrowers hold."""
        return sum(account.max_held.get(pool, 0) for account in self._accounts.values())

    def unallocated(self, pool: str) -> int:
        """Return how many home tokens are neither lent nor used here; negative if overcommitted."""
        return self._owned.get(pool, 0) - self._own_use.get(pool, 0) - self.lent(pool)

    def start_own_use(self, pool: str) -> None:
        """Count a home token as used by this VM."""
        self._own_use[pool] = self._own_use.get(pool, 0) + 1

    def end_own_use(self, pool: str) -> None:
        left = self._own_use[pool] - 1
        if left:
            self._own_use[pool] = left
        else:
            del self._own_use[pool]

    @property
    def is_idle(self) -> bool:
        """Whether no token is lent or used here."""
        return not self._own_use and not any(
            any(account.max_held.values()) for account in self._accounts.values()
        )

    @property
    def is_within_owned(self) -> bool:
        """Whether no pool has more tokens lent and used here than home tokens."""
        pools = {*self._own_use, *self._lent_pools()}
        return all(self.unallocated(pool) >= 0 for pool in pools)

    def expire(self, now: float) -> None:
        """Free the tokens of borrowers that sent no renewal for the loan term and the deadline."""
        for borrower, account in list(self._accounts.items()):
            if now >= account.all_free_at:
                del self._accounts[borrower]
            elif now >= account.short_free_at and account.max_held != account.max_held_long:
                # A new version, so that a later renewal cannot acknowledge the old, larger grant.
                account.version = self._next_version()
                account.max_held = dict(account.max_held_long)
                account.granted = _clamp(account.granted, account.max_held)
                account.granted_long = _clamp(account.granted_long, account.max_held)

    def renew(
        self,
        now: float,
        borrower: str,
        seq: int,
        item: RenewalItem,
        hold_s: float,
        quota: Callable[[str], int],
        short_s: float | None = None,
    ) -> AnswerItem | None:
        """Process a borrower's renewal; return the grant, ``None`` for an outdated renewal.

        :param borrower: incarnation of the borrower.
        :param hold_s: longest deadline of the service.
        :param short_s: longest deadline of short work, by default that of all work.
        :param quota: returns the maximum number of tokens of a pool for this borrower, 0 for pools
            that it does not need.
        """
        self.expire(now)
        short_s = hold_s if short_s is None else min(short_s, hold_s)
        allowed = quota if item.is_needed else _no_quota
        account = self._accounts.get(borrower)
        is_new = account is None
        if is_new:
            account = self._accounts[borrower] = _BorrowerAccount(self._next_version(), now)
        if seq <= account.seq:
            return None
        account.seq = seq
        if is_new or item.ack == account.version:
            if not is_new:
                self._lower_max_held(account, item)
            self._grant(account, allowed, item.long)
        is_renewed = any(allowed(pool) for pool in self._owned)
        if is_renewed:
            account.expires_at = now + LOAN_TERM_S
            account.hold_s = max(account.hold_s, hold_s)
            account.short_s = max(account.short_s, short_s)
        granted, long = account.granted, account.granted_long
        if item.ack == account.version:
            granted, long = None, {}
        times = int(hold_s * 1000), int(short_s * 1000)
        return AnswerItem(
            item.service, account.version, is_renewed, times[0], granted, long, times[1]
        )

    def _next_version(self) -> int:
        self._version += 1
        return self._version

    def _lent_pools(self) -> Iterator[str]:
        return (pool for account in self._accounts.values() for pool in account.max_held)

    @staticmethod
    def _lower_max_held(account: _BorrowerAccount, item: RenewalItem) -> None:
        """Lower the upper bounds to what a borrower that knows the current grant reports."""
        account.max_held = _clamp(account.max_held, {**account.granted, **item.retained})
        retained_long = _clamp(account.max_held_long, {**account.granted_long, **item.long})
        account.max_held_long = _clamp(retained_long, account.max_held)

    def _grant(
        self, account: _BorrowerAccount, quota: Callable[[str], int], long: dict[str, int]
    ) -> None:
        granted = {}
        for pool in {*self._owned, *account.max_held}:
            lent, unallocated, limit = (
                account.max_held.get(pool, 0),
                self.unallocated(pool),
                quota(pool),
            )
            count = min(lent + unallocated, limit)
            if count > 0:
                granted[pool] = count
        granted_long = _clamp(granted, {**account.granted_long, **long})
        pairs = ((granted, account.max_held), (granted_long, account.max_held_long))
        has_more = any(
            count > max_held.get(pool, 0)
            for counts, max_held in pairs
            for pool, count in counts.items()
        )
        is_same = (granted, granted_long) == (account.granted, account.granted_long)
        if is_same and not has_more:
            return
        account.version = self._next_version()
        account.granted, account.granted_long = granted, granted_long
        for counts, max_held in pairs:
            for pool, count in counts.items():
                max_held[pool] = max(max_held.get(pool, 0), count)


def _clamp(counts: dict[str, int], limits: dict[str, int]) -> dict[str, int]:
    """Return the counts by pool, limited to the limits by pool and without zeros."""
    lower = ((pool, min(count, limits.get(pool, 0))) for pool, count in counts.items())
    return {pool: count for pool, count in lower if count > 0}


def _no_quota(pool: str) -> int:
    return 0
