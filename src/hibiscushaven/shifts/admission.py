"""Admission control at a place's owner for requests from other failure domains."""

__all__ = ["ForeignAdmission"]

# Tolerance above the place's share, as a fraction of it. Senders plan with rates that are some
# seconds old, so their flows slightly exceed the plan.
SLACK_FRACTION = 0.1

# Size of the token bucket, in seconds of the admitted rate.
BURST_S = 0.5


class ForeignAdmission:
    """Token bucket for foreign requests: those that other failure domains send to this place.

    Explanation
    ===========

    Foreign requests may use the place's share of the whole service's arrivals, less the
    arrivals of its own failure domain. Requests of the own failure domain are neither counted
    nor refused here. No foreign request is admitted before the first ``set_limit``.
    """

    def __init__(self, slack_fraction: float = SLACK_FRACTION, burst_s: float = BURST_S) -> None:
        self._slack_fraction = slack_fraction
        self._burst_s = burst_s
        self._rate = 0.0
        self._tokens = 0.0
        self._now: float | None = None

    @property
    def rate(self) -> float:
        """Admitted rate of foreign requests, per second."""
        return self._rate

    @property
    def retry_after_s(self) -> float:
        """Time until a refused request may be admitted; 1 s while the admitted rate is 0."""
        return max(0.0, 1.0 - self._tokens) / self._rate if self._rate > 0 else 1.0

    def set_limit(self, now: float, share: float, total_rate: float, own_rate: float) -> None:
        """Recompute the admitted rate.

        :param share: current share of the place.
        :param total_rate: requests a second of the whole service.
        :param own_rate: requests a second that arrive in the place's own failure domain.
        """
        is_first = self._now is None
        self._refill(now)
        own_used = min(own_rate, share * total_rate)
        self._rate = max(0.0, share * total_rate - own_used)
        # The slack is a fraction of the whole share, not of the difference: an error in either
        # rate changes the difference by its full amount.
        if share > 0:
            self._rate += self._slack_fraction * share * total_rate
        self._tokens = self._burst if is_first else min(self._tokens, self._burst)

    def admit(self, now: float) -> bool:
        """Return whether a foreign request is admitted; if so, take a token."""
        self._refill(now)
        if self._rate <= 0 or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate * self._burst_s) if self._rate > 0 else 0.0

    def _refill(self, now: float) -> None:
        elapsed = 0.0 if self._now is None else max(0.0, now - self._now)
        self._now = now if self._now is None else max(now, self._now)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
