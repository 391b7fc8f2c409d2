"""Budget of requests that are sent to a second backend server."""

from collections import deque

__all__ = ["RetryBudget"]

_BUCKET_S = 0.5

# Part of the allowed repeats that the VMs use; the rest covers VMs whose callers move to
# others, and windows that begin between two buckets.
USED_PART = 0.8


class RetryBudget:
    """This VM's part of a service's budget over a sliding window.

    Explanation
    ===========

    All VMs together may repeat a ratio of their requests and a fixed number besides. Each
    repeats the ratio of its own requests and its part of the fixed number, so that the sum
    holds whatever the VMs know of each other.

    Examples
    ========

    >>> budget = RetryBudget(window_s=10.0, ratio=0.2, fixed=10.0)
    >>> [budget.try_spend(0.0, vms=4) for _ in range(3)]
    [True, True, False]

    """

    def __init__(self, window_s: float, ratio: float, fixed: float) -> None:
        self._window_s = window_s
        self._ratio = ratio
        self._fixed = fixed
        # Start of the bucket, requests, repeats.
        self._buckets: deque[list[float]] = deque()

    def set_bounds(self, window_s: float, ratio: float, fixed: float) -> None:
        """Use other bounds; what was counted so far still counts."""
        self._window_s = window_s
        self._ratio = ratio
        self._fixed = fixed

    def count_request(self, now: float) -> None:
        """Note a request of a caller."""
        self._bucket(now)[1] += 1

    def try_spend(self, now: float, vms: int) -> bool:
        """Return whether one repeat fits, and count it.

        :param vms: number of VMs that share the fixed part.
        """
        bucket = self._bucket(now)
        requests = sum(item[1] for item in self._buckets)
        repeats = sum(item[2] for item in self._buckets)
        allowed = USED_PART * (self._ratio * requests + self._fixed / max(1, vms))
        if repeats + 1 > allowed:
            return False
        bucket[2] += 1
        return True

    def _bucket(self, now: float) -> list[float]:
        start = now - now % _BUCKET_S
        while self._buckets and self._buckets[0][0] <= now - self._window_s:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] != start:
            self._buckets.append([start, 0.0, 0.0])
        return self._buckets[-1]
