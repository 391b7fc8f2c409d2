"""Pace of one VM's transactions, so that all VMs together stay within the budget."""

from collections.abc import Awaitable, Callable

__all__ = ["TRANSACTIONS_PER_S", "Pace"]

# The table allows 300 a second for claims; the margin covers VMs that have not yet noticed
# that the number of VMs grew.
TRANSACTIONS_PER_S = 270.0
# A shorter wait can be lost to rounding, so that the clock would never reach its end.
_SHORTEST_WAIT_S = 1e-6


class Pace:
    """Spaces the starts of transactions.

    :param clock: returns seconds; the time base of deadlines.
    :param sleep: awaits a number of seconds on that clock.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
        per_second: float = TRANSACTIONS_PER_S,
    ) -> None:
        self._clock = clock
        self.sleep = sleep
        self._per_second = per_second
        self._live_vms = 1
        self._last = float("-inf")

    @property
    def interval_s(self) -> float:
        return self._live_vms / self._per_second

    @property
    def wait_s(self) -> float:
        """Seconds until the next transaction may start."""
        return max(0.0, self._last + self.interval_s - self._clock())

    def set_live_vms(self, count: int) -> None:
        """Share the budget among ``count`` VMs."""
        self._live_vms = max(1, count)

    async def turn(self) -> None:
        """Wait until the next transaction may start, and count it."""
        while (wait := self.wait_s) > _SHORTEST_WAIT_S:
            await self.sleep(wait)
        self._last = self._clock()
