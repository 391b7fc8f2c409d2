"""Stand-in of the platform: its HTTP interface over the platform in memory."""

import asyncio
import json

import msgpack
from aiohttp import web

from hibiscushaven.platform import (
    ConflictError,
    MemoryPlatform,
    OutcomeUnknownError,
    UnavailableError,
    VmEntry,
    VmState,
    Write,
)

__all__ = ["build_platform_app", "run_platform"]


def build_platform_app(platform: MemoryPlatform) -> web.Application:
    """Return the HTTP interface of ``docs/platform.md``."""
    app = web.Application()

    @web.middleware
    async def translate(request: web.Request, handler) -> web.StreamResponse:
        await asyncio.sleep(platform.faults.delay_s)
        try:
            return await handler(request)
        except UnavailableError:
            return web.Response(status=503, headers={"Not-Written": "1"})
        except OutcomeUnknownError:
            request.transport.abort()
            return web.Response(status=500)

    app.middlewares.append(translate)

    async def rows(request: web.Request) -> web.Response:
        row = await platform.read(request.query["key"])
        return _answer({"row": None if row is None else [row.key, row.value, row.version]})

    async def prefix(request: web.Request) -> web.Response:
        found = await platform.read_prefix(request.query["prefix"])
        return _answer({"rows": [[row.key, row.value, row.version] for row in found]})

    async def transactions(request: web.Request) -> web.Response:
        body = msgpack.unpackb(await request.read())
        writes = tuple(Write(*item) for item in body["writes"])
        try:
            return _answer({"versions": await platform.transact(writes)})
        except ConflictError as error:
            return _answer({"keys": error.keys}, 409)

    async def vms(request: web.Request) -> web.Response:
        return _answer({"vms": [_fields(item) for item in await platform.list_vms()]})

    async def set_vms(request: web.Request) -> web.Response:
        rows = json.loads(await request.text())
        platform.set_vms(tuple(VmEntry(*row[:5], VmState(row[5])) for row in rows))
        return web.Response(status=204)

    app.add_routes(
        [
            web.get("/table/rows", rows),
            web.get("/table/prefix", prefix),
            web.post("/table/transactions", transactions),
            web.get("/vms", vms),
            web.post("/vms", set_vms),
        ]
    )
    return app


def _fields(item: VmEntry) -> list:
    return [item.name, item.failure_domain, item.region, item.host, item.peer_port, item.state]


def _answer(body: dict, status: int = 200) -> web.Response:
    return web.Response(body=msgpack.packb(body), status=status)


async def run_platform(host: str, port: int) -> None:
    """Serve a platform in memory until cancelled."""
    await serve(build_platform_app(MemoryPlatform()), host, port)


async def serve(app: web.Application, host: str, port: int) -> None:
    """Serve an application until cancelled."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()
