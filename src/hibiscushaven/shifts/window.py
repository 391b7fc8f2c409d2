"""Least value of a series over a sliding window."""

from collections import deque
from math import floor

__all__ = ["WindowMin"]


class WindowMin:
    """Least value since one window ago, in amortized constant time.

    :param parts: where it is over 0, values within one such part of the window share an
        entry, which bounds the memory. They then count for up to one part longer.

    Examples
    ========

    >>> least = WindowMin(10.0)
    >>> [least.add(now, value) for now, value in ((0.0, 3), (5.0, 4), (10.0, 5), (11.0, 6))]
    [3, 3, 3, 4]

    """

    __slots__ = ("_items", "_newest", "_parts", "window_s")

    def __init__(self, window_s: float, parts: int = 0) -> None:
        self.window_s = window_s
        self._parts = parts
        self._items: deque[tuple[float, float]] = deque()
        self._newest = 0.0

    def add(self, now: float, value: float) -> float:
        """Add a value; return the least one of the window, both ends included."""
        items = self._items
        while items and items[-1][1] >= value:
            items.pop()
        until = self._end_of_part(now) if self._parts else now
        if not items or items[-1][0] < until:
            items.append((until, value))
        self._newest = value
        return self.least(now)

    def __len__(self) -> int:
        return len(self._items)

    def _end_of_part(self, now: float) -> float:
        width = self.window_s / self._parts
        return (floor(now / width) + 1) * width

    def least(self, now: float) -> float:
        """Return the least value of the window; the newest one always counts."""
        items = self._items
        while items and items[0][0] < now - self.window_s:
            items.popleft()
        return items[0][1] if items else self._newest
