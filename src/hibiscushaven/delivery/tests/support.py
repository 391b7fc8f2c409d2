"""Test helpers: backend servers, VMs and clients connected over loopback sockets."""

import asyncio
import functools
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from hibiscushaven.delivery import (
    AttemptRequest,
    AttemptResponse,
    BackendClient,
    ClientTimeouts,
    RelayRequest,
)
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Message, PeerConnection, PeerHub, PeerIdentity
from hibiscushaven.process import ConnectionBudget
from hibiscushaven.standins import BackendConfig, BackendStandIn

HOST = "127.0.0.1"
MAX_BYTES = 64 * 1024 * 1024
# Generous for a loaded machine; keeps a failing test from hanging.
_TEST_TIMEOUT_S = 15.0
_DEADLINE_S = 10.0


def in_loop(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an asynchronous test in its own event loop, with a timeout."""

    @functools.wraps(test)
    def run_test(*args: Any, **kwargs: Any) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(_TEST_TIMEOUT_S):
                await test(*args, **kwargs)

        asyncio.run(bounded())

    return run_test


def deadline_in(seconds: float = _DEADLINE_S) -> float:
    return asyncio.get_running_loop().time() + seconds


class BackendEnv:
    """A backend server and a client for it."""

    def __init__(self, backend: BackendStandIn, client: BackendClient) -> None:
        self.backend = backend
        self.client = client
        self.server = Endpoint(HOST, backend.sockets.port)
        self._attempts = 0

    def request(self, target: str, method: str = "GET", **options: Any) -> AttemptRequest:
        self._attempts += 1
        options = {"attempt_id": f"a{self._attempts}", "deadline": deadline_in()} | options
        server = options.pop("server", self.server)
        return AttemptRequest(server, method, target, **options)

    async def send(self, target: str, method: str = "GET", **options: Any) -> AttemptResponse:
        return await self.client.attempt(self.request(target, method, **options))

    async def fetch(self, target: str, method: str = "GET", **options: Any) -> bytes:
        return await (await self.send(target, method, **options)).read(MAX_BYTES)

    async def open_idle(self, count: int) -> None:
        """Open ``count`` connections and leave them idle in the client's pool."""
        before = self.backend.counters.started
        tasks = [
            asyncio.create_task(self.fetch(f"/idle?hold=1&n={number}")) for number in range(count)
        ]
        await self.backend.wait_until(lambda backend: backend.counters.started == before + count)
        self.backend.release_held_requests()
        await asyncio.gather(*tasks)
        assert self.client.idle_connections(self.server) == count


@asynccontextmanager
async def backend_env(
    config: BackendConfig | None = None,
    connections: int = 64,
    **timeouts: float,
) -> AsyncIterator[BackendEnv]:
    backend = BackendStandIn(config)
    await backend.start(HOST)
    client = BackendClient(lambda server: connections, ClientTimeouts(**timeouts))
    try:
        yield BackendEnv(backend, client)
    finally:
        await client.close()
        await backend.close()


@asynccontextmanager
async def raw_server(response: bytes) -> AsyncIterator[Endpoint]:
    """Send the same bytes in response to every request, then close the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    try:
        yield Endpoint(HOST, server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def _ignore_message(connection: PeerConnection, item: Message) -> None:
    """Discard messages without a subscriber."""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@asynccontextmanager
async def vms(count: int, budget: ConnectionBudget | None = None) -> AsyncIterator[list[PeerHub]]:
    hubs = [
        PeerHub(
            PeerIdentity(f"vm{n}", f"i{n}", "fd", "region", HOST, free_port()),
            _ignore_message,
            budget=budget,
        )
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
