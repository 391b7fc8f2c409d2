"""Store client under the faults of the store: errors, timeouts, late writes, malformed rows."""

import asyncio
import contextlib
import math

import pytest

from hibiscushaven.eras import era_of, number_of, version_of
from hibiscushaven.gateway import StoreError, VmAddress
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.platform import store as store_module
from hibiscushaven.platform.store import StoreClient
from hibiscushaven.routing import OperatorState

from .samples import configuration_row, server_row
from .store_standin import Fault, StoreStandIn


@contextlib.asynccontextmanager
async def running_store():
    stand_in = StoreStandIn()
    port = await stand_in.start()
    client = StoreClient(Endpoint("127.0.0.1", port))
    try:
        yield stand_in, client
    finally:
        await client.close()
        await stand_in.close()


def run(scenario):
    async def main():
        async with running_store() as (stand_in, client):
            return await scenario(stand_in, client)

    return asyncio.run(main())


async def read_ids(client):
    return {record.server_id for record in (await client.read_servers()).records}


def test_servers_are_read_in_full_once_and_then_by_changes():
    """Guards against repeated complete reads, which load the store."""

    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        stand_in.put("servers", "s2", server_row())
        assert await read_ids(client) == {"s1", "s2"}
        stand_in.delete("servers", "s1")
        stand_in.put("servers", "s3", server_row())
        assert await read_ids(client) == {"s2", "s3"}
        assert stand_in.calls == ["rows-get", "rows-feed"]

    run(scenario)


def test_heartbeats_give_equal_records_at_a_newer_version():
    """Guards against registry changes at each heartbeat, which only raises a sequence number."""

    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row(sequence=1))
        first = await client.read_servers()
        stand_in.put("servers", "s1", server_row(sequence=2))
        second = await client.read_servers()
        assert first.records == second.records
        assert second.version > first.version

    run(scenario)


def test_malformed_rows_do_not_affect_the_others():
    """Guards against one malformed record that hides all servers."""

    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        stand_in.put("servers", "s2", b"\xff{")
        stand_in.put("servers", "s3", {"Address": 7})
        stand_in.put("servers", "s4", server_row(state="confused"))
        assert await read_ids(client) == {"s1"}

    run(scenario)


UNREADABLE_ROWS = {
    "number": ({**server_row(), "born": math.inf}, {}),
    "nested": (4096 * b"[", {}),
    "not base64": (server_row(), {"bad": "A"}),
    "no value": (server_row(), {"bad": None}),
}


@pytest.mark.parametrize(("row", "raw_values"), UNREADABLE_ROWS.values(), ids=UNREADABLE_ROWS)
@pytest.mark.parametrize("is_first", [True, False], ids=["complete read", "changes"])
def test_unreadable_row_does_not_end_the_reads(row, raw_values, is_first):
    """Guards against an entry of another writer after which no change is read any more."""

    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        if not is_first:
            await client.read_servers()
        stand_in.put("servers", "bad", row)
        stand_in.raw_values = raw_values
        assert await read_ids(client) == {"s1"}
        stand_in.delete("servers", "s1")
        stand_in.put("servers", "s2", server_row())
        assert await read_ids(client) == {"s2"}

    run(scenario)


@pytest.mark.parametrize("key", [None, 7, [], "evacuate/\ud800"])
@pytest.mark.parametrize("is_first", [True, False], ids=["complete read", "changes"])
def test_row_without_a_readable_key_does_not_hide_the_others(key, is_first):
    """Guards against a key that ends all reads of a table, or that no message can carry."""

    async def scenario(stand_in, client):
        def encode_row(table, name, raw, version):
            row = StoreStandIn._encode_row(stand_in, table, name, raw, version)
            return {**row, "Key": key} if name == "odd" else row

        stand_in._encode_row = encode_row
        known = OperatorState()
        if not is_first:
            await read_ids(client)
            known = await client.read_operator(known, 0.0)
        for table in ("servers", "op"):
            stand_in.put(table, "odd", server_row())
        stand_in.put("servers", "s1", server_row())
        stand_in.put("op", "config", configuration_row(7))
        assert await read_ids(client) == {"s1"}
        state = await client.read_operator(known, 0.0)
        assert state.configuration.version == 7 and not state.evacuated

    run(scenario)


