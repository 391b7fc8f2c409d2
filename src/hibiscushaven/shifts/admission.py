"""The owner's check of foreign work beyond its place's share."""

__all__ = ["ForeignAdmission"]

# Senders plan with rates that are up to some seconds old, so flows exceed the plan a little.
SLACK_FRACTION = 0.1

# Foreign work that may arrive at once, as seconds of the allowed rate.
BURST_S = 0.5


class ForeignAdmission:
    """Token bucket for work that other failure domains send to this place.

    Explanation
    ===========

    The place's share of the whole service's arrivals, less the arrivals of its own failure
    domain, is what foreign work may use. Own work is never counted or refused here.
    Nothing foreign is admitted before the first ``set_limit``.
    """

    def __init__(self, slack_fraction: float = SLACK_FRACTION, burst_s: float = BURST_S) -> None:
        self._slack_fraction = slack_fraction
        self._burst_s = burst_s
        self._rate = 0.0
        self._tokens = 0.0
        self._now: float | None = None

    @property
    def rate(self) -> float:
        """Foreign requests a second that are admitted."""
        return self._rate

    @property
    def retry_after_s(self) -> float:
        """Time until a refused request may be admitted; 1 s where none is allowed."""
        return max(0.0, 1.0 - self._tokens) / self._rate if self._rate > 0 else 1.0

    def set_limit(self, now: float, share: float, total_rate: float, own_rate: float) -> None:
        """Set the allowed rate.

        :param share: current share of the place.
        :param total_rate: requests a second of the whole service.
        :param own_rate: requests a second that arrive in the place's own failure domain.
        """
        is_first = self._now is None
        self._refill(now)
        own_used = min(own_rate, share * total_rate)
        self._rate = max(0.0, share * total_rate - own_used)
        # The slack applies to the whole share: an error in either rate moves the difference.
        if share > 0:
            self._rate += self._slack_fraction * share * total_rate
        self._tokens = self._burst if is_first else min(self._tokens, self._burst)

    def admit(self, now: float) -> bool:
        """Return whether a foreign request is within the share, and count it if so."""
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
