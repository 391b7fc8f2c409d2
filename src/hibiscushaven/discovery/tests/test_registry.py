"""What a VM believes of backend servers: lapses, restarts, old news, coldness."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.discovery import (
    LAPSE_GRACE_S,
    KnownServer,
    Registry,
    RegistryNews,
    ServerRecord,
)
from hibiscushaven.discovery.changes import CHANGES_KEPT
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
        registry.adopt(RegistryNews(version, {"s1": KnownServer(make_record(slots=version))}))
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
    registry.adopt(RegistryNews(20, {"s1": KnownServer(make_record())}))
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


@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.sampled_from("abcde"), st.integers(1, 3)),
            st.booleans(),
        ),
        max_size=12,
    )
)
def test_changes_lead_to_the_same_servers_as_the_whole_list(reads):
    """A reader's reads reach another VM at some times, and a third one at others."""
    reader, often, seldom = Registry(), Registry(), Registry()
    for number, (content, is_told) in enumerate(reads):
        records = [make_record(name, slots=slots) for name, slots in content.items()]
        reader.replace_all(float(number), 10 * (number + 1), records, gap_s=0.5)
        often.adopt(reader.news_since(often.version))
        if is_told:
            seldom.adopt(reader.news_since(seldom.version))
        assert often.servers == reader.servers and often.version == reader.version
    seldom.adopt(reader.news_since(seldom.version))
    assert seldom.servers == reader.servers
    assert seldom.checksum == reader.checksum


def test_changes_name_only_what_changed():
    reader = make_registry(*(make_record(f"s{number}") for number in range(50)))
    other = Registry()
    assert other.adopt(reader.news_since(other.version))
    records = [make_record(f"s{number}") for number in range(1, 51)]
    reader.replace_all(1.0, 20, records, gap_s=0.5)
    news = reader.news_since(other.version)
    assert set(news.servers) == {"s50"} and news.removed == {"s0"}
    assert other.adopt(news)
    assert other.servers == reader.servers


def test_changes_that_do_not_fit_are_not_taken():
    reader = make_registry(make_record("s1"))
    other = make_registry(make_record("s1", slots=9))
    reader.replace_all(1.0, 20, [make_record("s1"), make_record("s2")], gap_s=0.5)
    news = reader.news_since(other.version)
    assert news.base == other.version
    assert not other.adopt(news)
    assert set(other.servers) == {"s1"}
    assert other.adopt(reader.news_since(0))
    assert other.servers == reader.servers


def test_news_for_another_version_are_not_taken():
    reader = make_registry(make_record("s1"))
    other = Registry()
    other.adopt(reader.news_since(0))
    reader.replace_all(1.0, 20, [make_record("s2")], gap_s=0.5)
    news = reader.news_since(other.version)
    other.expire(2.0)
    other.replace_all(2.0, 15, [make_record("s1"), make_record("s3")], gap_s=0.5)
    assert not other.adopt(news)
    assert set(other.servers) == {"s1", "s3"}


def test_vm_that_is_too_far_behind_gets_the_whole_list():
    reader = make_registry(make_record("s"))
    other = Registry()
    other.adopt(reader.news_since(0))
    for number in range(CHANGES_KEPT + 1):
        reader.replace_all(1.0, 20 + number, [make_record(f"s{number}")], gap_s=0.5)
    news = reader.news_since(other.version)
    assert news.base is None
    assert other.adopt(news) and other.servers == reader.servers


def test_lapsed_servers_reach_others_with_the_changes():
    reader = make_registry(make_record("s1"), make_record("s2"))
    other = Registry()
    other.adopt(reader.news_since(0))
    reader.replace_all(9.0, 20, [make_record("s1")], gap_s=8.0)
    assert other.adopt(reader.news_since(other.version))
    assert other.servers["s2"].lapsed_until == 9.0 + LAPSE_GRACE_S
    assert other.expire(9.0 + LAPSE_GRACE_S) and set(other.servers) == {"s1"}
