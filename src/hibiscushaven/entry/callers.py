"""HTTP interface for callers: look-ups and requests to services."""

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
from .requests import CallerRequest, CallerResponse, ClassifiedRequest
from .router import RequestRouter

__all__ = ["CallerInterface"]

_LOG = logging.getLogger(__name__)
_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
# Credentials and control headers of this system must not reach backend servers, and control
# headers of backend servers must not reach callers.
_DROPPED_REQUEST_HEADERS = frozenset(
    {"authorization", "host", "request-timeout", "request-id", "accept-encoding"}
)
_DROPPED_RESPONSE_HEADERS = frozenset(
    {"attempt-id", "request-outcome", "request-id", "date", "server"}
)
_BUSY_RETRY_AFTER_S = 1.0
_MAX_TIMEOUT_DIGITS = 9  # longer than any deadline; int() raises for thousands of digits
# A body is at most 1 MiB. A slower caller would occupy one of the max_requests for too long.
_BODY_TIMEOUT_S = 60.0
_STATUS_CALLER_GONE = 499  # never read, since the caller has disconnected


class _ClosingStreamingResponse(StreamingResponse):
    """A streaming response that always calls ``on_close``, even if its body is never read."""

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
    """HTTP routes for callers.

    :param look_up: answers a look-up, or returns the problem to refuse it with.
    :param max_body_bytes: longest request body.
    :param max_requests: largest number of callers' requests in progress on this VM.
    :param new_id: returns a unique request id.
    :param body_timeout_s: longest time to receive a request body.
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
            Route("/v1/lookup/{service}", self._handle_lookup),
            Route("/v1/services/{service}", self._handle_request, methods=_METHODS),
            Route("/v1/services/{service}/{path:path}", self._handle_request, methods=_METHODS),
        ]

    async def _handle_lookup(self, request: Request) -> Response:
        service = request.path_params["service"]
        answer = self._look_up(service, request)
        if isinstance(answer, Problem):
            return problem_response(answer, self._new_id())
        max_age = f"max-age={int(answer.keep_s)}"
        headers = {"cache-control": max_age}
        return Response(answer.to_json(), headers=headers, media_type="application/json")

    async def _handle_request(self, request: Request) -> Response:
        request_id = self._new_id()
        if self._in_progress >= self._max_requests:
            problem = Problem(
                503, "too many requests in progress", retry_after_s=_BUSY_RETRY_AFTER_S
            )
            return problem_response(problem, request_id)
        self._in_progress += 1
        is_streaming = False
        try:
            response = await self._respond(request, request_id)
            is_streaming = isinstance(response, StreamingResponse)
            return response
        finally:
            if not is_streaming:
                self._in_progress -= 1

    async def _respond(self, request: Request, request_id: str) -> Response:
        started_at = self._clock.now()
        body = await self._read_body(request)
        if isinstance(body, Problem):
            return problem_response(body, request_id)
        if body is None:
            return Response(status_code=_STATUS_CALLER_GONE)
        timeout_ms = _timeout_ms(request)
        if isinstance(timeout_ms, Problem):
            return problem_response(timeout_ms, request_id)
        target = _target(request, request.path_params["service"])
        if target is None:
            detail = "expected /v1/services/SERVICE/PATH with the service's name unencoded"
            return problem_response(Problem(400, "bad path", detail), request_id)
        caller_request = self._caller_request(request, request_id, target, body, timeout_ms)
        classification = classify(self._catalog, caller_request, started_at)
        if classification.is_error():
            return problem_response(classification.error, request_id)
        classified = classification.ok
        result = await _run_unless_disconnected(
            request, self._router.handle(classified), classified
        )
        if result is None:
            return Response(status_code=_STATUS_CALLER_GONE)
        if result.is_error():
            problem = result.error
            self._recorder.record_refusal(classified, problem, self._clock.now() - started_at)
            return problem_response(problem, request_id)
        return self._stream_response(classified, result.ok, started_at)

    def _stream_response(
        self, classified: ClassifiedRequest, response: CallerResponse, started_at: float
    ) -> Response:
        headers = [
            pair for pair in response.headers if pair[0].lower() not in _DROPPED_RESPONSE_HEADERS
        ]
        headers.append(("request-outcome", response.outcome.value))
        headers.append(("request-id", classified.request.id))
        response_body = _ResponseBody(classified, response, self._clock, self._recorder, started_at)

        async def close() -> None:
            self._in_progress -= 1
            await response_body.close()

        http_response = _ClosingStreamingResponse(response_body.read(), response.status, close)
        http_response.raw_headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        return http_response

    async def _read_body(self, request: Request) -> bytes | Problem | None:
        """Return the body, a problem to refuse it with, or ``None`` if the caller disconnected."""
        try:
            async with asyncio.timeout(self._body_timeout_s):
                return await read_body(request, self._max_body_bytes)
        except ClientDisconnect:
            return None
        except TimeoutError:
            detail = f"the request body did not arrive within {self._body_timeout_s:g} s"
            return Problem(408, "request body too slow", detail)

    def _caller_request(
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
            if name.decode("latin-1").lower() not in _DROPPED_REQUEST_HEADERS
        )
        return CallerRequest(
            id=request_id,
            service=service,
            method=request.method,
            path=path,
            target=target,
            headers=headers,
            body=body,
            token=_bearer_token(request),
            key=request.headers.get("idempotency-key"),
            timeout_ms=timeout_ms,
        )


class _ResponseBody:
    """Forwards the body of a response to the caller and records its end."""

    def __init__(
        self,
        classified: ClassifiedRequest,
        response: CallerResponse,
        clock: Clock,
        recorder: RequestRecorder,
        started_at: float,
    ) -> None:
        self._classified = classified
        self._response = response
        self._clock = clock
        self._recorder = recorder
        self._started_at = started_at
        self._is_complete = False

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        self._recorder.record_first_byte(self._classified, self._clock.now() - self._started_at)
        try:
            async for chunk in self._response.body:
                yield chunk
        except (AttemptError, RelayError) as error:
            # The server closes the caller's connection, so that a truncated body is detected.
            _LOG.warning(
                "response body truncated",
                extra={"request_id": self._classified.request.id, "reason": str(error)},
            )
            raise
        self._is_complete = True

    async def close(self) -> None:
        """Record the end of the response and release its resources."""
        seconds = self._clock.now() - self._started_at
        self._recorder.record_end(self._classified, seconds, self._is_complete)
        await self._response.close()


async def _run_unless_disconnected(request: Request, coroutine, classified):
    """Return the result of a coroutine, or ``None`` if the caller disconnected before.

    A request that is not idempotent continues without its caller, so that its result is
    recorded.
    """
    task = asyncio.create_task(coroutine)
    if not classified.request_class.is_idempotent:
        return await asyncio.shield(task)
    disconnected = asyncio.create_task(_wait_disconnected(request))
    try:
        await asyncio.wait((task, disconnected), return_when=asyncio.FIRST_COMPLETED)
        return await task if task.done() else None
    finally:
        disconnected.cancel()
        if not task.done():
            task.cancel()


async def _wait_disconnected(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        continue


def _target(request: Request, service: str) -> str | None:
    """Return path and query below the service, as the caller encoded them.

    The result is ``None`` if the prefix up to the service is encoded in another form, such as
    with an encoded slash. The path that is checked would then differ from the path that is
    sent.
    """
    raw = request.scope.get("raw_path") or quote(request.scope["path"]).encode()
    prefix = f"/v1/services/{service}".encode()
    target = raw.partition(b"?")[0].removeprefix(prefix).decode("latin-1")
    if not raw.startswith(prefix) or (not target.startswith("/") and target):
        return None
    query = request.scope["query_string"].decode("latin-1")
    return f"{target or '/'}?{query}" if query else target or "/"


def _bearer_token(request: Request) -> str | None:
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
