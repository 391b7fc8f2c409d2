"""Backend servers in memory, and the client that entry VMs reach them with."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hibiscushaven.delivery import AttemptError, AttemptRequest, FailureKind, Outcome
from hibiscushaven.delivery.headers import find_header
from hibiscushaven.documents import Server

from .processes import NO_PROCESS, in_background

__all__ = ["BackendFleet", "BackendServer", "MemoryClient", "expected_body"]

_ONE_WAY_S = 0.0003
_PROGRESS_S = 2.0
_CHUNK_BYTES = 64 * 1024
POISON = b"poison"
LONG_BYTES = 160 * 1024


def expected_body(method: str, target: str, body: bytes) -> bytes:
    """Return the body of the answer to a request: it names the request."""
    name = f"{method} {target} ".encode() + body + b"\n"
    return (name * (LONG_BYTES // len(name) + 1))[:LONG_BYTES] if "long" in target else name


@dataclass(slots=True)
class Ledger:
    """What ran, over all backend servers.

    :ivar calls: runs by number of the caller's request.
    :ivar keys: runs by idempotency key.
    """

    calls: Counter[str] = field(default_factory=Counter)
    keys: Counter[str] = field(default_factory=Counter)


class _Exchange:
    """One request on its way to a backend server and back."""

    def __init__(self, request: AttemptRequest) -> None:
        loop = asyncio.get_running_loop()
        self.request = request
        self.left_s = int((request.deadline - loop.time()) * 1000) / 1000
        self.head: asyncio.Future[int] = loop.create_future()
        self.chunks: asyncio.Queue[bytes | FailureKind] = asyncio.Queue()
        self.is_silent = False

    def fail(self, stop: FailureKind) -> None:
        if self.head.done():
            self._later(self.chunks.put_nowait, stop)
        else:
            self._later(self._fail_head, stop)

    def start(self, length: int) -> None:
        self._later(lambda: self.head.done() or self.head.set_result(length))

    def add(self, chunk: bytes) -> None:
        self._later(self.chunks.put_nowait, chunk)

    def _fail_head(self, stop: FailureKind) -> None:
        if self.head.done():
            self.chunks.put_nowait(stop)
        else:
            self.head.set_exception(AttemptError(stop, "reported by the fake server"))
            self.head.exception()  # nobody may wait for it any more

    def _later(self, event: Callable, *args) -> None:
        if not self.is_silent:
            loop = asyncio.get_running_loop()
            loop.call_later(_ONE_WAY_S, event, *args, context=NO_PROCESS)


class BackendServer:
    """One backend server; it takes more requests than it has slots, to show who sends them.

    :ivar silent: number of coming responses that get lost on their way.
    :ivar truncated: number of coming responses that end early.
    """

    def __init__(self, server: Server, ledger: Ledger, unix: Callable[[], float]) -> None:
        self.name, self.slots, self.address = server.name, server.slots, server.address
        self.place = server.place
        self._ledger = ledger
        self._unix = unix
        self.service_s = 0.02
        self.slow_factor = 1.0
        self.is_down = False
        self.is_draining = False
        self.silent = 0
        self.truncated = 0
        self.peak = 0
        self.started = self.refused = self.late = self.crashes = 0
        self.last_start_at = 0.0
        self.running: dict[str, tuple[_Exchange, asyncio.Task[None]]] = {}
        self.on_crash: Callable[[BackendServer], None] = lambda server: None

    def arrive(self, exchange: _Exchange) -> None:
        request = exchange.request
        if self.is_down:
            exchange.fail(FailureKind.CONNECTION_LOST)
            return
        is_late = self._unix() * 1000 > request.start_by_unix_ms
        if self.is_draining or is_late:
            self.refused += 1
            self.late += is_late
            exchange.fail(FailureKind.REFUSED)
            return
        self._count(request)
        if self.silent:
            self.silent -= 1
            exchange.is_silent = True
        task = in_background(self._run(exchange))
        self.running[request.attempt_id] = (exchange, task)
        self.peak = max(self.peak, len(self.running))

    def cancel(self, attempt_id: str) -> bool:
        entry = self.running.pop(attempt_id, None)
        if entry is not None:
            entry[1].cancel()
        return entry is not None

    def crash(self, down_s: float) -> None:
        """Lose what is in progress and come back after a while."""
        if self.is_down:
            return
        self.is_down = True
        self.crashes += 1
        self.on_crash(self)
        for exchange, task in self.running.values():
            task.cancel()
            exchange.fail(FailureKind.CONNECTION_LOST)
        self.running.clear()
        asyncio.get_running_loop().call_later(down_s, self._restart, context=NO_PROCESS)

    def _restart(self) -> None:
        self.is_down = False

    def _count(self, request: AttemptRequest) -> None:
        self.started += 1
        self.last_start_at = asyncio.get_running_loop().time()
        self._ledger.calls[find_header(request.headers, "x-call") or ""] += 1
        key = find_header(request.headers, "idempotency-key")
        if key is not None:
            self._ledger.keys[key] += 1

    async def _run(self, exchange: _Exchange) -> None:
        request = exchange.request
        try:
            async with asyncio.timeout(exchange.left_s):
                await self._answer(exchange, request)
        except TimeoutError:
            exchange.fail(FailureKind.DEADLINE)
        finally:
            if not asyncio.current_task().cancelling():
                self.running.pop(request.attempt_id, None)

    async def _answer(self, exchange: _Exchange, request: AttemptRequest) -> None:
        await asyncio.sleep(self.service_s * self.slow_factor)
        if POISON in request.body or POISON.decode() in request.target:
            in_background(self._crash_soon())
            await asyncio.sleep(1.0)
        body = expected_body(request.method, request.target, request.body)
        exchange.start(len(body))
        if self.truncated:
            self.truncated -= 1
            exchange.add(body[: len(body) // 2])
            exchange.fail(FailureKind.TRUNCATED)
            return
        for start in range(0, len(body), _CHUNK_BYTES):
            if start:
                await asyncio.sleep(self.service_s * self.slow_factor * 10)
            exchange.add(body[start : start + _CHUNK_BYTES])

    async def _crash_soon(self) -> None:
        self.crash(2.0)


class BackendFleet:
    """All backend servers by address."""

    def __init__(self, unix: Callable[[], float]) -> None:
        self.ledger = Ledger()
        self._unix = unix
        self.servers: dict[str, BackendServer] = {}
        self._by_address: dict = {}

    def add(self, server: Server) -> BackendServer:
        made = BackendServer(server, self.ledger, self._unix)
        self.servers[server.name] = self._by_address[server.address] = made
        return made

    def at(self, address) -> BackendServer:
        return self._by_address[address]


class MemoryClient:
    """What the code uses of ``BackendClient``.

    :param after_guard: called when the guard allowed a request, before it is sent.
    """

    def __init__(self, fleet: BackendFleet, after_guard: Callable[[], None]) -> None:
        self._fleet = fleet
        self._after_guard = after_guard

    async def attempt(self, request: AttemptRequest) -> "MemoryHead":
        loop = asyncio.get_running_loop()
        server = self._fleet.at(request.server)
        await asyncio.sleep(2 * _ONE_WAY_S)
        if server.is_down:
            raise AttemptError(FailureKind.NOT_CONNECTED, server.name)
        if loop.time() >= request.deadline:
            raise AttemptError(FailureKind.DEADLINE_BEFORE_SENDING, server.name)
        if not request.guard():
            raise AttemptError(FailureKind.GUARD_REFUSED, server.name)
        exchange = _Exchange(request)
        self._after_guard()
        await asyncio.sleep(0)  # a pause of the process takes effect here
        loop.call_later(_ONE_WAY_S, server.arrive, exchange, context=NO_PROCESS)
        silent_at = loop.time() + (request.head_timeout_s or _PROGRESS_S)
        try:
            async with asyncio.timeout_at(min(silent_at, request.deadline)):
                length = await exchange.head
        except TimeoutError:
            stop = FailureKind.DEADLINE if request.deadline <= silent_at else FailureKind.SILENT
            raise AttemptError(stop, server.name) from None
        return MemoryHead(exchange, length)

    async def cancel(self, server, attempt_id: str, tenant: str = "") -> bool:
        await asyncio.sleep(_ONE_WAY_S)
        is_cancelled = self._fleet.at(server).cancel(attempt_id)
        await asyncio.sleep(_ONE_WAY_S)
        return is_cancelled

    async def call_control(self, server, method: str, path: str, tenant: str = ""):
        await asyncio.sleep(2 * _ONE_WAY_S)
        found = self._fleet.at(server)
        if found.is_down:
            return None
        report = {"in_progress": len(found.running), "slots": found.slots}
        return 200, json.dumps(report).encode()

    def retire_connections(self, server) -> None:
        return None

    async def close(self) -> None:
        return None


class MemoryHead:
    """What the code uses of ``AttemptResponse``."""

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

    async def close(self, stop: FailureKind | None = None) -> None:
        return None

    async def __aiter__(self):
        deadline = self._exchange.request.deadline
        while self.bytes_received < self.content_length:
            silent_at = asyncio.get_running_loop().time() + _PROGRESS_S
            try:
                async with asyncio.timeout_at(min(silent_at, deadline)):
                    chunk = await self._exchange.chunks.get()
            except TimeoutError:
                stop = FailureKind.DEADLINE if deadline <= silent_at else FailureKind.SILENT
                raise AttemptError(stop, "no progress") from None
            if isinstance(chunk, FailureKind):
                raise AttemptError(chunk, f"after {self.bytes_received} bytes")
            self.bytes_received += len(chunk)
            yield chunk

    async def read(self, max_bytes: int) -> bytes:
        return b"".join([chunk async for chunk in self])
