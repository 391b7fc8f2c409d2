"""Rate limits of one VM's calls to the table, within the limits for all VMs together."""

from collections.abc import Awaitable, Callable

__all__ = ["READS_PER_S", "TRANSACTIONS_PER_S", "TableRateLimiter"]

# Limit of all VMs. The table allows 300 transactions per second for claims; the margin covers
# VMs that do not know yet that the number of VMs has grown.
TRANSACTIONS_PER_S = 270.0
# Limit of all VMs. The table allows about 2,000 reads per second; the rest is left for polling
# documents and rosters.
READS_PER_S = 1200.0


class TableRateLimiter:
    """Limits the rates at which this VM starts transactions and reads.

    :param clock: returns seconds; the time base of deadlines.
    :param sleep: waits for a number of seconds on that clock.
    :param transactions_per_s: limit of all VMs together.
    :param reads_per_s: limit of all VMs together.
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
        self._next_transaction_at = float("-inf")
        self._next_read_at = float("-inf")

    @property
    def interval_s(self) -> float:
        """Seconds between the starts of two transactions of this VM."""
        return self._live_vms / self._transactions_per_s

    @property
    def wait_s(self) -> float:
        """Seconds until the next transaction may start."""
        return max(0.0, self._next_transaction_at - self._clock())

    def set_live_vms(self, count: int) -> None:
        """Divide the limits among ``count`` VMs."""
        self._live_vms = max(1, count)

    async def wait_for_transaction(self) -> None:
        """Wait until the next transaction may start, and count it."""
        now = self._clock()
        start_at = max(now, self._next_transaction_at)
        self._next_transaction_at = start_at + self.interval_s
        if start_at > now:
            await self.sleep(start_at - now)

    async def wait_for_read(self) -> None:
        """Wait until the next read may start, and count it."""
        now = self._clock()
        start_at = max(now, self._next_read_at)
        self._next_read_at = start_at + self._live_vms / self._reads_per_s
        if start_at > now:
            await self.sleep(start_at - now)
