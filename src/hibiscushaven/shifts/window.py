"""Minimum of a time series over a sliding window."""

from collections import deque
from math import floor

__all__ = ["WindowMin"]


class WindowMin:
    """Sliding-window minimum in amortized constant time.

    :param buckets: number of buckets that the window is divided into, 0 for exact times.
        Values of one bucket share an entry, which bounds the memory; they then stay in the
        window for up to one bucket longer.

    Examples
    ========

    >>> minimum = WindowMin(10.0)
    >>> [minimum.add(now, value) for now, value in ((0.0, 3), (5.0, 4), (10.0, 5), (11.0, 6))]
    [3, 3, 3, 4]

    """

    __slots__ = ("_bucket_count", "_candidates", "_newest", "window_s")

    def __init__(self, window_s: float, buckets: int = 0) -> None:
        self.window_s = window_s
        self._bucket_count = buckets
        self._candidates: deque[tuple[float, float]] = deque()
        self._newest = 0.0

    def add(self, now: float, value: float) -> float:
        """Add a value and return the minimum of the window, both ends included."""
        candidates = self._candidates
        while candidates and candidates[-1][1] >= value:
            candidates.pop()
        until = self._end_of_bucket(now) if self._bucket_count else now
        if not candidates or candidates[-1][0] < until:
            candidates.append((until, value))
        self._newest = value
        return self.minimum(now)

    def __len__(self) -> int:
        return len(self._candidates)

    def _end_of_bucket(self, now: float) -> float:
        width = self.window_s / self._bucket_count
        return (floor(now / width) + 1) * width

    def minimum(self, now: float) -> float:
        """Return the minimum of the window; the newest value always counts."""
        candidates = self._candidates
        while candidates and candidates[0][0] < now - self.window_s:
            candidates.popleft()
        return candidates[0][1] if candidates else self._newest
