"""Writes of claim rows that the batcher carries, and how each proceeds after a table response."""

import asyncio
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

from expression import Error, Ok, Result

from hibiscushaven.tablestore import Row, Write

from .errors import ClaimError, TableUnavailableError
from .model import ClaimRow, Replay, RowError, RowState
from .row_findings import Rejected, Replayed, RowFinding, classify_row

__all__ = ["Acquisition", "Finalization", "Operation"]

_LOG = logging.getLogger(__name__)

# With the backoff between reads, a caller whose claim is uncertain waits at most about 2 s.
MAX_FAILURES = 6


class Operation(ABC):
    """A conditional write of one claim row.

    Explanation
    ===========

    Every write expects the row version that the operation last saw. Repeating a write whose
    response was lost is therefore safe: if the first write took effect, the second conflicts.

    :ivar is_urgent: whether a caller is waiting for the result.
    :ivar highest_expected: highest version that a write expected. Once the row's version is above
        it, no lost write can take effect any more; a read with a version below it is stale.
    :ivar is_uncertain: whether the response to a write was lost and no read has shown yet
        whether that write took effect.
    """

    is_urgent = False
    # An inconclusive read is followed by another write, which takes a row in a transaction.
    max_reads = 256

    def __init__(self, key: str, row: ClaimRow, expected: int, highest_expected: int = 0) -> None:
        self.key = key
        self.row = row
        self.expected = expected
        self.highest_expected = max(highest_expected, expected)
        self.is_uncertain = False
        self.reads = 0

    @property
    def is_write_needed(self) -> bool:
        """Whether the operation still has to be written."""
        return True

    @property
    def size(self) -> int:
        """Approximate size of the row in bytes."""
        return 256 + (self.row.response.size if self.row.response else 0)

    def write(self) -> Write:
        self.highest_expected = max(self.highest_expected, self.expected)
        return Write(self.key, self.row.encode(), self.expected)

    def on_row_read(self, row: Row | None) -> bool:
        """Handle the row that was read back, ``None`` if there is no row.

        :returns: whether the operation has to be written again.
        """
        self.reads += 1
        try:
            finding = classify_row(
                row, self.row.holder, self.row.fingerprint, self.highest_expected
            )
        except RowError as error:
            _LOG.error("claim row cannot be read", extra={"reason": str(error)})
            finding = RowFinding.STALE
        if self.reads > self.max_reads:
            self.abandon()
            return False
        return self._apply_finding(finding, row)

    @abstractmethod
    def on_committed(self, version: int) -> None:
        """Handle a committed write.

        :param version: version of the row that was written.
        """

    @abstractmethod
    def on_unavailable(self) -> bool:
        """Handle a failed call to the table.

        :returns: whether the operation has to be written again.
        """

    @abstractmethod
    def abandon(self) -> None:
        """Give up without knowing whether the write took effect."""

    @abstractmethod
    def _apply_finding(self, finding: RowFinding | Replayed | Rejected, row: Row | None) -> bool:
        """Handle what a row shows; return whether to write again."""


class Acquisition(Operation):
    """Acquires a claim for a waiting caller.

    :param on_orphan: called with the operation when no caller waits for it any more and its row
        may be held.
    """

    is_urgent = True
    max_reads = 16

    def __init__(self, key: str, row: ClaimRow, on_orphan: Callable[["Acquisition"], None]) -> None:
        super().__init__(key, row, expected=0)
        self.result: asyncio.Future[Result[int | Replay, ClaimError]]
        self.result = asyncio.get_running_loop().create_future()
        self._on_orphan = on_orphan
        self._failures = 0

    @property
    def is_write_needed(self) -> bool:
        return not self.result.done()

    def on_committed(self, version: int) -> None:
        self.is_uncertain = False
        if self.result.done():
            self.expected = version
            self._on_orphan(self)
            return
        self.result.set_result(Ok(version))

    def on_unavailable(self) -> bool:
        self._failures += 1
        if self.is_uncertain and self._failures <= MAX_FAILURES:
            return self._should_retry()
        self.abandon()
        return False

    def abandon(self) -> None:
        self._fail(TableUnavailableError("the claim could not be recorded"))
        if self.is_uncertain:
            self._on_orphan(self)

    def on_caller_gone(self) -> None:
        """Report a row that may be held although its caller no longer waits."""
        if self.is_uncertain:
            self._on_orphan(self)

    def _apply_finding(self, finding: RowFinding | Replayed | Rejected, row: Row | None) -> bool:
        match finding:
            case RowFinding.ACQUIRED:
                self.on_committed(row.version)
                return False
            case Replayed(replay):
                self._resolve(Ok(replay))
                return False
            case Rejected(error):
                self._resolve(Error(error))
                return False
            case RowFinding.ABSENT:
                self.expected = 0
            case RowFinding.FREE:
                self.expected = row.version
        return self._should_retry()

    def _should_retry(self) -> bool:
        if not self.result.done():
            return True
        self.on_caller_gone()
        return False

    def _resolve(self, result: Result[int | Replay, ClaimError]) -> None:
        # The row's version is above those that this attempt's writes expect: none can take effect.
        self.is_uncertain = False
        if not self.result.done():
            self.result.set_result(result)

    def _fail(self, error: ClaimError) -> None:
        if not self.result.done():
            self.result.set_result(Error(error))


class Finalization(Operation):
    """Records the end of an attempt: released, or done with its outcome.

    Explanation
    ===========

    The write is repeated until the row shows it, or shows that a lost write of the attempt's
    claim can no longer take effect. After a lost response, it expects the same version as the
    lost write, so that the lost write conflicts if it arrives later.

    :param on_end: called once, with whether the end is recorded, when no further write is needed.
    """

    def __init__(
        self,
        key: str,
        row: ClaimRow,
        expected: int,
        highest_expected: int,
        on_end: Callable[["Finalization", bool], None],
    ) -> None:
        super().__init__(key, row, expected, highest_expected)
        self._on_end = on_end

    def on_committed(self, version: int) -> None:
        self._on_end(self, True)

    def on_unavailable(self) -> bool:
        return True

    def abandon(self) -> None:
        _LOG.error(
            "the end of a claim was not recorded",
            extra={"state": self.row.state},
        )
        self._on_end(self, False)

    def _apply_finding(self, finding: RowFinding | Replayed | Rejected, row: Row | None) -> bool:
        match finding:
            case RowFinding.STALE:
                return True
            case RowFinding.ABSENT:
                self.expected = 0
                return True
            case RowFinding.ACQUIRED:
                self.expected = row.version
                return True
            case RowFinding.FREE if row.version <= self.highest_expected:
                self.expected = row.version
                return True
        if finding is not RowFinding.ENDED and self.row.state is RowState.DONE:
            _LOG.error(
                "the claim of a sent request belongs to another attempt", extra={"row": self.key}
            )
            self._on_end(self, False)
            return False
        self._on_end(self, True)
        return False
