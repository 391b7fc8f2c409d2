"""Rate limit of requests to cold backend servers."""

from .token_bucket import TokenBucket

__all__ = ["SENDERS_PER_SERVER", "WarmupRateLimiter"]

# Number of VMs that may send to a cold server, each at an equal share of its rate. With more of
# them requests reach the server sooner, but its rate may be exceeded by more, since each VM may
# send a burst of one request.
SENDERS_PER_SERVER = 4


class WarmupRateLimiter:
    """This VM's share of the rate limits of cold servers, as a token bucket for each server.

    Explanation
    ===========

    A few VMs of a server's region, chosen by hash, may send to it while it is cold. Each has an
    equal share of the rate and saves at most one token, so that together they keep within the rate
    in each second even if two of them are replaced by other VMs during that second.

    Examples
    ========

    >>> limiter = WarmupRateLimiter()
    >>> limiter.try_acquire(0.0, "s", per_s=8.0), limiter.try_acquire(0.1, "s", per_s=8.0)
    (True, False)
    >>> limiter.try_acquire(0.6, "s", per_s=8.0)
    True

    """

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def has_token(self, now: float, server_id: str, per_s: float) -> bool:
        """Return whether a token is available, without taking it."""
        return self._bucket(now, server_id).has_token(now, per_s / SENDERS_PER_SERVER)

    def try_acquire(self, now: float, server_id: str, per_s: float) -> bool:
        """Take a token if one is available, and return whether it was."""
        return self._bucket(now, server_id).try_acquire(now, per_s / SENDERS_PER_SERVER)

    def retain_only(self, server_ids: frozenset[str]) -> None:
        """Discard the state of all servers that are not in the set."""
        for name in [name for name in self._buckets if name not in server_ids]:
            del self._buckets[name]

    def _bucket(self, now: float, server_id: str) -> TokenBucket:
        bucket = self._buckets.get(server_id)
        if bucket is None:
            bucket = self._buckets[server_id] = TokenBucket(1.0, now)
        return bucket
