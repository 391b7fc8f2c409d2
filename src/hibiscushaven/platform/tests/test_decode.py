"""Decoding of rows of the platform's store: malformed rows are rejected as a whole."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.platform.decode import (
    DecodeError,
    decode_configuration,
    decode_server,
    parse_json,
)
from hibiscushaven.routing import RequestKind, WeightedService

from .samples import configuration_row, route_item, server_row

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)


def test_decode_configuration():
    """Guards against fields of routes that are ignored or decoded wrongly."""
    split = [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}]
    routes = [
        route_item("r-1"),
        route_item("r-2", Kind="unsafe", TrafficSplit=split, HomeRegions=["serra"]),
    ]
    configuration = decode_configuration(configuration_row(7, routes))
    assert configuration.version == 7
    first, second = configuration.routes
    assert (first.timeout_s, first.objective_s, first.max_attempts) == (0.8, 0.25, 2)
    assert first.weighted_services == (WeightedService("stock", 1.0),)
    assert second.kind is RequestKind.UNSAFE
    assert second.weighted_services == (WeightedService("a", 90), WeightedService("b", 10))
    assert second.home_regions == {"serra"}
    assert configuration.services["stock"].warmup_per_s == 9.5
    assert configuration.limits.max_body_bytes == 1000


@given(json_values)
def test_random_configuration_raises_only_decode_error(body):
    """Another exception would end the task that reads the store."""
    with pytest.raises(DecodeError):
        decode_configuration(body)


def test_decode_server():
    """Guards against fields of server records that are ignored or decoded wrongly."""
    record = decode_server("s1", server_row())
    assert (record.service, str(record.address), record.slots) == ("stock", "10.0.0.9:8080", 4)
    assert record.started_unix_ms == 1000 and not record.is_leaving
    assert decode_server("s1", server_row(state="draining")).is_leaving


@given(json_values)
def test_random_server_raises_only_decode_error(body):
    """Guards against a record whose decoding raises another exception."""
    with pytest.raises(DecodeError):
        decode_server("s1", body)


@pytest.mark.parametrize(
    "change",
    [
        {"Address": "nowhere"},
        {"Address": None},
        {"Address": "10.0.0.9:0"},
        {"Address": "10.0.0.9:65536"},
        {"Address": "10.0.0.9:\u0668\u0660"},
        {"Address": "[::1%\0]:80"},
        {"Address": "[::1%" + 100 * "a" + "]:80"},
        {"Info": {}},
        {"Status": {"State": "asleep"}},
        {"born": "yesterday"},
        {"Info": {"Service": "s", "Version": "v1", "Zone": "z", "Concurrency": "4"}},
        {"Info": {"Service": "s", "Version": "v1", "Zone": "z", "Concurrency": 2**62}},
        {"Status": {"State": "ready", "Sequence": "1", "WarmupLeft": "0ms"}},
        {"Status": {"State": "ready", "Sequence": 2**64, "WarmupLeft": "0ms"}},
    ],
)
def test_server_with_an_invalid_field_is_rejected(change):
    """Guards against requests to a server with an invalid record."""
    with pytest.raises(DecodeError):
        decode_server("s1", {**server_row(), **change})


FIELDS = [
    ("Address",),
    ("born",),
    *(("Info", name) for name in ("Service", "Version", "Zone", "Concurrency")),
    *(("Status", name) for name in ("State", "Sequence", "WarmupLeft")),
]


@pytest.mark.parametrize("path", FIELDS, ids="-".join)
@pytest.mark.parametrize("odd", ["missing", None, [1]])
def test_server_whose_entry_lacks_a_field_is_rejected(path, odd):
    """Guards against requests to a server of another service that another writer names."""
    row = server_row()
    holder = row[path[0]] if len(path) == 2 else row
    if odd == "missing":
        del holder[path[-1]]
    else:
        holder[path[-1]] = odd
    with pytest.raises(DecodeError, match="malformed backend server"):
        decode_server("s1", row)


@pytest.mark.parametrize(
    "text",
    [
        b'{"born": 1e999}',
        b'{"born": -1}',
        b'{"born": 1.5}',
        b'{"born": true}',
        b'{"born": 1' + 30 * b"0" + b"}",
        b'{"Info": {"Service": "\\ud800", "Zone": "z", "Concurrency": 4}}',
        b'{"Info": {"Service": "s", "Zone": "z", "Concurrency": 1' + 30 * b"0" + b"}}",
        b'{"Status": {"State": "ready", "WarmupLeft": "' + 400 * b"9" + b's"}}',
        4096 * b"[",
        b"9" * 5000,
    ],
)
def test_unreadable_server_raises_only_decode_error(text):
    """Guards against an entry of another writer whose error ends all reads of the servers."""
    with pytest.raises(DecodeError):
        decode_server("s1", {**server_row(), **parse_json(text)})


@pytest.mark.parametrize("server_id", ["a\r\nb", "\ud800", "\xe9", " ", ""])
def test_server_whose_id_cannot_be_sent_is_rejected(server_id):
    """Guards against requests whose header fields cannot be written."""
    with pytest.raises(DecodeError):
        decode_server(server_id, server_row())


def test_start_time_may_be_a_whole_number_with_an_exponent():
    """Guards against servers that are left out for the form of their start time."""
    assert decode_server("s1", {**server_row(), "born": 1.7e12}).started_unix_ms == 1700000000000


@pytest.mark.parametrize(
    "text",
    [
        b"\xff" + 60_000 * b"x",
        b'{"Address": "' + 60_000 * b"x" + b'"}',
        b'{"Status": {"State": ' + 400 * b'{"State":' + b"1" + 402 * b"}",
        b'{"born": 1' + 4000 * b"0" + b"}",
    ],
)
def test_error_of_an_unreadable_server_is_short(text):
    """Guards against log lines as long as the rows of another writer."""
    with pytest.raises(DecodeError) as caught:
        decode_server("s1", {**server_row(), **parse_json(text)})
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize(
    "spec",
    [
        {"Host": 7},
        {"Prefix": []},
        {"Service": "\ud800"},
        {"Priority": 1e300},
        {"MaxAttempts": 2**64},
        {"HomeRegions": [7]},
        {"TrafficSplit": [{"Service": "a", "Weight": "90"}]},
        {"TrafficSplit": [{"Service": "a", "Weight": math.nan}]},
        {"TrafficSplit": [{"Service": "a", "Weight": 2**64}]},
    ],
)
def test_configuration_with_an_invalid_field_is_rejected(spec):
    """Guards against a configuration that no request or no message between VMs survives."""
    with pytest.raises(DecodeError):
        decode_configuration(configuration_row(7, [route_item(**spec)]))