def test_rows_of_other_parts_are_ignored():
    """Guards against an entry of another part that replaces the record of a server."""

    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        await client.read_servers()
        stand_in.put("servers", "s1", server_row(state="draining"))
        stand_in.part = "other"
        (record,) = (await client.read_servers()).records
        assert not record.is_leaving

    run(scenario)


@pytest.mark.parametrize(
    "value", [b"nowhere", b"10.0.0.1:65536", b"[::1%\0]:7000", b"[::1]:7000", 4096 * b"["]
)
def test_malformed_address_of_a_vm_is_ignored(value):
    """Guards against a row that keeps a VM from announcing itself to the others."""

    async def scenario(stand_in, client):
        stand_in.put("vms", "vm-1", value)
        stand_in.put("vms", "vm-2", b"10.0.0.2:7000")
        assert await client.list_vms() == (VmAddress("vm-2", "10.0.0.2:7000"),)

    run(scenario)


def test_rows_of_all_pages_are_read(monkeypatch):
    """Guards against losing the rows after the first page."""
    monkeypatch.setattr(store_module, "PAGE_ROWS", 3)

    async def scenario(stand_in, client):
        for number in range(8):
            stand_in.put("servers", f"s{number}", server_row())
        assert await read_ids(client) == {f"s{number}" for number in range(8)}

    run(scenario)


def test_pages_of_several_versions_are_brought_to_the_newest(monkeypatch):
    """Guards against rows that are newer than the version under which other VMs compare them."""
    monkeypatch.setattr(store_module, "PAGE_ROWS", 2)

    async def scenario(stand_in, client):
        for name in ("s1", "s2", "s3", "s4"):
            stand_in.put("servers", name, server_row())
        read_page = stand_in._rows_get

        async def change_before_the_second_page(request):
            if "From" in request.query and len(stand_in.calls) == 2:
                stand_in.delete("servers", "s1")
                stand_in.put("servers", "s3", server_row(state="draining"))
            return await read_page(request)

        stand_in._rows_get = change_before_the_second_page
        listing = await client.read_servers()
        leaving = {record.server_id: record.is_leaving for record in listing.records}
        assert leaving == {"s2": False, "s3": True, "s4": False}
        assert listing.version == version_of(1, stand_in.version)

    run(scenario)


def test_empty_page_that_more_rows_follow_is_an_error():
    """Guards against servers that are taken for removed, as an incomplete read looks complete."""

    async def scenario(stand_in, client):
        async def read_page(_):
            return stand_in._respond({"Rows": [], "HasMore": True})

        stand_in._rows_get = read_page
        with pytest.raises(StoreError):
            await client.read_servers()

    run(scenario)


def test_expired_change_history_causes_a_complete_read():
    """Guards against deleted servers that stay in the copy, since their deletion is not sent."""

    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        await client.read_servers()
        stand_in.delete("servers", "s1")
        stand_in.put("servers", "s2", server_row())
        stand_in.faults.append(Fault.HISTORY_GONE)
        assert await read_ids(client) == {"s2"}

    run(scenario)


@pytest.mark.parametrize(
    "fault", [Fault.BUSY, Fault.DOWN, Fault.RESET, Fault.MALFORMED, Fault.OTHER_TABLE]
)
def test_read_after_a_failed_one_returns_all_changes(fault):
    """Guards against changes that are lost with a failed response."""

    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        await client.read_servers()
        stand_in.put("servers", "s2", server_row())
        stand_in.faults.append(fault)
        with pytest.raises(StoreError):
            await client.read_servers()
        assert await read_ids(client) == {"s1", "s2"}

    run(scenario)


