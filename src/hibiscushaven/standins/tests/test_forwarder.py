"""The forwarder blocks one direction without closing, and resets both ends."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from hibiscushaven.delivery.tests.support import HOST, in_loop
from hibiscushaven.standins import Direction, Forwarder

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@asynccontextmanager
async def echo_through_forwarder() -> AsyncIterator[tuple[Forwarder, Connection]]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    forwarder = Forwarder(HOST, server.sockets[0].getsockname()[1])
    connection = await asyncio.open_connection(HOST, await forwarder.start(HOST))
    try:
        yield forwarder, connection
    finally:
        await forwarder.close()
        connection[1].close()
        server.close()


@pytest.mark.parametrize("direction", [Direction.TO_SERVER, Direction.TO_CLIENT])
@in_loop
async def test_block_and_resume(direction: Direction) -> None:
    """Guards against a block that closes the connection or affects the other direction."""
    async with echo_through_forwarder() as (forwarder, (reader, writer)):
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        forwarder.block(direction)
        writer.write(b"two")
        if direction is Direction.TO_CLIENT:
            await forwarder.wait_until(lambda forwarder: forwarder.bytes_to_server == 6)
        waiting = asyncio.create_task(reader.readexactly(3))
        other = await asyncio.open_connection(HOST, forwarder.port)
        other[1].write(b"new")
        assert await other[0].readexactly(3) == b"new"
        other[1].close()
        assert not waiting.done()
        forwarder.resume()
        assert await waiting == b"two"


@in_loop
async def test_reset() -> None:
    """Guards against a reset that the two ends see as an orderly close."""
    async with echo_through_forwarder() as (forwarder, (reader, writer)):
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        forwarder.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
