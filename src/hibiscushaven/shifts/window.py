"""Least value of a series over a sliding window."""

from collections import deque
from math import floor

__all__ = ["WindowMin"]


class WindowMin:
    """Least value since one window ago, in amortized constant time.

    :param buckets: where it is over 0, values within one such part of the window share an
        entry, which bounds the memory. They then count for up to one part longer.

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
        """Add a value; return the least one of the window, both ends included."""
        items = self._candidates
        while items and items[-1][1] >= value:
            items.pop()
        until = self._end_of_bucket(now) if self._bucket_count else now
        if not items or items[-1][0] < until:
            items.append((until, value))
        self._newest = value
        return self.minimum(now)

    def __len__(self) -> int:
        return len(self._candidates)

    def _end_of_bucket(self, now: float) -> float:
        width = self.window_s / self._bucket_count
        return (floor(now / width) + 1) * width

    def minimum(self, now: float) -> float:
        """Return the least value of the window; the newest one always counts."""
        items = self._candidates
        while items and items[0][0] < now - self.window_s:
            items.popleft()
        return items[0][1] if items else self._newest
