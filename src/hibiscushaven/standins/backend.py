"""Stand-in of backend servers: several servers in one process."""

import asyncio

from aiohttp import web

from hibiscushaven.ini.fields import Endpoint

from .platform import serve

__all__ = ["build_backend_app", "run_backends"]


def build_backend_app(name: str, slots: int) -> web.Application:
    """Return one backend server that refuses work over its slots."""
    app = web.Application()
    in_progress = 0

    async def run(request: web.Request) -> web.Response:
        nonlocal in_progress
        headers = {"Attempt-Id": request.headers.get("Attempt-Id", ""), "Server-Name": name}
        if in_progress >= slots:
            return web.Response(status=503, headers={**headers, "Request-Outcome": "not-run"})
        in_progress += 1
        try:
            body = await request.read()
            await asyncio.sleep(float(request.query.get("service_ms", 1)) / 1000)
            return web.Response(text=f"{name} {request.path} {len(body)}\n", headers=headers)
        finally:
            in_progress -= 1

    app.router.add_route("*", "/{path:.*}", run)
    return app


async def run_backends(servers: tuple[tuple[str, Endpoint, int], ...]) -> None:
    """Serve backend servers, each with a name, an address and slots, until cancelled."""
    await asyncio.gather(
        *(
            serve(build_backend_app(name, slots), address.host, address.port)
            for name, address, slots in servers
        )
    )
