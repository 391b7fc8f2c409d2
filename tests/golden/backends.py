"""Simulated backend servers, and the client through which entry VMs reach them."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hibiscushaven.delivery import AttemptError, AttemptRequest, FailureKind, Outcome
from hibiscushaven.delivery.headers import find_header
from hibiscushaven.documents import Server

from .processes import NO_PROCESS, create_external_task

__all__ = ["BackendFleet", "BackendServer", "MemoryClient", "expected_body"]

_ONE_WAY_DELAY_S = 0.0003
_PROGRESS_TIMEOUT_S = 2.0
_CHUNK_BYTES = 64 * 1024
POISON_TEXT = b"poison"
LONG_BODY_BYTES = 160 * 1024


def expected_body(method: str, target: str, body: bytes) -> bytes:
    """Return the body of the response to a request, which repeats the request to identify it."""
    name = f"{method} {target} ".encode() + body + b"\n"
    return (
        (name * (LONG_BODY_BYTES // len(name) + 1))[:LONG_BODY_BYTES] if "long" in target else name
    )


@dataclass(slots=True)
class RunCounts:
    """Number of runs on all backend servers.

    :ivar by_call: runs by number of the caller's request.
    :ivar by_key: runs by idempotency key.
    """

    by_call: Counter[str] = field(default_factory=Counter)
    by_key: Counter[str] = field(default_factory=Counter)


class _Exchange:
    """One request to a backend server and its response.

    :ivar body_length: length of the response body, set when the response starts.
    :ivar chunks: parts of the body, or the failure that ends it.
    :ivar is_silent: whether the response is lost.
    """

    def __init__(self, request: AttemptRequest) -> None:
        loop = asyncio.get_running_loop()
        self.request = request
        self.remaining_s = int((request.deadline - loop.time()) * 1000) / 1000
        self.body_length: asyncio.Future[int] = loop.create_future()
        self.chunks: asyncio.Queue[bytes | FailureKind] = asyncio.Queue()
        self.is_silent = False

    def fail(self, kind: FailureKind) -> None:
        if self.body_length.done():
            self._deliver_later(self.chunks.put_nowait, kind)
        else:
            self._deliver_later(self._fail_response_start, kind)

    def start(self, length: int) -> None:
        self._deliver_later(lambda: self.body_length.done() or self.body_length.set_result(length))

    def add(self, chunk: bytes) -> None:
        self._deliver_later(self.chunks.put_nowait, chunk)

    def _fail_response_start(self, kind: FailureKind) -> None:
        if self.body_length.done():
            self.chunks.put_nowait(kind)
        else:
            self.body_length.set_exception(AttemptError(kind, "reported by the fake server"))
            self.body_length.exception()  # retrieved, as nothing may wait for it any more

    def _deliver_later(self, event: Callable, *args) -> None:
        if not self.is_silent:
            loop = asyncio.get_running_loop()
            loop.call_later(_ONE_WAY_DELAY_S, event, *args, context=NO_PROCESS)


class BackendServer:
    """One backend server.

    It accepts more requests than it has slots, so that the invariants detect who sends too many.

    :ivar responses_to_drop: number of following responses that are lost.
    :ivar responses_to_truncate: number of following responses that end early.
    :ivar refused_late: requests refused because ``Start-By`` had passed.
    """

    def __init__(
        self, server: Server, run_counts: RunCounts, unix_clock: Callable[[], float]
    ) -> None:
        self.name, self.slots, self.address = server.name, server.slots, server.address
        self.place = server.place
        self._run_counts = run_counts
        self._unix_clock = unix_clock
        self.service_s = 0.02
        self.slow_factor = 1.0
        self.is_down = False
        self.is_draining = False
        self.responses_to_drop = 0
        self.responses_to_truncate = 0
        self.max_in_progress = 0
        self.started = self.refused = self.refused_late = self.crashes = 0
        self.last_start_at = 0.0
        self.running: dict[str, tuple[_Exchange, asyncio.Task[None]]] = {}
        self.on_crash: Callable[[BackendServer], None] = lambda server: None

    def receive(self, exchange: _Exchange) -> None:
        request = exchange.request
        if self.is_down:
            exchange.fail(FailureKind.CONNECTION_LOST)
            return
        is_late = self._unix_clock() * 1000 > request.start_by_unix_ms
        if self.is_draining or is_late:
            self.refused += 1
            self.refused_late += is_late
            exchange.fail(FailureKind.REFUSED)
            return
        self._count_run(request)
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            exchange.is_silent = True
        task = create_external_task(self._run(exchange))
        self.running[request.attempt_id] = (exchange, task)
        self.max_in_progress = max(self.max_in_progress, len(self.running))

    def cancel(self, attempt_id: str) -> bool:
        entry = self.running.pop(attempt_id, None)
        if entry is not None:
            entry[1].cancel()
        return entry is not None

    def crash(self, downtime_s: float) -> None:
        """Abort the requests in progress and refuse connections for a while."""
        if self.is_down:
            return
        self.is_down = True
        self.crashes += 1
        self.on_crash(self)
        for exchange, task in self.running.values():
            task.cancel()
            exchange.fail(FailureKind.CONNECTION_LOST)
        self.running.clear()
        asyncio.get_running_loop().call_later(downtime_s, self._restart, context=NO_PROCESS)

    def _restart(self) -> None:
        self.is_down = False

    def _count_run(self, request: AttemptRequest) -> None:
        self.started += 1
        self.last_start_at = asyncio.get_running_loop().time()
        self._run_counts.by_call[find_header(request.headers, "x-call") or ""] += 1
        key = find_header(request.headers, "idempotency-key")
        if key is not None:
            self._run_counts.by_key[key] += 1

    async def _run(self, exchange: _Exchange) -> None:
        request = exchange.request
        try:
            async with asyncio.timeout(exchange.remaining_s):
                await self._respond(exchange, request)
        except TimeoutError:
            exchange.fail(FailureKind.DEADLINE)
        finally:
            if not asyncio.current_task().cancelling():
                self.running.pop(request.attempt_id, None)

    async def _respond(self, exchange: _Exchange, request: AttemptRequest) -> None:
        await asyncio.sleep(self.service_s * self.slow_factor)
        if POISON_TEXT in request.body or POISON_TEXT.decode() in request.target:
            create_external_task(self._crash_server())
            await asyncio.sleep(1.0)
        body = expected_body(request.method, request.target, request.body)
        exchange.start(len(body))
        if self.responses_to_truncate:
            self.responses_to_truncate -= 1
            exchange.add(body[: len(body) // 2])
            exchange.fail(FailureKind.TRUNCATED)
            return
        for start in range(0, len(body), _CHUNK_BYTES):
            if start:
                await asyncio.sleep(self.service_s * self.slow_factor * 10)
            exchange.add(body[start : start + _CHUNK_BYTES])

    async def _crash_server(self) -> None:
        self.crash(2.0)


class BackendFleet:
    """All backend servers, by name and by address."""

    def __init__(self, unix_clock: Callable[[], float]) -> None:
        self.run_counts = RunCounts()
        self._unix_clock = unix_clock
        self.servers: dict[str, BackendServer] = {}
        self._by_address: dict = {}

    def add(self, server: Server) -> BackendServer:
        backend_server = BackendServer(server, self.run_counts, self._unix_clock)
        self.servers[server.name] = self._by_address[server.address] = backend_server
        return backend_server

    def by_address(self, address) -> BackendServer:
        return self._by_address[address]


class MemoryClient:
    """Client with the methods of ``BackendClient`` that the code uses.

    :param after_guard: called after the guard allowed a request and before it is sent.
    """

    def __init__(self, fleet: BackendFleet, after_guard: Callable[[], None]) -> None:
        self._fleet = fleet
        self._after_guard = after_guard

    async def attempt(self, request: AttemptRequest) -> "MemoryResponse":
        loop = asyncio.get_running_loop()
        server = self._fleet.by_address(request.server)
        await asyncio.sleep(2 * _ONE_WAY_DELAY_S)
        if server.is_down:
            raise AttemptError(FailureKind.NOT_CONNECTED, server.name)
        if loop.time() >= request.deadline:
            raise AttemptError(FailureKind.DEADLINE_BEFORE_SENDING, server.name)
        if not request.guard():
            raise AttemptError(FailureKind.GUARD_REFUSED, server.name)
        exchange = _Exchange(request)
        self._after_guard()
        await asyncio.sleep(0)  # lets a pause of the process take effect before sending
        loop.call_later(_ONE_WAY_DELAY_S, server.receive, exchange, context=NO_PROCESS)
        silent_at = loop.time() + (request.head_timeout_s or _PROGRESS_TIMEOUT_S)
        try:
            async with asyncio.timeout_at(min(silent_at, request.deadline)):
                length = await exchange.body_length
        except TimeoutError:
            kind = FailureKind.DEADLINE if request.deadline <= silent_at else FailureKind.SILENT
            raise AttemptError(kind, server.name) from None
        return MemoryResponse(exchange, length)

    async def cancel(self, server, attempt_id: str, tenant: str = "") -> bool:
        await asyncio.sleep(_ONE_WAY_DELAY_S)
        is_cancelled = self._fleet.by_address(server).cancel(attempt_id)
        await asyncio.sleep(_ONE_WAY_DELAY_S)
        return is_cancelled

    async def call_control(self, server, method: str, path: str, tenant: str = ""):
        await asyncio.sleep(2 * _ONE_WAY_DELAY_S)
        backend_server = self._fleet.by_address(server)
        if backend_server.is_down:
            return None
        report = {"in_progress": len(backend_server.running), "slots": backend_server.slots}
        return 200, json.dumps(report).encode()

    def retire_connections(self, server) -> None:
        return None

    async def close(self) -> None:
        return None


class MemoryResponse:
    """Response with the members of ``AttemptResponse`` that the code uses."""

    def __init__(self, exchange: _Exchange, length: int) -> None:
        self.status = 200
        self.content_length = length
        self.headers = (
            ("Attempt-Id", exchange.request.attempt_id),
            ("Request-Outcome", Outcome.RUN.value),
            ("Content-Length", str(length)),
        )
        self.bytes_received = 0
        self._exchange = exchange

    async def close(self, kind: FailureKind | None = None) -> None:
        return None

    async def __aiter__(self):
        deadline = self._exchange.request.deadline
        while self.bytes_received < self.content_length:
            silent_at = asyncio.get_running_loop().time() + _PROGRESS_TIMEOUT_S
            try:
                async with asyncio.timeout_at(min(silent_at, deadline)):
                    chunk = await self._exchange.chunks.get()
            except TimeoutError:
                kind = FailureKind.DEADLINE if deadline <= silent_at else FailureKind.SILENT
                raise AttemptError(kind, "no progress") from None
            if isinstance(chunk, FailureKind):
                raise AttemptError(chunk, f"after {self.bytes_received} bytes")
            self.bytes_received += len(chunk)
            yield chunk

    async def read(self, max_bytes: int) -> bytes:
        return b"".join([chunk async for chunk in self])
