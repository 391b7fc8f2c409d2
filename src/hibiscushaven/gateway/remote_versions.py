"""Decision of one VM to fetch from another region what its own one fails to read."""

__all__ = ["OPERATOR_READ_TIMEOUT_S", "REGION_READ_TIMEOUT_S", "RemoteVersions"]

# Age of the backend servers above which versions of other regions count. A region reads them every
# 0.5 s, and its VMs hear of a read within 0.3 s.
REGION_READ_TIMEOUT_S = 1.0

# The same for the operator state, whose reads wait up to 1.5 s for a change, and which a second VM
# reads after 2.3 s.
OPERATOR_READ_TIMEOUT_S = 2.5

# Additional delay per rank, in which the VM of the rank before fetches the data and passes it on.
PULL_RANK_DELAY_S = 0.5


class RemoteVersions:
    """Determines when a VM fetches newer data from a VM of another region.

    Explanation
    ===========

    Bytes between regions are expensive. A VM ignores other regions while its own one reads the
    store, and else waits for the VMs that are ranked before it.

    Examples
    ========

    >>> versions = RemoteVersions()
    >>> versions.is_pull_due(10.0, held=(7, 7), rank=1), versions.is_pull_due(10.5, (7, 7), 1)
    (False, True)

    """

    def __init__(self) -> None:
        self._held: tuple[int, int] | None = None
        self._behind_since = float("-inf")

    def is_pull_due(self, now: float, held: tuple[int, int], rank: int) -> bool:
        """Return whether it is this VM's turn; called when another region has newer data.

        :param held: versions that this VM holds.
        :param rank: number of VMs of the region that fetch before this one.
        """
        if held != self._held:
            self._held, self._behind_since = held, now
        return now - self._behind_since >= PULL_RANK_DELAY_S * rank
