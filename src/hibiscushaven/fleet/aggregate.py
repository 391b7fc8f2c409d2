"""Load of the other VMs of a large region, as aggregated by one of them."""

from collections import OrderedDict
from collections.abc import Mapping

from .messages import RegionDigest, token_of

__all__ = ["RegionAggregate"]

# Sent states of this VM that a digest may refer to; at most 50 are sent in a second.
MAX_SENT_STATES = 64


class RegionAggregate:
    """The latest digest of the own region, less the requests in progress on this VM.

    Explanation
    ===========

    A digest names the state of each VM that its sums include. The sums less the requests that
    this VM reported in that state are those of all other VMs. A digest that includes no known
    state of this VM is rejected, since its sender does not receive this VM's states.

    :ivar received_at: time at which the latest digest arrived.
    :ivar interval_s: interval until the next digest, as announced by the sender.

    Examples
    ========

    >>> aggregate = RegionAggregate("vm-1")
    >>> aggregate.record_sent_state(5, {7: 2})
    >>> digest = RegionDigest("serra", "vm-2", 1, 1, {7: 6}, sequences={token_of("vm-1"): 5})
    >>> aggregate.apply(0.0, digest), aggregate.in_progress(7)
    (True, 4)

    """

    def __init__(self, name: str) -> None:
        self._token = token_of(name)
        self._sent_states: OrderedDict[int, Mapping[int, int]] = OrderedDict()
        self._digest: RegionDigest | None = None
        self._own_in_progress: Mapping[int, int] = {}
        self.received_at = float("-inf")
        self.interval_s = 0.0

    @property
    def digest(self) -> RegionDigest | None:
        """The latest digest, ``None`` after ``clear``."""
        return self._digest

    def record_sent_state(self, sequence: int, in_progress: Mapping[int, int]) -> None:
        """Remember the requests in progress that this VM sent in a state."""
        self._sent_states[sequence] = dict(in_progress)
        if len(self._sent_states) > MAX_SENT_STATES:
            self._sent_states.popitem(last=False)

    def apply(self, now: float, digest: RegionDigest) -> bool:
        """Replace the digest; return false and keep the old one if it omits this VM."""
        own = self._sent_states.get(digest.sequences.get(self._token, -1))
        if own is None:
            return False
        self._digest, self._own_in_progress, self.received_at = digest, own, now
        self.interval_s = digest.interval_s
        return True

    def clear(self) -> None:
        """Discard the digest."""
        self._digest = None

    def in_progress(self, token: int) -> int:
        """Return the requests in progress of the other VMs of the region on a backend server."""
        if self._digest is None:
            return 0
        return max(0, self._digest.in_progress.get(token, 0) - self._own_in_progress.get(token, 0))
