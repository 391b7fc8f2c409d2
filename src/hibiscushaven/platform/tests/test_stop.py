"""Planned stops of a whole gateway: which requests it still takes, and what may delay it."""

import asyncio

import pytest

from hibiscushaven.gateway import daemon as daemon_module

from .backend_standin import response
from .samples import configuration_row, route_item
from .store_standin import Fault
from .test_gateway import run, wait_until


@pytest.fixture
def no_serving_time(monkeypatch):
    """End the time in which a stopping gateway accepts requests at once."""
    monkeypatch.setattr(daemon_module, "SERVING_FRACTION", 0.0)


class HeldResponse:
    """Script that responds once the test allows it."""

    def __init__(self):
        self.allowed = asyncio.Event()

    async def __call__(self, head, writer):
        await self.allowed.wait()
        await response()(head, writer)


async def begin_stop(deployment):
    """Begin a stop beside a request in progress; return the request and the stop."""
    request = asyncio.create_task(deployment.request("/x/held", Deadline_Ms="60000"))
    await wait_until(lambda: deployment.backend.requests)
    stop = asyncio.create_task(deployment.daemon.stop())
    await wait_until(lambda: deployment.daemon.node.is_leaving)
    return request, stop


async def send_raw(deployment, connection):
    """Send a request that must run at most once, and return the bytes of the response."""
    reader, writer = connection
    head = "POST /x/late HTTP/1.1\r\nHost: a.example\r\nRequest-Id: late\r\nContent-Length: 0\r\n"
    writer.write(f"{head}Deadline-Ms: 2000\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    return answer


async def connect(deployment):
    """Return a connection, after which requests may last longer than a pause of this process."""
    route = route_item(Timeout="60s")
    deployment.store.put("op", "config", configuration_row(8, [route]))
    await wait_until(lambda: deployment.daemon.node.operator.configuration.version == 8)
    address = deployment.options.callers_at
    return await asyncio.open_connection(address.host, address.port)


@pytest.mark.usefixtures("no_serving_time")
@pytest.mark.parametrize("is_store_silent", [False, True])
def test_request_late_in_the_grace_time_is_not_passed_on(is_store_silent):
    """Guards against requests that are taken when they can only be cut off at the end."""

    async def scenario(deployment):
        connection = await connect(deployment)
        if is_store_silent:
            deployment.store.faults.extend([Fault.SILENT] * 20)
        request, stop = await begin_stop(deployment)
        answer = await send_raw(deployment, connection)
        assert answer == b"" or answer.startswith(b"HTTP/1.1 503 ")
        assert len(deployment.backend.requests) == 1
        held.allowed.set()
        assert (await request)[0] == 200
        await stop
        assert len(deployment.backend.requests) == 1

    held = HeldResponse()
    run(scenario, held, response())


@pytest.mark.usefixtures("no_serving_time")
def test_late_request_is_rejected_while_another_call_delays_the_stop(monkeypatch):
    """Guards against requests that are taken while a stop waits for something else."""

    async def scenario(deployment):
        blocked = asyncio.Event()

        async def wait_for_ever(deadline):
            await blocked.wait()

        monkeypatch.setattr(deployment.daemon, "_wait_until_quiet", wait_for_ever)
        connection = await connect(deployment)
        request, stop = await begin_stop(deployment)
        answer = await send_raw(deployment, connection)
        assert answer.startswith(b"HTTP/1.1 503 ") and b"request-outcome: not-run" in answer
        assert len(deployment.backend.requests) == 1
        held.allowed.set()
        assert (await request)[0] == 200
        blocked.set()
        await stop

    held = HeldResponse()
    run(scenario, held, response())


def test_request_in_the_grace_time_is_served():
    """Guards against a VM that rejects callers which learn late that it stops."""

    async def scenario(deployment):
        connection = await connect(deployment)
        request, stop = await begin_stop(deployment)
        answer = await send_raw(deployment, connection)
        assert answer.startswith(b"HTTP/1.1 200 ")
        held.allowed.set()
        assert (await request)[0] == 200
        await stop

    held = HeldResponse()
    run(scenario, held, response())


def test_stop_ends_although_a_connection_does_not_close(monkeypatch):
    """Guards against a process that has to be killed since a peer reads nothing."""

    async def scenario(deployment):
        daemon = deployment.daemon
        close_client = daemon._client.close
        monkeypatch.setattr(daemon._client, "close", asyncio.Event().wait)
        await daemon.stop()
        await close_client()
        for client in (daemon._relay_client, daemon._store):
            await client.close()

    run(scenario)
