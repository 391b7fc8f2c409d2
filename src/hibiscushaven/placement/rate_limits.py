"""Rate limits that backend servers announce, and one VM's shares of them."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import ceil

from .token_bucket import TokenBucket

__all__ = ["RateLimit", "RateLimitTable", "SharedRateLimiter"]


# Relative difference between two limits up to which they count as one.
LIMIT_RESOLUTION = 0.01

# Repetitions of a limit that are newer by less are ignored: other VMs send times as ages, so that
# each transfer adds the delay of the network.
TIME_RESOLUTION_S = 0.25


# Number of VMs that may send to a limited server, at least and for each request per second that
# it takes. With more of them, the tokens that they save exceed what a server can tolerate at once.
MIN_SENDERS = 1
SENDERS_PER_RATE = 1.5

# Rate at which a server is still asked that takes no requests, so that the end of its limit is
# noticed.
MIN_RATE_PER_S = 0.2

# Time for which a VM's share of a limit is cached, since it is needed for each request.
SHARE_CACHE_S = 0.2


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What a backend server said last about its rate.

    :ivar per_s: requests per second that it takes from all VMs together; ``None`` for any number.
    :ivar announced_at: time of the response that said so.
    """

    per_s: float | None
    announced_at: float


class RateLimitTable:
    """Latest announcement of each backend server that has limited its rate.

    Servers are named by their process ids, since a server that starts again has no limit.

    Examples
    ========

    >>> table = RateLimitTable()
    >>> table.update("s1", RateLimit(7.5, announced_at=1.0)), table.limit_of("s1")
    (True, 7.5)
    >>> table.update("s1", RateLimit(None, announced_at=0.5)), table.limit_of("s1")
    (False, 7.5)
    >>> table.update("s1", RateLimit(None, announced_at=2.0)), table.limit_of("s1")
    (True, None)

    """

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}

    def update(self, process_id: str, limit: RateLimit) -> bool:
        """Record an announcement; return whether it is newer and changes the limit."""
        known = self._limits.get(process_id)
        if known is None:
            if limit.per_s is not None:
                self._limits[process_id] = limit
            return limit.per_s is not None
        is_changed = _differ(known.per_s, limit.per_s)
        resolution_s = 0.0 if is_changed else TIME_RESOLUTION_S
        if limit.announced_at <= known.announced_at + resolution_s:
            return False
        self._limits[process_id] = limit
        return is_changed

    def limit_of(self, process_id: str) -> float | None:
        """Return the requests per second that a server takes, ``None`` without a limit."""
        limit = self._limits.get(process_id)
        return limit.per_s if limit is not None else None

    def latest(self, count: int) -> Mapping[str, RateLimit]:
        """Return the latest announcements, including ends of limits, by process id."""
        items = sorted(self._limits.items(), key=lambda item: -item[1].announced_at)
        return dict(items[:count])

    def retain_only(self, process_ids: frozenset[str]) -> None:
        """Discard the limits of all servers that are not in the set."""
        for name in [name for name in self._limits if name not in process_ids]:
            del self._limits[name]


@dataclass(slots=True)
class _Share:
    """This VM's part of a server's rate.

    :ivar computed_at: time at which ``per_s`` was computed.
    :ivar limit_per_s: limit of the server at that time.
    """

    bucket: TokenBucket
    per_s: float = 0.0
    computed_at: float = float("-inf")
    limit_per_s: float = -1.0


class SharedRateLimiter:
    """This VM's shares of the rates that limited servers take from all VMs together.

    Explanation
    ===========

    Some VMs of a server's region, chosen by hash, may send to it, each at an equal share of its
    rate. Their number grows with the rate, so that the shares are large enough to be used by VMs
    with few callers, and the tokens that the senders save remain a part of the rate. A share
    below one request per second adds up over several seconds.

    :param table: limits of the servers.
    :param senders_of: returns the VMs that may send to a server, given its id and their number.

    Examples
    ========

    >>> table = RateLimitTable()
    >>> table.update("s1/7", RateLimit(2.0, announced_at=0.0))
    True
    >>> limiter = SharedRateLimiter("vm-1", table, lambda now, key, count: ["vm-1", "vm-2"])
    >>> [limiter.try_acquire(now, "s1/7") for now in (0.0, 0.5, 1.0, 1.5, 2.0)]
    [False, False, True, False, True]
    >>> limiter.try_acquire(0.0, "s2/3")
    True

    """

    def __init__(
        self,
        name: str,
        table: RateLimitTable,
        senders_of: Callable[[float, str, int], list[str]],
    ) -> None:
        self._name = name
        self._table = table
        self._senders_of = senders_of
        self._shares: dict[str, _Share] = {}

    def wait_s(self, now: float, process_id: str) -> float:
        """Return the time until this VM may send to a server, in seconds; 0 without a limit.

        If others send to it, that is the mean time until it takes another request from them.
        """
        limit_per_s = self._limit_of(process_id)
        if limit_per_s is None:
            return 0.0
        share = self._share(now, process_id, limit_per_s)
        if share.per_s <= 0:
            return 1.0 / limit_per_s
        return share.bucket.wait_s(now, share.per_s)

    def try_acquire(self, now: float, process_id: str) -> bool:
        """Count a request to a server, and return whether this VM may send it."""
        limit_per_s = self._limit_of(process_id)
        if limit_per_s is None:
            return True
        share = self._share(now, process_id, limit_per_s)
        return share.per_s > 0 and share.bucket.try_acquire(now, share.per_s)

    def retain_only(self, process_ids: frozenset[str]) -> None:
        """Discard the limits and shares of all servers that are not in the set."""
        self._table.retain_only(process_ids)
        for name in [name for name in self._shares if name not in process_ids]:
            del self._shares[name]

    def _limit_of(self, process_id: str) -> float | None:
        limit_per_s = self._table.limit_of(process_id)
        if limit_per_s is None:
            self._shares.pop(process_id, None)
            return None
        return max(limit_per_s, MIN_RATE_PER_S)

    def _share(self, now: float, process_id: str, limit_per_s: float) -> _Share:
        share = self._shares.get(process_id)
        if share is None:
            # Requests before the announcement have used up what could have been saved.
            share = self._shares[process_id] = _Share(TokenBucket(0.0, now))
        is_current = share.limit_per_s == limit_per_s and now - share.computed_at < SHARE_CACHE_S
        if not is_current:
            count = MIN_SENDERS + ceil(SENDERS_PER_RATE * limit_per_s)
            senders = self._senders_of(now, process_id, count)
            share.per_s = limit_per_s / len(senders) if self._name in senders else 0.0
            share.computed_at, share.limit_per_s = now, limit_per_s
        return share


def _differ(first: float | None, second: float | None) -> bool:
    if first is None or second is None:
        return first is not second
    return abs(first - second) > LIMIT_RESOLUTION * max(first, second)
