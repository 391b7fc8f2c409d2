"""Schedule of one VM's reads of the platform's store."""

from dataclasses import dataclass

__all__ = ["RANK_DELAY_S", "READ_INTERVAL_S", "ReadSchedule"]

# Interval between reads. A backend server stops at most 2.5 s after it announces its drain; an
# interval of 0.5 s leaves time for one failed read and for propagation to the other VMs.
READ_INTERVAL_S = 0.5

# Additional delay per rank, so that the VM of the next rank reads when the one before it does
# not.
RANK_DELAY_S = 0.3

# Backoff after the first failed read, doubled after each further one. Half of the read interval.
INITIAL_BACKOFF_S = 0.25

# Upper limit of the backoff, which bounds how long reads stay paused after an outage of the
# store has ended.
MAX_BACKOFF_S = 1.0


@dataclass(slots=True)
class ReadSchedule:
    """Determines when one VM reads the platform's store.

    Explanation
    ===========

    The VMs of a region are ranked. What the VM of rank 0 reads reaches the others within
    milliseconds, so that their data stays fresh and they read nothing. If that VM fails for any
    reason, the data of all VMs ages and the VM of the next rank reads. No consensus is needed:
    two concurrent readers only cost a few additional calls.

    A VM that is behind a peer and cannot fetch the changes from it in time requests a read, which
    does not wait for its rank, only for the backoff after a failure.

    Examples
    ========

    >>> schedule = ReadSchedule()
    >>> schedule.wait_s(now=10.0, rank=0, confirmed_at=9.8)
    0.3
    >>> schedule.wait_s(now=10.0, rank=1, confirmed_at=9.8)
    0.6
    >>> schedule.wait_s(now=10.0, rank=1, confirmed_at=9.8, is_requested=True)
    0.0
    >>> schedule.record_failure(10.0)
    >>> schedule.wait_s(now=10.0, rank=0, confirmed_at=0.0)
    0.25

    :ivar failures: consecutive failed reads.
    :ivar retry_at: time before which the store is not read again after a failure.
    """

    failures: int = 0
    retry_at: float = 0.0

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self.failures > 0

    def wait_s(
        self, now: float, rank: int, confirmed_at: float, is_requested: bool = False
    ) -> float:
        """Return the seconds until this VM should read, unless a peer sends newer data before.

        :param rank: number of VMs of the region that read before this one.
        :param confirmed_at: time of the latest read by any VM that returned the data held here.
        :param is_requested: whether this VM lacks data that it cannot fetch from a peer.
        """
        due = now if is_requested else confirmed_at + READ_INTERVAL_S + rank * RANK_DELAY_S
        return round(max(0.0, due - now, self.retry_at - now), 6)

    def record_failure(self, now: float) -> None:
        """Delay the next read after a failed one."""
        self.failures += 1
        self.retry_at = now + min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(self.failures - 1, 8)
        )

    def record_success(self) -> None:
        """Reset the backoff after a successful read."""
        self.failures = 0
        self.retry_at = 0.0
