"""Platform table with delays and faults drawn from a seeded random source."""

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
    """Probability of each kind of fault per call.

    :ivar delay_s: longest one-way delay.
    :ivar lost_answers: writes that take effect but whose answer is lost.
    :ivar lost_writes: writes that neither take effect nor are answered.
    :ivar late_writes: writes that take effect up to ``late_s`` after they failed without answer.
    :ivar refused_calls: calls that fail without effect.
    :ivar stale_reads: reads that return the row as it was before its last write.
    """

    delay_s: float = 0.02
    lost_answers: float = 0.0
    lost_writes: float = 0.0
    late_writes: float = 0.0
    late_s: float = 3.0
    refused_calls: float = 0.0
    stale_reads: float = 0.0


class FaultyTable:
    """Access of one VM to the table of a :class:`MemoryPlatform` over an unreliable network.

    :ivar outstanding: number of transactions in progress.
    :ivar max_outstanding: highest value of ``outstanding`` so far.
    :ivar transaction_starts: start times of the transactions.
    """

    def __init__(self, platform: MemoryPlatform, rng: random.Random, rates: FaultRates) -> None:
        self._platform = platform
        self._rng = rng
        self._late_tasks: set[asyncio.Task[None]] = set()
        self.rates = rates
        self.outstanding = 0
        self.max_outstanding = 0
        self.transaction_starts: list[float] = []

    async def read(self, key: str) -> Row | None:
        await self._delay()
        if self._is_fault_due(self.rates.refused_calls):
            raise UnavailableError("the read was refused")
        faults = self._platform.faults
        faults.stale_reads = int(self._is_fault_due(self.rates.stale_reads))
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
        self.transaction_starts.append(asyncio.get_running_loop().time())
        self.outstanding += 1
        self.max_outstanding = max(self.outstanding, self.max_outstanding)
        try:
            await self._delay()
            return await self._transact(writes)
        finally:
            await self._delay()
            self.outstanding -= 1

    async def _transact(self, writes: tuple[Write, ...]) -> dict[str, int]:
        if self._is_fault_due(self.rates.refused_calls):
            raise UnavailableError("the transaction was refused")
        if self._is_fault_due(self.rates.lost_writes):
            raise OutcomeUnknownError("the transaction was lost")
        if self._is_fault_due(self.rates.late_writes):
            task = asyncio.ensure_future(self._apply_late(writes))
            self._late_tasks.add(task)
            task.add_done_callback(self._late_tasks.discard)
            raise OutcomeUnknownError("the transaction is late")
        if self._is_fault_due(self.rates.lost_answers):
            self._platform.faults.lost_answers = 1
        try:
            return await self._platform.transact(writes)
        finally:
            self._platform.faults.lost_answers = 0

    async def _apply_late(self, writes: tuple[Write, ...]) -> None:
        await asyncio.sleep(self._rng.uniform(0, self.rates.late_s))
        try:
            await self._platform.transact(writes)
        except (ConflictError, UnavailableError):
            return

    async def _delay(self) -> None:
        await asyncio.sleep(self._rng.uniform(0, self.rates.delay_s))

    def _is_fault_due(self, rate: float) -> bool:
        return self._rng.random() < rate
