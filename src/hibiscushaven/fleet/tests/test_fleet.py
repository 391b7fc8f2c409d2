"""What VMs know of each other under lost, repeated and reordered messages."""

import asyncio
import contextlib
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.discovery import KnownServer, RegistryNews, ServerRecord
from hibiscushaven.fleet import (
    FleetLink,
    FleetView,
    MessageError,
    News,
    RegionDigest,
    VmState,
    token_of,
)
from hibiscushaven.fleet.messages import decode, encode
from hibiscushaven.fleet.news import decode_news, encode_news
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.routing import Configuration, OperatorState

TOKEN = token_of("s1")


def make_state(name="vm-2", sequence=1, **fields):
    defaults = {
        "incarnation": 7,
        "region": "serra",
        "failure_domain": "serra-a",
        "callers_at": "10.0.0.2:80",
        "peers_at": "10.0.0.2:7000",
    }
    return VmState(name=name, sequence=sequence, **{**defaults, **fields})


def make_view():
    return FleetView("vm-1", "serra", "serra-a")


def test_message_survives_encoding():
    state = make_state(in_progress={TOKEN: 3}, lost={TOKEN: 0.5}, arrivals={TOKEN: 2.0})
    assert decode(encode(state)) == state


@given(st.binary(max_size=200))
def test_no_datagram_breaks_the_decoder(datagram):
    with contextlib.suppress(MessageError):
        decode(datagram)


@given(st.integers(0, 200), st.integers(0, 255))
def test_no_damaged_state_breaks_the_decoder(place, byte):
    datagram = bytearray(encode(make_state(in_progress={TOKEN: 3})))
    datagram[place % len(datagram)] = byte
    with contextlib.suppress(MessageError):
        decode(bytes(datagram))


@given(st.lists(st.tuples(st.integers(1, 20), st.integers(0, 5)), max_size=30))
def test_sum_is_that_of_the_latest_state_whatever_the_order(messages):
    view = make_view()
    for sequence, count in messages:
        view.on_state(0.0, make_state(sequence=sequence, in_progress={TOKEN: count}))
    latest = 0
    expected = 0
    for sequence, count in messages:
        if sequence > latest:
            latest, expected = sequence, count
    assert view.in_progress(TOKEN) == expected


def test_silent_vm_no_longer_counts():
    view = make_view()
    view.on_state(0.0, make_state(in_progress={TOKEN: 3}))
    assert view.expire(0.5) == []
    assert view.expire(1.0) == ["vm-2"]
    assert view.in_progress(TOKEN) == 0
    assert view.up(1.0) == []


def test_silent_vm_that_returns_counts_again():
    view = make_view()
    view.on_state(0.0, make_state(in_progress={TOKEN: 3}))
    view.expire(1.0)
    assert view.on_state(1.1, make_state(sequence=2, in_progress={TOKEN: 2}))
    assert view.in_progress(TOKEN) == 2


def test_restarted_vm_is_believed_though_its_sequence_is_lower():
    view = make_view()
    view.on_state(0.0, make_state(sequence=900, in_progress={TOKEN: 3}))
    view.on_state(0.1, make_state(sequence=1, incarnation=8, in_progress={}))
    assert view.in_progress(TOKEN) == 0


def test_arrivals_hold_until_others_are_told():
    view = make_view()
    view.on_state(0.0, make_state(arrivals={TOKEN: 3.0}))
    view.on_state(0.1, make_state(sequence=2, has_arrivals=False))
    assert view.arrivals(0.1, {TOKEN: 1.0}) == {TOKEN: 4.0}
    view.on_state(0.2, make_state(sequence=3))
    assert view.arrivals(0.2, {TOKEN: 1.0}) == {TOKEN: 1.0}


def test_other_regions_count_by_digest_only():
    view = make_view()
    view.on_state(0.0, make_state("far", region="vale", in_progress={TOKEN: 3}))
    assert view.in_progress(TOKEN) == 0
    view.on_digest(0.0, RegionDigest("vale", "far", 1, 1, {TOKEN: 5}))
    view.on_digest(0.0, RegionDigest("vale", "far", 1, 2, {TOKEN: 4}))
    view.on_digest(0.0, RegionDigest("vale", "far", 1, 1, {TOKEN: 9}))
    assert view.in_progress(TOKEN) == 4
    view.expire(5.0)
    assert view.in_progress(TOKEN) == 0


def test_vms_that_cannot_read_come_last():
    view = make_view()
    for name in ("vm-2", "vm-3", "vm-4"):
        view.on_state(0.0, make_state(name, can_read=False))
    assert view.rank(0.0, can_read=True) == 0
    for name in ("vm-2", "vm-3", "vm-4"):
        view.on_state(0.1, make_state(name, sequence=2))
    assert view.rank(0.1, can_read=False) == 3


def test_all_vms_agree_on_the_keepers_of_a_key():
    names = [f"vm-{number}" for number in range(7)]
    found = set()
    for own in names:
        view = FleetView(own, "serra", "serra-a")
        for other in names:
            view.on_state(0.0, make_state(other))
        found.add(tuple(view.keepers(0.0, "s1", 4)))
    assert len(found) == 1


def make_news():
    record = ServerRecord("s1", "stock", Endpoint("10.0.0.9", 80), "serra-a", 4)
    operator = OperatorState(5, Configuration(3), frozenset({"vale-a"}))
    servers = RegistryNews(9, {"s1": KnownServer(record, 12.0, None)}, 7, frozenset({"s2"}), 5)
    return News(operator, servers)


def test_news_keep_times_that_remain():
    import msgpack

    items = msgpack.unpackb(encode_news(10.0, make_news()))
    news = decode_news(100.0, items)
    assert news.operator == make_news().operator
    assert (news.servers.base, news.servers.removed, news.servers.checksum) == (7, {"s2"}, 5)
    assert news.servers.servers["s1"].cold_until == pytest.approx(102.0)


@given(st.recursive(st.integers() | st.text() | st.none(), st.lists, max_leaves=12))
def test_no_news_break_the_decoder(items):
    with contextlib.suppress(MessageError):
        decode_news(0.0, items)


async def _link(give_news, on_message=lambda message: None):
    port = random.randint(20000, 60000)
    link = FleetLink(lambda: 10.0, on_message, give_news)
    for _ in range(20):
        try:
            await link.start(Endpoint("127.0.0.1", port))
            return link, port
        except OSError:
            port = random.randint(20000, 60000)
    raise AssertionError("no free port")


def test_pull_over_a_stream():
    async def run():
        server, port = await _link(lambda operator, servers: make_news())
        client, _ = await _link(lambda operator, servers: News())
        news = await client.pull(f"127.0.0.1:{port}", 1, 1, 5.0)
        server.close()
        client.close()
        return news

    assert asyncio.run(run()).servers.version == 9


def test_datagrams_reach_the_handler_and_damaged_ones_are_counted():
    async def run():
        arrived = asyncio.Queue()
        receiver, port = await _link(lambda *_: News(), arrived.put_nowait)
        sender, _ = await _link(lambda *_: News())
        sender.send(b"\xff\xff", f"127.0.0.1:{port}")
        sender.send(encode(make_state()), f"127.0.0.1:{port}")
        message = await asyncio.wait_for(arrived.get(), 10)
        sender.close()
        receiver.close()
        return message, receiver.malformed

    assert asyncio.run(run()) == (make_state(), 1)
