"""Tokens of one service on one VM: home tokens, lent, borrowed and in use."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from .borrower import Borrower
from .homes import PLACE_POOL
from .lender import Lender
from .settlement import MemberKey, Settlement

__all__ = ["ServiceSlots", "Token", "TokenSource"]


@dataclass(frozen=True, slots=True)
class TokenSource:
    """Origin of a token of one pool.

    :ivar lender: incarnation of the token's home, ``None`` for this VM.
    :ivar epoch: epoch of the loan or of this VM's fence; a later lapse makes the token void.
    :ivar is_long: whether the borrower counts the token as used for long work.
    """

    pool: str
    lender: str | None
    epoch: int
    is_long: bool = False


@dataclass(frozen=True, slots=True)
class Token:
    """The right to have one request in progress on a backend server.

    :ivar deadline: time by which the request ends.
    """

    number: int
    service: str
    server: str
    deadline: float
    sources: tuple[TokenSource, ...]


class ServiceSlots:
    """Lender, borrower and settlement of one service.

    :param own: VM name and incarnation.
    """

    def __init__(self, service: str, own: MemberKey) -> None:
        self.service = service
        self.settlement = Settlement(service, own)
        self.lender = Lender()
        self.borrower = Borrower()
        self._in_use: dict[str, int] = {}
        self._slots: Mapping[str, int] | None = None
        self._version: int | None = None

    @property
    def is_idle(self) -> bool:
        return self.lender.is_idle and self.borrower.is_idle and not self._in_use

    def in_use(self, pool: str) -> int:
        return self._in_use.get(pool, 0)

    def refresh(self, now: float, wait_s: float, slots: Mapping[str, int]) -> None:
        """Update the settled home tokens from the roster and the document.

        :param wait_s: see :func:`settle_wait_s`.
        :param slots: tokens by pool by the document in force.
        """
        self.lender.expire(now)
        self.settlement.advance(now, wait_s)
        version = self.settlement.version if self.settlement.is_complete else None
        if version is not None and (version, slots) == (self._version, self._slots):
            return
        self._version, self._slots = version, slots
        owned = {
            pool: self.settlement.settled_count(now, wait_s, pool, count)
            for pool, count in slots.items()
        }
        self.lender.set_owned({pool: count for pool, count in owned.items() if count})

    def available(self, now: float, pool: str, slots: int, is_own_valid: bool) -> int:
        """Return how many tokens of a pool are available now.

        :param slots: the pool's slots by the document in force.
        :param is_own_valid: whether home tokens may be used, see :class:`Fence`.
        """
        own = max(0, self.lender.unallocated(pool)) if is_own_valid else 0
        return max(0, min(own + self.borrower.free_count(now, pool), slots - self.in_use(pool)))

    def acquire(
        self, now: float, pools: tuple[str, ...], deadline: float, own_epoch: int | None
    ) -> tuple[TokenSource, ...] | None:
        """Acquire one token of each pool, or none at all.

        :param own_epoch: epoch of this VM's fence, ``None`` while the fence is raised.
        """
        sources: list[TokenSource] = []
        for pool in pools:
            source = self._acquire_source(now, pool, deadline, own_epoch)
            if source is None:
                self.release(tuple(sources))
                self._record_shortage(now, pools, deadline, own_epoch is not None)
                return None
            sources.append(source)
            self._in_use[pool] = self.in_use(pool) + 1
        return tuple(sources)

    def release(self, sources: tuple[TokenSource, ...]) -> None:
        for source in sources:
            if source.lender is None:
                self.lender.end_own_use(source.pool)
            else:
                self.borrower.release(source.lender, source.pool, source.is_long)
            left = self._in_use[source.pool] - 1
            if left:
                self._in_use[source.pool] = left
            else:
                del self._in_use[source.pool]

    def expiries(self, token: Token, own_epoch: int, own_valid_until: float) -> Iterator[float]:
        """Return the time at which each source of a token expires; ``-inf`` for a void source."""
        for source in token.sources:
            if source.lender is None:
                yield own_valid_until if source.epoch == own_epoch else float("-inf")
                continue
            loan = self.borrower.loans[source.lender]
            hold_s = loan.hold_s if source.is_long else loan.short_s
            is_valid = source.epoch == loan.epoch and token.deadline <= loan.expires_at + hold_s
            yield loan.expires_at if is_valid else float("-inf")

    def _acquire_source(
        self, now: float, pool: str, deadline: float, own_epoch: int | None
    ) -> TokenSource | None:
        if own_epoch is not None and self.lender.unallocated(pool) > 0:
            self.lender.start_own_use(pool)
            return TokenSource(pool, None, own_epoch)
        borrowed = self.borrower.acquire(now, pool, deadline)
        if borrowed is None:
            return None
        lender, is_long = borrowed
        return TokenSource(pool, lender, self.borrower.loans[lender].epoch, is_long)

    def _record_shortage(
        self, now: float, pools: tuple[str, ...], deadline: float, is_own_valid: bool
    ) -> None:
        for pool in pools:
            if not is_own_valid or self.lender.unallocated(pool) <= 0:
                self.borrower.record_shortage(now, pool, deadline)


def pools_for(pool: str) -> tuple[str, ...]:
    """Return the pools from which a request on a backend server needs a token each."""
    return (pool, PLACE_POOL)
