"""The backend stand-in fails in the ways that its faults say, and counts what it saw."""

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest

from hibiscushaven.delivery.tests.support import HOST, in_loop
from hibiscushaven.standins import BackendConfig, BackendStandIn
from hibiscushaven.standins.content import content


class Caller:
    """Plain HTTP calls of one stand-in whose clocks the test moves."""

    def __init__(self, config: BackendConfig, session: aiohttp.ClientSession) -> None:
        self.now = 100.0
        self.session = session
        self.backend = BackendStandIn(config, lambda: self.now, lambda: self.now)

    async def call(
        self, path: str, method: str = "GET", **options: Any
    ) -> tuple[int, bytes, Mapping[str, str]]:
        url = f"http://{HOST}:{self.backend.sockets.port}{path}"
        async with self.session.request(method, url, **options) as response:
            return response.status, await response.read(), response.headers

    async def json(self, path: str, method: str = "GET", **options: Any) -> Any:
        return json.loads((await self.call(path, method, **options))[1])


@asynccontextmanager
async def calling(**config: Any) -> AsyncIterator[Caller]:
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = Caller(BackendConfig(**config), session)
        await caller.backend.start(HOST)
        try:
            yield caller
        finally:
            await caller.backend.close()


@in_loop
async def test_load_report_lags_and_lies() -> None:
    """Guards against measurements with load reports that are better than real ones."""
    async with calling() as it:
        it.now = 101.0
        await it.call("/a")
        it.now = 104.0
        assert await it.json("/-/load") == {"in_progress": 0, "slots": 4}
        it.backend._loads.append((105.0, 3))
        it.now = 106.0
        assert (await it.json("/-/load"))["in_progress"] == 3
        it.backend.faults.load_lag_s = 5.0
        assert (await it.json("/-/load"))["in_progress"] == 0
        it.backend.faults.load_lie = 9
        assert (await it.json("/-/load"))["in_progress"] == 9


@in_loop
async def test_cold_start_and_health() -> None:
    """Guards against a stand-in that is warm at once, or takes work while it drains."""
    async with calling(cold_requests=1, cold_factor=3.0) as it:
        assert await it.json("/-/health") == {"state": "cold"}
        assert (it.backend._slowness(), it.backend._slowness()) == (3.0, 1.0)
        assert await it.json("/-/health") == {"state": "ok"}
        await it.json("/-/faults", "POST", json={"is_draining": True})
        assert await it.json("/-/health") == {"state": "draining"}
        status, _, headers = await it.call("/a")
        assert (status, headers["Request-Outcome"]) == (503, "not-run")
        assert it.backend.counters.started == 0


@pytest.mark.parametrize(
    ("headers", "status", "outcome"),
    [
        ({"Start-By": "99999"}, 503, "not-run"),
        ({"Start-By": "100001"}, 200, "run"),
        ({"Request-Deadline-Ms": "0"}, 503, "not-run"),
        ({"Request-Deadline-Ms": "20"}, 504, "unknown"),
    ],
)
@in_loop
async def test_start_by_and_deadline(headers: dict[str, str], status: int, outcome: str) -> None:
    """Guards against work that starts late or goes on past its deadline."""
    async with calling() as it:
        path = "/a?hold=1" if status == 504 else "/a"
        found = await it.call(path, headers=headers)
        assert (found[0], found[2]["Request-Outcome"]) == (status, outcome)
        assert it.backend.counters.in_progress == 0


@in_loop
async def test_runs_are_counted_per_key() -> None:
    """Guards against duplicates that the counters do not show."""
    async with calling() as it:
        for _ in range(2):
            await it.call("/order", "POST", headers={"Idempotency-Key": "k1"}, data=b"1")
        await it.call("/order", "POST", headers={"Idempotency-Key": "k2"}, data=b"1")
        counters = await it.json("/-/counters")
        assert counters["runs"] == {"k1": 2, "k2": 1}
        assert (counters["max_in_progress"], counters["in_progress"]) == (1, 0)
        assert counters["connections_made"] == 4


@in_loop
async def test_range_requests() -> None:
    """Guards against tests of resumed bodies that compare with wrong bytes."""
    async with calling() as it:
        path = "/manual/bytes-70000"
        tag = (await it.call(path))[2]["ETag"]
        headers = {"Range": "bytes=65000-", "If-Range": tag}
        status, body, found = await it.call(path, headers=headers)
        assert (status, body) == (206, content(65_000, 70_000))
        assert found["Content-Range"] == "bytes 65000-69999/70000"
        headers["If-Range"] = '"other"'
        assert (await it.call(path, headers=headers))[0] == 200


@in_loop
async def test_crash_drops_work_and_connections() -> None:
    """Guards against a crash that answers, or after which the server never returns."""
    async with calling() as it:
        await it.json("/-/faults", "POST", json={"crash_on": "poison", "crash_s": 0.001})
        with pytest.raises(aiohttp.ClientError):
            await it.call("/poison/1")
        assert it.backend.counters.crashes == 1
        await it.backend._restart
        assert (await it.call("/a"))[0] == 200
        assert it.backend.counters.in_progress == 0


@in_loop
async def test_connection_limit() -> None:
    """Guards against a stand-in that takes more connections than it states."""
    async with calling(connections=0) as it:
        with pytest.raises(aiohttp.ClientError):
            await it.call("/a", "POST")
        assert it.backend.sockets.refused == 1


@in_loop
async def test_unknown_fault_is_refused() -> None:
    """Guards against a misspelt fault that silently tests nothing."""
    async with calling() as it:
        assert (await it.call("/-/faults", "POST", json={"is_sheding": True}))[0] == 400
