"""Clients that don't keep to the protocol, or to what a process can hold, beside ordinary callers.

Each test runs a process with lowered limits, alone on the machine.
"""

import asyncio
import struct

import pytest

from hibiscushaven.client import ServiceClient
from hibiscushaven.peers.stream import MAX_FRAME_BYTES as FRAME_BYTES

from .crowds import (
    CALLERS,
    CROWDS,
    DIRECTORY,
    LIMITS,
    PULLS,
    READINESS,
    RELAYS,
    SETTLING_REQUESTS,
    BodyServer,
    Crowd,
    CrowdClients,
    limit_descriptors,
    open_descriptors,
    peak_memory_bytes,
)
from .deployment import TEST_TIMEOUT_S, Deployment, run_on
from .gateways import Gateways
from .random_crowds import play

MEMORY_MB = 128
MAX_DESCRIPTORS = 300
ENTRY_VM = "north-vm1"
SOAK_SEEDS = (1, 2)
SOAK_S = 12.0
ROUTE = {"Timeout": "60000ms", "Kind": "safe", "MaxAttempts": 1}

pytestmark = pytest.mark.alone


def run(scenario, directory, max_descriptors=None):
    """Run a scenario on one process with a backend server."""
    arguments = ["--memory-mb", str(MEMORY_MB)]
    if max_descriptors is not None:
        arguments += ["--max-descriptors", str(max_descriptors)]

    async def main():
        gateways = Gateways(directory, 1, 1, BodyServer, ROUTE, LIMITS, arguments)
        async with asyncio.timeout(TEST_TIMEOUT_S), gateways:
            await gateways.wait_until_served("/x/1")
            clients = CrowdClients(gateways.host(0))
            try:
                await scenario(gateways, clients)
            finally:
                clients.close()

    asyncio.run(main())


@pytest.mark.parametrize("name", CROWDS)
def test_memory_stays_within_that_of_the_machine(name, tmp_path):
    """Guards against clients that end a process by what it holds for them."""

    async def scenario(gateways, clients):
        await clients.send(CROWDS[name]())
        statuses = [await gateways.request(0, "/x/1") for _ in range(SETTLING_REQUESTS)]
        assert gateways.is_running(0)
        assert peak_memory_bytes(gateways.process_id(0)) < MEMORY_MB * 1024 * 1024
        assert statuses[-1] == 200

    run(scenario, tmp_path)


@pytest.mark.parametrize("port", [CALLERS, DIRECTORY, READINESS, RELAYS, PULLS])
def test_silent_connections_leave_descriptors_for_others(port, tmp_path):
    """Guards against clients that take all descriptors and send nothing."""

    async def scenario(gateways, clients):
        process_id = gateways.process_id(0)
        limit_descriptors(process_id, MAX_DESCRIPTORS)
        await clients.send(Crowd(400, b"", (port,)))
        statuses = [await gateways.request(0, "/x/1") for _ in range(SETTLING_REQUESTS)]
        assert gateways.is_running(0)
        assert open_descriptors(process_id) < MAX_DESCRIPTORS
        assert statuses[-1] == 200

    run(scenario, tmp_path, MAX_DESCRIPTORS)


def run_entry_vm(scenario, directory, arguments=()):
    """Run a scenario on an entry VM of a deployment, and on clients of its port for other VMs."""

    async def play(deployment):
        host, port = deployment.peers_at(ENTRY_VM)
        clients = CrowdClients(host)
        try:
            async with ServiceClient("stock", [deployment.url(ENTRY_VM)]) as client:
                await client.request("GET", "/items/first")
                await scenario(deployment, clients, port, client)
        finally:
            clients.close()

    run_on(Deployment(directory, 1, arguments=("--memory-mb", str(MEMORY_MB), *arguments)), play)


def test_messages_that_stop_short_end_no_entry_vm(tmp_path):
    """Guards against clients at the port for other VMs whose messages never end."""
    message = struct.pack("!I", FRAME_BYTES) + bytes(FRAME_BYTES - 1)

    async def scenario(deployment, clients, port, client):
        await clients.send(Crowd(60, message, (port,)))
        for number in range(SETTLING_REQUESTS):
            response = await client.request("GET", f"/items/{number}", timeout_s=60)
        assert deployment.is_running(ENTRY_VM)
        assert peak_memory_bytes(deployment.process_id(ENTRY_VM)) < MEMORY_MB * 1024 * 1024
        assert response.status == 200

    run_entry_vm(scenario, tmp_path)


def test_silent_connections_to_an_entry_vm_leave_descriptors_for_others(tmp_path):
    """Guards against clients that take all descriptors at the port for other VMs."""

    async def scenario(deployment, clients, port, client):
        process_id = deployment.process_id(ENTRY_VM)
        limit_descriptors(process_id, MAX_DESCRIPTORS)
        sending = asyncio.create_task(clients.send(Crowd(400, b"", (port,))))
        descriptors = []
        while not sending.done() or len(descriptors) < SETTLING_REQUESTS:
            response = await client.request("GET", "/items/1", timeout_s=60)
            descriptors.append(open_descriptors(process_id))
        assert deployment.is_running(ENTRY_VM)
        assert max(descriptors) < MAX_DESCRIPTORS
        assert response.status == 200

    run_entry_vm(scenario, tmp_path, ("--max-descriptors", str(MAX_DESCRIPTORS)))


def _fields(count):
    return b"".join(b"%02x:\r\n" % (number % 256) for number in range(count))


_START = b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: one\r\nDeadline-Ms: 60000\r\n"
_CHUNKED = _START + b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = b"Content-Length: %d\r\n\r\n"

# Requests within the limits, and the lengths of their bodies.
SINGLE_REQUESTS = {
    "whole body": (_START + _LENGTH % 1_000_000 + b"x" * 1_000_000, 1_000_000),
    "chunks of 1000 bytes": (
        _CHUNKED + 1000 * (b"3e8\r\n" + b"x" * 1000 + b"\r\n") + b"0\r\n\r\n",
        1_000_000,
    ),
    "chunks of one byte": (_CHUNKED + 1_000_000 * b"1\r\nx\r\n" + b"0\r\n\r\n", 1_000_000),
    "trailers": (_CHUNKED + b"2\r\nab\r\n0\r\nX-Late: 1\r\nX-Later: 2\r\n\r\n", 2),
    "head of short lines": (_START + _fields(3180) + _LENGTH % 2 + b"ab", 2),
    "head of one long line": (
        _START + b"Long: " + b"x" * 15_900 + b"\r\n" + _LENGTH % 2 + b"ab",
        2,
    ),
}


@pytest.mark.parametrize("name", SINGLE_REQUESTS)
def test_single_request_within_the_limits_is_served_in_calm(name, tmp_path):
    """Guards against limits that refuse a request whatever else the process holds."""
    data, length = SINGLE_REQUESTS[name]

    async def scenario(gateways, clients):
        reader, writer = await asyncio.open_connection(gateways.host(0), CALLERS)
        writer.write(data)
        assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
        writer.close()
        head, received = gateways.servers[0].requests[-1]
        assert received == length and "x-late" not in head.lower()

    run(scenario, tmp_path)


@pytest.mark.parametrize("seed", SOAK_SEEDS)
def test_random_crowds_break_no_rule(seed, tmp_path):
    """Guards against mixes of clients, signals, restarts and changed limits; a short soak."""
    statuses, faults = asyncio.run(play(seed, SOAK_S, tmp_path))
    assert statuses[200] and not faults
