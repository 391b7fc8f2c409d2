"""Tests of subscriptions to a hub's messages and of aborted connections."""

import asyncio
from dataclasses import dataclass

import pytest

from hibiscushaven.delivery.tests.support import in_loop, vms
from hibiscushaven.peers import Channel, Message, PeerClosedError, PeerConnection, message


@message("test-note")
@dataclass(frozen=True, slots=True)
class TextMessage(Message):
    text: str


@in_loop
async def test_aborted_connection_leaves_other_channels_open() -> None:
    """Guards against an unresponsive short connection whose abort also ends downloads."""
    async with vms(2) as (client, server):
        received: asyncio.Queue[str] = asyncio.Queue()
        ended: asyncio.Queue[Channel] = asyncio.Queue()

        async def receive(connection: PeerConnection, item: Message) -> None:
            assert isinstance(item, TextMessage)
            received.put_nowait(item.text)

        server.subscribe((TextMessage,), receive)
        server.add_close_listener(lambda connection: ended.put_nowait(connection.channel))
        with pytest.raises(ValueError):
            server.subscribe((TextMessage,), lambda connection, item: receive(connection, item))
        endpoint = server.identity.endpoint
        short, bulk = (
            await client.connection(endpoint, Channel.SHORT),
            await client.connection(endpoint, Channel.BULK),
        )
        client.abort_connection(short)
        assert await ended.get() is Channel.SHORT
        with pytest.raises(PeerClosedError):
            await short.stream.send(TextMessage("lost"))
        await bulk.stream.send(TextMessage("bulk"))
        assert await received.get() == "bulk"
        assert await client.connection(endpoint, Channel.BULK) is bulk
        assert await client.connection(endpoint, Channel.SHORT) is not short
        assert ended.empty()
