"""Routes callers' requests: claims, choice of the place, rerouting and recorded responses."""

import logging
from collections.abc import AsyncIterator
from dataclasses import replace

from expression import Error, Ok, Result

from hibiscushaven.claims import (
    Claim,
    ClaimError,
    ClaimManager,
    ClaimRequest,
    ClaimStateError,
    RecordedResponse,
    Replay,
    request_fingerprint,
)
from hibiscushaven.delivery import AttemptError, RelayError
from hibiscushaven.outcomes import Outcome
from hibiscushaven.process import Clock

from .errors import RouteError
from .problems import Problem
from .requests import CallerResponse, ClassifiedRequest
from .routes import RequestForwarder

__all__ = ["RequestRouter"]

_LOG = logging.getLogger(__name__)
# Largest number of routes that are tried for one request.
_MAX_ROUTES = 3
# Responses of claimed requests up to this size are buffered before they are returned, so that
# the result is recorded even if the caller disconnects.
_MAX_RECORDED_BYTES = 1024 * 1024
_STATUS_BY_REASON = {"quarantined": 503, "deadline-passed": 504}
_RECORDED_HEADERS = frozenset({"content-type", "etag", "location", "last-modified"})


class RequestRouter:
    """Routes classified requests and claims those that are not idempotent."""

    def __init__(self, claims: ClaimManager, forwarder: RequestForwarder, clock: Clock) -> None:
        self._clock = clock
        self._claims = claims
        self._forwarder = forwarder

    async def handle(self, classified: ClassifiedRequest) -> Result[CallerResponse, Problem]:
        """Return the response of a backend server, or the problem to refuse the request with."""
        if classified.request_class.is_idempotent:
            return await self._route(classified)
        return await self._handle_claimed(classified)

    async def _handle_claimed(
        self, classified: ClassifiedRequest
    ) -> Result[CallerResponse, Problem]:
        request = classified.request
        path, _, query = request.target.partition("?")
        claim_request = ClaimRequest(
            service=request.service,
            tenant=classified.entry.document.tenant,
            caller=classified.caller_name,
            key=request.key or "",
            fingerprint=request_fingerprint(request.method, path, query, request.body),
        )
        granted = await self._claims.claim(claim_request, classified.deadline)
        if granted.is_error():
            return Error(_claim_problem(granted.error))
        if isinstance(granted.ok, Replay):
            return _replayed_response(granted.ok)
        return await self._run_claimed(classified, granted.ok)

    async def _run_claimed(
        self, classified: ClassifiedRequest, claim: Claim
    ) -> Result[CallerResponse, Problem]:
        result = await self._route(classified, claim)
        if result.is_error():
            await self._settle_claim(claim, result.error)
            return result
        response = result.ok
        body = _ClaimedBody(self._claims, claim, response)
        try:
            is_complete = await body.read_ahead(_MAX_RECORDED_BYTES)
        except (AttemptError, RelayError) as error:
            await body.close()
            return Error(Problem(502, "incomplete answer", str(error), Outcome.UNKNOWN.value))
        if not is_complete:
            return Ok(CallerResponse(response.status, response.headers, body, close=body.close))
        headers = tuple(pair for pair in response.headers if pair[0].lower() in _RECORDED_HEADERS)
        data = body.buffered()
        await self._claims.complete(
            claim, Outcome.RUN, RecordedResponse(response.status, headers, data)
        )
        await response.close()
        return Ok(CallerResponse(response.status, response.headers, _single_chunk(data)))

    async def _settle_claim(self, claim: Claim, problem: Problem) -> None:
        """Release the claim of a request that was not run; else record an unknown outcome."""
        if problem.outcome == Outcome.NOT_RUN.value:
            await self._claims.release(claim)
        else:
            await self._claims.complete(claim, Outcome.UNKNOWN, None)

    async def _route(
        self, classified: ClassifiedRequest, claim: Claim | None = None
    ) -> Result[CallerResponse, Problem]:
        """Send a request, and reroute it if the route fails.

        A failed route may have executed the request. A later refusal then does not prove that
        it was not executed, and the outcome is reported as unknown.
        """
        self._forwarder.record_arrival(classified)
        may_have_run = False
        for number in range(_MAX_ROUTES):
            domain = self._forwarder.choose_domain(classified, number == _MAX_ROUTES - 1)
            if domain is None:
                return Error(
                    _with_unknown_outcome(
                        self._forwarder.no_place_problem(classified), may_have_run
                    )
                )
            try:
                if claim is not None:
                    claim.mark_sent()
                return Ok(await self._forwarder.send(classified, domain))
            except ClaimStateError as error:
                return Error(Problem(504, "deadline passed", str(error)))
            except RouteError as error:
                if claim is not None and error.outcome is Outcome.NOT_RUN:
                    claim.mark_refused()
                may_have_run |= error.outcome is not Outcome.NOT_RUN
                if not self._may_reroute(classified, error):
                    return Error(_with_unknown_outcome(_route_problem(error), may_have_run))
                last_error = error
                _LOG.info(
                    "request rerouted",
                    extra={"request_id": classified.request.id, "reason": error.reason},
                )
        return Error(_with_unknown_outcome(_route_problem(last_error), may_have_run))

    def _may_reroute(self, classified: ClassifiedRequest, error: RouteError) -> bool:
        if not error.is_route_failure or self._clock.now() >= classified.deadline:
            return False
        return error.outcome is Outcome.NOT_RUN or classified.request_class.is_idempotent


