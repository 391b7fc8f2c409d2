"""Tests of a shard runner with fake backend servers."""

import asyncio
import contextlib
import random
from dataclasses import replace

import pytest

from hibiscushaven.bench.queueing import LocalSlots
from hibiscushaven.bench.shards import MANIFEST, make_document
from hibiscushaven.delivery import BackendClient
from hibiscushaven.dispatch import DispatchConfig, Dispatcher, WorkItem
from hibiscushaven.entry.jobs import Job, WorkRefusedError
from hibiscushaven.entry.shard_runner import ShardRunner
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.process import SystemClock
from hibiscushaven.standins import BackendConfig, BackendStandIn


class CrashingServer:
    """Backend server that accepts connections, and ends them when it receives a request.

    :param is_running: whether it responds to health checks, as one that only the request ends.
    """

    def __init__(self, is_running):
        self._is_running = is_running
        self.requests = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Endpoint("127.0.0.1", self._server.sockets[0].getsockname()[1])

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if "/-/" not in head:
                    self.requests.append(head)
                    break
                if not self._is_running:
                    break
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        writer.transport.abort()


async def send_to_crashing_servers(is_running):
    """Send one request to two servers; return them, and whether the request is quarantined."""
    clock, client = SystemClock(), BackendClient()
    servers = [CrashingServer(is_running) for _ in range(2)]
    document = make_document(2, 1)
    records = tuple(
        [
            replace(record, address=await server.start())
            for record, server in zip(document.servers, servers, strict=True)
        ]
    )
    slots = LocalSlots({record.name: 1 for record in records})
    dispatcher = Dispatcher(DispatchConfig(), slots, random.Random(1))
    runner = ShardRunner(dispatcher, client, lambda now, token: now + 2.0, clock)
    runner.set_document(replace(document, servers=records), records)
    job = make_job(clock)
    try:
        with pytest.raises(WorkRefusedError):
            await runner.run(job)
        return servers, dispatcher.crashes.is_quarantined(clock.now(), job.work.fingerprint)
    finally:
        await runner.close()
        await client.close()
        for server in servers:
            server.close()


def test_one_event_that_ends_two_servers_is_one_crash():
    """Guards against a request that is refused since a dying server accepted its retry."""
    servers, is_quarantined = asyncio.run(asyncio.wait_for(send_to_crashing_servers(False), 30))
    assert sum(len(server.requests) for server in servers) == 1 and not is_quarantined


def test_request_that_crashes_running_servers_is_quarantined():
    """Guards against a request that ends one server after the other."""
    servers, is_quarantined = asyncio.run(asyncio.wait_for(send_to_crashing_servers(True), 30))
    assert [len(server.requests) for server in servers] == [1, 1] and is_quarantined


def make_job(clock):
    deadline = clock.now() + 600
    work = WorkItem(
        id="w1",
        service="estoque",
        tenant="retalho-sul",
        caller="shop",
        caller_share=1.0,
        fingerprint="f1",
        request_class=MANIFEST,
        deadline=deadline,
    )
    return Job(work, "GET", "/manifests/1", (), b"")


def test_closed_response_releases_its_slot():
    """Guards against downloads that keep their slot until the deadline after the caller left."""

    async def scenario():
        clock, client = SystemClock(), BackendClient()
        backend = BackendStandIn(BackendConfig(slots=1, body_bytes=4 * 1024 * 1024))
        port = await backend.start()
        document = make_document(1, 1)
        server = replace(document.servers[0], address=Endpoint("127.0.0.1", port))
        slots = LocalSlots({server.name: 1})
        dispatcher = Dispatcher(DispatchConfig(), slots, random.Random(1))
        runner = ShardRunner(dispatcher, client, lambda now, token: now + 2.0, clock)
        runner.set_document(replace(document, servers=(server,)), (server,))
        try:
            response = await runner.run(make_job(clock))
            assert slots.in_use[server.name] == 1
            await response.close()
            while not runner.is_idle:
                await asyncio.sleep(0)
            return slots.in_use[server.name]
        finally:
            await runner.close()
            await client.close()
            await backend.close()

    assert asyncio.run(asyncio.wait_for(scenario(), 30)) == 0
