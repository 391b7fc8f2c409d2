"""View of the other VMs under lost, repeated, reordered and damaged messages."""

import asyncio
import contextlib
import math
import random

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.discovery import KnownServer, RegistryUpdate, ServerRecord
from hibiscushaven.fleet import (
    FleetTransport,
    FleetView,
    LeavingReport,
    MessageError,
    RegionDigest,
    SyncResponse,
    VmState,
    token_of,
)
from hibiscushaven.fleet.messages import decode, encode
from hibiscushaven.fleet.sync import decode_sync_response, encode_sync_response
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.process import BudgetLimits, ConnectionBudget
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


def test_state_is_unchanged_by_encoding_and_decoding():
    """Guards against fields that are lost or swapped in datagrams."""
    state = make_state(
        in_progress={TOKEN: 3}, lost_server_ages_s={TOKEN: 0.5}, arrivals={TOKEN: 2.0}
    )
    assert decode(encode(state)) == state


@given(st.binary(max_size=200))
def test_random_datagram_raises_only_message_error(datagram):
    """Guards against datagrams that raise another exception into the event loop."""
    with contextlib.suppress(MessageError):
        decode(datagram)


@given(st.integers(0, 200), st.integers(0, 255))
def test_corrupted_state_raises_only_message_error(offset, byte):
    """Covers datagrams that are almost valid, unlike random bytes."""
    datagram = bytearray(encode(make_state(in_progress={TOKEN: 3})))
    datagram[offset % len(datagram)] = byte
    with contextlib.suppress(MessageError):
        decode(bytes(datagram))


@given(st.lists(st.tuples(st.integers(1, 20), st.integers(0, 5)), max_size=30))
def test_reordered_and_repeated_states_count_only_the_latest(messages):
    """Guards the running sums against states that are added twice or never subtracted."""
    view = make_view()
    for sequence, count in messages:
        view.on_state(0.0, make_state(sequence=sequence, in_progress={TOKEN: count}))
    latest = 0
    expected = 0
    for sequence, count in messages:
        if sequence > latest:
            latest, expected = sequence, count
    assert view.in_progress(TOKEN) == expected


def test_load_of_a_silent_vm_expires():
    """Guards against servers that seem busy with the requests of a VM that is down."""
    view = make_view()
    view.on_state(0.0, make_state(in_progress={TOKEN: 3}))
    assert view.expire(0.5) == []
    assert view.expire(1.0) == ["vm-2"]
    assert view.in_progress(TOKEN) == 0
    assert view.live_peers(1.0) == []


def test_load_of_a_silent_vm_counts_again_after_its_return():
    """Guards against an expired load that is subtracted twice when its VM returns."""
    view = make_view()
    view.on_state(0.0, make_state(in_progress={TOKEN: 3}))
    view.expire(1.0)
    assert view.on_state(1.1, make_state(sequence=2, in_progress={TOKEN: 2}))
    assert view.in_progress(TOKEN) == 2


def test_state_of_a_new_incarnation_replaces_a_higher_sequence():
    """A restarted VM counts from 1 again; its states must not be taken for old ones."""
    view = make_view()
    view.on_state(0.0, make_state(sequence=900, in_progress={TOKEN: 3}))
    view.on_state(0.1, make_state(sequence=1, incarnation=8, in_progress={}))
    assert view.in_progress(TOKEN) == 0


def test_state_without_arrivals_keeps_the_previous_ones():
    """Guards against rates that drop to zero in states that omit them."""
    view = make_view()
    view.on_state(0.0, make_state(arrivals={TOKEN: 3.0}))
    view.on_state(0.1, make_state(sequence=2, has_arrivals=False))
    assert view.local_arrivals(0.1, {TOKEN: 1.0}) == {TOKEN: 4.0}
    view.on_state(0.2, make_state(sequence=3))
    assert view.local_arrivals(0.2, {TOKEN: 1.0}) == {TOKEN: 1.0}


