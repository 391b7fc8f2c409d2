"""Helpers of the tests of delivery: backend servers, VMs and clients on loopback sockets."""

import asyncio
import functools
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from hibiscushaven.delivery import (
    AttemptHead,
    AttemptRequest,
    BackendClient,
    ClientTimeouts,
    RelayRequest,
)
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Message, PeerHub, PeerIdentity, PeerLink
from hibiscushaven.standins import BackendConfig, BackendStandIn

HOST = "127.0.0.1"
MAX_BYTES = 64 * 1024 * 1024
# Long enough for a busy machine; a test that fails ends with it in place of hanging.
_TEST_TIMEOUT_S = 15.0
_DEADLINE_S = 10.0


def in_loop(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an asynchronous test in an event loop of its own."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(_TEST_TIMEOUT_S):
                await test(*args, **kwargs)

        asyncio.run(bounded())

    return run


def soon(seconds: float = _DEADLINE_S) -> float:
    return asyncio.get_running_loop().time() + seconds


class Scene:
    """One backend server and one client."""

    def __init__(self, backend: BackendStandIn, client: BackendClient) -> None:
        self.backend = backend
        self.client = client
        self.server = Endpoint(HOST, backend.sockets.port)
        self._attempts = 0

    def request(self, target: str, method: str = "GET", **options: Any) -> AttemptRequest:
        self._attempts += 1
        options = {"attempt_id": f"a{self._attempts}", "deadline": soon()} | options
        server = options.pop("server", self.server)
        return AttemptRequest(server, method, target, **options)

    async def head(self, target: str, method: str = "GET", **options: Any) -> AttemptHead:
        return await self.client.attempt(self.request(target, method, **options))

    async def fetch(self, target: str, method: str = "GET", **options: Any) -> bytes:
        return await (await self.head(target, method, **options)).read(MAX_BYTES)

    async def open_idle(self, count: int) -> None:
        """Leave some idle connections in the client's pool."""
        before = self.backend.counters.started
        tasks = [asyncio.create_task(self.fetch(f"/idle?hold=1&n={n}")) for n in range(count)]
        await self.backend.wait_until(lambda it: it.counters.started == before + count)
        self.backend.release_held_requests()
        await asyncio.gather(*tasks)
        assert self.client.idle_connections(self.server) == count


@asynccontextmanager
async def scene(
    config: BackendConfig | None = None,
    connections: int = 64,
    **timeouts: float,
) -> AsyncIterator[Scene]:
    backend = BackendStandIn(config)
    await backend.start(HOST)
    client = BackendClient(lambda server: connections, ClientTimeouts(**timeouts))
    try:
        yield Scene(backend, client)
    finally:
        await client.close()
        await backend.close()


@asynccontextmanager
async def raw_server(answer: bytes) -> AsyncIterator[Endpoint]:
    """Serve the same bytes to every request, then close the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    try:
        yield Endpoint(HOST, server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def _ignore(link: PeerLink, item: Message) -> None:
    """Take the messages that nothing subscribed to."""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@asynccontextmanager
async def vms(count: int) -> AsyncIterator[list[PeerHub]]:
    hubs = [
        PeerHub(PeerIdentity(f"vm{n}", f"i{n}", "fd", "region", HOST, free_port()), _ignore)
        for n in range(count)
    ]
    try:
        for hub in hubs:
            await hub.listen()
        yield hubs
    finally:
        for hub in hubs:
            await hub.close()


def relay_request(target: str, **options: Any) -> RelayRequest:
    return RelayRequest("estoque", "norte", "retalho-sul", "loja", "r1", "GET", target, **options)
