"""Faults, refusals and counters of the backend stand-in."""

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest

from hibiscushaven.delivery.tests.support import HOST, in_loop
from hibiscushaven.standins import BackendConfig, BackendStandIn
from hibiscushaven.standins.content import content


class BackendHarness:
    """A backend stand-in with clocks that the test sets, and HTTP calls to it."""

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
async def running_backend(**config: Any) -> AsyncIterator[BackendHarness]:
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        harness = BackendHarness(BackendConfig(**config), session)
        await harness.backend.start(HOST)
        try:
            yield harness
        finally:
            await harness.backend.close()


@in_loop
async def test_load_report_delayed_and_overridden() -> None:
    """Guards against load reports without the delay and errors that measurements rely on."""
    async with running_backend() as harness:
        harness.now = 101.0
        await harness.call("/a")
        harness.now = 104.0
        assert await harness.json("/-/load") == {"in_progress": 0, "slots": 4}
        harness.backend._load_history.append((105.0, 3))
        harness.now = 106.0
        assert (await harness.json("/-/load"))["in_progress"] == 3
        harness.backend.faults.load_lag_s = 5.0
        assert (await harness.json("/-/load"))["in_progress"] == 0
        harness.backend.faults.load_lie = 9
        assert (await harness.json("/-/load"))["in_progress"] == 9


@in_loop
async def test_cold_start_and_health() -> None:
    """Guards against a stand-in that skips the cold start or accepts requests while draining."""
    async with running_backend(cold_requests=1, cold_factor=3.0) as harness:
        assert await harness.json("/-/health") == {"state": "cold"}
        assert (harness.backend._service_time_factor(), harness.backend._service_time_factor()) == (
            3.0,
            1.0,
        )
        assert await harness.json("/-/health") == {"state": "ok"}
        await harness.json("/-/faults", "POST", json={"is_draining": True})
        assert await harness.json("/-/health") == {"state": "draining"}
        status, _, headers = await harness.call("/a")
        assert (status, headers["Request-Outcome"]) == (503, "not-run")
        assert harness.backend.counters.started == 0


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
    """Guards against requests that start after ``Start-By`` or run past their deadline."""
    async with running_backend() as harness:
        path = "/a?hold=1" if status == 504 else "/a"
        response = await harness.call(path, headers=headers)
        assert (response[0], response[2]["Request-Outcome"]) == (status, outcome)
        assert harness.backend.counters.in_progress == 0


@in_loop
async def test_runs_are_counted_per_key() -> None:
    """Guards against duplicate runs that the counters do not show."""
    async with running_backend() as harness:
        for _ in range(2):
            await harness.call("/order", "POST", headers={"Idempotency-Key": "k1"}, data=b"1")
        await harness.call("/order", "POST", headers={"Idempotency-Key": "k2"}, data=b"1")
        counters = await harness.json("/-/counters")
        assert counters["runs"] == {"k1": 2, "k2": 1}
        assert (counters["max_in_progress"], counters["in_progress"]) == (1, 0)
        assert counters["connections_made"] == 4


@in_loop
async def test_range_requests() -> None:
    """Guards against wrong bytes in the ranges that tests of resumed bodies compare with."""
    async with running_backend() as harness:
        path = "/manual/bytes-70000"
        tag = (await harness.call(path))[2]["ETag"]
        headers = {"Range": "bytes=65000-", "If-Range": tag}
        status, body, response = await harness.call(path, headers=headers)
        assert (status, body) == (206, content(65_000, 70_000))
        assert response["Content-Range"] == "bytes 65000-69999/70000"
        headers["If-Range"] = '"other"'
        assert (await harness.call(path, headers=headers))[0] == 200


@in_loop
async def test_crash_aborts_requests_and_connections() -> None:
    """Guards against a crash that sends a response, or from which the server never restarts."""
    async with running_backend() as harness:
        await harness.json("/-/faults", "POST", json={"crash_on": "poison", "crash_s": 0.001})
        with pytest.raises(aiohttp.ClientError):
            await harness.call("/poison/1")
        assert harness.backend.counters.crashes == 1
        await harness.backend._restart_task
        assert (await harness.call("/a"))[0] == 200
        assert harness.backend.counters.in_progress == 0


@in_loop
async def test_connection_limit() -> None:
    """Guards against a stand-in that accepts more connections than its limit."""
    async with running_backend(connections=0) as harness:
        with pytest.raises(aiohttp.ClientError):
            await harness.call("/a", "POST")
        assert harness.backend.sockets.refused == 1


@in_loop
async def test_unknown_fault_is_refused() -> None:
    """Guards against a misspelt fault name that is ignored, so that a test injects no fault."""
    async with running_backend() as harness:
        assert (await harness.call("/-/faults", "POST", json={"is_sheding": True}))[0] == 400
