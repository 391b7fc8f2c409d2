"""Lending of the tokens of which this VM is home, for one service."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .messages import AnswerItem, RenewalItem

__all__ = ["LOAN_TERM_S", "MARGIN_S", "Lender"]

LOAN_TERM_S = 2.0

# Added to waits for the longest deadline: a request is still on its way to the backend server
# after the time left has been stated, and clocks drift.
MARGIN_S = 0.5


@dataclass(slots=True)
class _Account:
    """What one borrower may hold.

    :ivar granted: tokens granted by pool at ``version``.
    :ivar bound: most tokens that the borrower may hold by pool, whatever was lost on the way.
    :ivar granted_long: how many of the granted tokens may start long work.
    :ivar bound_long: most tokens by pool that may be in use for long work.
    :ivar hold_s: longest time after the loan term that a borrowed token may be in use.
    :ivar short_s: the same for tokens that are not used for long work.
    """

    version: int
    expires_at: float
    seq: int = -1
    granted: dict[str, int] = field(default_factory=dict)
    bound: dict[str, int] = field(default_factory=dict)
    granted_long: dict[str, int] = field(default_factory=dict)
    bound_long: dict[str, int] = field(default_factory=dict)
    hold_s: float = 0.0
    short_s: float = 0.0

    @property
    def short_free_at(self) -> float:
        return self.expires_at + self.short_s + MARGIN_S

    @property
    def free_at(self) -> float:
        return self.expires_at + self.hold_s + MARGIN_S


class Lender:
    """Lends tokens by count.

    Explanation
    ===========

    The sum of own use and of what borrowers may hold never rises beyond the tokens at home.
    When these become fewer, tokens are asked back and nothing more is lent until they
    are. A borrower's silence frees its tokens only after the loan term and the longest
    deadline of the work that they may be used for: short work, except for as many tokens
    as were granted for long work.
    """

    def __init__(self) -> None:
        self._owned: dict[str, int] = {}
        self._own_use: dict[str, int] = {}
        self._accounts: dict[str, _Account] = {}
        self._version = 0

    @property
    def owned(self) -> dict[str, int]:
        """Settled tokens at home by pool."""
        return self._owned

    def set_owned(self, owned: dict[str, int]) -> None:
        self._owned = owned

    def lent(self, pool: str) -> int:
        """Return how many tokens borrowers may hold."""
        return sum(account.bound.get(pool, 0) for account in self._accounts.values())

    def spare(self, pool: str) -> int:
        """Return how many tokens are neither lent nor used here; negative while too many are."""
        return self._owned.get(pool, 0) - self._own_use.get(pool, 0) - self.lent(pool)

    def use(self, pool: str) -> None:
        """Use a token at home here."""
        self._own_use[pool] = self._own_use.get(pool, 0) + 1

    def end_use(self, pool: str) -> None:
        left = self._own_use[pool] - 1
        if left:
            self._own_use[pool] = left
        else:
            del self._own_use[pool]

    @property
    def is_idle(self) -> bool:
        """Whether no token is lent or used here."""
        return not self._own_use and not any(
            any(account.bound.values()) for account in self._accounts.values()
        )

    @property
    def is_within(self) -> bool:
        """Whether no pool has more tokens lent and used than are at home."""
        pools = {*self._own_use, *self._lent_pools()}
        return all(self.spare(pool) >= 0 for pool in pools)

    def expire(self, now: float) -> None:
        """Free the tokens of borrowers that were silent for the term and the deadline."""
        for borrower, account in list(self._accounts.items()):
            if now >= account.free_at:
                del self._accounts[borrower]
            elif now >= account.short_free_at and account.bound != account.bound_long:
                # A new version, because the borrower may not have the old grant any more.
                account.version = self._next_version()
                account.bound = dict(account.bound_long)
                account.granted = _within(account.granted, account.bound)
                account.granted_long = _within(account.granted_long, account.bound)

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
        """Take a borrower's statement; return the grant, ``None`` for a late statement.

        :param borrower: incarnation of the borrower.
        :param hold_s: longest deadline of the service.
        :param short_s: longest deadline of short work, by default that of all work.
        :param quota: most tokens of a pool for this borrower, 0 for pools that are not for it.
        """
        self.expire(now)
        short_s = hold_s if short_s is None else min(short_s, hold_s)
        allowed = quota if item.is_wanted else _no_quota
        account = self._accounts.get(borrower)
        is_new = account is None
        if is_new:
            account = self._accounts[borrower] = _Account(self._next_version(), now)
        if seq <= account.seq:
            return None
        account.seq = seq
        if is_new or item.ack == account.version:
            if not is_new:
                self._take_back(account, item)
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
        return (pool for account in self._accounts.values() for pool in account.bound)

    @staticmethod
    def _take_back(account: _Account, item: RenewalItem) -> None:
        """Lower the bounds: the borrower knows the grant, so it holds no more than it says."""
        account.bound = _within(account.bound, {**account.granted, **item.kept})
        kept_long = _within(account.bound_long, {**account.granted_long, **item.long})
        account.bound_long = _within(kept_long, account.bound)

    def _grant(self, account: _Account, quota: Callable[[str], int], long: dict[str, int]) -> None:
        granted = {}
        for pool in {*self._owned, *account.bound}:
            held, spare, limit = account.bound.get(pool, 0), self.spare(pool), quota(pool)
            count = min(held + spare, limit)
            if count > 0:
                granted[pool] = count
        granted_long = _within(granted, {**account.granted_long, **long})
        pairs = ((granted, account.bound), (granted_long, account.bound_long))
        has_more = any(
            count > bound.get(pool, 0) for counts, bound in pairs for pool, count in counts.items()
        )
        is_same = (granted, granted_long) == (account.granted, account.granted_long)
        if is_same and not has_more:
            return
        account.version = self._next_version()
        account.granted, account.granted_long = granted, granted_long
        for counts, bound in pairs:
            for pool, count in counts.items():
                bound[pool] = max(bound.get(pool, 0), count)


def _within(counts: dict[str, int], limits: dict[str, int]) -> dict[str, int]:
    """Return the counts by pool, none above its limit, without zeros."""
    lower = ((pool, min(count, limits.get(pool, 0))) for pool, count in counts.items())
    return {pool: count for pool, count in lower if count > 0}


def _no_quota(pool: str) -> int:
    return 0
