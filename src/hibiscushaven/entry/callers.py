"""HTTP interface of callers: look-ups and requests."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from urllib.parse import quote

from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from hibiscushaven.delivery import AttemptError, RelayError
from hibiscushaven.documents import DocumentCatalog
from hibiscushaven.lookups import LookupAnswer

from .classify import classify
from .clock import Clock
from .problems import Problem, problem_response
from .recorder import RequestRecorder
from .requests import CallerAnswer, CallerRequest
from .router import RequestRouter

__all__ = ["CallerInterface"]

_LOG = logging.getLogger(__name__)
_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
# Credentials and control headers of this system are not for backend servers, and theirs not
# for callers.
_NOT_SENT = frozenset({"authorization", "host", "request-timeout", "request-id", "accept-encoding"})
_NOT_RETURNED = frozenset({"attempt-id", "request-outcome", "request-id", "date", "server"})
_RETRY_BUSY_S = 1.0


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
    ) -> None:
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
        if body is None:
            detail = f"more than {self._max_body_bytes} bytes"
            return problem_response(Problem(413, "request body too long", detail), request_id)
        timeout_ms = _timeout_ms(request)
        if isinstance(timeout_ms, Problem):
            return problem_response(timeout_ms, request_id)
        incoming = self._incoming(request, request_id, body, timeout_ms)
        classified = classify(self._catalog, incoming, started)
        if classified.is_error():
            return problem_response(classified.error, request_id)
        item = classified.ok
        result = await _unless_gone(request, self._router.handle(item), item)
        if result is None:
            return Response(status_code=499)
        if result.is_error():
            problem = result.error
            self._recorder.refused(item, problem, self._clock.now() - started)
            return problem_response(problem, request_id)
        return self._stream(item, result.ok, started)

    def _stream(self, item, answer: CallerAnswer, started: float) -> Response:
        headers = [pair for pair in answer.headers if pair[0].lower() not in _NOT_RETURNED]
        headers.append(("request-outcome", answer.outcome.value))
        headers.append(("request-id", item.request.id))
        response = StreamingResponse(self._body(item, answer, started), answer.status)
        response.raw_headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        return response

    async def _body(self, item, answer: CallerAnswer, started: float) -> AsyncIterator[bytes]:
        is_complete = False
        self._recorder.head(item, self._clock.now() - started)
        try:
            async for chunk in answer.body:
                yield chunk
            is_complete = True
        except (AttemptError, RelayError) as error:
            # The server closes the caller's connection, so that the body cannot pass for whole.
            _LOG.warning(
                "body cut short", extra={"request_id": item.request.id, "reason": str(error)}
            )
            raise
        finally:
            self._in_progress -= 1
            self._recorder.finished(item, self._clock.now() - started, is_complete)

    async def _read_body(self, request: Request) -> bytes | None:
        """Return the body, or ``None`` if it is too long."""
        parts: list[bytes] = []
        size = 0
        async for chunk in request.stream():
            size += len(chunk)
            if size > self._max_body_bytes:
                return None
            parts.append(chunk)
        return b"".join(parts)

    def _incoming(
        self, request: Request, request_id: str, body: bytes, timeout_ms: int | None
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
            target=_target(request, service),
            headers=headers,
            body=body,
            token=_bearer(request),
            key=request.headers.get("idempotency-key"),
            timeout_ms=timeout_ms,
        )


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


def _target(request: Request, service: str) -> str:
    """Return path and query below the service, as the caller wrote them."""
    raw = request.scope.get("raw_path") or quote(request.scope["path"]).encode()
    prefix = b"/v1/services/" + raw.split(b"/", 4)[3]
    target = raw.partition(b"?")[0].removeprefix(prefix).decode("latin-1") or "/"
    query = request.scope["query_string"].decode("latin-1")
    return f"{target}?{query}" if query else target


def _bearer(request: Request) -> str | None:
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else None


def _timeout_ms(request: Request) -> int | Problem | None:
    value = request.headers.get("request-timeout")
    if value is None:
        return None
    if not value.isdecimal() or int(value) == 0:
        detail = f"Request-Timeout {value!r}: expected milliseconds from 1"
        return Problem(400, "bad Request-Timeout", detail)
    return int(value)