def test_read_times_out_if_the_store_does_not_respond(monkeypatch):
    """Guards against a read that blocks all later ones."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.05)

    async def scenario(stand_in, client):
        stand_in.faults.append(Fault.SILENT)
        with pytest.raises(StoreError):
            await client.read_servers()

    run(scenario)


def test_write_can_be_repeated_after_a_lost_response():
    """The first write took effect although its call failed."""

    async def scenario(stand_in, client):
        stand_in.faults.append(Fault.LOST_RESPONSE)
        address = VmAddress("vm-1", "10.0.0.1:7000")
        with pytest.raises(StoreError):
            await client.register(address)
        await client.register(address)
        assert await client.list_vms() == (address,)
        await client.deregister("vm-1")
        assert await client.list_vms() == ()

    run(scenario)


def test_late_write_is_corrected_by_the_next_registration():
    """A late write may restore an old address or remove the current one.

    An outdated address only makes VMs send a datagram to it.
    """

    async def scenario(stand_in, client):
        old, new = VmAddress("vm-1", "10.0.0.1:7000"), VmAddress("vm-1", "10.0.0.2:7000")
        stand_in.faults.append(Fault.LATE_WRITE)
        with pytest.raises(StoreError):
            await client.register(old)
        await client.register(new)
        assert await client.list_vms() == (new,)
        stand_in.apply_late_writes()
        assert await client.list_vms() == (old,)
        stand_in.faults.append(Fault.LATE_WRITE)
        with pytest.raises(StoreError):
            await client.deregister("vm-1")
        await client.register(new)
        stand_in.apply_late_writes()
        assert await client.list_vms() == ()
        await client.register(new)
        assert await client.list_vms() == (new,)

    run(scenario)


def test_operator_state_follows_changes_of_its_rows():
    """Guards against evacuations that do not begin or end, and versions that stay the same."""

    async def scenario(stand_in, client):
        first = await client.read_operator(OperatorState(), 0.0)
        assert first.configuration is None
        stand_in.put("op", "config", configuration_row(7))
        stand_in.put("op", "evacuate/serra-a", {})
        state = await client.read_operator(first, 1.0)
        assert state.configuration.version == 7
        assert state.evacuated == {"serra-a"}
        stand_in.delete("op", "evacuate/serra-a")
        later = await client.read_operator(state, 1.0)
        assert later.evacuated == frozenset()
        assert later.version > state.version

    run(scenario)


def test_operator_version_is_unchanged_by_writes_to_other_tables():
    """Each new version makes all VMs fetch the operator's state again."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        state = await client.read_operator(OperatorState(), 0.0)
        stand_in.put("servers", "s1", server_row())
        assert await client.read_operator(state, 0.0) is state

    run(scenario)


def test_vms_that_read_the_same_change_have_the_same_version():
    """Guards against a version of its own for each reader, which all VMs of the region fetch."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        known = await client.read_operator(OperatorState(), 0.0)
        stand_in.put("op", "config", configuration_row(8))
        first = await client.read_operator(known, 0.0)
        stand_in.put("servers", "s1", server_row())
        # A client of another VM, which has the state from a peer and has read nothing itself.
        other = StoreClient(Endpoint("127.0.0.1", stand_in.port))
        assert await other.read_operator(known, 0.0) == first
        assert await other.read_operator(first, 0.0) is first
        await other.close()
        assert set(stand_in.calls[1:]) == {"rows-feed"}

    run(scenario)


@pytest.mark.parametrize("is_changed", [False, True])
def test_operator_state_is_read_whole_when_the_history_has_expired(is_changed):
    """Guards against a lost change, and against a new version of an unchanged state."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        stand_in.put("op", "evacuate/serra-a", {})
        known = await client.read_operator(OperatorState(), 0.0)
        stand_in.put("servers", "s1", server_row())
        if is_changed:
            stand_in.delete("op", "evacuate/serra-a")
        stand_in.faults.append(Fault.HISTORY_GONE)
        state = await client.read_operator(known, 0.0)
        assert (state is not known) == is_changed
        assert state.evacuated == (set() if is_changed else {"serra-a"})
        assert await client.read_operator(state, 0.0) is state

    run(scenario)


