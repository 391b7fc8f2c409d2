"""The store client against a stand-in that shows every fault of the store."""

import asyncio
import contextlib

import pytest

from hibiscushaven.gateway import StoreError, VmAddress
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.platform import store as store_module
from hibiscushaven.platform.store import StoreClient

from .samples import configuration_row, server_row
from .store_standin import Fault, StoreStandIn


@contextlib.asynccontextmanager
async def opened():
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
        async with opened() as (stand_in, client):
            return await scenario(stand_in, client)

    return asyncio.run(main())


async def ids(client):
    return {record.server_id for record in (await client.read_servers()).records}


def test_servers_are_read_once_and_then_by_changes():
    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        stand_in.put("servers", "s2", server_row())
        assert await ids(client) == {"s1", "s2"}
        stand_in.drop("servers", "s1")
        stand_in.put("servers", "s3", server_row())
        assert await ids(client) == {"s2", "s3"}
        assert stand_in.calls == ["rows-get", "rows-feed"]

    run(scenario)


def test_heartbeats_that_only_count_up_give_equal_records():
    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row(sequence=1))
        first = await client.read_servers()
        stand_in.put("servers", "s1", server_row(sequence=2))
        second = await client.read_servers()
        assert first.records == second.records
        assert second.version > first.version

    run(scenario)


def test_unreadable_rows_are_left_out_and_the_others_hold():
    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        stand_in.put("servers", "s2", b"\xff{")
        stand_in.put("servers", "s3", {"Address": 7})
        stand_in.put("servers", "s4", server_row(state="confused"))
        assert await ids(client) == {"s1"}

    run(scenario)


def test_many_rows_are_read_page_by_page(monkeypatch):
    monkeypatch.setattr(store_module, "PAGE_ROWS", 3)

    async def scenario(stand_in, client):
        for number in range(8):
            stand_in.put("servers", f"s{number}", server_row())
        assert await ids(client) == {f"s{number}" for number in range(8)}

    run(scenario)


def test_history_that_is_gone_leads_to_a_complete_read():
    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        await client.read_servers()
        stand_in.drop("servers", "s1")
        stand_in.put("servers", "s2", server_row())
        stand_in.faults.append(Fault.HISTORY_GONE)
        assert await ids(client) == {"s2"}

    run(scenario)


@pytest.mark.parametrize("fault", [Fault.BUSY, Fault.DOWN, Fault.RESET, Fault.GARBAGE])
def test_failed_read_raises_and_the_next_one_misses_nothing(fault):
    async def scenario(stand_in, client):
        stand_in.put("servers", "s1", server_row())
        await client.read_servers()
        stand_in.put("servers", "s2", server_row())
        stand_in.faults.append(fault)
        with pytest.raises(StoreError):
            await client.read_servers()
        assert await ids(client) == {"s1", "s2"}

    run(scenario)


def test_silent_store_ends_a_read(monkeypatch):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.05)

    async def scenario(stand_in, client):
        stand_in.faults.append(Fault.SILENT)
        with pytest.raises(StoreError):
            await client.read_servers()

    run(scenario)


def test_lost_answer_of_a_write_raises_and_a_repeat_is_harmless():
    async def scenario(stand_in, client):
        stand_in.faults.append(Fault.LOST_ANSWER)
        address = VmAddress("vm-1", "10.0.0.1:7000")
        with pytest.raises(StoreError):
            await client.register(address)
        await client.register(address)
        assert await client.list_vms() == (address,)
        await client.deregister("vm-1")
        assert await client.list_vms() == ()

    run(scenario)


def test_write_that_is_performed_late_is_harmless():
    """An old address may come back, or stay after a stop; VMs only send a datagram to it."""

    async def scenario(stand_in, client):
        old, new = VmAddress("vm-1", "10.0.0.1:7000"), VmAddress("vm-1", "10.0.0.2:7000")
        stand_in.faults.append(Fault.LATE_WRITE)
        with pytest.raises(StoreError):
            await client.register(old)
        await client.register(new)
        assert await client.list_vms() == (new,)
        stand_in.perform_late_writes()
        assert await client.list_vms() == (old,)
        stand_in.faults.append(Fault.LATE_WRITE)
        with pytest.raises(StoreError):
            await client.deregister("vm-1")
        await client.register(new)
        stand_in.perform_late_writes()
        assert await client.list_vms() == ()
        await client.register(new)
        assert await client.list_vms() == (new,)

    run(scenario)


def test_operator_state_and_its_changes():
    async def scenario(stand_in, client):
        assert (await client.read_operator(0.0)).configuration is None
        stand_in.put("op", "config", configuration_row(7))
        stand_in.put("op", "evacuate/serra-a", {})
        state = await client.read_operator(1.0)
        assert state.configuration.version == 7
        assert state.evacuated == {"serra-a"}
        stand_in.drop("op", "evacuate/serra-a")
        later = await client.read_operator(1.0)
        assert later.evacuated == frozenset()
        assert later.version > state.version

    run(scenario)


def test_version_stands_still_while_nothing_changes():
    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        state = await client.read_operator(0.0)
        stand_in.put("servers", "s1", server_row())
        assert (await client.read_operator(0.0)).version == state.version

    run(scenario)


def test_unreadable_configuration_leaves_the_last_one_in_force():
    async def scenario(stand_in, client):
        stand_in.put("op", "config", configuration_row(7))
        await client.read_operator(0.0)
        stand_in.put("op", "config", {"Version": "r8", "Resources": [{"EntryKind": "Routes"}]})
        assert (await client.read_operator(0.0)).configuration.version == 7

    run(scenario)
