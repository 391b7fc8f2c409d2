"""Rate limits that backend servers announce, as known to one VM."""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["RateLimit", "RateLimitTable"]


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
        if known is None and limit.per_s is None:
            return False
        if known is not None and limit.announced_at <= known.announced_at:
            return False
        self._limits[process_id] = limit
        return known is None or known.per_s != limit.per_s

    def limit_of(self, process_id: str) -> float | None:
        """Return the requests per second that a server takes, ``None`` without a limit."""
        limit = self._limits.get(process_id)
        return limit.per_s if limit is not None else None

    def announcements(self) -> Mapping[str, RateLimit]:
        """Return the latest announcements, including ends of limits, by process id."""
        return self._limits

    def retain_only(self, process_ids: frozenset[str]) -> None:
        """Discard the limits of all servers that are not in the set."""
        for name in [name for name in self._limits if name not in process_ids]:
            del self._limits[name]
