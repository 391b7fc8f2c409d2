"""Least value of a series over a sliding window."""

from collections import deque

__all__ = ["WindowMin"]


class WindowMin:
    """Least value since one window ago, in amortized constant time.

    Examples
    ========

    >>> least = WindowMin(10.0)
    >>> [least.add(now, value) for now, value in ((0.0, 3), (5.0, 4), (10.0, 5), (11.0, 6))]
    [3, 3, 3, 4]

    """

    __slots__ = ("_items", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._items: deque[tuple[float, float]] = deque()

    def add(self, now: float, value: float) -> float:
        """Add a value; return the least one of the window, both ends included."""
        items = self._items
        while items and items[-1][1] >= value:
            items.pop()
        items.append((now, value))
        return self.least(now)

    def least(self, now: float) -> float:
        """Return the least value of the window; the newest one always counts."""
        items = self._items
        while len(items) > 1 and items[0][0] < now - self.window_s:
            items.popleft()
        return items[0][1]
