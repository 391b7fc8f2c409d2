"""The platform stand-in and the HTTP adapter of the platform understand each other."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from hibiscushaven.delivery.tests.support import HOST, in_loop
from hibiscushaven.standins import PlatformStandIn
from hibiscushaven.tablestore import (
    ConflictError,
    HttpPlatform,
    OutcomeUnknownError,
    Row,
    UnavailableError,
    VmRecord,
    VmState,
    Write,
)


@asynccontextmanager
async def running_platform() -> AsyncIterator[tuple[PlatformStandIn, HttpPlatform]]:
    stand_in = PlatformStandIn(clock=lambda: 1.0)
    adapter = HttpPlatform(f"http://{HOST}:{await stand_in.start(HOST)}")
    try:
        yield stand_in, adapter
    finally:
        await adapter.close()
        await stand_in.close()


async def _post(stand_in: PlatformStandIn, path: str, body: object) -> int:
    url = f"http://{HOST}:{stand_in.port}{path}"
    async with aiohttp.ClientSession() as session, session.post(url, json=body) as response:
        return response.status


@in_loop
async def test_table_and_objects() -> None:
    """Guards against values, versions or missing rows that change between adapter and stand-in."""
    async with running_platform() as (_, adapter):
        assert await adapter.read("a") is None
        writes = (Write("a/1", b"\x00\xff", 0), Write("a/2", b"", None))
        assert await adapter.transact(writes) == {"a/1": 1, "a/2": 1}
        assert await adapter.read("a/1") == Row("a/1", b"\x00\xff", 1)
        assert [row.key for row in await adapter.read_prefix("a/")] == ["a/1", "a/2"]
        with pytest.raises(ConflictError) as caught:
            await adapter.transact((Write("a/1", b"x", 0), Write("b", b"x", 0)))
        assert caught.value.keys == ("a/1",)
        assert await adapter.read("b") is None
        assert await adapter.get("o") is None
        await adapter.put("o", b"\x01")
        assert await adapter.get("o") == b"\x01"


@in_loop
async def test_fault_responses() -> None:
    """Guards against an unknown outcome reported as a refusal, and the reverse."""
    async with running_platform() as (stand_in, adapter):
        stand_in.platform.faults.lost_answers = 1
        with pytest.raises(OutcomeUnknownError):
            await adapter.transact((Write("a", b"1", 0),))
        assert await adapter.read("a") == Row("a", b"1", 1)
        assert await _post(stand_in, "/faults", {"stale_reads": 1}) == 200
        assert await adapter.read("a") is None
        assert await _post(stand_in, "/faults", {"is_down": True}) == 200
        with pytest.raises(UnavailableError):
            await adapter.transact((Write("b", b"1", 0),))
        with pytest.raises(UnavailableError):
            await adapter.read("a")
        assert await _post(stand_in, "/faults", {"is_dwon": True}) == 400


@in_loop
async def test_vm_list_lag_and_call_counts() -> None:
    """Guards against a VM list without its lag, and against calls that are not counted."""
    async with running_platform() as (stand_in, adapter):
        vm = VmRecord("vm1", "serra-a", "serra", "10.0.0.1", 7000, VmState.LEAVING)
        row = ["vm1", "serra-a", "serra", "10.0.0.1", 7000, "leaving"]
        assert await _post(stand_in, "/vms", [row]) == 200
        assert await adapter.list_vms() == (vm,)
        await _post(stand_in, "/faults", {"list_lag": 1})
        assert await adapter.list_vms() == ()
        await adapter.transact((Write("a", b"1"), Write("b", b"1")))
        url = f"http://{HOST}:{stand_in.port}/usage"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            usage = await response.json()
        assert (usage["reads"], usage["writes"], usage["rows_written"]) == (2, 1, 2)
        assert (usage["peak_reads_s"], usage["peak_writes_s"]) == (2, 1)
