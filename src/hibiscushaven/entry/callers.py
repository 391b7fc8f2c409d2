"""HTTP interface of callers: look-ups and requests."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from urllib.parse import quote

from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from hibiscushaven.delivery import AttemptError, RelayError
from hibiscushaven.documents import DocumentCatalog
from hibiscushaven.lookups import LookupAnswer
from hibiscushaven.process import Clock

from .bodies import read_body
from .classify import classify
from .problems import Problem, problem_response
from .recorder import RequestRecorder
from .requests import CallerAnswer, CallerRequest, ClassifiedRequest
from .router import RequestRouter

__all__ = ["CallerInterface"]

_LOG = logging.getLogger(__name__)
_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
# Credentials and control headers of this system are not for backend servers, and theirs not
# for callers.
_NOT_SENT = frozenset({"authorization", "host", "request-timeout", "request-id", "accept-encoding"})
_NOT_RETURNED = frozenset({"attempt-id", "request-outcome", "request-id", "date", "server"})
_RETRY_BUSY_S = 1.0
_MAX_TIMEOUT_DIGITS = 9  # more than any deadline; int() refuses thousands of digits
# A body is at most 1 MiB; a caller that takes longer for it would hold a place for a request.
_BODY_TIMEOUT_S = 60.0
_CALLER_GONE = 499  # nobody reads it


class _AnswerResponse(StreamingResponse):
    """A response that is closed however it ends, even if its body was never asked for."""

    def __init__(
        self, body: AsyncIterator[bytes], status: int, on_close: Callable[[], Awaitable[None]]
    ) -> None:
        super().__init__(body, status)
        self._on_close = on_close

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            await super().__call__(scope, receive, send)
        finally:
            await asyncio.shield(self._on_close())


class CallerInterface:
    """Routes of callers.

    :param look_up: returns the answer of a look-up, or why there is none.
    :param max_body_bytes: longest request body.
    :param max_requests: most callers' requests in progress on this VM.
    """

    def __init__(
        self,
        catalog: DocumentCatalog,
        router: RequestRouter,
        look_up: Callable[[str, Request], LookupAnswer | Problem],
        recorder: RequestRecorder,
        max_body_bytes: int,
        max_requests: int,
        clock: Clock,
        new_id: Callable[[], str],
        body_timeout_s: float = _BODY_TIMEOUT_S,
    ) -> None:
        self._body_timeout_s = body_timeout_s
        self._catalog = catalog
        self._router = router
        self._look_up = look_up
        self._recorder = recorder
        self._max_body_bytes = max_body_bytes
        self._max_requests = max_requests
        self._clock = clock
        self._new_id = new_id
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        return self._in_progress

    @property
    def routes(self) -> list[Route]:
        return [
            Route("/v1/lookup/{service}", self._lookup),
            Route("/v1/services/{service}", self._carry, methods=_METHODS),
            Route("/v1/services/{service}/{path:path}", self._carry, methods=_METHODS),
        ]

    async def _lookup(self, request: Request) -> Response:
        service = request.path_params["service"]
        found = self._look_up(service, request)
        if isinstance(found, Problem):
            return problem_response(found, self._new_id())
        keep = f"max-age={int(found.keep_s)}"
        headers = {"cache-control": keep}
        return Response(found.to_json(), headers=headers, media_type="application/json")

    async def _carry(self, request: Request) -> Response:
        request_id = self._new_id()
        if self._in_progress >= self._max_requests:
            problem = Problem(503, "too many requests in progress", retry_after_s=_RETRY_BUSY_S)
            return problem_response(problem, request_id)
        self._in_progress += 1
        is_passed_on = False
        try:
            response = await self._answer(request, request_id)
            is_passed_on = isinstance(response, StreamingResponse)
            return response
        finally:
            if not is_passed_on:
                self._in_progress -= 1

    async def _answer(self, request: Request, request_id: str) -> Response:
        started = self._clock.now()
        body = await self._read_body(request)
        if isinstance(body, Problem):
            return problem_response(body, request_id)
        if body is None:
            return Response(status_code=_CALLER_GONE)
        timeout_ms = _timeout_ms(request)
        if isinstance(timeout_ms, Problem):
            return problem_response(timeout_ms, request_id)
        target = _target(request, request.path_params["service"])
        if target is None:
            detail = "expected /v1/services/SERVICE/PATH with the service's name unencoded"
            return problem_response(Problem(400, "bad path", detail), request_id)
        incoming = self._incoming(request, request_id, target, body, timeout_ms)
        classified = classify(self._catalog, incoming, started)
        if classified.is_error():
            return problem_response(classified.error, request_id)
        item = classified.ok
        result = await _unless_gone(request, self._router.handle(item), item)
        if result is None:
            return Response(status_code=_CALLER_GONE)
        if result.is_error():
            problem = result.error
            self._recorder.refused(item, problem, self._clock.now() - started)
            return problem_response(problem, request_id)
        return self._stream(item, result.ok, started)

    def _stream(self, item: ClassifiedRequest, answer: CallerAnswer, started: float) -> Response:
        headers = [pair for pair in answer.headers if pair[0].lower() not in _NOT_RETURNED]
        headers.append(("request-outcome", answer.outcome.value))
        headers.append(("request-id", item.request.id))
        transfer = _Transfer(item, answer, self._clock, self._recorder, started)

        async def close() -> None:
            self._in_progress -= 1
            await transfer.close()

        response = _AnswerResponse(transfer.read(), answer.status, close)
        response.raw_headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        return response

    async def _read_body(self, request: Request) -> bytes | Problem | None:
        """Return the body, why it is not taken, or ``None`` if the caller went away."""
        try:
            async with asyncio.timeout(self._body_timeout_s):
                return await read_body(request, self._max_body_bytes)
        except ClientDisconnect:
            return None
        except TimeoutError:
            detail = f"the request body did not arrive within {self._body_timeout_s:g} s"
            return Problem(408, "request body too slow", detail)

    def _incoming(
        self,
        request: Request,
        request_id: str,
        target: str,
        body: bytes,
        timeout_ms: int | None,
    ) -> CallerRequest:
        service = request.path_params["service"]
        path = "/" + request.path_params.get("path", "")
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.headers.raw
            if name.decode("latin-1").lower() not in _NOT_SENT
        )
        return CallerRequest(
            id=request_id,
            service=service,
            method=request.method,
            path=path,
            target=target,
            headers=headers,
            body=body,
            token=_bearer(request),
            key=request.headers.get("idempotency-key"),
            timeout_ms=timeout_ms,
        )


class _Transfer:
    """Passes the body of an answer on to its caller."""

    def __init__(
        self,
        item: ClassifiedRequest,
        answer: CallerAnswer,
        clock: Clock,
        recorder: RequestRecorder,
        started: float,
    ) -> None:
        self._item = item
        self._answer = answer
        self._clock = clock
        self._recorder = recorder
        self._started = started
        self._is_complete = False

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        self._recorder.head(self._item, self._clock.now() - self._started)
        try:
            async for chunk in self._answer.body:
                yield chunk
        except (AttemptError, RelayError) as error:
            # The server closes the caller's connection, so that the body cannot pass for whole.
            _LOG.warning(
                "body cut short", extra={"request_id": self._item.request.id, "reason": str(error)}
            )
            raise
        self._is_complete = True

    async def close(self) -> None:
        """Record the end, and free what the answer holds."""
        seconds = self._clock.now() - self._started
        self._recorder.finished(self._item, seconds, self._is_complete)
        await self._answer.close()


async def _unless_gone(request: Request, work, item):
    """Return the result of some work, or ``None`` if the caller went away.

    Non-idempotent work goes on without its caller, so that its result is kept.
    """
    task = asyncio.create_task(work)
    if not item.request_class.is_idempotent:
        return await asyncio.shield(task)
    gone = asyncio.create_task(_wait_gone(request))
    try:
        await asyncio.wait((task, gone), return_when=asyncio.FIRST_COMPLETED)
        return await task if task.done() else None
    finally:
        gone.cancel()
        if not task.done():
            task.cancel()


async def _wait_gone(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        continue


def _target(request: Request, service: str) -> str | None:
    """Return path and query below the service, as the caller wrote them.

    The result is ``None`` if the way to the service is written in another form, such as with
    an encoded slash: what is checked and what is sent would then be different paths.
    """
    raw = request.scope.get("raw_path") or quote(request.scope["path"]).encode()
    prefix = f"/v1/services/{service}".encode()
    target = raw.partition(b"?")[0].removeprefix(prefix).decode("latin-1")
    if not raw.startswith(prefix) or (not target.startswith("/") and target):
        return None
    query = request.scope["query_string"].decode("latin-1")
    return f"{target or '/'}?{query}" if query else target or "/"


def _bearer(request: Request) -> str | None:
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else None


def _timeout_ms(request: Request) -> int | Problem | None:
    value = request.headers.get("request-timeout")
    if value is None:
        return None
    is_short = value.isdecimal() and len(value) <= _MAX_TIMEOUT_DIGITS
    if not is_short or int(value) == 0:
        detail = f"Request-Timeout {value[:20]!r}: expected milliseconds from 1 to 999999999"
        return Problem(400, "bad Request-Timeout", detail)
    return int(value)