class _ClaimedBody:
    """Response body of a claimed request; completes the claim when it ends."""

    def __init__(self, claims: ClaimManager, claim: Claim, response: CallerResponse) -> None:
        self._claims = claims
        self._claim = claim
        self._response = response
        self._rest = aiter(response.body)
        self._buffer: list[bytes] = []
        self._is_ended = False

    async def read_ahead(self, limit: int) -> bool:
        """Buffer the body until it ends or exceeds a limit; return whether it has ended.

        :param limit: number of bytes after which reading stops.
        """
        size = 0
        async for chunk in self._rest:
            self._buffer.append(chunk)
            size += len(chunk)
            if size > limit:
                return False
        return True

    def buffered(self) -> bytes:
        """Return the buffered bytes."""
        return b"".join(self._buffer)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for chunk in self._buffer:
            yield chunk
        async for chunk in self._rest:
            yield chunk
        await self._end(Outcome.RUN)

    async def close(self) -> None:
        """Complete the claim; the outcome is unknown unless the body was read to its end."""
        await self._end(Outcome.UNKNOWN)
        await self._response.close()

    async def _end(self, outcome: Outcome) -> None:
        if not self._is_ended:
            self._is_ended = True
            await self._claims.complete(self._claim, outcome, None)


async def _single_chunk(data: bytes) -> AsyncIterator[bytes]:
    yield data


def _replayed_response(replay: Replay) -> Result[CallerResponse, Problem]:
    """Return the recorded result of an earlier run with the same key."""
    if replay.outcome is Outcome.RUN and replay.response is not None:
        recorded = replay.response
        headers = (*recorded.headers, ("Idempotent-Replayed", "true"))
        return Ok(CallerResponse(recorded.status, headers, _single_chunk(recorded.body)))
    if replay.outcome is Outcome.RUN:
        detail = f"it ran with status {replay.status}; the answer was too large to keep"
        return Error(Problem(409, "already run", detail, Outcome.RUN.value))
    detail = "an earlier attempt with this key may have run; it is never run again"
    return Error(Problem(409, "outcome unknown", detail, Outcome.UNKNOWN.value))


def _claim_problem(error: ClaimError) -> Problem:
    return Problem(
        error.status,
        "request not claimed",
        error.reason,
        error.outcome.value,
        error.retry_after_s or None,
    )


def _with_unknown_outcome(problem: Problem, may_have_run: bool) -> Problem:
    """Return a problem with outcome ``unknown`` if an earlier route may have run the request."""
    if may_have_run and problem.outcome == Outcome.NOT_RUN.value:
        return replace(problem, outcome=Outcome.UNKNOWN.value)
    return problem


def _route_problem(error: RouteError) -> Problem:
    if error.outcome is Outcome.NOT_RUN:
        status = _STATUS_BY_REASON.get(error.reason, 503)
        return Problem(
            status, "request refused", error.reason, "not-run", error.retry_after_s or 1.0
        )
    status = 504 if error.reason == "deadline-passed" else 502
    return Problem(
        status, "request failed", error.reason, Outcome.UNKNOWN.value, error.retry_after_s or 1.0
    )
