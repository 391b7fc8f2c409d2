"""The stand-in for the store after it was restored from a copy."""

import asyncio

import aiohttp
import pytest

from .store_standin import Fault, StoreStandIn


def run(scenario):
    async def main():
        stand_in = StoreStandIn()
        port = await stand_in.start()
        async with aiohttp.ClientSession(f"http://127.0.0.1:{port}") as session:
            try:
                return await scenario(stand_in, session)
            finally:
                await stand_in.close()

    return asyncio.run(asyncio.wait_for(main(), 60))


async def read_rows(session):
    """Return the keys of the servers, the version, and the era of the response."""
    async with session.get("/v1/rows-get", params={"Table": "servers"}) as response:
        body = await response.json()
        keys = {row["Key"] for row in body["Rows"]}
        return keys, body["Ver"], int(response.headers["Store-Era"])


async def read_changes(session, after, wait_ms=0):
    """Return the status, the era, and the keys of the changed servers."""
    params = {"Table": "servers", "after": after, "WaitMs": wait_ms}
    async with session.get("/v1/rows-feed", params=params) as response:
        keys = {row["Key"] for row in (await response.json()).get("Rows", ())}
        return response.status, int(response.headers["Store-Era"]), keys


def test_restored_store_lost_newer_rows_and_gives_out_their_versions_again():
    """Guards against a stand-in whose versions identify its content after a restore."""

    async def scenario(stand_in, session):
        stand_in.put("servers", "s1", {})
        copy = stand_in.copy()
        stand_in.put("servers", "s2", {})
        assert await read_rows(session) == ({"s1", "s2"}, copy.version + 1, 1)
        stand_in.restore(copy)
        assert await read_rows(session) == ({"s1"}, copy.version, 2)
        stand_in.put("servers", "s3", {})
        assert await read_rows(session) == ({"s1", "s3"}, copy.version + 1, 2)
        assert await read_changes(session, copy.version) == (200, 2, {"s3"})

    run(scenario)


def test_feed_from_a_version_after_the_restored_one_ends_with_410():
    """Guards against a stand-in that waits for a version instead of saying that it is unknown."""

    async def scenario(stand_in, session):
        copy = stand_in.copy()
        stand_in.put("servers", "s1", {})
        newest = stand_in.version
        feed = asyncio.create_task(read_changes(session, newest, wait_ms=30_000))
        while "rows-feed" not in stand_in.calls:
            await asyncio.sleep(0)
        stand_in.restore(copy)
        assert await feed == (410, 2, set())
        assert await read_changes(session, newest) == (410, 2, set())

    run(scenario)


@pytest.mark.parametrize("fault", [Fault.BUSY, Fault.DOWN, Fault.HISTORY_GONE])
def test_refusals_name_the_era_as_well(fault):
    """Guards against an era that only successful responses show."""

    async def scenario(stand_in, session):
        stand_in.restore(stand_in.copy())
        stand_in.faults.append(fault)
        assert (await read_changes(session, 0))[:2] == (
            {Fault.BUSY: 429, Fault.DOWN: 503, Fault.HISTORY_GONE: 410}[fault],
            2,
        )

    run(scenario)
