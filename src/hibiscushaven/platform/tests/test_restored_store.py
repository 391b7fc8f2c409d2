"""Whole gateway whose store comes back from a copy, between changes of the operator."""

import asyncio

from .backend_standin import BackendStandIn, response
from .samples import configuration_row, route_item, server_row
from .test_gateway import run, wait_until

# More than a test can send within its time limit.
REQUESTS = 100_000


async def restore_and_change(deployment, routes):
    """Restore the store from a copy, and write the routes once its numbers are those of before."""
    store, node = deployment.store, deployment.daemon.node
    copy = store.copy()
    for _ in range(20):
        store.put("servers", "i-1", store.rows["servers", "i-1"][0])
    store.put("op", "config", configuration_row(8, [route_item()]))
    await wait_until(lambda: node.operator.configuration.version == 8)
    newest = store.version
    store.restore(copy)
    store.put("op", "config", configuration_row(8, [route_item()]))
    store.put("op", "config", configuration_row(9, routes))
    while store.version < newest:
        store.put("servers", "i-1", store.rows["servers", "i-1"][0])


async def wait_until_answered(deployment, path, expected):
    """Send requests until one is answered with a status and a body."""
    while (await deployment.request(path))[::2] != expected:
        await asyncio.sleep(0)


def test_added_route_is_served_after_the_store_was_restored_from_a_copy():
    """Guards against requests on an added route that are answered 404 for good."""

    async def scenario(deployment):
        routes = [route_item(), route_item("r-2", Prefix="/added/")]
        assert (await deployment.request("/added/1"))[0] == 404
        await restore_and_change(deployment, routes)
        await wait_until_answered(deployment, "/added/1", (200, "whole"))
        await deployment.daemon.stop()

    run(scenario, *REQUESTS * [response()])


def test_requests_run_in_their_home_region_after_the_store_was_restored_from_a_copy():
    """Guards against requests that run for good in a region that is no home any more."""

    async def scenario(deployment):
        remote = BackendStandIn(*REQUESTS * [response(b"vale")])
        row = server_row(address=f"127.0.0.1:{await remote.start()}")
        deployment.store.put("servers", "i-2", {**row, "Info": {**row["Info"], "Zone": "vale-a"}})
        await wait_until(lambda: "i-2" in deployment.daemon.node.registry.servers)
        await restore_and_change(deployment, [route_item(HomeRegions=["vale"])])
        await wait_until_answered(deployment, "/x/1", (200, "vale"))
        ran_elsewhere = len(deployment.backend.requests)
        for _ in range(20):
            await wait_until_answered(deployment, "/x/1", (200, "vale"))
        assert len(deployment.backend.requests) == ran_elsewhere
        await deployment.daemon.stop()
        await remote.close()

    run(scenario, *REQUESTS * [response()], regions={"serra-a": "serra", "vale-a": "vale"})