# Whether the history is dropped, and how much is written between the read and that.
HIDDEN = pytest.mark.parametrize(
    ("is_history_dropped", "writes"),
    [(False, 0), (True, 0), (True, 1)],
    ids=["kept", "dropped up to the version read", "dropped beyond it"],
)


async def read_while_hidden(stand_in, read, is_history_dropped, writes):
    """Read at a version later than all changes, of which the feeds say nothing meanwhile."""
    stand_in.put("other", "x", {})
    await read()
    for _ in range(writes):
        stand_in.put("other", "x", {})
    stand_in.show_changes(is_history_dropped=is_history_dropped)


@HIDDEN
def test_hidden_change_of_the_operator_state_is_read_later(is_history_dropped, writes):
    """Guards against a change that is never read, as a later version was returned without it."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        known = await client.read_operator(OperatorState(), 0.0)
        stand_in.hide_changes()
        stand_in.put("op", "config", configuration_row(8))

        async def read():
            return await client.read_operator(known, 0.0)

        await read_while_hidden(stand_in, read, is_history_dropped, writes)
        assert (await read()).configuration.version == 8

    run(scenario)


@HIDDEN
def test_hidden_change_of_the_servers_is_read_later(is_history_dropped, writes):
    """Guards against a server that is never used, or one that left and is used for good."""

    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        await client.read_servers()
        stand_in.put("servers", "s2", server_row())
        stand_in.hide_changes()
        stand_in.put("servers", "s3", server_row())
        before = await client.read_servers()
        await read_while_hidden(stand_in, client.read_servers, is_history_dropped, writes)
        after = await client.read_servers()
        assert {record.server_id for record in after.records} == {"s1", "s2", "s3"}
        # VMs whose servers have the same version confirm each other.
        assert after.version > before.version

    run(scenario)


def test_rows_of_other_parts_are_returned_once():
    """Guards against a feed that is read without a pause, as it returns the same row each time."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        known = await client.read_operator(OperatorState(), 0.0)
        feed, asked = stand_in._rows_feed, []

        async def record(request):
            asked.append(int(request.query["after"]))
            return await feed(request)

        stand_in._rows_feed, stand_in.part = record, "other"
        stand_in.put("op", "config", configuration_row(8))
        for _ in range(2):
            assert await client.read_operator(known, 0.0) is known
        assert asked == [stand_in.version - 1, stand_in.version]

    run(scenario)


def test_quiet_tables_are_read_whole_once_when_the_history_has_expired():
    """Guards against a complete read in place of each read of the changes."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        stand_in.put("servers", "s1", server_row())
        known = await client.read_operator(OperatorState(), 0.0)
        await client.read_servers()
        stand_in.put("other", "x", {})
        stand_in.show_changes(is_history_dropped=True)
        stand_in.calls.clear()
        for _ in range(3):
            assert await client.read_operator(known, 0.0) is known
        for _ in range(3):
            assert await read_ids(client) == {"s1"}
        assert stand_in.calls == 2 * ["rows-feed", "rows-get", "rows-feed", "rows-feed"]

    run(scenario)


def test_state_from_a_peer_that_is_older_than_a_complete_read_follows_all_changes():
    """Guards against an evacuation that never ends, as an earlier state was read after its end."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        known = await client.read_operator(OperatorState(), 0.0)
        stand_in.put("op", "evacuate/serra-a", {})
        other = StoreClient(Endpoint("127.0.0.1", stand_in.port))
        of_peer = await other.read_operator(known, 0.0)
        await other.close()
        stand_in.delete("op", "evacuate/serra-a")
        stand_in.faults.append(Fault.HISTORY_GONE)
        assert await client.read_operator(known, 0.0) is known
        assert (await client.read_operator(of_peer, 0.0)).evacuated == frozenset()

    run(scenario)


