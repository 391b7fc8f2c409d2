"""What the lead of a large region tells its VMs."""

from collections import OrderedDict
from collections.abc import Mapping

from .messages import RegionDigest, token_of

__all__ = ["ToldSums"]

# States of this VM that a digest may be based on; at most 50 are sent in a second.
SENT_LIMIT = 64


class ToldSums:
    """The latest digest of the own region, without what this VM itself has in progress.

    Explanation
    ===========

    A digest names the state of each VM that its sums contain. The sums less what this VM had
    in progress in that state are those of all others. A digest that contains no known state of
    this VM is not used, since its sender does not hear this VM.

    :ivar heard_at: time of the latest digest.
    :ivar interval_s: time until the next one, as its sender says.

    Examples
    ========

    >>> sums = ToldSums("vm-1")
    >>> sums.note_sent(5, {7: 2})
    >>> digest = RegionDigest("serra", "vm-2", 1, 1, {7: 6}, sequences={token_of("vm-1"): 5})
    >>> sums.take(0.0, digest), sums.in_progress(7)
    (True, 4)

    """

    def __init__(self, name: str) -> None:
        self._token = token_of(name)
        self._sent: OrderedDict[int, Mapping[int, int]] = OrderedDict()
        self._digest: RegionDigest | None = None
        self._own: Mapping[int, int] = {}
        self.heard_at = float("-inf")
        self.interval_s = 0.0

    @property
    def digest(self) -> RegionDigest | None:
        """The latest digest, until it is dropped."""
        return self._digest

    def note_sent(self, sequence: int, in_progress: Mapping[int, int]) -> None:
        """Remember what this VM has told of itself."""
        self._sent[sequence] = dict(in_progress)
        if len(self._sent) > SENT_LIMIT:
            self._sent.popitem(last=False)

    def take(self, now: float, digest: RegionDigest) -> bool:
        """Use a digest; return whether it contains this VM."""
        own = self._sent.get(digest.sequences.get(self._token, -1))
        if own is None:
            return False
        self._digest, self._own, self.heard_at = digest, own, now
        self.interval_s = digest.interval_s
        return True

    def drop(self) -> None:
        """Forget the digest."""
        self._digest = None

    def in_progress(self, token: int) -> int:
        """Return the requests in progress of the other VMs of the region on a server."""
        if self._digest is None:
            return 0
        return max(0, self._digest.in_progress.get(token, 0) - self._own.get(token, 0))