def test_remote_load_is_counted_from_digests_only():
    """Counting the states of remote VMs as well would count their requests twice."""
    view = make_view()
    view.on_state(0.0, make_state("far", region="vale", in_progress={TOKEN: 3}))
    assert view.in_progress(TOKEN) == 0
    view.on_digest(0.0, RegionDigest("vale", "far", 1, 1, {TOKEN: 5}))
    view.on_digest(0.0, RegionDigest("vale", "far", 1, 2, {TOKEN: 4}))
    view.on_digest(0.0, RegionDigest("vale", "far", 1, 1, {TOKEN: 9}))
    assert view.in_progress(TOKEN) == 4
    view.expire(5.0)
    assert view.in_progress(TOKEN) == 0


def test_vms_that_cannot_read_the_store_rank_last():
    """Guards against waiting for a reader that cannot reach the store."""
    view = make_view()
    for name in ("vm-2", "vm-3", "vm-4"):
        view.on_state(0.0, make_state(name, can_read=False))
    assert view.reader_rank(0.0, can_read=True) == 0
    for name in ("vm-2", "vm-3", "vm-4"):
        view.on_state(0.1, make_state(name, sequence=2))
    assert view.reader_rank(0.1, can_read=False) == 3


@pytest.mark.parametrize("capacity", [0.602, 0.301, 0.717, 0.1, 2.15])
def test_vms_of_equal_capacity_elect_one_aggregator(capacity):
    """Guards against VMs that all elect themselves, or none, since messages round numbers."""
    names = [f"vm-{number}" for number in range(11)]
    views = [FleetView(name, "serra", "serra-a", capacity) for name in names]
    for name in names:
        state = decode(encode(make_state(name, capacity=capacity)))
        for view in views:
            view.on_state(0.0, state)
    assert {view.aggregator(0.0).name for view in views} == {min(names, key=token_of)}
    assert sum(view.is_aggregator(0.0) for view in views) == 1


def test_all_vms_agree_on_the_vms_responsible_for_a_key():
    """Guards against more VMs than allowed that send to a cold server."""
    names = [f"vm-{number}" for number in range(7)]
    results = set()
    for own in names:
        view = FleetView(own, "serra", "serra-a")
        for other in names:
            view.on_state(0.0, make_state(other))
        results.add(tuple(view.responsible_vms(0.0, "s1", 4)))
    assert len(results) == 1


def make_sync_response():
    record = ServerRecord("s1", "stock", Endpoint("10.0.0.9", 80), "serra-a", 4)
    operator = OperatorState(5, Configuration(3), frozenset({"vale-a"}))
    servers = RegistryUpdate(9, {"s1": KnownServer(record, 12.0, None)}, 7, frozenset({"s2"}), 5)
    return SyncResponse(operator, servers, LeavingReport({"s1/1000": 0.5}))


def test_sync_response_keeps_remaining_times_between_different_clocks():
    """Absolute times would be wrong on a VM whose clock reads 100 instead of 10."""
    import msgpack

    items = msgpack.unpackb(encode_sync_response(10.0, make_sync_response()))
    response = decode_sync_response(100.0, items)
    assert response.operator == make_sync_response().operator
    assert response.leaving == make_sync_response().leaving
    assert (response.servers.base_version, response.servers.removed, response.servers.checksum) == (
        7,
        {"s2"},
        5,
    )
    assert response.servers.servers["s1"].cold_until == pytest.approx(102.0)


@given(st.recursive(st.integers() | st.text() | st.none(), st.lists, max_leaves=12))
def test_malformed_sync_response_raises_only_message_error(items):
    """Guards against malformed responses that end the task of a pull."""
    with contextlib.suppress(MessageError):
        decode_sync_response(0.0, items)


async def _start_transport(on_pull, on_message=lambda message: None, budget=None):
    port = random.randint(20000, 60000)
    transport = FleetTransport(lambda: 10.0, on_message, on_pull, budget)
    for _ in range(20):
        try:
            await transport.start(Endpoint("127.0.0.1", port))
            return transport, port
        except OSError:
            port = random.randint(20000, 60000)
    raise AssertionError("no free port")


