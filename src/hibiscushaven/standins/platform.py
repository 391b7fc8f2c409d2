"""Stand-in for the platform: its HTTP interface on top of the in-memory platform."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, fields
from typing import Any

import msgpack
from aiohttp import web

from hibiscushaven.tablestore import (
    ConflictError,
    MemoryPlatform,
    OutcomeUnknownError,
    Row,
    UnavailableError,
    VmRecord,
    VmState,
    Write,
)
from hibiscushaven.tablestore.memory import Faults

from .sockets import reset

__all__ = ["PlatformStandIn", "run_platform"]

_MAX_BODY_BYTES = 16 * 1024 * 1024
_MSGPACK = "application/msgpack"

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(slots=True)
class _CallRate:
    """Number of calls in the current second, and the highest number in any second so far."""

    current_second: int = -1
    calls_in_second: int = 0
    peak_per_s: int = 0

    def count(self, now: float) -> None:
        if int(now) != self.current_second:
            self.current_second, self.calls_in_second = int(now), 0
        self.calls_in_second += 1
        self.peak_per_s = max(self.peak_per_s, self.calls_in_second)


class PlatformStandIn:
    """The platform over HTTP, as ``docs/platform.md`` describes it.

    :param clock: monotonic time in seconds, for the peak rates in ``GET /usage``.
    """

    def __init__(
        self,
        platform: MemoryPlatform | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.platform = platform or MemoryPlatform()
        self._clock = clock
        self._reads = _CallRate()
        self._writes = _CallRate()
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Serve on an address; return the port, which the system chooses if ``port`` is 0."""
        self._runner = web.AppRunner(self._create_app(), access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        self.port = self._runner.addresses[0][1]
        return self.port

    async def close(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def _create_app(self) -> web.Application:
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        read, write = self._wrap_read, self._wrap_write
        app.add_routes(
            [
                web.get("/table/rows", read(self._read_row)),
                web.get("/table/prefix", read(self._read_prefix)),
                web.get("/objects", read(self._get_object)),
                web.get("/vms", read(self._list_vms)),
                web.post("/table/transactions", write(self._transact)),
                web.post("/objects", write(self._put_object)),
                web.post("/vms", self._set_vms),
                web.post("/faults", self._set_faults),
                web.get("/usage", self._get_usage),
            ]
        )
        return app

    def _wrap_read(self, call: Callable[[web.Request], Awaitable[dict[str, Any]]]) -> _Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            self._reads.count(self._clock())
            await self._delay()
            try:
                return _msgpack_response(await call(request))
            except UnavailableError:
                return web.Response(status=503)

        return handle

    def _wrap_write(self, call: Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]) -> _Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            self._writes.count(self._clock())
            body = msgpack.unpackb(await request.read())
            await self._delay()
            try:
                return _msgpack_response(await call(body))
            except ConflictError as error:
                return _msgpack_response({"keys": list(error.keys)}, status=409)
            except UnavailableError:
                return web.Response(status=503, headers={"Not-Written": "1"})
            except OutcomeUnknownError:
                return _reset_without_response(request)

        return handle

    async def _delay(self) -> None:
        if self.platform.faults.delay_s > 0:
            await asyncio.sleep(self.platform.faults.delay_s)

    async def _read_row(self, request: web.Request) -> dict[str, Any]:
        row = await self.platform.read(request.query["key"])
        return {"row": None if row is None else _row_to_list(row)}

    async def _read_prefix(self, request: web.Request) -> dict[str, Any]:
        rows = await self.platform.read_prefix(request.query["prefix"])
        return {"rows": [_row_to_list(row) for row in rows]}

    async def _get_object(self, request: web.Request) -> dict[str, Any]:
        return {"value": await self.platform.get(request.query["name"])}

    async def _list_vms(self, request: web.Request) -> dict[str, Any]:
        return {"vms": [_vm_to_list(vm) for vm in await self.platform.list_vms()]}

    async def _transact(self, body: dict[str, Any]) -> dict[str, Any]:
        writes = tuple(Write(*item) for item in body["writes"])
        return {"versions": await self.platform.transact(writes)}

    async def _put_object(self, body: dict[str, Any]) -> dict[str, Any]:
        await self.platform.put(body["name"], body["value"])
        return {}

    async def _set_vms(self, request: web.Request) -> web.StreamResponse:
        rows = await request.json()
        self.platform.set_vms(tuple(VmRecord(*row[:5], VmState(row[5]), *row[6:7]) for row in rows))
        return web.json_response({"vms": len(rows)})

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        changes = await request.json()
        unknown = set(changes) - {item.name for item in fields(Faults)}
        if unknown:
            return web.json_response({"unknown": sorted(unknown)}, status=400)
        for name, value in changes.items():
            setattr(self.platform.faults, name, value)
        return web.json_response(asdict(self.platform.faults))

    async def _get_usage(self, request: web.Request) -> web.StreamResponse:
        peaks = {"peak_reads_s": self._reads.peak_per_s, "peak_writes_s": self._writes.peak_per_s}
        return web.json_response(asdict(self.platform.usage) | peaks)


def _row_to_list(row: Row) -> list[Any]:
    return [row.key, row.value, row.version]


def _vm_to_list(vm: VmRecord) -> list[Any]:
    place = [vm.name, vm.failure_domain, vm.region]
    return [*place, vm.host, vm.peer_port, vm.state.value, vm.http_port]


def _msgpack_response(content: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(status=status, body=msgpack.packb(content), content_type=_MSGPACK)


def _reset_without_response(request: web.Request) -> web.StreamResponse:
    """Reset the connection in place of a response, as if the response was lost."""
    if request.transport is not None:
        reset(request.transport)
    return web.Response()


async def run_platform(host: str, port: int, platform: MemoryPlatform | None = None) -> None:
    """Serve the platform until cancelled."""
    stand_in = PlatformStandIn(platform)
    await stand_in.start(host, port)
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        await stand_in.close()
