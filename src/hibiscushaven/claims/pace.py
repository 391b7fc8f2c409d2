"""Pace of one VM's calls to the table, so that all VMs together stay within the budget."""

from collections.abc import Awaitable, Callable

__all__ = ["READS_PER_S", "TRANSACTIONS_PER_S", "Pace"]

# The table allows 300 a second for claims; the margin covers VMs that have not yet noticed
# that the number of VMs grew.
TRANSACTIONS_PER_S = 270.0
# Of about 2,000 a second; the rest is left to polls of documents and rosters.
READS_PER_S = 1200.0


class Pace:
    """Spaces the starts of transactions and of reads.

    :param clock: returns seconds; the time base of deadlines.
    :param sleep: awaits a number of seconds on that clock.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
        transactions_per_s: float = TRANSACTIONS_PER_S,
        reads_per_s: float = READS_PER_S,
    ) -> None:
        self._clock = clock
        self.sleep = sleep
        self._transactions_per_s = transactions_per_s
        self._reads_per_s = reads_per_s
        self._live_vms = 1
        self._next_transaction = float("-inf")
        self._next_read = float("-inf")

    @property
    def interval_s(self) -> float:
        return self._live_vms / self._transactions_per_s

    @property
    def wait_s(self) -> float:
        """Seconds until the next transaction may start."""
        return max(0.0, self._next_transaction - self._clock())

    def set_live_vms(self, count: int) -> None:
        """Share the budget among ``count`` VMs."""
        self._live_vms = max(1, count)

    async def turn(self) -> None:
        """Wait until the next transaction may start, and count it."""
        now = self._clock()
        start = max(now, self._next_transaction)
        self._next_transaction = start + self.interval_s
        if start > now:
            await self.sleep(start - now)

    async def read_turn(self) -> None:
        """Wait until the next read may start, and count it."""
        now = self._clock()
        start = max(now, self._next_read)
        self._next_read = start + self._live_vms / self._reads_per_s
        if start > now:
            await self.sleep(start - now)
