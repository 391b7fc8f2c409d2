"""Transactions shared by the claims and endings of many requests."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable

from hibiscushaven.tablestore import (
    ConflictError,
    OutcomeUnknownError,
    PlatformError,
    Table,
    UnavailableError,
)

from .operations import Operation
from .pace import Pace

__all__ = ["BatchCounts", "Batcher"]

_LOG = logging.getLogger(__name__)

MAX_ROWS = 128
MAX_BYTES = 512 * 1024
# Part of a transaction that waiting claims leave to waiting endings. Each claim has one ending;
# with a smaller part, endings pile up under overload until no claim is accepted.
ENDING_ROWS = MAX_ROWS // 2
MAX_PARALLEL_READS = 16
OUTAGE_BACKOFF_S = 1.0
FIRST_READ_BACKOFF_S = 0.05
MAX_READ_BACKOFF_S = 0.5
# Weight of the newest batch in the running mean of how long one takes.
_DURATION_WEIGHT = 0.2


class BatchCounts:
    """Calls to the table since the start.

    :ivar rows: rows of the transactions that took effect.
    """

    def __init__(self) -> None:
        self.transactions = 0
        self.rows = 0
        self.reads = 0


class Batcher:
    """Writes operations in transactions, one outstanding at a time.

    Explanation
    ===========

    The operations whose rows conflict leave the transaction and read their rows back; the
    others go into the next transaction alone. Mixed with new operations, a steady stream of
    conflicting resends would keep every transaction from committing.
    """

    def __init__(self, table: Table, clock: Callable[[], float], pace: Pace) -> None:
        self._table = table
        self._clock = clock
        self._pace = pace
        self._urgent: deque[Operation] = deque()
        self._endings: deque[Operation] = deque()
        self._endings_after = float("-inf")
        self._wake = asyncio.Event()
        self._pump: asyncio.Task[None] | None = None
        self._readers: set[asyncio.Task[None]] = set()
        self._read_limit = asyncio.Semaphore(MAX_PARALLEL_READS)
        self._batch_s = 0.0
        self._busy_since: float | None = None
        self.counts = BatchCounts()

    @property
    def waiting(self) -> int:
        """Claims in the queue or being read back."""
        return len(self._urgent) + len(self._readers)

    @property
    def expected_wait_s(self) -> float:
        """Estimate of the seconds until a claim submitted now is answered."""
        each = max(self._pace.interval_s, self._batch_s)
        room = MAX_ROWS - min(ENDING_ROWS, len(self._endings))
        ahead = len(self._urgent) // room * each
        start = self._pace.wait_s
        if self._busy_since is not None:
            start = max(start, self._busy_since + self._batch_s - self._clock())
        return start + ahead + self._batch_s

    def submit(self, operation: Operation, is_retry: bool = False) -> None:
        """Write an operation in a coming transaction."""
        queue = self._urgent if operation.is_urgent else self._endings
        if is_retry and operation.is_urgent:
            queue.appendleft(operation)
        else:
            queue.append(operation)
        self._wake.set()
        if self._pump is None:
            self._pump = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop; operations that are not written stay as they are."""
        tasks = [task for task in (self._pump, *self._readers) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while self._urgent or self._endings:
                if self._is_due():
                    await self._run_batch()
                else:
                    await self._wait_for_work()
        finally:
            self._pump = None

    async def _run_batch(self) -> None:
        """Write one batch; its time includes the pace and the retries after conflicts."""
        self._busy_since = self._clock()
        await self._pace.turn()
        await self._write(self._take())
        self._batch_s += _DURATION_WEIGHT * (self._clock() - self._busy_since - self._batch_s)
        self._busy_since = None

    def _is_due(self) -> bool:
        return bool(self._urgent) or self._clock() >= self._endings_after

    async def _wait_for_work(self) -> None:
        self._wake.clear()
        wait = max(self._endings_after - self._clock(), 0.001)
        sleeper = asyncio.ensure_future(self._pace.sleep(wait))
        waker = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait({sleeper, waker}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleeper.cancel()
            waker.cancel()

    def _take(self) -> list[Operation]:
        """Return the next batch: each row once, claims first, with room for endings."""
        batch: dict[str, Operation] = {}
        can_end = self._clock() >= self._endings_after
        reserved = min(ENDING_ROWS, len(self._endings)) if can_end else 0
        size = _move(self._urgent, batch, MAX_ROWS - reserved, 0)
        if can_end:
            _move(self._endings, batch, MAX_ROWS, size)
        return list(batch.values())

    async def _write(self, batch: list[Operation]) -> None:
        while batch:
            batch = await self._write_once(batch)
            if batch:
                await self._pace.turn()
                batch = [operation for operation in batch if _is_open(operation)]

    async def _write_once(self, batch: list[Operation]) -> list[Operation]:
        """Run one transaction and return the operations that go into the next one."""
        self.counts.transactions += 1
        try:
            versions = await self._table.transact(tuple(item.write() for item in batch))
        except ConflictError as error:
            return self._set_conflicts_aside(batch, error)
        except UnavailableError:
            self._defer(batch)
            return []
        except OutcomeUnknownError:
            self._settle(batch)
            return []
        except Exception:
            _LOG.exception("unexpected failure of a claim transaction")
            self._settle(batch)
            return []
        self._endings_after = float("-inf")
        self.counts.rows += len(batch)
        for operation in batch:
            operation.committed(versions[operation.key])
        return []

    def _set_conflicts_aside(self, batch: list[Operation], error: ConflictError) -> list[Operation]:
        keys = set(error.keys)
        conflicting = [item for item in batch if item.key in keys] or batch
        self._read_back(conflicting)
        return [item for item in batch if item not in conflicting]

    def _defer(self, batch: list[Operation]) -> None:
        self._endings_after = self._clock() + OUTAGE_BACKOFF_S
        pursued = [operation for operation in batch if operation.unavailable()]
        # An uncertain claim is looked up rather than written: its row may show that it is held.
        self._read_back(item for item in pursued if item.is_urgent)
        for operation in pursued:
            if not operation.is_urgent:
                self.submit(operation)

    def _settle(self, batch: list[Operation]) -> None:
        for operation in batch:
            operation.is_uncertain = True
        self._read_back(batch)

    def _read_back(self, operations: Iterable[Operation]) -> None:
        for operation in filter(_is_open, operations):
            task = asyncio.ensure_future(self._read_row(operation))
            self._readers.add(task)
            task.add_done_callback(self._readers.discard)

    async def _read_row(self, operation: Operation) -> None:
        backoff = FIRST_READ_BACKOFF_S
        while True:
            async with self._read_limit:
                await self._pace.read_turn()
                if not _is_open(operation):
                    return
                self.counts.reads += 1
                try:
                    row = await self._table.read(operation.key)
                except PlatformError:
                    is_pursued = operation.unavailable()
                except Exception:
                    _LOG.exception("unexpected failure of a read of a claim")
                    is_pursued = operation.unavailable()
                else:
                    if operation.observe(row):
                        self.submit(operation, is_retry=True)
                    return
            if not is_pursued:
                return
            if not operation.is_urgent:
                self._endings_after = self._clock() + OUTAGE_BACKOFF_S
                self.submit(operation)
                return
            await self._pace.sleep(backoff)
            backoff = min(2 * backoff, MAX_READ_BACKOFF_S)


def _is_open(operation: Operation) -> bool:
    return operation.is_wanted or operation.is_uncertain


def _move(queue: deque[Operation], batch: dict[str, Operation], most: int, size: int) -> int:
    """Move operations from a queue to a batch while there is room; return its bytes."""
    passed = []
    while queue and len(batch) < most and size < MAX_BYTES:
        operation = queue.popleft()
        if operation.key in batch:
            passed.append(operation)
        elif _is_open(operation):
            batch[operation.key] = operation
            size += operation.size
    queue.extendleft(reversed(passed))
    return size
