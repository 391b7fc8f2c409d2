"""Stand-in for a backend server; it can be made to fail in the ways that real ones do."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import asdict, fields

from aiohttp import web

from .backend_model import BackendConfig, BackendFaults, Counters, SeenRequest, Work, run_key
from .backend_response import send_body
from .sockets import SilentError, Sockets

__all__ = ["BackendStandIn", "run_backend", "run_backends"]

_LOAD_HISTORY = 1024
_NOT_RUN = {"Request-Outcome": "not-run", "Retry-After": "1"}
_UNKNOWN = {"Request-Outcome": "unknown"}

_Control = Callable[[web.BaseRequest, bytes], Awaitable[web.StreamResponse]]


class BackendStandIn:
    """A backend server over plain HTTP on a real socket.

    :param clock: seconds, for the age of load reports.
    :param unix_clock: seconds since 1970, for ``Start-By``.
    """

    def __init__(
        self,
        config: BackendConfig | None = None,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self.config = config or BackendConfig()
        self.faults = BackendFaults()
        self.counters = Counters()
        self._clock = clock
        self._unix_clock = unix_clock
        self._loads: deque[tuple[float, int]] = deque([(clock(), 0)], maxlen=_LOAD_HISTORY)
        self._cold_left = self.config.cold_requests
        self._held = asyncio.Event()
        self._changed = asyncio.Event()
        self._attempts: dict[str, asyncio.Task[None]] = {}
        self._restart: asyncio.Task[None] | None = None
        self.sockets = Sockets(
            self._handle,
            self.config.connections,
            self.config.connect_ms,
            self.config.stops_on_disconnect,
            self._notify,
        )

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Serve on an address; return the port, which is chosen if it is 0."""
        return await self.sockets.listen(host, port)

    async def close(self) -> None:
        if self._restart is not None:
            self._restart.cancel()
        self._stop()

    async def until(self, is_reached: Callable[["BackendStandIn"], bool]) -> None:
        """Wait until the stand-in is in some state."""
        while not is_reached(self):
            await self._changed.wait()

    def release(self) -> None:
        """Let the requests go on that asked to be held, and those that will."""
        self._held.set()

    def crash(self, refuse_s: float | None = None) -> None:
        """Drop all connections and work, and refuse connections for a while.

        :param refuse_s: time until it serves again; ``None`` for until ``start``.
        """
        self.counters.crashes += 1
        self._stop()
        self._cold_left = self.config.cold_requests
        if self._restart is not None:
            self._restart.cancel()
        if refuse_s is not None:
            self._restart = asyncio.create_task(self._start_again(refuse_s))
        self._notify()

    async def _start_again(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.sockets.listen_again()

    def _stop(self) -> None:
        self.sockets.abort()
        for task in tuple(self._attempts.values()):
            task.cancel()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._answer(request)
        except ConnectionError:
            return _unsent()
        except SilentError:
            await self.sockets.wait_for_abort()
            return _unsent()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is None:
            return _unsent()
        body = await request.read()
        await self.sockets.greet(transport)
        self.sockets.raise_if_silent(transport)
        seen = SeenRequest(
            request.method,
            request.raw_path,
            tuple(request.headers.items()),
            body,
            self.sockets.number(transport),
        )
        self.counters.seen.append(seen)
        self._notify()
        control = self._control(request)
        if control is not None:
            return await control(request, body)
        return await self._admit(request, body)

    def _control(self, request: web.BaseRequest) -> _Control | None:
        controls: dict[tuple[str, str], _Control] = {
            ("GET", "/-/health"): self._answer_health,
            ("GET", "/-/load"): self._answer_load,
            ("GET", "/-/counters"): self._answer_counters,
            ("POST", "/-/faults"): self._set_faults,
        }
        if request.method == "DELETE" and request.path.startswith("/-/attempts/"):
            return self._cancel
        return controls.get((request.method, request.path))

    async def _answer_health(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        state = "draining" if self.faults.is_draining else "cold" if self._cold_left else "ok"
        return web.json_response({"state": state})

    async def _answer_load(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        as_of = self._clock() - self.faults.load_lag_s
        reported = next((load for at, load in reversed(self._loads) if at <= as_of), 0)
        if self.faults.load_lie is not None:
            reported = self.faults.load_lie
        return web.json_response({"in_progress": reported, "slots": self.config.slots})

    async def _answer_counters(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        sockets = {
            "connections": self.sockets.open,
            "max_connections": self.sockets.most_open,
            "connections_made": self.sockets.made,
            "connections_refused": self.sockets.refused,
        }
        return web.json_response(self.counters.to_json() | sockets)

    async def _set_faults(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        """Set fields of the faults; ``silence``, ``crash`` and ``release`` happen at once."""
        changes = await request.json()
        actions = {name: changes.pop(name, None) for name in ("silence", "crash", "release")}
        unknown = set(changes) - {item.name for item in fields(BackendFaults)}
        if unknown:
            return web.json_response({"unknown": sorted(unknown)}, status=400)
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if actions["release"]:
            self.release()
        if actions["silence"]:
            self.sockets.silence()
        if actions["crash"]:
            asyncio.get_running_loop().call_soon(self.crash, self.faults.crash_s)
        return web.json_response(asdict(self.faults))

    async def _cancel(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        task = self._attempts.get(request.path.removeprefix("/-/attempts/"))
        if task is None:
            return web.Response(status=404)
        self.counters.cancelled += 1
        if not self.faults.ignores_cancel:
            task.cancel()
        self._notify()
        return web.Response(status=204)

    async def _admit(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        attempt_id = self._echoed_id(request)
        reason = self._refusal(request)
        if reason is not None:
            self.counters.refused += 1
            self._notify()
            headers = _NOT_RUN | attempt_id
            return web.Response(status=503, headers=headers, text=reason)
        if self.faults.crash_on and self.faults.crash_on in request.raw_path:
            self._count_run(request, body)
            self._leave()
            self.crash(self.faults.crash_s)
            return _unsent()
        return await self._run(request, body, attempt_id)

    def _refusal(self, request: web.BaseRequest) -> str | None:
        """Return why a request is refused before it runs."""
        start_by = request.headers.get("Start-By")
        if start_by is not None and self._unix_clock() * 1000 > float(start_by):
            self.counters.late += 1
            return "past Start-By"
        if float(request.headers.get("Request-Deadline-Ms", 1)) <= 0:
            return "past the deadline"
        if self.faults.is_draining:
            return "draining"
        if self.faults.is_shedding or self.counters.in_progress >= self.config.slots:
            return "no free slot"
        return None

    def _echoed_id(self, request: web.BaseRequest) -> dict[str, str]:
        attempt_id = request.headers.get("Attempt-Id")
        if attempt_id is None:
            return {}
        if self.faults.wrong_ids > 0:
            self.faults.wrong_ids -= 1
            return {"Attempt-Id": "other-" + attempt_id}
        return {"Attempt-Id": attempt_id}

    def _count_run(self, request: web.BaseRequest, body: bytes) -> None:
        key = request.headers.get("Idempotency-Key")
        self.counters.start(run_key(request.method, request.raw_path, body, key))
        self._loads.append((self._clock(), self.counters.in_progress))
        self._notify()

    def _leave(self) -> None:
        self.counters.in_progress -= 1
        self._loads.append((self._clock(), self.counters.in_progress))
        self._notify()

    async def _run(
        self, request: web.BaseRequest, body: bytes, attempt_id: dict[str, str]
    ) -> web.StreamResponse:
        """Do the work in a task of its own, which a cancellation or crash can end."""
        work = Work.parse(request.raw_path, self.config)
        key = request.headers.get("Attempt-Id") or f"unnamed-{self.counters.started}"
        self._count_run(request, body)
        task = asyncio.create_task(self._work(work, request))
        self._attempts[key] = task
        try:
            await asyncio.wait([task])
            self.sockets.raise_if_silent(request.transport)
            if task.cancelled():
                return web.Response(status=503, headers=_UNKNOWN | attempt_id)
            if task.exception() is not None:
                return web.Response(status=504, headers=_UNKNOWN | attempt_id)
            self.counters.finished += 1
            if self.faults.unanswered > 0:
                self.faults.unanswered -= 1
                return _close_unanswered(request)
            return await send_body(request, work, attempt_id, self)
        finally:
            task.cancel()
            self._attempts.pop(key, None)
            self._leave()

    async def _work(self, work: Work, request: web.BaseRequest) -> None:
        left_ms = request.headers.get("Request-Deadline-Ms")
        async with asyncio.timeout(None if left_ms is None else float(left_ms) / 1000):
            await asyncio.sleep(work.service_ms * self._slowness() / 1000)
            if work.is_held:
                await self._held.wait()

    def _slowness(self) -> float:
        factor = self.faults.slow_factor
        if self._cold_left > 0:
            self._cold_left -= 1
            factor *= self.config.cold_factor
        return factor


def _close_unanswered(request: web.BaseRequest) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.close()
    return _unsent()


def _unsent() -> web.StreamResponse:
    """Return what the HTTP library needs from a handler whose connection was reset."""
    return web.Response()


async def run_backends(
    host: str, ports: tuple[int, ...], config: BackendConfig | None = None
) -> None:
    """Serve one backend server on each port until cancelled."""
    stand_ins = tuple(BackendStandIn(config) for _ in ports)
    try:
        for stand_in, port in zip(stand_ins, ports, strict=True):
            await stand_in.start(host, port)
        await asyncio.get_running_loop().create_future()
    finally:
        for stand_in in stand_ins:
            await stand_in.close()


async def run_backend(host: str, port: int, config: BackendConfig | None = None) -> None:
    """Serve one backend server until cancelled."""
    await run_backends(host, (port,), config)
