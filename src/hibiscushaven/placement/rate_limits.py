"""Rate limits that backend servers announce, as known to one VM."""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["RateLimit", "RateLimitTable"]


# Relative difference between two limits up to which they count as one.
LIMIT_RESOLUTION = 0.01

# Repetitions of a limit that are newer by less are ignored: other VMs send times as ages, so that
# each transfer adds the delay of the network.
TIME_RESOLUTION_S = 0.25


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


def _differ(first: float | None, second: float | None) -> bool:
    if first is None or second is None:
        return first is not second
    return abs(first - second) > LIMIT_RESOLUTION * max(first, second)
