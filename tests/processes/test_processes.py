"""Requests, edits and failures over separate processes and real sockets."""

import asyncio
import json
import signal

from hibiscushaven.client import ServiceClient

from .deployment import Deployment, run_on


async def send_reads(client, count):
    """Send reads one after the other, so that some are sent before, during and after a failure."""
    paths = (f"/items/{number}" for number in range(count))
    return [await client.request("GET", path, timeout_s=60) for path in paths]


def test_path_and_edit_work_over_processes(tmp_path):
    """Guards against programs that work alone but not with each other."""

    async def scenario(deployment):
        async with deployment.client() as client:
            response = await client.request("GET", "/items/1")
            assert (response.status, response.headers["request-outcome"]) == (200, "run")
            order = await client.request("POST", "/orders", b"one", key="order-1")
            repeated = await client.request("POST", "/orders", b"one", key="order-1")
            assert repeated.body == order.body
            assert repeated.headers["idempotent-replayed"] == "true"
        deployment.document.write_text(deployment.document_text(north="leaving"))
        edit = ("put", "stock", deployment.document, "--if-revision")
        code, output = await deployment.run("document", *edit, 1)
        assert code == 0, output
        code, output = await deployment.run("document", *edit, 1)
        assert (code, "status 412" in output) == (1, True), output
        await wait_until_in_force(deployment, 2)

    run_on(Deployment(tmp_path), scenario)


async def wait_until_in_force(deployment, revision):
    """Poll the document's status until every VM has reported at least a revision."""
    while True:
        _, output = await deployment.run("document", "status", "stock", "--json")
        found = json.loads(output)["vms"]
        if {item["vm"] for item in found if item["revision"] >= revision} == set(deployment.vms):
            return


def test_killed_entry_vm_loses_no_idempotent_request(tmp_path):
    """Guards against idempotent requests that fail because the VM that handles them dies."""

    async def scenario(deployment):
        async with deployment.client() as client:
            reading = asyncio.create_task(send_reads(client, 100))
            await client.request("GET", "/items/first")
            deployment.signal("north-vm1", signal.SIGKILL)
            await deployment.remove_from_vm_list("north-vm1")
            responses = await reading
        assert {response.status for response in responses} == {200}

    run_on(Deployment(tmp_path), scenario)


def test_frozen_entry_vm_loses_no_idempotent_request(tmp_path):
    """Guards against requests that wait for a VM that keeps connections open but is frozen."""

    async def scenario(deployment):
        async with ServiceClient("stock", deployment.entry_urls[1:]) as client:
            await client.request("GET", "/items/first")
            deployment.signal("north-vm1", signal.SIGSTOP)
            responses = await send_reads(client, 100)
            deployment.signal("north-vm1", signal.SIGCONT)
            responses += await send_reads(client, 50)
        assert {response.status for response in responses} == {200}

    run_on(Deployment(tmp_path), scenario)


def test_stopping_entry_vm_finishes_its_downloads(tmp_path):
    """Guards against a planned stop that truncates the body of a long response."""

    async def scenario(deployment):
        size = 4 * 1024 * 1024
        path = f"/bundles/1?bytes={size}&ms=1500"
        async with ServiceClient("stock", [deployment.url("north-vm1")]) as client:
            await client.request("GET", "/items/first")
            await client.look_up()
            pulls = [asyncio.create_task(client.request("GET", path)) for _ in range(2)]
            await client.request("GET", "/items/second")
            deployment.signal("north-vm1", signal.SIGTERM)
            responses = await asyncio.gather(*pulls)
        assert {len(response.body) for response in responses} == {size}
        assert {response.tries for response in responses} == {1}
        assert await deployment.wait("north-vm1") == 0

    run_on(Deployment(tmp_path), scenario)


def test_killed_backend_servers_lose_no_idempotent_request(tmp_path):
    """Guards against requests that are still sent to a place whose backend servers died."""

    async def scenario(deployment):
        async with deployment.client() as client:
            await client.request("GET", "/items/first")
            deployment.signal("backends-south", signal.SIGKILL)
            responses = await send_reads(client, 100)
        assert {response.status for response in responses} == {200}

    run_on(Deployment(tmp_path), scenario)
