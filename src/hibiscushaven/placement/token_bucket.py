"""Token bucket that saves at most one token."""

from dataclasses import dataclass

__all__ = ["TokenBucket"]


@dataclass(slots=True)
class TokenBucket:
    """Tokens of one VM for requests to one server, refilled at a rate that may change.

    Examples
    ========

    >>> bucket = TokenBucket(1.0, refilled_at=0.0)
    >>> bucket.try_acquire(0.0, per_s=2.0), bucket.try_acquire(0.1, per_s=2.0)
    (True, False)
    >>> round(bucket.wait_s(0.1, per_s=2.0), 3)
    0.4

    """

    tokens: float
    refilled_at: float

    def has_token(self, now: float, per_s: float) -> bool:
        """Return whether a token is available, without taking it."""
        self._refill(now, per_s)
        return self.tokens >= 1.0

    def try_acquire(self, now: float, per_s: float) -> bool:
        """Take a token if one is available, and return whether it was."""
        if not self.has_token(now, per_s):
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self, now: float, per_s: float) -> float:
        """Return the time until a token is available, in seconds."""
        self._refill(now, per_s)
        return max(0.0, 1.0 - self.tokens) / per_s

    def _refill(self, now: float, per_s: float) -> None:
        self.tokens = min(1.0, self.tokens + (now - self.refilled_at) * per_s)
        self.refilled_at = now