def test_read_older_than_the_known_operator_state_is_an_error():
    """Guards against an old read that counts as a confirmation of what a peer has read since."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        known = OperatorState(version_of(stand_in.era, stand_in.version + 10))
        stand_in.faults.append(Fault.HISTORY_GONE)
        with pytest.raises(StoreError):
            await client.read_operator(known, 0.0)

    run(scenario)


def test_malformed_configuration_keeps_the_previous_one():
    """Guards against a gateway without routes after a malformed configuration."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        known = await client.read_operator(OperatorState(), 0.0)
        stand_in.put("op", "config", {"Version": "r8", "Resources": [{"EntryKind": "Routes"}]})
        state = await client.read_operator(known, 0.0)
        assert state.configuration.version == 7 and state.version > known.version

    run(scenario)


async def restore_copy(stand_in, client, writes):
    """Read both tables, restore a copy from before that, and write again."""
    stand_in.put("op", "config", configuration_row(7))
    stand_in.put("servers", "s1", server_row())
    copy = stand_in.copy()
    stand_in.put("op", "evacuate/serra-a", {})
    stand_in.put("servers", "s2", server_row())
    known = await client.read_operator(OperatorState(), 0.0)
    await client.read_servers()
    stand_in.restore(copy)
    for number in range(writes):
        stand_in.put("op", "config", configuration_row(8 + number))
        stand_in.put("servers", f"s{3 + number}", server_row())
    return known


@pytest.mark.parametrize("writes", [0, 1, 5])
def test_tables_are_read_whole_after_a_restore(writes):
    """Guards against lost changes of a restored store, as their numbers were given out before."""

    async def scenario(stand_in, client):
        known = await restore_copy(stand_in, client, writes)
        state = await client.read_operator(known, 0.0)
        assert state.configuration.version == 7 + writes and state.evacuated == frozenset()
        assert era_of(state.version) == 2 and state.version > known.version
        listing = await client.read_servers()
        ids = {record.server_id for record in listing.records}
        assert ids == {"s1", *(f"s{3 + number}" for number in range(writes))}
        assert (era_of(listing.version), number_of(listing.version)) == (2, stand_in.version)

    run(scenario)


def test_state_of_an_earlier_era_from_a_peer_is_read_whole():
    """Guards against a feed that is resumed at a number of another era by a VM that takes over."""

    async def scenario(stand_in, client):
        known = await restore_copy(stand_in, client, 5)
        other = StoreClient(Endpoint("127.0.0.1", stand_in.port))
        state = await other.read_operator(known, 0.0)
        assert state.configuration.version == 12
        await other.close()

    run(scenario)


def test_late_response_of_an_earlier_era_changes_nothing():
    """Guards against rows of the time before a restore that are taken for the newest ones."""

    async def scenario(stand_in, client):
        known = await restore_copy(stand_in, client, 1)
        state = await client.read_operator(known, 0.0)
        stand_in.era = 1
        stand_in.put("op", "config", configuration_row(20))
        for read in (client.read_operator(state, 0.0), client.read_servers()):
            with pytest.raises(StoreError):
                await read
        stand_in.era = 2
        assert (await client.read_operator(state, 0.0)).configuration.version == 20

    run(scenario)


@pytest.mark.parametrize("value", [None, "", "two", "-1", "1.5", "9" * 30])
def test_response_without_a_valid_era_counts_as_one_of_the_latest_era(value):
    """Guards against a store that is lost for good since a response names no era."""

    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        known = await client.read_operator(OperatorState(), 0.0)
        stand_in.era = value
        stand_in.put("op", "config", configuration_row(8))
        state = await client.read_operator(known, 0.0)
        assert state.configuration.version == 8 and era_of(state.version) == 1

    run(scenario)


def test_registration_returns_the_era_in_which_it_was_made():
    """Guards against a VM that does not register again, although the copy lacks it."""

    async def scenario(stand_in, client):
        address = VmAddress("vm-1", "10.0.0.1:7000")
        assert await client.register(address) == 1
        stand_in.restore(stand_in.copy())
        assert await client.register(address) == 2

    run(scenario)
