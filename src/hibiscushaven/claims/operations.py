"""Writes of claim rows that the batcher carries, and how each goes on after an answer."""

import asyncio
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

from expression import Error, Ok, Result

from hibiscushaven.tablestore import Row, Write

from .errors import ClaimError, TableUnavailableError
from .model import ClaimRow, Replay, RowError, RowState
from .verdicts import Finding, Rejected, Replayed, examine

__all__ = ["Acquisition", "Ending", "Operation"]

_LOG = logging.getLogger(__name__)

# With the back-off of the reads, a caller whose claim is uncertain waits at most about 2 s.
MAX_FAILURES = 6


class Operation(ABC):
    """A conditional write of one claim row.

    Explanation
    ===========

    Every write expects the version that the operation last knew. Writing it again after a lost
    answer is therefore safe: if the first write took effect, the second conflicts.

    :ivar is_urgent: a caller waits for it.
    :ivar highest: highest version that a write expected. A lost write cannot land any more once
        the row's version is above it, and a read below it is stale.
    :ivar is_uncertain: the answer to one of its writes was lost and the row does not show yet
        whether that write took effect.
    """

    is_urgent = False
    # A read that proves nothing is repeated, each time at the cost of a place in a transaction.
    max_reads = 256

    def __init__(self, key: str, row: ClaimRow, expected: int, highest: int = 0) -> None:
        self.key = key
        self.row = row
        self.expected = expected
        self.highest = max(highest, expected)
        self.is_uncertain = False
        self.reads = 0

    @property
    def is_wanted(self) -> bool:
        """Whether the operation still has to be written."""
        return True

    @property
    def size(self) -> int:
        """Approximate bytes of the row."""
        return 256 + (self.row.answer.size if self.row.answer else 0)

    def write(self) -> Write:
        self.highest = max(self.highest, self.expected)
        return Write(self.key, self.row.encode(), self.expected)

    def observe(self, row: Row | None) -> bool:
        """Go on from a row that was read back.

        :returns: whether the operation has to be written again.
        """
        self.reads += 1
        try:
            found = examine(row, self.row.holder, self.row.fingerprint, self.highest)
        except RowError as error:
            _LOG.error("claim row cannot be read", extra={"reason": str(error)})
            found = Finding.STALE
        if self.reads > self.max_reads:
            self.give_up()
            return False
        return self._go_on(found, row)

    @abstractmethod
    def committed(self, version: int) -> None:
        """The write took effect."""

    @abstractmethod
    def unavailable(self) -> bool:
        """The table did not take the write.

        :returns: whether the operation has to be written again.
        """

    @abstractmethod
    def give_up(self) -> None:
        """The row does not show what became of the write."""

    @abstractmethod
    def _go_on(self, found: Finding | Replayed | Rejected, row: Row | None) -> bool:
        """Act on what the row says; return whether to write again."""


class Acquisition(Operation):
    """Takes a claim for a caller that waits.

    :param on_orphan: called with the operation when its caller is gone and its row may be held.
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
    def is_wanted(self) -> bool:
        return not self.result.done()

    def committed(self, version: int) -> None:
        self.is_uncertain = False
        if self.result.done():
            self.expected = version
            self._on_orphan(self)
            return
        self.result.set_result(Ok(version))

    def unavailable(self) -> bool:
        self._failures += 1
        if self.is_uncertain and self._failures <= MAX_FAILURES:
            return self._is_pursued()
        self.give_up()
        return False

    def give_up(self) -> None:
        self._fail(TableUnavailableError("the claim could not be recorded"))
        if self.is_uncertain:
            self._on_orphan(self)

    def drop(self) -> None:
        """Leave the queue: the caller is gone."""
        if self.is_uncertain:
            self._on_orphan(self)

    def _go_on(self, found: Finding | Replayed | Rejected, row: Row | None) -> bool:
        match found:
            case Finding.MINE:
                self.committed(row.version)
                return False
            case Replayed(replay):
                self._settle(Ok(replay))
                return False
            case Rejected(error):
                self._settle(Error(error))
                return False
            case Finding.ABSENT:
                self.expected = 0
            case Finding.FREE:
                self.expected = row.version
        return self._is_pursued()

    def _is_pursued(self) -> bool:
        if not self.result.done():
            return True
        self.drop()
        return False

    def _settle(self, result: Result[int | Replay, ClaimError]) -> None:
        # The row moved past the version that this attempt's writes expect: none can land.
        self.is_uncertain = False
        if not self.result.done():
            self.result.set_result(result)

    def _fail(self, error: ClaimError) -> None:
        if not self.result.done():
            self.result.set_result(Error(error))


class Ending(Operation):
    """Records that an attempt ended: released, or done with its outcome.

    Explanation
    ===========

    It is repeated until the row shows it or shows that the attempt's claim can no longer
    appear. As the first write after an attempt whose answer was lost, it also takes the
    version that the lost write expected, so that the lost write cannot land later.

    :param on_end: called once when nothing remains to be written.
    """

    def __init__(
        self,
        key: str,
        row: ClaimRow,
        expected: int,
        highest: int,
        on_end: Callable[["Ending", bool], None],
    ) -> None:
        super().__init__(key, row, expected, highest)
        self._on_end = on_end

    def committed(self, version: int) -> None:
        self._on_end(self, True)

    def unavailable(self) -> bool:
        return True

    def give_up(self) -> None:
        _LOG.error("the end of a claim was not recorded", extra={"state": self.row.state})
        self._on_end(self, False)

    def _go_on(self, found: Finding | Replayed | Rejected, row: Row | None) -> bool:
        match found:
            case Finding.STALE:
                return True
            case Finding.ABSENT:
                self.expected = 0
                return True
            case Finding.MINE:
                self.expected = row.version
                return True
            case Finding.FREE if row.version <= self.highest:
                self.expected = row.version
                return True
        if found is not Finding.ENDED and self.row.state is RowState.DONE:
            _LOG.error("the claim of a sent request is another's", extra={"row": self.key})
            self._on_end(self, False)
            return False
        self._on_end(self, True)
        return False
