"""Subscriptions and dropped connections of a hub."""

import asyncio
from dataclasses import dataclass

import pytest

from hibiscushaven.delivery.tests.support import in_loop, vms
from hibiscushaven.peers import Lane, Message, PeerClosedError, PeerLink, message


@message("test-note")
@dataclass(frozen=True, slots=True)
class Note(Message):
    text: str


@in_loop
async def test_dropped_link_leaves_other_lanes_open() -> None:
    """Guards against a silent short connection that cuts off downloads on a healthy one."""
    async with vms(2) as (asking, serving):
        notes: asyncio.Queue[str] = asyncio.Queue()
        ended: asyncio.Queue[Lane] = asyncio.Queue()

        async def note(link: PeerLink, item: Message) -> None:
            assert isinstance(item, Note)
            notes.put_nowait(item.text)

        serving.subscribe((Note,), note)
        serving.add_close_listener(lambda link: ended.put_nowait(link.lane))
        with pytest.raises(ValueError):
            serving.subscribe((Note,), lambda link, item: note(link, item))
        at = serving.identity.endpoint
        short, bulk = await asking.link(at, Lane.SHORT), await asking.link(at, Lane.BULK)
        asking.drop_link(short)
        assert await ended.get() is Lane.SHORT
        with pytest.raises(PeerClosedError):
            await short.stream.send(Note("lost"))
        await bulk.stream.send(Note("bulk"))
        assert await notes.get() == "bulk"
        assert await asking.link(at, Lane.BULK) is bulk
        assert await asking.link(at, Lane.SHORT) is not short
        assert ended.empty()
