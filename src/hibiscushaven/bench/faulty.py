"""A table with delays and faults drawn from a seeded random source."""

import asyncio
import random
from dataclasses import dataclass

from hibiscushaven.tablestore import (
    ConflictError,
    MemoryPlatform,
    OutcomeUnknownError,
    Row,
    UnavailableError,
    Write,
)

__all__ = ["FaultRates", "FaultyTable"]


@dataclass(frozen=True, slots=True)
class FaultRates:
    """How often calls fail, as shares of the calls.

    :ivar delay_s: longest one-way delay.
    :ivar lost: writes that take effect and lose their answer.
    :ivar vanished: writes without effect whose answer is lost.
    :ivar late: writes that take effect up to ``late_s`` after they failed without answer.
    :ivar refused: calls that fail without effect.
    :ivar stale: reads that see the row before its last write.
    """

    delay_s: float = 0.02
    lost: float = 0.0
    vanished: float = 0.0
    late: float = 0.0
    late_s: float = 3.0
    refused: float = 0.0
    stale: float = 0.0


class FaultyTable:
    """The table of a :class:`MemoryPlatform` as one VM sees it over a bad network.

    :ivar outstanding: transactions without answer.
    :ivar most_outstanding: the highest value of that.
    :ivar starts: times at which transactions began.
    """

    def __init__(self, platform: MemoryPlatform, rng: random.Random, rates: FaultRates) -> None:
        self._platform = platform
        self._rng = rng
        self._late: set[asyncio.Task[None]] = set()
        self.rates = rates
        self.outstanding = 0
        self.most_outstanding = 0
        self.starts: list[float] = []

    async def read(self, key: str) -> Row | None:
        await self._delay()
        if self._is_drawn(self.rates.refused):
            raise UnavailableError("the read was refused")
        faults = self._platform.faults
        faults.stale_reads = int(self._is_drawn(self.rates.stale))
        try:
            row = await self._platform.read(key)
        finally:
            faults.stale_reads = 0
        await self._delay()
        return row

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        await self._delay()
        return await self._platform.read_prefix(prefix)

    async def transact(self, writes: tuple[Write, ...]) -> dict[str, int]:
        self.starts.append(asyncio.get_running_loop().time())
        self.outstanding += 1
        self.most_outstanding = max(self.outstanding, self.most_outstanding)
        try:
            await self._delay()
            return await self._transact(writes)
        finally:
            await self._delay()
            self.outstanding -= 1

    async def _transact(self, writes: tuple[Write, ...]) -> dict[str, int]:
        if self._is_drawn(self.rates.refused):
            raise UnavailableError("the transaction was refused")
        if self._is_drawn(self.rates.vanished):
            raise OutcomeUnknownError("the transaction was lost")
        if self._is_drawn(self.rates.late):
            task = asyncio.ensure_future(self._write_late(writes))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            raise OutcomeUnknownError("the transaction is late")
        if self._is_drawn(self.rates.lost):
            self._platform.faults.lost_answers = 1
        try:
            return await self._platform.transact(writes)
        finally:
            self._platform.faults.lost_answers = 0

    async def _write_late(self, writes: tuple[Write, ...]) -> None:
        await asyncio.sleep(self._rng.uniform(0, self.rates.late_s))
        try:
            await self._platform.transact(writes)
        except (ConflictError, UnavailableError):
            return

    async def _delay(self) -> None:
        await asyncio.sleep(self._rng.uniform(0, self.rates.delay_s))

    def _is_drawn(self, rate: float) -> bool:
        return self._rng.random() < rate
