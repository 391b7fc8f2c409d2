"""Tokens of one service as one VM holds them: at home, lent, borrowed and in use."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from .borrower import Borrower
from .homes import PLACE_POOL
from .lender import Lender
from .settlement import Key, Settlement

__all__ = ["ServiceSlots", "Source", "Token"]


@dataclass(frozen=True, slots=True)
class Source:
    """Where the token of a pool came from.

    :ivar lender: incarnation of its home, ``None`` for this VM.
    :ivar epoch: the loan's or the VM's epoch; a lapse in between voids the token.
    :ivar is_long: whether it counts as used for long work at the borrower.
    """

    pool: str
    lender: str | None
    epoch: int
    is_long: bool = False


@dataclass(frozen=True, slots=True)
class Token:
    """The right to one request in progress on a backend server.

    :ivar deadline: time by which the request ends.
    """

    number: int
    service: str
    server: str
    deadline: float
    sources: tuple[Source, ...]


class ServiceSlots:
    """State of one service.

    :param own: VM name and incarnation.
    """

    def __init__(self, service: str, own: Key) -> None:
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
        """Bring the tokens at home up to date with the roster and the document."""
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
        """Return how many requests may start now on a pool.

        :param slots: the pool's slots by the document in force.
        """
        own = max(0, self.lender.spare(pool)) if is_own_valid else 0
        return max(0, min(own + self.borrower.holdings(now, pool), slots - self.in_use(pool)))

    def acquire(
        self, now: float, pools: tuple[str, ...], deadline: float, own_epoch: int | None
    ) -> tuple[Source, ...] | None:
        """Use one token of each pool, or none at all.

        :param own_epoch: this VM's epoch, ``None`` while its own tokens are fenced.
        """
        sources: list[Source] = []
        for pool in pools:
            source = self._source(now, pool, deadline, own_epoch)
            if source is None:
                self.release(tuple(sources))
                self._note_missed(now, pools, deadline, own_epoch is not None)
                return None
            sources.append(source)
            self._in_use[pool] = self.in_use(pool) + 1
        return tuple(sources)

    def release(self, sources: tuple[Source, ...]) -> None:
        for source in sources:
            if source.lender is None:
                self.lender.end_use(source.pool)
            else:
                self.borrower.release(source.lender, source.pool, source.is_long)
            left = self._in_use[source.pool] - 1
            if left:
                self._in_use[source.pool] = left
            else:
                del self._in_use[source.pool]

    def expiries(self, token: Token, own_epoch: int, own_until: float) -> Iterator[float]:
        """Return until when each source of a token lasts; in the past for a void source."""
        for source in token.sources:
            if source.lender is None:
                yield own_until if source.epoch == own_epoch else float("-inf")
                continue
            loan = self.borrower.loans[source.lender]
            hold_s = loan.hold_s if source.is_long else loan.short_s
            is_valid = source.epoch == loan.epoch and token.deadline <= loan.expires_at + hold_s
            yield loan.expires_at if is_valid else float("-inf")

    def _source(
        self, now: float, pool: str, deadline: float, own_epoch: int | None
    ) -> Source | None:
        if own_epoch is not None and self.lender.spare(pool) > 0:
            self.lender.use(pool)
            return Source(pool, None, own_epoch)
        borrowed = self.borrower.acquire(now, pool, deadline)
        if borrowed is None:
            return None
        lender, is_long = borrowed
        return Source(pool, lender, self.borrower.loans[lender].epoch, is_long)

    def _note_missed(
        self, now: float, pools: tuple[str, ...], deadline: float, is_own_valid: bool
    ) -> None:
        for pool in pools:
            if not is_own_valid or self.lender.spare(pool) <= 0:
                self.borrower.note_missed(now, pool, deadline)


def pools_for(pool: str) -> tuple[str, ...]:
    """Return the pools of which a request on a backend server needs a token."""
    return (pool, PLACE_POOL)
