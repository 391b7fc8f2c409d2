"""Batching of claim writes from many requests into shared table transactions."""

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
from .rate_limit import TableRateLimiter

__all__ = ["BatchCounts", "Batcher"]

_LOG = logging.getLogger(__name__)

MAX_ROWS = 128
MAX_BYTES = 512 * 1024
# Rows of each transaction reserved for waiting finalizations. Each claim has one finalization;
# with a smaller share, finalizations accumulate under overload until no claim is accepted.
FINALIZATION_ROWS = MAX_ROWS // 2
MAX_PARALLEL_READS = 16
OUTAGE_BACKOFF_S = 1.0
FIRST_READ_BACKOFF_S = 0.05
MAX_READ_BACKOFF_S = 0.5
# Weight of the newest batch in the exponential moving average of batch durations.
_DURATION_WEIGHT = 0.2


class BatchCounts:
    """Numbers of calls to the table since the process started.

    :ivar rows: rows written by committed transactions.
    """

    def __init__(self) -> None:
        self.transactions = 0
        self.rows = 0
        self.reads = 0


class Batcher:
    """Writes operations in batches, with one transaction outstanding at a time.

    Explanation
    ===========

    After a conflict, the operations whose rows conflicted are removed from the batch and their
    rows are read back. The next transaction contains only the remaining operations: if new
    operations were added, a steady stream of conflicting resends could keep every transaction
    from committing.
    """

    def __init__(
        self, table: Table, clock: Callable[[], float], rate_limiter: TableRateLimiter
    ) -> None:
        self._table = table
        self._clock = clock
        self._rate_limiter = rate_limiter
        self._claims: deque[Operation] = deque()
        self._finalizations: deque[Operation] = deque()
        self._finalizations_resume_at = float("-inf")
        self._submitted = asyncio.Event()
        self._worker: asyncio.Task[None] | None = None
        self._readers: set[asyncio.Task[None]] = set()
        self._read_limit = asyncio.Semaphore(MAX_PARALLEL_READS)
        self._mean_batch_s = 0.0
        self._batch_started_at: float | None = None
        self.counts = BatchCounts()

    @property
    def waiting(self) -> int:
        """Number of claims in the queue and of operations whose rows are being read back."""
        return len(self._claims) + len(self._readers)

    @property
    def expected_wait_s(self) -> float:
        """Estimated seconds until a claim submitted now has a result."""
        batch_s = max(self._rate_limiter.interval_s, self._mean_batch_s)
        claim_rows = MAX_ROWS - min(FINALIZATION_ROWS, len(self._finalizations))
        queue_s = len(self._claims) // claim_rows * batch_s
        start_s = self._rate_limiter.wait_s
        if self._batch_started_at is not None:
            start_s = max(start_s, self._batch_started_at + self._mean_batch_s - self._clock())
        return start_s + queue_s + self._mean_batch_s

    def submit(self, operation: Operation, is_retry: bool = False) -> None:
        """Queue an operation for one of the next transactions.

        :param is_retry: puts a claim at the head of the queue.
        """
        queue = self._claims if operation.is_urgent else self._finalizations
        if is_retry and operation.is_urgent:
            queue.appendleft(operation)
        else:
            queue.append(operation)
        self._submitted.set()
        if self._worker is None:
            self._worker = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Cancel all tasks; operations still in the queue are not written."""
        tasks = [task for task in (self._worker, *self._readers) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while self._claims or self._finalizations:
                if self._is_due():
                    await self._run_batch()
                else:
                    await self._wait_for_work()
        finally:
            self._worker = None

    async def _run_batch(self) -> None:
        """Write one batch; its duration includes rate limiting and retries after conflicts."""
        self._batch_started_at = self._clock()
        await self._rate_limiter.wait_for_transaction()
        await self._write(self._next_batch())
        self._mean_batch_s += _DURATION_WEIGHT * (
            self._clock() - self._batch_started_at - self._mean_batch_s
        )
        self._batch_started_at = None

    def _is_due(self) -> bool:
        return bool(self._claims) or self._clock() >= self._finalizations_resume_at

    async def _wait_for_work(self) -> None:
        self._submitted.clear()
        wait_s = max(self._finalizations_resume_at - self._clock(), 0.001)
        sleeper = asyncio.ensure_future(self._rate_limiter.sleep(wait_s))
        waker = asyncio.ensure_future(self._submitted.wait())
        try:
            await asyncio.wait({sleeper, waker}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleeper.cancel()
            waker.cancel()

    def _next_batch(self) -> list[Operation]:
        """Return the next batch: each row once, claims first, part of it for finalizations."""
        batch: dict[str, Operation] = {}
        includes_finalizations = self._clock() >= self._finalizations_resume_at
        reserved = min(FINALIZATION_ROWS, len(self._finalizations)) if includes_finalizations else 0
        size = _fill_batch(self._claims, batch, MAX_ROWS - reserved, 0)
        if includes_finalizations:
            _fill_batch(self._finalizations, batch, MAX_ROWS, size)
        return list(batch.values())

    async def _write(self, batch: list[Operation]) -> None:
        while batch:
            batch = await self._write_once(batch)
            if batch:
                await self._rate_limiter.wait_for_transaction()
                batch = [operation for operation in batch if _is_pending(operation)]

    async def _write_once(self, batch: list[Operation]) -> list[Operation]:
        """Run one transaction and return the operations to retry in the next one."""
        self.counts.transactions += 1
        try:
            versions = await self._table.transact(tuple(item.write() for item in batch))
        except ConflictError as error:
            return self._split_conflicts(batch, error)
        except UnavailableError:
            self._handle_unavailable(batch)
            return []
        except OutcomeUnknownError:
            self._resolve_uncertain(batch)
            return []
        except Exception:
            _LOG.exception("unexpected failure of a claim transaction")
            self._resolve_uncertain(batch)
            return []
        self._finalizations_resume_at = float("-inf")
        self.counts.rows += len(batch)
        for operation in batch:
            operation.on_committed(versions[operation.key])
        return []

    def _split_conflicts(self, batch: list[Operation], error: ConflictError) -> list[Operation]:
        keys = set(error.keys)
        conflicting = [item for item in batch if item.key in keys] or batch
        self._read_back(conflicting)
        return [item for item in batch if item not in conflicting]

    def _handle_unavailable(self, batch: list[Operation]) -> None:
        self._finalizations_resume_at = self._clock() + OUTAGE_BACKOFF_S
        to_retry = [operation for operation in batch if operation.on_unavailable()]
        # An uncertain claim is read back, not rewritten: its attempt may already hold the row.
        self._read_back(item for item in to_retry if item.is_urgent)
        for operation in to_retry:
            if not operation.is_urgent:
                self.submit(operation)

    def _resolve_uncertain(self, batch: list[Operation]) -> None:
        for operation in batch:
            operation.is_uncertain = True
        self._read_back(batch)

    def _read_back(self, operations: Iterable[Operation]) -> None:
        for operation in filter(_is_pending, operations):
            task = asyncio.ensure_future(self._read_row(operation))
            self._readers.add(task)
            task.add_done_callback(self._readers.discard)

    async def _read_row(self, operation: Operation) -> None:
        backoff_s = FIRST_READ_BACKOFF_S
        while True:
            async with self._read_limit:
                await self._rate_limiter.wait_for_read()
                if not _is_pending(operation):
                    return
                self.counts.reads += 1
                try:
                    row = await self._table.read(operation.key)
                except PlatformError:
                    is_retry = operation.on_unavailable()
                except Exception:
                    _LOG.exception("reading a claim row failed unexpectedly")
                    is_retry = operation.on_unavailable()
                else:
                    if operation.on_row_read(row):
                        self.submit(operation, is_retry=True)
                    return
            if not is_retry:
                return
            if not operation.is_urgent:
                self._finalizations_resume_at = self._clock() + OUTAGE_BACKOFF_S
                self.submit(operation)
                return
            await self._rate_limiter.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_READ_BACKOFF_S)


def _is_pending(operation: Operation) -> bool:
    return operation.is_write_needed or operation.is_uncertain


def _fill_batch(
    queue: deque[Operation], batch: dict[str, Operation], max_rows: int, size: int
) -> int:
    """Move operations from a queue to a batch up to the limits; return the batch size in bytes."""
    duplicates = []
    while queue and len(batch) < max_rows and size < MAX_BYTES:
        operation = queue.popleft()
        if operation.key in batch:
            duplicates.append(operation)
        elif _is_pending(operation):
            batch[operation.key] = operation
            size += operation.size
    queue.extendleft(reversed(duplicates))
    return size
