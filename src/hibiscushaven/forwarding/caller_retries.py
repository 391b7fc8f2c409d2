"""Detection of callers that retry after a refusal."""

__all__ = ["CallerRetryDetector"]

# A request counts as a retry if its time left is below this fraction of the longest one seen on
# its route. The margin exceeds the time that a first request spends in transit.
FIRST_ATTEMPT_FRACTION = 0.97


class CallerRetryDetector:
    """Detects retries of callers by the time left until their deadlines.

    Explanation
    ===========

    All requests of a route start with the same time limit, and the deadline of a caller that was
    refused remains the same when it retries. Callers that choose their own limits are mistaken for
    retrying if theirs is shorter than the longest seen; the only effect is that their requests may
    wait a little longer than others.

    Examples
    ========

    >>> detector = CallerRetryDetector()
    >>> [detector.is_caller_retry("r", left_s) for left_s in (2.0, 1.99, 1.4, None)]
    [False, False, True, False]

    """

    def __init__(self) -> None:
        self._max_time_left_s: dict[str, float] = {}

    def is_caller_retry(self, route: str, time_left_s: float | None) -> bool:
        """Return whether a request is probably a retry of its caller."""
        if time_left_s is None:
            return False
        max_time_left_s = self._max_time_left_s.get(route, 0.0)
        if time_left_s >= max_time_left_s:
            self._max_time_left_s[route] = time_left_s
        return time_left_s < FIRST_ATTEMPT_FRACTION * max_time_left_s

    def retain_only(self, routes: frozenset[str]) -> None:
        """Discard the state of all routes that are not in the set."""
        for name in [name for name in self._max_time_left_s if name not in routes]:
            del self._max_time_left_s[name]