def test_pull_returns_the_response_of_the_peer():
    """Guards against versions and responses that are not transferred over TCP."""

    async def run():
        server, port = await _start_transport(lambda operator, servers: make_sync_response())
        client, _ = await _start_transport(lambda operator, servers: SyncResponse())
        response = await client.pull(f"127.0.0.1:{port}", 1, 1, 5.0)
        server.close()
        client.close()
        return response

    assert asyncio.run(run()).servers.version == 9


def test_silent_pulls_beyond_the_budget_are_closed():
    """Guards against connections of other VMs that no budget accounts for."""

    async def run():
        evictions = []
        limits = BudgetLimits(2**20, connections=2)
        budget = ConnectionBudget(limits, on_eviction=evictions.append)
        server, port = await _start_transport(lambda *_: make_sync_response(), budget=budget)
        client, _ = await _start_transport(lambda *_: SyncResponse())
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(6)]
        response = await client.pull(f"127.0.0.1:{port}", 1, 1, 5.0)
        for reader, _ in silent[:4]:
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
        assert budget.connections <= 2
        # Their timeout would close them as well, but later and without counting them.
        assert len(evictions) >= 4 and set(evictions) == {"connections"}
        server.close()
        client.close()
        return response

    assert asyncio.run(run()).servers.version == 9


@pytest.mark.parametrize("request_bytes", [b"\xc6\x00\x7f\xff\xff" + bytes(50_000), b"\xc1"])
def test_pull_that_is_too_long_or_malformed_is_closed(request_bytes):
    """Guards against requests of other VMs that are stored without a bound."""

    async def run():
        budget = ConnectionBudget(BudgetLimits(2**20, connections=2))
        server, port = await _start_transport(lambda *_: make_sync_response(), budget=budget)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes)
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        assert budget.total_bytes == budget.connections == 0
        server.close()

    asyncio.run(run())


def test_valid_datagrams_reach_the_handler_and_malformed_ones_are_counted():
    """Guards against a malformed datagram that stops the receipt of later ones."""

    async def run():
        arrived = asyncio.Queue()
        receiver, port = await _start_transport(lambda *_: SyncResponse(), arrived.put_nowait)
        sender, _ = await _start_transport(lambda *_: SyncResponse())
        sender.send(b"\xff\xff", f"127.0.0.1:{port}")
        sender.send(encode(make_state()), f"127.0.0.1:{port}")
        message = await asyncio.wait_for(arrived.get(), 10)
        sender.close()
        receiver.close()
        return message, receiver.malformed

    assert asyncio.run(run()) == (make_state(), 1)


@pytest.mark.parametrize(
    "fields",
    [
        {"peers_at": "10.0.0.2"},
        {"peers_at": "10.0.0.2:99999"},
        {"callers_at": "vm-2.example:80"},
        {"servers_age_s": -math.inf},
        {"operator_age_s": math.nan},
        {"arrivals": {TOKEN: math.inf}},
        {"slowness": {TOKEN: (100, math.nan)}},
        {"servers_version": -1},
        {"operator_version": 2**64 - 1},
    ],
)
def test_state_with_a_value_out_of_range_is_rejected(fields):
    """Guards against one message that makes each later send of a state fail."""
    with pytest.raises(MessageError):
        decode(encode(make_state(**fields)))


def test_fields_of_later_builds_are_ignored():
    """Guards against VMs that drop the messages of newer ones during an upgrade."""
    state, response = make_state(in_progress={TOKEN: 3}), make_sync_response()
    later = msgpack.packb([*msgpack.unpackb(encode(state), strict_map_key=False), "new", 1])
    assert decode(later) == state
    operator, servers, leaving = msgpack.unpackb(encode_sync_response(0.0, response))
    servers[1] = [[*item, "new"] for item in servers[1]]
    later_items = [[*operator, "new"], [*servers, "new"], leaving, "new"]
    assert decode_sync_response(0.0, later_items) == response
