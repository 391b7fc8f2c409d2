"""Acquisition, release and completion of the claims of one VM."""

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
    ClaimRequest,
    ClaimRow,
    Holder,
    Outcome,
    RecordedResponse,
    Replay,
    RowState,
    recordable_response,
)
from .operations import Acquisition, Finalization
from .rate_limit import TableRateLimiter

__all__ = ["ClaimManager"]

# About 1 KiB each. With the pending responses, a VM holds about 20 MiB while the table is down.
MAX_OPEN_CLAIMS = 8192
MAX_PENDING_RESPONSE_BYTES = 8 * 1024 * 1024
# Share of the remaining time that a claim may wait; the rest is for the request itself. With a
# share of 1, claims granted under overload would be too late to send their requests.
MAX_WAIT_SHARE = 0.5
# A release that takes longer continues in the background.
RELEASE_WAIT_S = 1.0


class ClaimManager:
    """Claims non-idempotent requests in the table so that each is sent at most once.

    Explanation
    ===========

    A claim is granted only when its row shows this attempt as the holder. An attempt that ends
    before that is reported as not run, because it never sends its request. If its write may
    still take effect, the row is released as soon as the table is available. New claims are
    refused while ``MAX_OPEN_CLAIMS`` claims are open or wait to be released.

    :param incarnation: random id of this start of the daemon.
    :param clock: time base of the deadlines, in seconds; includes time while suspended.
    :param unix_time: wall clock for ``expires_at`` of the rows, in seconds.

    See Also
    ========

    hibiscushaven.claims.Claim
    """

    def __init__(
        self,
        table: Table,
        incarnation: str,
        clock: Callable[[], float],
        rate_limiter: TableRateLimiter,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._rate_limiter = rate_limiter
        self._unix_time = unix_time
        self._batcher = Batcher(table, clock, rate_limiter)
        self._attempts = itertools.count(1)
        self._granted = 0
        self._finalizations = 0
        self._pending_response_bytes = 0
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def counts(self) -> BatchCounts:
        return self._batcher.counts

    @property
    def open_claims(self) -> int:
        """Number of claims that are waiting, granted, or whose end is not recorded yet."""
        return self._granted + self._finalizations + self._batcher.waiting

    def set_live_vms(self, count: int) -> None:
        """Divide the rate limits of the table among ``count`` VMs."""
        self._rate_limiter.set_live_vms(count)

    async def claim(
        self, request: ClaimRequest, deadline: float
    ) -> Result[Claim | Replay, ClaimError]:
        """Claim a request, or return the result of its earlier run.

        :param deadline: time by which a result is returned.
        """
        if self.open_claims >= MAX_OPEN_CLAIMS:
            return Error(TableUnavailableError("too many claims wait to be recorded"))
        time_left = deadline - self._clock()
        if self._batcher.expected_wait_s >= MAX_WAIT_SHARE * time_left:
            return Error(DeadlineError("the claim cannot be recorded before the deadline"))
        holder = Holder(self._incarnation, next(self._attempts))
        row = self._make_row(request.fingerprint, holder, RowState.ACQUIRED)
        acquisition = Acquisition(request.row_key, row, self._release_orphan)
        self._batcher.submit(acquisition)
        try:
            await self._wait_for_result(acquisition, deadline)
        except asyncio.CancelledError:
            self._cancel(acquisition)
            raise
        return acquisition.result.result().map(
            lambda value: (
                value
                if isinstance(value, Replay)
                else self._grant(request, holder, value, deadline)
            )
        )

    async def release(self, claim: Claim) -> bool:
        """Release a claim whose request was not sent, so that a resend can be run.

        :returns: whether the release is recorded; otherwise it continues in the background.
        :raises ClaimSentError: when the request may have been sent.
        :raises ClaimReleasedError: when the claim was released before.
        """
        claim.begin_release()
        self._granted -= 1
        recorded = asyncio.get_running_loop().create_future()
        row = self._make_row(claim.request.fingerprint, claim.holder, RowState.RELEASED)
        self._submit_finalization(
            claim.request.row_key, row, claim.version, claim.version, recorded
        )
        await self._wait_for(recorded, RELEASE_WAIT_S)
        return recorded.done() and recorded.result()

    async def complete(
        self, claim: Claim, outcome: Outcome, response: RecordedResponse | None
    ) -> None:
        """Record the outcome of a sent request; the row is written in the background.

        If the write is abandoned, the row stays held and resends get the outcome ``unknown``.

        :param response: the complete response, or ``None`` if there is none.
        :raises ClaimStateError: when the request was not sent.
        :raises ValueError: for the outcome ``not-run``; such a claim has to be released.
        """
        if outcome is Outcome.NOT_RUN:
            raise ValueError("a request that was not run is released, not completed")
        claim.begin_completion()
        self._granted -= 1
        recorded_response = recordable_response(response)
        if (
            recorded_response is not None
            and self._pending_response_bytes + recorded_response.size > MAX_PENDING_RESPONSE_BYTES
        ):
            recorded_response = None
        row = self._make_row(
            claim.request.fingerprint,
            claim.holder,
            RowState.DONE,
            outcome=outcome,
            status=response.status if response else 0,
            response=recorded_response,
        )
        self._submit_finalization(claim.request.row_key, row, claim.version, claim.version)

    async def drain(self) -> None:
        """Wait until no finalization is pending."""
        await self._drained.wait()

    async def close(self) -> None:
        """Stop immediately; rows whose finalization is not written stay held."""
        await self._batcher.close()

    async def _wait_for_result(self, acquisition: Acquisition, deadline: float) -> None:
        await self._wait_for(acquisition.result, deadline - self._clock())
        if not acquisition.result.done():
            acquisition.result.set_result(
                Error(DeadlineError("the deadline passed before the claim was recorded"))
            )

    async def _wait_for(self, future: asyncio.Future, timeout_s: float) -> None:
        timer = asyncio.ensure_future(self._rate_limiter.sleep(timeout_s))
        try:
            await asyncio.wait({future, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()

    def _grant(self, request: ClaimRequest, holder: Holder, version: int, deadline: float) -> Claim:
        self._granted += 1
        return Claim(request, holder, version, deadline, self._clock)

    def _cancel(self, acquisition: Acquisition) -> None:
        if not acquisition.result.done():
            acquisition.result.cancel()
            return
        match acquisition.result.result():
            case Result(tag="ok", ok=int(version)):
                acquisition.expected = version
                self._release_orphan(acquisition)

    def _release_orphan(self, acquisition: Acquisition) -> None:
        claim_row = acquisition.row
        row = self._make_row(claim_row.fingerprint, claim_row.holder, RowState.RELEASED)
        self._submit_finalization(
            acquisition.key, row, acquisition.expected, acquisition.highest_expected
        )

    def _make_row(self, fingerprint: str, holder: Holder, state: RowState, **values) -> ClaimRow:
        return ClaimRow(fingerprint, state, holder, self._unix_time() + RETENTION_S, **values)

    def _submit_finalization(
        self,
        key: str,
        row: ClaimRow,
        expected: int,
        highest_expected: int,
        recorded: asyncio.Future[bool] | None = None,
    ) -> None:
        response_bytes = row.response.size if row.response else 0

        def on_end(_: Finalization, is_recorded: bool) -> None:
            self._finalizations -= 1
            self._pending_response_bytes -= response_bytes
            if not self._finalizations:
                self._drained.set()
            if recorded is not None and not recorded.done():
                recorded.set_result(is_recorded)

        self._finalizations += 1
        self._pending_response_bytes += response_bytes
        self._drained.clear()
        self._batcher.submit(Finalization(key, row, expected, highest_expected, on_end))
