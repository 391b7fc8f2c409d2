"""Budget of retries on another backend server."""

from collections import deque

__all__ = ["RetryBudget"]

_BUCKET_S = 0.5

# Fraction of the allowed retries that the VMs use. The rest is a margin for callers that move
# from one VM to another, and for windows that do not start at the boundary of a bucket.
USABLE_FRACTION = 0.8

# Time after its start in which a VM may not know the others, and so would take a share that is
# too large.
DISCOVERY_S = 2.0

# Fraction of a VM's retries that may follow from attempts which it expects to fail. The rest is for
# failures that it cannot foresee.
FORESEEN_FRACTION = 0.5


class RetryBudget:
    """This VM's share of a service's retry budget over a sliding window.

    Explanation
    ===========

    All VMs together may retry a fraction of their requests plus a fixed number. Each VM retries
    that fraction of its own requests plus its share of the fixed number, so that the total is
    within the budget although the VMs do not share their counts.

    A VM that starts does not know what it retried before, nor at first the other VMs, so that its
    share is zero at first and then grows over one window.

    :param ratio: allowed retries per request.
    :param fixed_retries: number of retries that all VMs together may add in a window.
    :param started_at: time at which this VM began to count.

    Examples
    ========

    >>> budget = RetryBudget(window_s=10.0, ratio=0.2, fixed_retries=10.0)
    >>> [budget.try_spend(0.0, vms=4) for _ in range(3)]
    [True, True, False]

    """

    def __init__(
        self,
        window_s: float,
        ratio: float,
        fixed_retries: float,
        started_at: float = float("-inf"),
    ) -> None:
        self._window_s = window_s
        self._ratio = ratio
        self._fixed_retries = fixed_retries
        self._started_at = started_at
        # Each bucket: start time, number of requests, number of retries.
        self._buckets: deque[list[float]] = deque()

    def set_limits(self, window_s: float, ratio: float, fixed_retries: float) -> None:
        """Use other limits; the counts of the current window are kept."""
        self._window_s = window_s
        self._ratio = ratio
        self._fixed_retries = fixed_retries

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._bucket(now)[1] += 1

    def try_spend(self, now: float, vms: float) -> bool:
        """Count one retry if the budget allows it, and return whether it does.

        :param vms: number of VMs that share ``fixed_retries``; infinite while it is unknown.
        """
        if not self._has_room(now, vms, 1.0):
            return False
        self._bucket(now)[2] += 1
        return True

    def has_spare(self, now: float, vms: float) -> bool:
        """Return whether a request may try a server that will probably reject it.

        :param vms: as for ``try_spend``.
        """
        return self._has_room(now, vms, FORESEEN_FRACTION)

    def _has_room(self, now: float, vms: float, fraction: float) -> bool:
        """Return whether one more retry stays within a fraction of the budget."""
        self._bucket(now)
        requests = sum(item[1] for item in self._buckets)
        retries = sum(item[2] for item in self._buckets)
        known_s = now - self._started_at - DISCOVERY_S
        known_fraction = min(1.0, max(0.0, known_s / self._window_s))
        allowed = self._ratio * requests + self._fixed_retries / max(1, vms)
        return retries + 1 <= allowed * USABLE_FRACTION * known_fraction * fraction

    def _bucket(self, now: float) -> list[float]:
        start = now - now % _BUCKET_S
        while self._buckets and self._buckets[0][0] <= now - self._window_s:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] != start:
            self._buckets.append([start, 0.0, 0.0])
        return self._buckets[-1]
