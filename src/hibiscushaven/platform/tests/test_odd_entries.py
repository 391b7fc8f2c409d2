"""Entries of other writers with one odd value at any depth, found by a search."""

import asyncio
import json
import socket
from functools import partial

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscushaven.discovery import Registry
from hibiscushaven.fleet.sync import SyncResponse, decode_sync_response, encode_sync_response
from hibiscushaven.platform.decode import (
    DecodeError,
    decode_configuration,
    decode_server,
    parse_json,
)
from hibiscushaven.routing import OperatorState

from .samples import configuration_row, route_item, server_row
from .test_store import read_ids, running_store

NUMBERS = ["-1", "1.5", "1e999", "NaN", str(2**62), str(2**63), "1" + 400 * "0", 5000 * "9"]
NESTED = ["null", "true", "[]", "{}", *(n * "[" + n * "]" for n in (300, 900, 5000))]
TEXTS = ["", "\ud800", "\0", "a\r\nb", 40_000 * "x", "\u0663s", 400 * "9" + "s", "r\u0663"]
PORTS = ["0", "65536", "99999999999", "-1", " 80", "\u0668\u0660", ""]
HOSTS = ["a.example", "010.0.0.9", "[::1%" + 100 * "a" + "]", "[::1%\0]", "[::1%@]", "::1", ""]
ADDRESSES = [f"10.0.0.9:{port}" for port in PORTS] + [f"{host}:80" for host in HOSTS]
ODD_VALUES = [*NUMBERS, *NESTED, *map(json.dumps, TEXTS + ADDRESSES)]

SPLIT = [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}]
CONFIGURATION = configuration_row(7, [route_item(), route_item("r-2", TrafficSplit=SPLIT)])

searched = settings(max_examples=300, derandomize=True, deadline=None, database=None)


def paths(value, path=()):
    """Return the paths of all values within a value."""
    yield path
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, inner in items:
            yield from paths(inner, (*path, key))


def with_odd_value(row, path, odd):
    """Return the JSON of a row with another value at a path."""
    if not path:
        return odd.encode()
    row = json.loads(json.dumps(row))
    holder = row
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = "odd value"
    return json.dumps(row).replace('"odd value"', odd).encode()


def odd_rows(row):
    """Return a strategy of rows with an odd value in place of a field, or in an unknown one."""
    places = st.sampled_from([*paths(row), ("unknown",)])
    return st.builds(partial(with_odd_value, row), places, st.sampled_from(ODD_VALUES))


def as_received(response):
    message = msgpack.unpackb(encode_sync_response(10.0, response), strict_map_key=False)
    return decode_sync_response(10.0, message)


@searched
@given(odd_rows(server_row()))
def test_odd_server_is_rejected_or_usable(content):
    """Guards against a record that cannot be sent to other VMs or connected to."""
    try:
        record = decode_server("s1", parse_json(content))
    except DecodeError as error:
        assert len(str(error)) < 500
        return
    registry = Registry()
    registry.replace_all(10.0, 5, [record], 0.0)
    received = as_received(SyncResponse(None, registry.update_since(0)))
    assert received.servers.servers["s1"].record == record
    family = socket.AF_INET6 if ":" in record.address.host else socket.AF_INET
    socket.inet_pton(family, record.address.host)
    assert record.slots < 2**62


@searched
@given(odd_rows(CONFIGURATION))
def test_odd_configuration_is_rejected_or_sent_to_other_vms(content):
    """Guards against a configuration that only the VM that has read it can have."""
    try:
        configuration = decode_configuration(parse_json(content))
    except DecodeError as error:
        assert len(str(error)) < 500
        return
    state = OperatorState(5, configuration)
    assert as_received(SyncResponse(state)).operator == state


def test_changes_are_read_beside_each_odd_server():
    """Guards against an odd row that hides a good one, or a good row that stays hidden by it."""

    async def scenario():
        async with running_store() as (stand_in, client):
            for value in ODD_VALUES:
                stand_in.put("servers", "first", server_row())
                odd = with_odd_value(server_row(), ("Address",), value)
                stand_in.put("servers", "second", odd)
                assert await read_ids(client) == {"first"}
                stand_in.put("servers", "first", odd)
                assert await read_ids(client) == set()
                stand_in.put("servers", "second", server_row())
                assert await read_ids(client) == {"second"}
                stand_in.put("servers", "second", with_odd_value(server_row(), (), value))
                assert await read_ids(client) == set()

    asyncio.run(scenario())
