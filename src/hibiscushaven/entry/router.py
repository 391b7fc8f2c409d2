"""Way of a caller's request: claim, place, owner of a shard, answer."""

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
from .requests import CallerAnswer, ClassifiedRequest
from .routes import Routes

__all__ = ["RequestRouter"]

_LOG = logging.getLogger(__name__)
_MAX_ROUTES = 3
# Responses of claimed requests up to this size are taken whole before they are passed on, so
# that the result is kept even when the caller goes away.
_CLAIMED_BUFFER_BYTES = 1024 * 1024
_STATUS_BY_REASON = {"quarantined": 503, "deadline-passed": 504}
_PASSED_HEADERS = frozenset({"content-type", "etag", "location", "last-modified"})


class RequestRouter:
    """Sends classified requests on their way."""

    def __init__(self, claims: ClaimManager, routes: Routes, clock: Clock) -> None:
        self._clock = clock
        self._claims = claims
        self._routes = routes

    async def handle(self, item: ClassifiedRequest) -> Result[CallerAnswer, Problem]:
        """Return the answer of a backend server, or why there is none."""
        if item.request_class.is_idempotent:
            return await self._route(item)
        return await self._handle_claimed(item)

    async def _handle_claimed(self, item: ClassifiedRequest) -> Result[CallerAnswer, Problem]:
        request = item.request
        path, _, query = request.target.partition("?")
        wanted = ClaimRequest(
            service=request.service,
            tenant=item.entry.document.tenant,
            caller=item.caller_name,
            key=request.key or "",
            fingerprint=request_fingerprint(request.method, path, query, request.body),
        )
        granted = await self._claims.claim(wanted, item.deadline)
        if granted.is_error():
            return Error(_claim_problem(granted.error))
        if isinstance(granted.ok, Replay):
            return _replayed(granted.ok)
        return await self._run_claimed(item, granted.ok)

    async def _run_claimed(
        self, item: ClassifiedRequest, claim: Claim
    ) -> Result[CallerAnswer, Problem]:
        result = await self._route(item, claim)
        if result.is_error():
            await self._settle(claim, result.error)
            return result
        answer = result.ok
        body = _ClaimedBody(self._claims, claim, answer)
        try:
            is_whole = await body.read_ahead(_CLAIMED_BUFFER_BYTES)
        except (AttemptError, RelayError) as error:
            await body.close()
            return Error(Problem(502, "incomplete answer", str(error), Outcome.UNKNOWN.value))
        if not is_whole:
            return Ok(CallerAnswer(answer.status, answer.headers, body, close=body.close))
        kept = tuple(pair for pair in answer.headers if pair[0].lower() in _PASSED_HEADERS)
        whole = body.take()
        await self._claims.complete(
            claim, Outcome.RUN, RecordedResponse(answer.status, kept, whole)
        )
        await answer.close()
        return Ok(CallerAnswer(answer.status, answer.headers, _once(whole)))

    async def _settle(self, claim: Claim, problem: Problem) -> None:
        """Release a claim whose request was not run; record that nothing is known otherwise."""
        if problem.outcome == Outcome.NOT_RUN.value:
            await self._claims.release(claim)
        else:
            await self._claims.complete(claim, Outcome.UNKNOWN, None)

    async def _route(
        self, item: ClassifiedRequest, claim: Claim | None = None
    ) -> Result[CallerAnswer, Problem]:
        """Send a request, and another way if the first one failed.

        A way that failed may have run it, so that a later refusal is no proof that it did not.
        """
        self._routes.note_arrival(item)
        may_have_run = False
        for number in range(_MAX_ROUTES):
            domain = self._routes.choose_domain(item, number == _MAX_ROUTES - 1)
            if domain is None:
                return Error(_with_doubt(self._routes.no_place(item), may_have_run))
            try:
                if claim is not None:
                    claim.mark_sent()
                return Ok(await self._routes.send(item, domain))
            except ClaimStateError as error:
                return Error(Problem(504, "deadline passed", str(error)))
            except RouteError as error:
                if claim is not None and error.outcome is Outcome.NOT_RUN:
                    claim.mark_refused()
                may_have_run |= error.outcome is not Outcome.NOT_RUN
                if not self._may_reroute(item, error):
                    return Error(_with_doubt(_route_problem(error), may_have_run))
                last = error
                _LOG.info(
                    "request rerouted",
                    extra={"request_id": item.request.id, "reason": error.reason},
                )
        return Error(_with_doubt(_route_problem(last), may_have_run))

    def _may_reroute(self, item: ClassifiedRequest, error: RouteError) -> bool:
        if not error.is_route_lost or self._clock.now() >= item.deadline:
            return False
        return error.outcome is Outcome.NOT_RUN or item.request_class.is_idempotent


class _ClaimedBody:
    """Body of a claimed request's answer; the claim ends with it."""

    def __init__(self, claims: ClaimManager, claim: Claim, answer: CallerAnswer) -> None:
        self._claims = claims
        self._claim = claim
        self._answer = answer
        self._rest = aiter(answer.body)
        self._parts: list[bytes] = []
        self._is_ended = False

    async def read_ahead(self, limit: int) -> bool:
        """Read up to a limit in bytes, or a chunk more; return whether that is all."""
        size = 0
        async for chunk in self._rest:
            self._parts.append(chunk)
            size += len(chunk)
            if size > limit:
                return False
        return True

    def take(self) -> bytes:
        """Return what was read."""
        return b"".join(self._parts)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for part in self._parts:
            yield part
        async for chunk in self._rest:
            yield chunk
        await self._end(Outcome.RUN)

    async def close(self) -> None:
        """End the claim; the outcome is unknown unless the body was read to its end."""
        await self._end(Outcome.UNKNOWN)
        await self._answer.close()

    async def _end(self, outcome: Outcome) -> None:
        if not self._is_ended:
            self._is_ended = True
            await self._claims.complete(self._claim, outcome, None)


async def _once(data: bytes) -> AsyncIterator[bytes]:
    yield data


def _replayed(replay: Replay) -> Result[CallerAnswer, Problem]:
    """Return the result of an earlier run."""
    if replay.outcome is Outcome.RUN and replay.response is not None:
        kept = replay.response
        headers = (*kept.headers, ("Idempotent-Replayed", "true"))
        return Ok(CallerAnswer(kept.status, headers, _once(kept.body)))
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


def _with_doubt(problem: Problem, may_have_run: bool) -> Problem:
    """Return a problem with outcome ``unknown`` if an earlier try may have run the request."""
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
