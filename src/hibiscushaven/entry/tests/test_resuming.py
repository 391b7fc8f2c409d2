"""Tests that long bodies are complete or reported as truncated, over real sockets."""

import asyncio
import random

import pytest

from hibiscushaven.delivery import AttemptError, BackendClient
from hibiscushaven.dispatch import DispatchConfig, Dispatcher, WorkItem
from hibiscushaven.documents import parse_document
from hibiscushaven.entry.jobs import Job
from hibiscushaven.entry.resuming import run_with_resumption
from hibiscushaven.entry.shard_runner import ShardRunner
from hibiscushaven.process import SystemClock
from hibiscushaven.standins import BackendConfig, BackendStandIn
from hibiscushaven.standins.content import content

SIZE = 300_000
DOCUMENT = """
[service]
name = files
tenant = t
team = t
[class pull]
path = /*
methods = GET
idempotent = yes
size = long
deadline_ms = 20000
[place a]
region = a
failure_domain = a
capacity = 4
"""


class TwoSlotsPerServer:
    """A token source with two slot tokens for each backend server."""

    def __init__(self):
        self.in_use = []

    def available(self, now, service, server):
        return 2 - self.in_use.count(server)

    def acquire(self, now, service, server, deadline):
        if not self.available(now, service, server):
            return None
        self.in_use.append(server)
        return server

    def is_usable(self, now, token):
        return True

    def release(self, now, token):
        self.in_use.remove(token)


async def download(stops):
    """Read one body from two backend servers; return it with the slots still in use."""
    servers = [BackendStandIn(BackendConfig(slots=2)) for _ in range(2)]
    text = DOCUMENT
    for number, server in enumerate(servers):
        server.faults.stops.extend(stops)
        port = await server.start("127.0.0.1", 0)
        text += f"[server s{number}]\nplace = a\naddress = 127.0.0.1:{port}\nslots = 2\n"
    document = parse_document(text).ok
    clock, slots, client = SystemClock(), TwoSlotsPerServer(), BackendClient()
    dispatcher = Dispatcher(DispatchConfig(), slots, random.Random(1))
    runner = ShardRunner(dispatcher, client, lambda now, token: now + 2, clock)
    runner.set_document(document, document.servers)
    work = WorkItem("w", "files", "t", "c", 1.0, document.classes[0], clock.now() + 20, "f")
    job = Job(work, "GET", f"/bundle?bytes={SIZE}", (), b"")
    try:
        response = await run_with_resumption(runner, job)
        body = b"".join([chunk async for chunk in response])
        return body, list(slots.in_use)
    finally:
        await runner.close()
        await client.close()
        for server in servers:
            await server.close()


def test_truncated_body_is_resumed():
    """Guards against a download that fails because one backend server truncated it."""
    body, in_use = asyncio.run(download([("truncate", 100_000)]))
    assert body == content(0, SIZE)
    assert in_use == []


def test_repeatedly_truncated_body_raises_an_error():
    """Guards against returning a truncated body as a complete one."""
    with pytest.raises(AttemptError):
        asyncio.run(download([("truncate", 1000)] * 4))


async def read_slowly(milliseconds):
    """Read responses of one class on reused connections: fast ones first, then a slow one."""
    server = BackendStandIn(BackendConfig(slots=2))
    port = await server.start("127.0.0.1", 0)
    text = DOCUMENT.replace("size = long", "size = short").replace("20000", "2000")
    text += f"[server s0]\nplace = a\naddress = 127.0.0.1:{port}\nslots = 2\n"
    text += f"[server s1]\nplace = a\naddress = 127.0.0.2:{port}\nslots = 2\n"
    second = BackendStandIn(BackendConfig(slots=2))
    await second.start("127.0.0.2", port)
    document = parse_document(text).ok
    clock, client = SystemClock(), BackendClient()
    dispatcher = Dispatcher(DispatchConfig(is_hedging=False), TwoSlotsPerServer(), random.Random(1))
    runner = ShardRunner(dispatcher, client, lambda now, token: now + 2, clock)
    runner.set_document(document, document.servers)
    try:
        for number, wait_ms in enumerate((0, 0, 0, 0, milliseconds)):
            work = WorkItem(
                f"w{number}", "files", "t", "c", 1.0, document.classes[0], clock.now() + 2, "f"
            )
            response = await runner.run(Job(work, "GET", f"/item?ms={wait_ms}", (), b""))
            assert response.is_buffered
            await response.close()
    finally:
        await runner.close()
        await client.close()
        await server.close()
        await second.close()


def test_slow_response_on_a_reused_connection_arrives():
    """Guards against cancelling a slow request as if its connection were dead."""
    asyncio.run(read_slowly(1200))
