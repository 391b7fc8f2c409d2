"""Forwarder with a virtual clock and scripted backend servers."""

import asyncio

from hibiscushaven.delivery import AttemptError, FailureKind
from hibiscushaven.discovery import Registry, ServerRecord
from hibiscushaven.fleet import FleetView
from hibiscushaven.forwarding import CallerRequest, Forwarder, PeerRelay, RetryBudgetOptions
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.metrics import Metrics
from hibiscushaven.placement import Picker, PickerOptions, ServerLoads, ServerNotice
from hibiscushaven.placement.budget import DISCOVERY_S
from hibiscushaven.process.tests.support import VirtualClock
from hibiscushaven.routing import (
    Configuration,
    OperatorState,
    RequestKind,
    Route,
    ServiceOptions,
    WeightedService,
)

PEERS = (Endpoint("10.0.0.2", 7541), Endpoint("10.0.0.3", 7541), Endpoint("10.0.0.4", 7541))


class Head:
    """Head of a response whose body arrives at once."""

    def __init__(self, status=200, body=b"whole"):
        self.status = status
        self.headers = (("X-Own", "1"),)
        self.content_length = len(body)
        self._body = body

    async def __aiter__(self):
        yield self._body


class ScriptedClient:
    """Client whose attempts return the scripted steps in order.

    A step is the head of a response, or the ``FailureKind`` with which the attempt fails.

    :ivar step_s: duration of each attempt on the virtual clock.
    :ivar requests: requests of all attempts so far.
    :ivar are_servers_down: whether probes find no server.
    """

    def __init__(self, clock, steps, step_s=0.01):
        self._clock = clock
        self._steps = list(steps)
        self.step_s = step_s
        self.requests = []
        self.are_servers_down = False

    async def attempt(self, request):
        self.requests.append(request)
        step = self._steps.pop(0)
        await asyncio.sleep(0)
        self._clock.time += self.step_s
        if isinstance(step, FailureKind):
            raise AttemptError(step, "scripted")
        if isinstance(step, AttemptError):
            raise step
        return step

    async def can_connect(self, server):
        return not self.are_servers_down


class SilentNoticeReader:
    """Reads nothing from any response."""

    def read_notice(self, status, headers):
        return ServerNotice()


def make_route(kind=RequestKind.SAFE, attempts=2, **fields):
    weighted_services = (WeightedService("stock", 1),)
    return Route("r", "a.example", "/x/", kind, weighted_services, 0.8, 0.25, attempts, **fields)


class FixedLinks:
    """Links whose state is set by the test."""

    def __init__(self, is_isolated=False, has_failing_paths=False):
        self.is_isolated = is_isolated
        self._has_failing_paths = has_failing_paths

    def has_failing_paths(self):
        return self._has_failing_paths

    def on_response(self, server_id):
        pass

    def on_failure(self, server_id):
        pass


def make_forwarder(
    steps,
    route=None,
    servers=4,
    vms=1,
    budget=None,
    step_s=0.01,
    links=None,
    relayed=(),
    notice_reader=None,
):
    """Return a forwarder with its clock, client and loads.

    :param relayed: steps of the client for other VMs, which the forwarder has as ``relay_client``.
    """
    clock = VirtualClock()
    registry = Registry()
    records = [
        ServerRecord(f"s{number}", "stock", Endpoint("10.0.0.1", 80 + number), "serra-a", 4)
        for number in range(servers)
    ]
    registry.replace_all(clock.now(), 10, records, gap_s=0.5)
    loads = ServerLoads()
    view = FleetView("vm-1", "serra", "serra-a")
    options = PickerOptions("vm-1", "serra", {"serra-a": "serra"}, 0.05)
    picker = Picker(options, registry, view, loads)
    client = ScriptedClient(clock, steps, step_s)
    relay_client = ScriptedClient(clock, relayed, step_s)
    forwarder = Forwarder(
        picker,
        loads,
        client,
        notice_reader or SilentNoticeReader(),
        budget or RetryBudgetOptions(10.0, 0.2, 100.0),
        Metrics(),
        lambda: vms,
        clock,
        links=links,
        relay=PeerRelay(relay_client, lambda homes: PEERS, Metrics(), clock.now),
    )
    forwarder.relay_client = relay_client
    # The retry budget of a VM that has just started is empty.
    clock.time += DISCOVERY_S + forwarder._budget_options.window_s
    services = {"stock": ServiceOptions("stock")}
    configuration = Configuration(1, (route or make_route(),), services)
    picker.set_operator_state(OperatorState(1, configuration))
    picker.update_region_shares(clock.now(), {})
    forwarder.set_configuration(configuration)
    return forwarder, clock, client, loads


def make_request(clock, path="/x/1", time_left_s=2.0, body=b""):
    return CallerRequest(
        "id-1", "GET", "a.example", path, path, (), body, "17", time_left_s, clock.now()
    )
