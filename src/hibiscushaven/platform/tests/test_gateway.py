"""Whole gateway on loopback, with stand-ins for the store and a backend server."""

import asyncio
import math
import random
import socket
from dataclasses import replace

import aiohttp
import pytest

from hibiscushaven.forwarding import RetryBudgetOptions
from hibiscushaven.gateway import GatewayDaemon, GatewayOptions
from hibiscushaven.gateway import daemon as daemon_module
from hibiscushaven.gateway import reader as reader_module
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.platform.dialects import PlatformBackends, PlatformCallers, PlatformDirectory
from hibiscushaven.platform.store import StoreClient
from hibiscushaven.process import SystemClock

from .backend_standin import BackendStandIn, close_connection, header, response
from .samples import configuration_row, route_item, server_row
from .store_standin import StoreStandIn

TIME_LIMIT_S = 60

# Names of the options with the addresses on which a gateway listens.
ADDRESSES = (
    "callers_at",
    "readiness_at",
    "directory_at",
    "peers_at",
    "status_at",
    "metrics_at",
)


def free_endpoint():
    """Return an endpoint on a loopback address of its own, whose port no other process takes."""
    address = ".".join(["127", *(str(random.randint(1, 254)) for _ in range(3))])
    with socket.create_server((address, 0)) as made:
        return Endpoint(*made.getsockname())


