"""Tests of subscriptions to a hub's messages and of aborted connections."""

import asyncio
from dataclasses import dataclass

import pytest

from hibiscushaven.delivery.tests.support import in_loop, vms
from hibiscushaven.peers import Channel, Message, PeerClosedError, PeerConnection, message


@message("test-note")
@dataclass(frozen=True, slots=True)
class Note(Message):
    text: str


@in_loop
async def test_aborted_connection_leaves_other_channels_open() -> None:
    """Guards against an unresponsive short connection whose abort also ends downloads."""
    async with vms(2) as (asking, serving):
        notes: asyncio.Queue[str] = asyncio.Queue()
        ended: asyncio.Queue[Channel] = asyncio.Queue()

        async def receive(connection: PeerConnection, item: Message) -> None:
            assert isinstance(item, Note)
            notes.put_nowait(item.text)

        serving.subscribe((Note,), receive)
        serving.add_close_listener(lambda connection: ended.put_nowait(connection.channel))
        with pytest.raises(ValueError):
            serving.subscribe((Note,), lambda connection, item: receive(connection, item))
        at = serving.identity.endpoint
        short, bulk = (
            await asking.connection(at, Channel.SHORT),
            await asking.connection(at, Channel.BULK),
        )
        asking.abort_connection(short)
        assert await ended.get() is Channel.SHORT
        with pytest.raises(PeerClosedError):
            await short.stream.send(Note("lost"))
        await bulk.stream.send(Note("bulk"))
        assert await notes.get() == "bulk"
        assert await asking.connection(at, Channel.BULK) is bulk
        assert await asking.connection(at, Channel.SHORT) is not short
        assert ended.empty()
