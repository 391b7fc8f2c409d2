"""Rate of requests to backend servers that are still cold."""

from dataclasses import dataclass

__all__ = ["KEEPERS", "WarmupGate"]

# VMs that may send to a cold server; each has a part of its rate. More of them reach the
# server sooner, but each may send one request at once.
KEEPERS = 4


@dataclass(slots=True)
class _Bucket:
    tokens: float
    at: float


class WarmupGate:
    """This VM's part of the rates of cold servers.

    Explanation
    ===========

    A few VMs of a server's region, chosen by hash, may send to it while it is cold. Each of
    them has an equal part of the rate and saves up one request at most, so that together they
    keep the rate in each second even if two of them are replaced by others in it.

    Examples
    ========

    >>> gate = WarmupGate()
    >>> gate.try_pass(0.0, "s", per_s=8.0), gate.try_pass(0.1, "s", per_s=8.0)
    (True, False)
    >>> gate.try_pass(0.6, "s", per_s=8.0)
    True

    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def may_pass(self, now: float, server_id: str, per_s: float) -> bool:
        """Return whether one request fits, without counting it."""
        return self._filled(now, server_id, per_s).tokens >= 1.0

    def try_pass(self, now: float, server_id: str, per_s: float) -> bool:
        """Return whether one request fits, and count it."""
        bucket = self._filled(now, server_id, per_s)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Forget servers that are not named."""
        for name in [name for name in self._buckets if name not in server_ids]:
            del self._buckets[name]

    def _filled(self, now: float, server_id: str, per_s: float) -> _Bucket:
        bucket = self._buckets.get(server_id)
        if bucket is None:
            bucket = self._buckets[server_id] = _Bucket(1.0, now)
        earned = (now - bucket.at) * per_s / KEEPERS
        bucket.tokens = min(1.0, bucket.tokens + earned)
        bucket.at = now
        return bucket
