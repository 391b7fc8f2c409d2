"""Pass-through HTTP proxy, the baseline for proxied requests."""

import itertools

import aiohttp
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

__all__ = ["pass_through_app"]

_PREFIX = "/v1/services/"


def pass_through_app(session: aiohttp.ClientSession, servers: tuple[str, ...]) -> Starlette:
    """Return an application that forwards requests to servers in round-robin order.

    :param servers: base URLs such as ``http://127.0.0.1:9000``.
    """
    server_cycle = itertools.cycle(servers)

    async def forward(request: Request) -> Response:
        target = "/" + request.path_params["path"]
        body = await request.body()
        async with session.request(
            request.method, next(server_cycle) + target, data=body
        ) as response:
            return Response(await response.read(), response.status)

    return Starlette(routes=[Route(_PREFIX + "{service}/{path:path}", forward)])