class Deployment:
    """One gateway with a store, a backend server and an HTTP client."""

    def __init__(self, *scripts, clock=None, regions=None):
        self.clock = clock or SystemClock()
        self._regions = regions or {"serra-a": "serra"}
        self.store = StoreStandIn()
        self.backend = BackendStandIn(*scripts)
        self.options = None
        self.daemon = None
        self.session = None

    async def __aenter__(self):
        store_port = await self.store.start()
        backend_port = await self.backend.start()
        address = f"127.0.0.1:{backend_port}"
        self.store.put("op", "config", configuration_row(7))
        self.store.put("servers", "i-1", server_row(address=address))
        self.options = GatewayOptions(
            "vm-1",
            "serra",
            "serra-a",
            self._regions,
            *(free_endpoint() for _ in range(5)),
            metrics_at=free_endpoint(),
        )
        self.store_at = Endpoint("127.0.0.1", store_port)
        self.daemon = await self.start_gateway(self.options)
        self.session = aiohttp.ClientSession()
        return self

    def make_gateway(self, options):
        """Return a gateway that was not started."""
        backends = PlatformBackends()
        return GatewayDaemon(
            options,
            StoreClient(self.store_at),
            PlatformCallers(),
            backends,
            backends,
            PlatformDirectory(),
            self.clock,
        )

    async def start_gateway(self, options):
        """Return a gateway that is ready."""
        daemon = self.make_gateway(options)
        await daemon.start()
        while not daemon.node.is_ready:
            await asyncio.sleep(0)
        return daemon

    async def start_other_gateway(self):
        """Return a gateway of another VM of the region."""
        return await self.start_gateway(self.other_options())

    def other_options(self):
        """Return the options of another VM of the region."""
        own = {name: free_endpoint() for name in ADDRESSES}
        return replace(self.options, name="vm-2", **own)

    async def __aexit__(self, *error):
        await self.session.close()
        await self.backend.close()
        await self.store.close()

    async def get(self, address, path, **headers):
        async with self.session.get(f"http://{address}{path}", headers=headers) as reply:
            return reply.status, reply.headers.copy(), await reply.text()

    async def request(self, path="/x/1", **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        fields = {"Host": "a.example", "Request-Id": "id-1", "Deadline-Ms": "2000", **named}
        return await self.get(self.options.callers_at, path, **fields)


@pytest.fixture(autouse=True)
def no_shutdown_delay(monkeypatch):
    monkeypatch.setattr(daemon_module, "QUIET_S", 0.0)


def skip_time(monkeypatch, seconds):
    """Set the clock of the event loop forward."""
    loop = asyncio.get_running_loop()
    now = loop.time
    monkeypatch.setattr(loop, "time", lambda: now() + seconds)


@pytest.mark.parametrize("kind", ["safe", "unsafe", "download"])
@pytest.mark.parametrize("start", [b"", b"who"])
def test_server_that_is_silent_within_its_response_is_waited_for(kind, start, monkeypatch):
    """Guards against a response that is ended while its server works, long before the deadline."""

    async def scenario(deployment):
        route = route_item(Kind=kind, Timeout="6000ms")
        deployment.store.put("op", "config", configuration_row(8, [route]))
        node = deployment.daemon.node
        await wait_until(lambda: node.operator.configuration.version == 8)
        status, _, body = await deployment.request(Deadline_Ms="12000")
        assert (status, body) == (200, "whole")
        assert len(deployment.backend.requests) == 1
        await deployment.daemon.stop()

    async def pause_within_the_body(head, writer):
        await response(start, length=5)(head, writer)
        # Until the gateway waits for the rest of the body.
        for _ in range(100):
            await asyncio.sleep(0)
        skip_time(monkeypatch, 4.0)
        for _ in range(100):
            await asyncio.sleep(0)
        writer.write(b"whole"[len(start) :])

    run(scenario, pause_within_the_body)


def isolate(daemon):
    """Let a gateway take its links for lost, without probes that find them intact."""
    daemon.node.links.can_connect = None
    daemon.node.links._set_isolated(True, {})


def run(scenario, *scripts, **options):
    async def main():
        async with asyncio.timeout(TIME_LIMIT_S), Deployment(*scripts, **options) as deployment:
            await scenario(deployment)

    asyncio.run(main())


@pytest.mark.parametrize("name", ADDRESSES)
def test_gateway_that_cannot_start_frees_its_addresses(name):
    """Guards against a port that stays in use after a start on an address that is in use."""

    async def scenario(deployment):
        options = deployment.other_options()
        used = {name: deployment.options.callers_at}
        gateway = deployment.make_gateway(replace(options, **used))
        with pytest.raises(OSError):
            await gateway.start()
        for other in set(ADDRESSES) - {name}:
            address = getattr(options, other)
            socket.create_server((address.host, address.port)).close()
        await deployment.daemon.stop()

    run(scenario)


def test_request_is_served():
    """Guards against header fields that are lost or changed on the way."""

    async def scenario(deployment):
        status, headers, body = await deployment.request(Cookie="Affinity-Key=17")
        assert (status, body) == (200, "whole")
        assert headers["Response-Seal"] == "1.2.3" and headers["Request-Id"] == "id-1"
        head, _ = deployment.backend.requests[0]
        assert header(head, "Host") == "a.example" and header(head, "Cookie") == "Affinity-Key=17"
        assert header(head, "Expect-Instance") == "i-1"
        assert 0 < int(header(head, "Deadline-Ms")) <= 800
        await deployment.daemon.stop()

    run(scenario, response())


def test_unknown_routes_and_oversized_bodies_are_rejected():
    """Guards against forwarding requests that no backend server should receive."""

    async def scenario(deployment):
        assert (await deployment.request("/y/1"))[0] == 404
        url = f"http://{deployment.options.callers_at}/x/1"
        fields = {"Host": "a.example"}
        async with deployment.session.post(url, data=b"x" * 2000, headers=fields) as reply:
            assert reply.status == 413
        assert deployment.backend.requests == []
        await deployment.daemon.stop()

    run(scenario)


def test_directory_readiness_metrics_and_status():
    """Guards against an HTTP endpoint that is missing or reports other values."""

    async def scenario(deployment):
        options = deployment.options
        query = "/v1/resolve?Name=a.example&Region=serra&Zone=serra-a"
        status, _, body = await deployment.get(options.directory_at, query)
        assert status == 200 and str(options.callers_at) in body and '"Ttl":"2000ms"' in body
        assert (await deployment.get(options.readiness_at, "/v1/readiness"))[0] == 200
        await deployment.request()
        _, _, metrics = await deployment.get(options.metrics_at, "/metrics")
        assert 'request_seconds_count{tenant="stock",class="safe"} 1' in metrics
        _, _, status_text = await deployment.get(options.metrics_at, "/v1/status")
        assert '"configuration":7' in status_text
        await deployment.daemon.stop()

    run(scenario, response())


def test_stop_completes_requests_in_progress_and_accepts_no_new_callers():
    """Guards against requests that a shutdown aborts, and callers sent to a stopping VM."""

    async def scenario(deployment):
        request = asyncio.create_task(deployment.request())
        while not deployment.backend.requests:
            await asyncio.sleep(0)
        stop = asyncio.create_task(deployment.daemon.stop())
        while not deployment.daemon.node.is_leaving:
            await asyncio.sleep(0)
        assert (await deployment.get(deployment.options.readiness_at, "/v1/readiness"))[0] == 503
        response_allowed.set()
        status, headers, body = await request
        assert (status, body, headers["Connection"]) == (200, "whole", "close")
        await stop
        assert ("vms", "vm-1") not in deployment.store.rows

    response_allowed = asyncio.Event()

    async def script(head, writer):
        await response_allowed.wait()
        await response()(head, writer)

    run(scenario, script)


def test_new_configuration_is_applied_without_a_restart():
    """Guards against routes that remain in use after their removal."""

    async def scenario(deployment):
        deployment.store.put("op", "config", configuration_row(8, []))
        while deployment.daemon.node.operator.configuration.version < 8:
            await asyncio.sleep(0)
        assert (await deployment.request())[0] == 404
        await deployment.daemon.stop()

    run(scenario)


def test_leaving_backend_server_gets_no_new_requests():
    """Guards against requests to a server that is about to stop."""

    async def scenario(deployment):
        row = deployment.store.rows["servers", "i-1"]
        deployment.store.put("servers", "i-1", row[0].replace(b'"ready"', b'"draining"'))
        while deployment.daemon.node.picker.usable_servers("stock"):
            await asyncio.sleep(0)
        status, headers, _ = await deployment.request()
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert deployment.backend.requests == []
        await deployment.daemon.stop()

    run(scenario)


def test_changed_options_are_applied_without_a_restart():
    """Guards against reloadable options that are ignored, and others that are applied."""

    async def scenario(deployment):
        budget = RetryBudgetOptions(window_s=5.0, ratio=0.0, fixed_retries=0.0)
        changed = replace(deployment.options, answer_ttl_s=1.0, budget=budget, region="vale")
        deployment.daemon.apply_options(changed)
        query = "/v1/resolve?Name=a.example&Region=serra&Zone=serra-a"
        _, _, body = await deployment.get(deployment.options.directory_at, query)
        assert '"Ttl":"1000ms"' in body
        assert (await deployment.request())[0] == 502
        assert len(deployment.backend.requests) == 1
        await deployment.daemon.stop()

    run(scenario, close_connection, response())


def test_header_limit_of_the_configuration_is_enforced():
    """Guards against headers that exceed the memory intended for them."""

    async def scenario(deployment):
        assert (await deployment.request(Long="x" * 20_000))[0] == 431
        assert deployment.backend.requests == []
        await deployment.daemon.stop()

    run(scenario)


def test_gateway_does_not_use_the_wall_clock():
    """Guards against decisions that go wrong when the time of day jumps."""

    class NoWallClock(SystemClock):
        def unix(self):
            raise AssertionError("the wall clock was read")

    async def scenario(deployment):
        assert (await deployment.request())[0] == 200
        deployment.store.put("op", "config", configuration_row(8))
        while deployment.daemon.node.operator.configuration.version < 8:
            await asyncio.sleep(0)
        await deployment.daemon.stop()

    run(scenario, response(), clock=NoWallClock())


def test_rate_limits_and_crashes_reach_other_vms():
    """Guards against findings of a VM that are not sent, or not understood, between programs."""

    async def scenario(deployment):
        other = await deployment.start_other_gateway()
        nodes = (deployment.daemon.node, other.node)
        while not all(node.view.live_peers(deployment.clock.now()) for node in nodes):
            await asyncio.sleep(0)
        assert (await deployment.request())[0] == 200
        (server,) = other.node.registry.servers.values()
        limits = other.node.picker.rate_limits
        while limits.limit_of(server.record.process_id) is None:
            await asyncio.sleep(0)
        assert limits.limit_of(server.record.process_id) == pytest.approx(6.9)
        now = deployment.clock.now()
        nodes[0].crashes.record(now - 1.0, "s1", {"x": now - 1.1})
        nodes[0].crashes.record(now - 0.1, "s2", {"x": now - 0.2})
        nodes[0].crash_exchange.gossip.share_now()
        while not nodes[1].crashes.is_quarantined(deployment.clock.now(), "x"):
            await asyncio.sleep(0)
        await other.stop()
        await deployment.daemon.stop()

    run(scenario, response(Server_Limit="6.9"))


async def wait_for_peer(deployment, other):
    """Wait until both gateways know each other."""
    while not (deployment.daemon.node.relay_peers(frozenset()) and other.node.view.known_peers()):
        await asyncio.sleep(0)


def test_gateway_without_links_relays_requests_to_another():
    """Guards against headers, bodies and the seal that are changed on the way over another VM."""

    async def scenario(deployment):
        other = await deployment.start_other_gateway()
        await wait_for_peer(deployment, other)
        isolate(deployment.daemon)
        async with deployment.session.post(
            f"http://{deployment.options.callers_at}/x/1",
            data=b"order",
            headers={"Host": "a.example", "Request-Id": "id-1", "Deadline-Ms": "2000"},
        ) as reply:
            assert (reply.status, await reply.read()) == (200, b"whole")
            assert reply.headers["Response-Seal"] == "1.2.3"
            assert reply.headers["Request-Id"] == "id-1"
        (head, body), *more = deployment.backend.requests
        assert body == b"order" and more == []
        assert header(head, "Host") == "a.example" and header(head, "Expect-Instance") == "i-1"
        assert header(head, "Relay-Attempts-Left") is None
        assert 0 < int(header(head, "Deadline-Ms")) <= 800
        await asyncio.gather(deployment.daemon.stop(), other.stop())

    run(scenario, response())


def test_relayed_response_that_is_cut_short_does_not_look_complete():
    """Guards against a truncated body of which the second VM makes a whole one."""

    async def scenario(deployment):
        other = await deployment.start_other_gateway()
        await wait_for_peer(deployment, other)
        isolate(deployment.daemon)
        status, _, _ = await deployment.request()
        assert status == 502
        await asyncio.gather(deployment.daemon.stop(), other.stop())

    async def truncated(head, writer):
        await response(b"half", length=8)(head, writer)
        await close_connection(head, writer)

    run(scenario, truncated, truncated)


def test_caller_that_leaves_ends_its_relayed_request():
    """Guards against servers that work for callers which have left another VM."""

    async def scenario(deployment):
        other = await deployment.start_other_gateway()
        await wait_for_peer(deployment, other)
        isolate(deployment.daemon)
        request = asyncio.create_task(deployment.request())
        while not deployment.backend.requests:
            await asyncio.sleep(0)
        request.cancel()
        await deployment.backend.closed.wait()
        await asyncio.gather(deployment.daemon.stop(), other.stop())

    async def wait_for_the_end(head, writer):
        while not writer.transport.is_closing():
            await asyncio.sleep(0)
        raise ConnectionResetError

    run(scenario, wait_for_the_end)


async def wait_until(condition):
    """Let the event loop run until a condition holds."""
    while not condition():
        await asyncio.sleep(0)


def test_configuration_is_adopted_after_the_store_was_restored_from_a_copy():
    """Guards against a configuration that is never read, as its version was given out before."""

    async def scenario(deployment):
        store, node = deployment.store, deployment.daemon.node
        copy = store.copy()
        for _ in range(20):
            store.put("servers", "i-1", store.rows["servers", "i-1"][0])
        store.put("op", "config", configuration_row(8))
        await wait_until(lambda: node.operator.configuration.version == 8)
        newest = store.version
        store.restore(copy)
        store.put("op", "config", configuration_row(8))
        store.put("op", "config", configuration_row(9))
        assert store.version < newest
        while store.version < newest:
            store.put("servers", "i-1", store.rows["servers", "i-1"][0])
        await wait_until(lambda: node.operator.configuration.version == 9)
        await deployment.daemon.stop()

    run(scenario)


def test_configuration_that_the_feeds_hid_is_adopted(monkeypatch):
    """Guards against a gateway that takes an old configuration for confirmed until the next one."""

    async def scenario(deployment):
        store, node = deployment.store, deployment.daemon.node
        store.hide_changes()
        store.put("op", "config", configuration_row(8))
        reads_until = deployment.clock.now() + 0.1
        await wait_until(lambda: node._reader.operator_confirmed_at > reads_until)
        store.show_changes(is_history_dropped=True)
        async with asyncio.timeout(10.0):
            await wait_until(lambda: node.operator.configuration.version == 8)
        await deployment.daemon.stop()

    monkeypatch.setattr(reader_module, "OPERATOR_WAIT_S", 0.02)
    run(scenario)


@pytest.mark.parametrize(
    "entry", [{**server_row(), "born": math.inf}, 4096 * b"["], ids=["number", "nested"]
)
def test_servers_are_read_beside_an_unreadable_entry(entry):
    """Guards against requests to servers that left after another writer's entry appeared."""

    async def scenario(deployment):
        store, registry = deployment.store, deployment.daemon.node.registry
        store.put("servers", "other", entry)
        store.put("servers", "i-2", server_row(address="127.0.0.1:1"))
        await wait_until(lambda: "i-2" in registry.servers)
        store.delete("servers", "i-2")
        await wait_until(lambda: "i-2" not in registry.servers)
        other = await deployment.start_other_gateway()
        await asyncio.gather(deployment.daemon.stop(), other.stop())

    run(scenario)


@pytest.mark.parametrize("zone", [100 * "a", "a..b", "@"])
def test_server_whose_address_has_a_zone_gets_no_request(zone):
    """Guards against requests that fail by an error that only a name of a host raises."""

    async def scenario(deployment):
        store, registry = deployment.store, deployment.daemon.node.registry
        store.put("servers", "odd", server_row(address=f"[::1%{zone}]:80"))
        store.put("servers", "i-2", server_row(service="other"))
        await wait_until(lambda: "i-2" in registry.servers)
        assert [(await deployment.request())[0] for _ in range(8)] == 8 * [200]
        await deployment.daemon.stop()

    run(scenario, *8 * [response()])


def test_vm_meets_the_others_beside_an_address_that_cannot_be_sent_to():
    """Guards against a VM whose socket for messages is closed for good by an odd row."""

    async def scenario(deployment):
        deployment.store.put("vms", "odd", b"[::1%\0]:7000")
        other = await deployment.start_other_gateway()
        await wait_for_peer(deployment, other)
        await asyncio.gather(deployment.daemon.stop(), other.stop())

    run(scenario)
