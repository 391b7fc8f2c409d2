"""What a VM believes of backend servers: lapses, restarts, old news, coldness."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.discovery import LAPSE_GRACE_S, KnownServer, Registry, ServerRecord
from hibiscushaven.ini.fields import Endpoint


def make_record(server_id="s1", **fields):
    defaults = {
        "server_id": server_id,
        "service": "stock",
        "address": Endpoint("10.0.0.1", 80),
        "failure_domain": "serra-a",
        "slots": 4,
        "started_unix_ms": 1000,
    }
    return ServerRecord(**{**defaults, **fields})


def make_registry(*records, now=0.0, version=10):
    registry = Registry()
    registry.replace_all(now, version, records, gap_s=0.5)
    return registry


def test_repeated_heartbeats_change_nothing():
    registry = make_registry(make_record())
    assert not registry.replace_all(1.0, 20, [make_record()], gap_s=0.5)
    assert registry.version == 10


def test_removed_record_is_gone_at_once_while_the_store_is_there():
    registry = make_registry(make_record("s1"), make_record("s2"))
    assert registry.replace_all(1.0, 20, [make_record("s2")], gap_s=0.5)
    assert set(registry.servers) == {"s2"}


def test_record_missing_after_an_outage_is_kept_for_the_grace_time():
    registry = make_registry(make_record("s1"), make_record("s2"))
    registry.replace_all(10.0, 20, [make_record("s2")], gap_s=6.0)
    assert set(registry.servers) == {"s1", "s2"}
    assert not registry.expire(10.0 + LAPSE_GRACE_S - 0.1)
    assert registry.expire(10.0 + LAPSE_GRACE_S)
    assert set(registry.servers) == {"s2"}


def test_record_that_is_back_after_an_outage_stays():
    registry = make_registry(make_record())
    registry.replace_all(10.0, 20, [], gap_s=6.0)
    assert registry.replace_all(11.0, 30, [make_record()], gap_s=0.5)
    assert not registry.expire(20.0)
    assert registry.servers["s1"].lapsed_until is None


def test_leaving_server_is_not_kept_after_an_outage():
    registry = make_registry(make_record(is_leaving=True))
    registry.replace_all(10.0, 20, [], gap_s=6.0)
    assert not registry.servers


def test_old_read_undoes_nothing():
    registry = make_registry(make_record(), version=10)
    registry.replace_all(1.0, 20, [make_record(is_leaving=True)], gap_s=0.5)
    assert not registry.replace_all(1.1, 15, [make_record()], gap_s=0.5)
    assert registry.servers["s1"].record.is_leaving


@given(st.permutations([3, 7, 11, 15]), st.integers(0, 20))
def test_snapshots_of_peers_only_move_forward(versions, own):
    registry = make_registry(make_record(), version=own)
    for version in versions:
        registry.adopt(1.0, version, {"s1": KnownServer(make_record(slots=version))})
    newest = max(15, own)
    assert registry.version == newest
    assert registry.servers["s1"].record.slots == (15 if own < 15 else 4)


def test_restart_under_the_same_id_takes_the_coldness_of_the_new_start():
    registry = make_registry(make_record())
    registry.mark_server_cold("s1", 50.0)
    registry.replace_all(1.0, 20, [make_record(started_unix_ms=2000, cold_left_s=3.0)], 0.5)
    assert registry.servers["s1"].cold_until == 4.0


def test_same_cold_record_read_again_does_not_prolong_the_coldness():
    record = make_record(cold_left_s=3.0)
    registry = make_registry(record, now=1.0)
    registry.replace_all(2.0, 20, [record], gap_s=0.5)
    assert registry.servers["s1"].cold_until == 4.0


def test_presumed_coldness_outlives_a_peers_snapshot():
    registry = make_registry(make_record())
    registry.mark_server_cold("s1", 9.0)
    registry.adopt(1.0, 20, {"s1": KnownServer(make_record())})
    assert registry.servers["s1"].cold_until == 9.0


def test_domain_that_is_taken_back_counts_as_cold():
    registry = make_registry(make_record("s1"), replace(make_record("s2"), failure_domain="vale-a"))
    registry.mark_cold(5.0, "serra-a", {"stock": 3.0})
    assert registry.servers["s1"].cold_until == 8.0
    assert registry.servers["s2"].cold_until == 0.0


@pytest.mark.parametrize("service, expected", [("stock", ["s1", "s2"]), ("other", [])])
def test_servers_by_service(service, expected):
    registry = make_registry(make_record("s2"), make_record("s1"))
    assert [s.record.server_id for s in registry.of_service(service)] == expected
