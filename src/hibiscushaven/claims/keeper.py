"""At-most-once claims of one VM."""

import asyncio
import itertools
import time
from collections.abc import Callable

from expression import Error, Result

from hibiscushaven.tablestore import Table

from .batcher import BatchCounts, Batcher
from .claim import Claim
from .errors import ClaimError, DeadlineError, TableUnavailableError
from .model import (
    RETENTION_S,
    Answer,
    ClaimRequest,
    ClaimRow,
    Holder,
    Outcome,
    Replay,
    RowState,
    kept_answer,
)
from .operations import Acquisition, Ending
from .pace import Pace

__all__ = ["ClaimKeeper"]

# About 1 KiB each; with the answers below a VM keeps to some 20 MiB while the table is down.
MAX_OPEN_CLAIMS = 8192
MAX_WAITING_ANSWER_BYTES = 8 * 1024 * 1024
# Part of the time left that a claim may take; the rest is for the request itself. Under overload
# a queue as long as the deadline would grant claims that come too late to be sent.
CLAIM_SHARE = 0.5
# A release that takes longer goes on in the background.
RELEASE_WAIT_S = 1.0


class ClaimKeeper:
    """Claims non-idempotent requests in the table, so that each is sent at most once.

    Explanation
    ===========

    A claim is granted only when its row shows this attempt as the holder. An attempt that ends
    before that is reported as not run, because it never sends; if its write may still take
    effect, the keeper releases the row as soon as the table allows it. The number of claims
    that are open or wait for this is bounded: beyond it new claims are refused.

    :param incarnation: random id of this start of the daemon.
    :param clock: time base of the deadlines, in seconds; it counts time while suspended.
    :param unix_time: wall clock for the rows' ``expires_at``.

    See Also
    ========

    hibiscushaven.claims.Claim
    """

    def __init__(
        self,
        table: Table,
        incarnation: str,
        clock: Callable[[], float],
        pace: Pace,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._pace = pace
        self._unix_time = unix_time
        self._batcher = Batcher(table, clock, pace)
        self._attempts = itertools.count(1)
        self._granted = 0
        self._endings = 0
        self._answer_bytes = 0
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def counts(self) -> BatchCounts:
        return self._batcher.counts

    @property
    def open_claims(self) -> int:
        """Claims that wait, are granted, or whose end is not recorded yet."""
        return self._granted + self._endings + self._batcher.waiting

    def set_live_vms(self, count: int) -> None:
        """Share the budget of transactions among ``count`` VMs."""
        self._pace.set_live_vms(count)

    async def claim(
        self, request: ClaimRequest, deadline: float
    ) -> Result[Claim | Replay, ClaimError]:
        """Claim a request, or return the result of its earlier run.

        :param deadline: latest time for an answer.
        """
        if self.open_claims >= MAX_OPEN_CLAIMS:
            return Error(TableUnavailableError("too many claims wait to be recorded"))
        time_left = deadline - self._clock()
        if self._batcher.expected_wait_s >= CLAIM_SHARE * time_left:
            return Error(DeadlineError("the claim cannot be recorded before the deadline"))
        holder = Holder(self._incarnation, next(self._attempts))
        row = self._row(request.fingerprint, holder, RowState.HELD)
        acquisition = Acquisition(request.row_key, row, self._release_orphan)
        self._batcher.submit(acquisition)
        try:
            await self._wait(acquisition, deadline)
        except asyncio.CancelledError:
            self._abandon(acquisition)
            raise
        return acquisition.result.result().map(
            lambda value: (
                value
                if isinstance(value, Replay)
                else self._grant(request, holder, value, deadline)
            )
        )

    async def release(self, claim: Claim) -> bool:
        """Give up a claim that was not sent, so that a resend can be run.

        :returns: whether the release is recorded; if not, it goes on in the background.
        :raises ClaimSentError: when the request may have left.
        :raises ClaimReleasedError: when release was asked for before.
        """
        claim.begin_release()
        self._granted -= 1
        recorded = asyncio.get_running_loop().create_future()
        row = self._row(claim.request.fingerprint, claim.holder, RowState.RELEASED)
        self._end(claim.request.row_key, row, claim.version, claim.version, recorded)
        await self._wait_for(recorded, RELEASE_WAIT_S)
        return recorded.done() and recorded.result()

    async def complete(self, claim: Claim, outcome: Outcome, answer: Answer | None) -> None:
        """Record the outcome of a request that was sent; the row is written in the background.

        If that fails for good, the row stays held and resends are told ``unknown``.

        :param answer: the complete response, or ``None`` if there is none.
        :raises ClaimStateError: when the request was not sent.
        :raises ValueError: for ``not-run``; such a claim is released.
        """
        if outcome is Outcome.NOT_RUN:
            raise ValueError("a request that was not run is released, not completed")
        claim.begin_completion()
        self._granted -= 1
        kept = kept_answer(answer)
        if kept is not None and self._answer_bytes + kept.size > MAX_WAITING_ANSWER_BYTES:
            kept = None
        row = self._row(
            claim.request.fingerprint,
            claim.holder,
            RowState.DONE,
            outcome=outcome,
            status=answer.status if answer else 0,
            answer=kept,
        )
        self._end(claim.request.row_key, row, claim.version, claim.version)

    async def drain(self) -> None:
        """Wait until every end is recorded."""
        await self._drained.wait()

    async def close(self) -> None:
        """Stop at once; rows whose end is not recorded stay held."""
        await self._batcher.close()

    async def _wait(self, acquisition: Acquisition, deadline: float) -> None:
        await self._wait_for(acquisition.result, deadline - self._clock())
        if not acquisition.result.done():
            acquisition.result.set_result(
                Error(DeadlineError("the deadline passed before the claim was recorded"))
            )

    async def _wait_for(self, future: asyncio.Future, seconds: float) -> None:
        timer = asyncio.ensure_future(self._pace.sleep(seconds))
        try:
            await asyncio.wait({future, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()

    def _grant(self, request: ClaimRequest, holder: Holder, version: int, deadline: float) -> Claim:
        self._granted += 1
        return Claim(request, holder, version, deadline, self._clock)

    def _abandon(self, acquisition: Acquisition) -> None:
        if not acquisition.result.done():
            acquisition.result.cancel()
            return
        match acquisition.result.result():
            case Result(tag="ok", ok=int(version)):
                acquisition.expected = version
                self._release_orphan(acquisition)

    def _release_orphan(self, acquisition: Acquisition) -> None:
        held = acquisition.row
        row = self._row(held.fingerprint, held.holder, RowState.RELEASED)
        self._end(acquisition.key, row, acquisition.expected, acquisition.highest)

    def _row(self, fingerprint: str, holder: Holder, state: RowState, **values) -> ClaimRow:
        return ClaimRow(fingerprint, state, holder, self._unix_time() + RETENTION_S, **values)

    def _end(
        self,
        key: str,
        row: ClaimRow,
        expected: int,
        highest: int,
        recorded: asyncio.Future[bool] | None = None,
    ) -> None:
        answer_bytes = row.answer.size if row.answer else 0

        def ended(_: Ending, is_recorded: bool) -> None:
            self._endings -= 1
            self._answer_bytes -= answer_bytes
            if not self._endings:
                self._drained.set()
            if recorded is not None and not recorded.done():
                recorded.set_result(is_recorded)

        self._endings += 1
        self._answer_bytes += answer_bytes
        self._drained.clear()
        self._batcher.submit(Ending(key, row, expected, highest, ended))
