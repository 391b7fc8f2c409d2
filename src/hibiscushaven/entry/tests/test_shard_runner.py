"""Tests of the responses of a shard runner with a fake backend server."""

import asyncio
import random
from dataclasses import replace

from hibiscushaven.bench.queueing import LocalSlots
from hibiscushaven.bench.shards import MANIFEST, make_document
from hibiscushaven.delivery import BackendClient
from hibiscushaven.dispatch import DispatchConfig, Dispatcher, WorkItem
from hibiscushaven.entry.jobs import Job
from hibiscushaven.entry.shard_runner import ShardRunner
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.process import SystemClock
from hibiscushaven.standins import BackendConfig, BackendStandIn


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
