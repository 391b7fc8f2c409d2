"""Registry of backend servers: expired records, restarts, outdated updates and warm-up."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.discovery import (
    EXPIRY_GRACE_S,
    KnownServer,
    Registry,
    RegistryUpdate,
    ServerRecord,
)
from hibiscushaven.discovery.changes import MAX_CHANGED_SERVERS
from hibiscushaven.eras import version_of
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


def test_unchanged_record_does_not_change_the_version():
    """Each new version makes all other VMs pull an update."""
    registry = make_registry(make_record())
    assert not registry.replace_all(1.0, 20, [make_record()], gap_s=0.5)
    assert registry.version == 10


def test_removed_record_is_dropped_at_once_without_an_outage():
    """Guards against requests to a server that has deregistered."""
    registry = make_registry(make_record("s1"), make_record("s2"))
    assert registry.replace_all(1.0, 20, [make_record("s2")], gap_s=0.5)
    assert set(registry.servers) == {"s2"}


@pytest.mark.parametrize("renewal_s", [0.5, 1.5])
def test_record_missing_after_a_gap_too_short_to_expire_is_dropped_at_once(renewal_s):
    """Guards against requests to a deregistered server by a VM that had no news for a while."""
    for gap_s, kept in ((2 * renewal_s, set()), (2 * renewal_s + 0.1, {"s1"})):
        registry = Registry(renewal_s)
        registry.replace_all(0.0, 10, [make_record("s1"), make_record("s2")], gap_s=0.5)
        registry.replace_all(gap_s, 20, [make_record("s2")], gap_s)
        assert set(registry.servers) == {"s2"} | kept


def test_record_missing_after_an_outage_is_kept_for_the_grace_period():
    """Guards against dropping servers that could not renew their records in the outage."""
    registry = make_registry(make_record("s1"), make_record("s2"))
    registry.replace_all(10.0, 20, [make_record("s2")], gap_s=6.0)
    assert set(registry.servers) == {"s1", "s2"}
    assert not registry.expire(10.0 + EXPIRY_GRACE_S - 0.1)
    assert registry.expire(10.0 + EXPIRY_GRACE_S)
    assert set(registry.servers) == {"s2"}


def test_record_renewed_after_an_outage_does_not_expire():
    """Guards against a grace period that removes a server after it registered again."""
    registry = make_registry(make_record())
    registry.replace_all(10.0, 20, [], gap_s=6.0)
    assert registry.replace_all(11.0, 30, [make_record()], gap_s=0.5)
    assert not registry.expire(20.0)
    assert registry.servers["s1"].expires_at is None


def test_leaving_server_is_not_kept_after_an_outage():
    """Guards against a grace period for a server that has probably stopped."""
    registry = make_registry(make_record(is_leaving=True))
    registry.replace_all(10.0, 20, [], gap_s=6.0)
    assert not registry.servers


def test_read_older_than_the_registry_is_ignored():
    """A slow response of the store must not bring back a server that is leaving."""
    registry = make_registry(make_record(), version=10)
    registry.replace_all(1.0, 20, [make_record(is_leaving=True)], gap_s=0.5)
    assert not registry.replace_all(1.1, 15, [make_record()], gap_s=0.5)
    assert registry.servers["s1"].record.is_leaving


def test_read_at_an_earlier_version_after_an_outage_begins_a_grace_period():
    """Guards against servers lost after an outage, as a peer names a later version of them."""
    registry = make_registry(make_record("s1"), make_record("s2"), version=20)
    registry.replace_all(6.0, 15, [make_record("s1"), make_record("s2")], gap_s=6.0)
    registry.replace_all(6.5, 21, [make_record("s1")], gap_s=0.5)
    assert set(registry.servers) == {"s1", "s2"}


@given(st.permutations([3, 7, 11, 15]), st.integers(0, 20))
def test_complete_updates_in_any_order_leave_the_newest_version(versions, own):
    """Guards against a late update that replaces newer servers."""
    registry = make_registry(make_record(), version=own)
    for version in versions:
        registry.apply_update(
            RegistryUpdate(version, {"s1": KnownServer(make_record(slots=version))})
        )
    newest = max(15, own)
    assert registry.version == newest
    assert registry.servers["s1"].record.slots == (15 if own < 15 else 4)


def test_restart_under_the_same_id_replaces_the_warmup_of_the_old_process():
    """Guards against the cold time of a former process that applies to its successor."""
    registry = make_registry(make_record())
    registry.mark_server_cold("s1", 50.0)
    registry.replace_all(1.0, 20, [make_record(started_unix_ms=2000, cold_left_s=3.0)], 0.5)
    assert registry.servers["s1"].cold_until == 4.0


def test_rereading_a_record_does_not_extend_the_warmup():
    """Guards against servers that stay cold because their records are read again."""
    record = make_record(cold_left_s=3.0)
    registry = make_registry(record, now=1.0)
    registry.replace_all(2.0, 20, [record], gap_s=0.5)
    assert registry.servers["s1"].cold_until == 4.0


def test_complete_update_keeps_a_later_warmup_end():
    """The peer may not know yet that the server was unreachable and is warming up."""
    registry = make_registry(make_record())
    registry.mark_server_cold("s1", 9.0)
    registry.apply_update(RegistryUpdate(20, {"s1": KnownServer(make_record())}))
    assert registry.servers["s1"].cold_until == 9.0


def test_mark_domain_cold_affects_only_that_failure_domain():
    """Guards against rate limits for servers of other failure domains."""
    registry = make_registry(make_record("s1"), replace(make_record("s2"), failure_domain="vale-a"))
    registry.mark_domain_cold(5.0, "serra-a", {"stock": 3.0})
    assert registry.servers["s1"].cold_until == 8.0
    assert registry.servers["s2"].cold_until == 0.0


@pytest.mark.parametrize("service, expected", [("stock", ["s1", "s2"]), ("other", [])])
def test_servers_by_service(service, expected):
    """Guards against an unsorted index, and against an error for an unknown service."""
    registry = make_registry(make_record("s2"), make_record("s1"))
    assert [server.record.server_id for server in registry.of_service(service)] == expected


@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.sampled_from("abcde"), st.integers(1, 3)),
            st.booleans(),
        ),
        max_size=12,
    )
)
def test_changes_lead_to_the_same_servers_as_the_full_list(reads):
    """Guards against changes that are missing from an update.

    One VM gets an update after each of the reader's reads, another one after some of them.
    """
    reader, often, seldom = Registry(), Registry(), Registry()
    for number, (content, is_updated) in enumerate(reads):
        records = [make_record(name, slots=slots) for name, slots in content.items()]
        reader.replace_all(float(number), 10 * (number + 1), records, gap_s=0.5)
        often.apply_update(reader.update_since(often.version))
        if is_updated:
            seldom.apply_update(reader.update_since(seldom.version))
        assert often.servers == reader.servers and often.version == reader.version
    seldom.apply_update(reader.update_since(seldom.version))
    assert seldom.servers == reader.servers
    assert seldom.checksum == reader.checksum


def test_update_holds_only_the_changes():
    """Guards the size of updates, which must not grow with the number of servers."""
    reader = make_registry(*(make_record(f"s{number}") for number in range(50)))
    other = Registry()
    assert other.apply_update(reader.update_since(other.version))
    records = [make_record(f"s{number}") for number in range(1, 51)]
    reader.replace_all(1.0, 20, records, gap_s=0.5)
    update = reader.update_since(other.version)
    assert set(update.servers) == {"s50"} and update.removed == {"s0"}
    assert other.apply_update(update)
    assert other.servers == reader.servers


def test_update_with_another_checksum_is_rejected():
    """Two VMs may have different servers at one version; a complete update resolves that."""
    reader = make_registry(make_record("s1"))
    other = make_registry(make_record("s1", slots=9))
    reader.replace_all(1.0, 20, [make_record("s1"), make_record("s2")], gap_s=0.5)
    update = reader.update_since(other.version)
    assert update.base_version == other.version
    assert not other.apply_update(update)
    assert set(other.servers) == {"s1"}
    assert other.apply_update(reader.update_since(0))
    assert other.servers == reader.servers


def test_update_for_another_base_version_is_rejected():
    """Guards against changes that are applied to a version they do not belong to."""
    reader = make_registry(make_record("s1"))
    other = Registry()
    other.apply_update(reader.update_since(0))
    reader.replace_all(1.0, 20, [make_record("s2")], gap_s=0.5)
    update = reader.update_since(other.version)
    other.expire(2.0)
    other.replace_all(2.0, 15, [make_record("s1"), make_record("s3")], gap_s=0.5)
    assert not other.apply_update(update)
    assert set(other.servers) == {"s1", "s3"}


def test_update_for_an_earlier_base_version_is_applied():
    """Guards against a pull whose newer changes are discarded since another pull ended first."""
    reader = make_registry(make_record("s1"), make_record("s2"))
    other = Registry()
    other.apply_update(reader.update_since(0))
    reader.replace_all(1.0, 20, [make_record("s2"), make_record("s3")], gap_s=0.5)
    first = reader.update_since(other.version)
    reader.replace_all(2.0, 30, [make_record("s3")], gap_s=0.5)
    second = reader.update_since(other.version)
    assert other.apply_update(first) and other.apply_update(second)
    assert other.servers == reader.servers and not other.apply_update(first)


def test_vm_that_is_too_far_behind_gets_a_complete_update():
    """The change log is bounded; changes that it no longer holds must not be skipped."""
    reader = make_registry(make_record("s"))
    other = Registry()
    other.apply_update(reader.update_since(0))
    for number in range(MAX_CHANGED_SERVERS + 1):
        reader.replace_all(1.0, 20 + number, [make_record(f"s{number}")], gap_s=0.5)
    update = reader.update_since(other.version)
    assert update.base_version is None
    assert other.apply_update(update) and other.servers == reader.servers


def test_expiry_time_of_a_missing_server_is_part_of_an_update():
    """Otherwise only the reader would remove the server at the end of the grace period."""
    reader = make_registry(make_record("s1"), make_record("s2"))
    other = Registry()
    other.apply_update(reader.update_since(0))
    reader.replace_all(9.0, 20, [make_record("s1")], gap_s=8.0)
    assert other.apply_update(reader.update_since(other.version))
    assert other.servers["s2"].expires_at == 9.0 + EXPIRY_GRACE_S
    assert other.expire(9.0 + EXPIRY_GRACE_S) and set(other.servers) == {"s1"}


def test_expiry_does_not_hide_a_change_at_the_next_version():
    """Guards against a leaving server that a VM never learns of, since both versions are equal."""
    reader = make_registry(make_record("s1"), make_record("s2"))
    reader.replace_all(10.0, 20, [make_record("s1")], gap_s=6.0)
    first, second = Registry(), Registry()
    for registry in (first, second):
        registry.apply_update(reader.update_since(0))
    first.expire(10.0 + EXPIRY_GRACE_S)
    second.replace_all(12.0, 21, [make_record("s1", is_leaving=True)], gap_s=0.5)
    assert first.version < second.version
    assert first.apply_update(second.update_since(first.version))
    assert first.servers == second.servers and first.servers["s1"].record.is_leaving


def test_update_applies_although_only_one_vm_has_expired_a_record():
    """Guards against complete updates, since VMs expire the same record at different moments."""
    reader = make_registry(make_record("s1"), make_record("s2"))
    reader.replace_all(10.0, 20, [make_record("s1")], gap_s=6.0)
    other = Registry()
    other.apply_update(reader.update_since(0))
    reader.expire(10.0 + EXPIRY_GRACE_S)
    reader.replace_all(12.0, 30, [make_record("s1", slots=5)], gap_s=0.5)
    update = reader.update_since(other.version)
    assert update.base_version == other.version and other.apply_update(update)
    other.expire(12.1)
    assert other.servers == reader.servers


def test_servers_that_a_restored_store_lacks_are_kept_for_the_grace_period():
    """Guards against dropped servers that write their records again after a restore."""
    registry = make_registry(make_record("s1"), make_record("s2"), version=version_of(1, 500))
    copied = version_of(2, 100)
    assert registry.is_of_later_era(copied)
    registry.begin_grace(1.0)
    assert registry.replace_all(1.0, copied, [make_record("s1")], gap_s=0.5)
    assert registry.version == copied and registry.servers.keys() == {"s1", "s2"}
    registry.expire(1.0 + EXPIRY_GRACE_S)
    assert registry.servers.keys() == {"s1"}


def test_unchanged_servers_of_a_restored_store_have_a_version_of_its_era():
    """Guards against VMs that do not learn of a restore that changed nothing."""
    registry = make_registry(make_record(), version=version_of(1, 500))
    copied = version_of(2, 100)
    assert registry.replace_all(1.0, copied, [make_record()], gap_s=0.5)
    assert registry.version == copied
    assert not registry.replace_all(1.5, copied + 1, [make_record()], gap_s=0.5)


def test_complete_update_from_a_vm_that_only_knows_the_copy_drops_no_servers():
    """Guards against a VM that starts after a restore and makes the others drop servers at once."""
    registry = make_registry(make_record("s1"), make_record("s2"), version=version_of(1, 500))
    started = make_registry(make_record("s1"), version=version_of(2, 100))
    registry.begin_grace(1.0)
    assert registry.apply_update(started.update_since(registry.version))
    assert registry.servers.keys() == {"s1", "s2"} and registry.checksum == started.checksum
    registry.expire(1.0 + EXPIRY_GRACE_S)
    assert registry.servers.keys() == {"s1"}


def test_leaving_servers_are_not_kept_after_a_restore():
    """Guards against requests to a server that left before the store was restored."""
    leaving = make_record("s2", is_leaving=True)
    registry = make_registry(make_record("s1"), leaving, version=version_of(1, 500))
    started = make_registry(make_record("s1"), version=version_of(2, 100))
    registry.begin_grace(1.0)
    assert registry.apply_update(started.update_since(registry.version))
    assert registry.servers.keys() == {"s1"}


def test_listing_of_an_earlier_era_is_ignored():
    """Guards against a late read from before a restore, whose number is higher."""
    registry = make_registry(make_record("s1"), version=version_of(2, 100))
    assert not registry.replace_all(1.0, version_of(1, 500), [make_record("s2")], gap_s=0.5)
    assert registry.servers.keys() == {"s1"}


def test_end_of_a_grace_period_takes_no_version_of_a_later_change():
    """Guards against two VMs that have different servers at one version and confirm each other."""
    reader, other = make_registry(make_record("s1"), make_record("s2")), Registry()
    reader.replace_all(10.0, 20, [make_record("s1")], gap_s=6.0)
    reader.replace_all(12.1, 20, [make_record("s1")], gap_s=0.5)
    assert set(reader.servers) == {"s1"}
    other.replace_all(12.2, 21, [make_record("s1", is_leaving=True)], gap_s=0.5)
    assert reader.version < other.version
