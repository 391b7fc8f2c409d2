"""Callers that come back after a refusal."""

__all__ = ["ReturnDetector"]

# A caller that waited has less time left than those that come first, by more than a first
# request loses on its way.
FIRST_TIME_PART = 0.97


class ReturnDetector:
    """Tells returning callers by the time that they have left.

    Explanation
    ===========

    Requests of a route begin with the same time limit, and a caller that was refused counts
    down from it. Callers that choose their own limits are only taken for returning if theirs
    is shorter than the longest seen, which lets them wait a little longer than others.

    Examples
    ========

    >>> detector = ReturnDetector()
    >>> [detector.is_return("r", left_s) for left_s in (2.0, 1.99, 1.4, None)]
    [False, False, True, False]

    """

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def is_return(self, route: str, time_left_s: float | None) -> bool:
        """Return whether a request is probably not its caller's first."""
        if time_left_s is None:
            return False
        longest_s = self._longest_s.get(route, 0.0)
        if time_left_s >= longest_s:
            self._longest_s[route] = time_left_s
        return time_left_s < FIRST_TIME_PART * longest_s

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget routes that are not named."""
        for name in [name for name in self._longest_s if name not in routes]:
            del self._longest_s[name]
