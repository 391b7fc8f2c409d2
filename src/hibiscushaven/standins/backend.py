"""Stand-in for a backend server, with faults that tests set.

Application requests are served by :class:`BackendStandIn`; paths below ``/-/`` report health,
load and counters, cancel attempts and set faults.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import asdict, fields

from aiohttp import web

from .backend_model import (
    BackendConfig,
    BackendFaults,
    Counters,
    RecordedRequest,
    RequestOptions,
    run_key,
)
from .backend_response import send_body
from .sockets import ServerSockets, SilentConnectionError

__all__ = ["BackendStandIn", "run_backend", "run_backends"]

_LOAD_HISTORY_LENGTH = 1024
_NOT_RUN_HEADERS = {"Request-Outcome": "not-run", "Retry-After": "1"}
_UNKNOWN_HEADERS = {"Request-Outcome": "unknown"}

_ControlHandler = Callable[[web.BaseRequest, bytes], Awaitable[web.StreamResponse]]


class BackendStandIn:
    """A backend server over plain HTTP on a real socket.

    :param clock: monotonic time in seconds, for the age of load reports.
    :param unix_clock: Unix time in seconds, for ``Start-By``.
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
        self._load_history: deque[tuple[float, int]] = deque(
            [(clock(), 0)], maxlen=_LOAD_HISTORY_LENGTH
        )
        self._cold_requests_left = self.config.cold_requests
        self._held_requests_released = asyncio.Event()
        self._state_changed = asyncio.Event()
        self._running_attempts: dict[str, asyncio.Task[None]] = {}
        self._restart_task: asyncio.Task[None] | None = None
        self.sockets = ServerSockets(
            self._handle,
            self.config.connections,
            self.config.connect_ms,
            self.config.stops_on_disconnect,
            self._notify_waiters,
        )

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Serve on an address; return the port, which the system chooses if ``port`` is 0."""
        return await self.sockets.listen(host, port)

    async def close(self) -> None:
        if self._restart_task is not None:
            self._restart_task.cancel()
        self._abort_all()

    async def wait_until(self, is_satisfied: Callable[["BackendStandIn"], bool]) -> None:
        """Wait until a condition on the stand-in holds; it is tested at each change of state."""
        while not is_satisfied(self):
            await self._state_changed.wait()

    def release_held_requests(self) -> None:
        """Finish the requests that are held by the ``hold`` option; later ones are not held."""
        self._held_requests_released.set()

    def crash(self, refuse_s: float | None = None) -> None:
        """Reset all connections, cancel all requests and refuse connections for a while.

        :param refuse_s: seconds until it serves again; ``None`` if only ``start`` makes it serve.
        """
        self.counters.crashes += 1
        self._abort_all()
        self._cold_requests_left = self.config.cold_requests
        if self._restart_task is not None:
            self._restart_task.cancel()
        if refuse_s is not None:
            self._restart_task = asyncio.create_task(self._restart_after(refuse_s))
        self._notify_waiters()

    async def _restart_after(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.sockets.listen_again()

    def _abort_all(self) -> None:
        self.sockets.abort()
        for task in tuple(self._running_attempts.values()):
            task.cancel()

    def _notify_waiters(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._dispatch(request)
        except ConnectionError:
            return _placeholder_response()
        except SilentConnectionError:
            await self.sockets.wait_for_abort()
            return _placeholder_response()

    async def _dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is None:
            return _placeholder_response()
        body = await request.read()
        await self.sockets.delay_new_connection(transport)
        self.sockets.raise_if_silent(transport)
        recorded = RecordedRequest(
            request.method,
            request.raw_path,
            tuple(request.headers.items()),
            body,
            self.sockets.connection_number(transport),
        )
        self.counters.seen.append(recorded)
        self._notify_waiters()
        control = self._find_control_handler(request)
        if control is not None:
            return await control(request, body)
        return await self._admit_or_refuse(request, body)

    def _find_control_handler(self, request: web.BaseRequest) -> _ControlHandler | None:
        controls: dict[tuple[str, str], _ControlHandler] = {
            ("GET", "/-/health"): self._get_health,
            ("GET", "/-/load"): self._get_load,
            ("GET", "/-/counters"): self._get_counters,
            ("POST", "/-/faults"): self._set_faults,
        }
        if request.method == "DELETE" and request.path.startswith("/-/attempts/"):
            return self._cancel_attempt
        return controls.get((request.method, request.path))

    async def _get_health(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        state = (
            "draining" if self.faults.is_draining else "cold" if self._cold_requests_left else "ok"
        )
        return web.json_response({"state": state})

    async def _get_load(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        as_of = self._clock() - self.faults.load_lag_s
        reported = next((load for at, load in reversed(self._load_history) if at <= as_of), 0)
        if self.faults.load_lie is not None:
            reported = self.faults.load_lie
        return web.json_response({"in_progress": reported, "slots": self.config.slots})

    async def _get_counters(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        sockets = {
            "connections": self.sockets.open_count,
            "max_connections": self.sockets.max_open,
            "connections_made": self.sockets.accepted,
            "connections_refused": self.sockets.refused,
        }
        return web.json_response(self.counters.to_json() | sockets)

    async def _set_faults(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        """Set fields of the faults, and perform the actions ``silence``, ``crash``, ``release``."""
        changes = await request.json()
        actions = {name: changes.pop(name, None) for name in ("silence", "crash", "release")}
        unknown = set(changes) - {item.name for item in fields(BackendFaults)}
        if unknown:
            return web.json_response({"unknown": sorted(unknown)}, status=400)
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if actions["release"]:
            self.release_held_requests()
        if actions["silence"]:
            self.sockets.silence()
        if actions["crash"]:
            asyncio.get_running_loop().call_soon(self.crash, self.faults.crash_s)
        return web.json_response(asdict(self.faults))

    async def _cancel_attempt(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        task = self._running_attempts.get(request.path.removeprefix("/-/attempts/"))
        if task is None:
            return web.Response(status=404)
        self.counters.cancelled += 1
        if not self.faults.ignores_cancel:
            task.cancel()
        self._notify_waiters()
        return web.Response(status=204)

    async def _admit_or_refuse(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        attempt_id_headers = self._attempt_id_headers(request)
        reason = self._refusal_reason(request)
        if reason is not None:
            self.counters.refused += 1
            self._notify_waiters()
            headers = _NOT_RUN_HEADERS | attempt_id_headers
            return web.Response(status=503, headers=headers, text=reason)
        if self.faults.crash_on and self.faults.crash_on in request.raw_path:
            self._record_start(request, body)
            self._record_end()
            self.crash(self.faults.crash_s)
            return _placeholder_response()
        return await self._run(request, body, attempt_id_headers)

    def _refusal_reason(self, request: web.BaseRequest) -> str | None:
        """Return why a request is refused before it runs, ``None`` if it is accepted."""
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

    def _attempt_id_headers(self, request: web.BaseRequest) -> dict[str, str]:
        attempt_id = request.headers.get("Attempt-Id")
        if attempt_id is None:
            return {}
        if self.faults.wrong_ids > 0:
            self.faults.wrong_ids -= 1
            return {"Attempt-Id": "other-" + attempt_id}
        return {"Attempt-Id": attempt_id}

    def _record_start(self, request: web.BaseRequest, body: bytes) -> None:
        key = request.headers.get("Idempotency-Key")
        self.counters.start(run_key(request.method, request.raw_path, body, key))
        self._load_history.append((self._clock(), self.counters.in_progress))
        self._notify_waiters()

    def _record_end(self) -> None:
        self.counters.in_progress -= 1
        self._load_history.append((self._clock(), self.counters.in_progress))
        self._notify_waiters()

    async def _run(
        self, request: web.BaseRequest, body: bytes, attempt_id_headers: dict[str, str]
    ) -> web.StreamResponse:
        """Process a request in its own task, so that a cancellation or a crash can cancel it."""
        options = RequestOptions.parse(request.raw_path, self.config)
        key = request.headers.get("Attempt-Id") or f"unnamed-{self.counters.started}"
        self._record_start(request, body)
        task = asyncio.create_task(self._process(options, request))
        self._running_attempts[key] = task
        try:
            await asyncio.wait([task])
            self.sockets.raise_if_silent(request.transport)
            if task.cancelled():
                return web.Response(status=503, headers=_UNKNOWN_HEADERS | attempt_id_headers)
            if task.exception() is not None:
                return web.Response(status=504, headers=_UNKNOWN_HEADERS | attempt_id_headers)
            self.counters.finished += 1
            if self.faults.unanswered > 0:
                self.faults.unanswered -= 1
                return _close_without_response(request)
            return await send_body(request, options, attempt_id_headers, self)
        finally:
            task.cancel()
            self._running_attempts.pop(key, None)
            self._record_end()

    async def _process(self, options: RequestOptions, request: web.BaseRequest) -> None:
        remaining_ms = request.headers.get("Request-Deadline-Ms")
        async with asyncio.timeout(None if remaining_ms is None else float(remaining_ms) / 1000):
            await asyncio.sleep(options.service_ms * self._service_time_factor() / 1000)
            if options.is_held:
                await self._held_requests_released.wait()

    def _service_time_factor(self) -> float:
        factor = self.faults.slow_factor
        if self._cold_requests_left > 0:
            self._cold_requests_left -= 1
            factor *= self.config.cold_factor
        return factor


def _close_without_response(request: web.BaseRequest) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.close()
    return _placeholder_response()


def _placeholder_response() -> web.StreamResponse:
    """Return a response that is never sent; aiohttp requires one after the connection closed."""
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
