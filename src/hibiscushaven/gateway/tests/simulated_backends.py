"""Backend servers in virtual time that some requests crash, and VMs that forward to them."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, replace
from enum import StrEnum

from hibiscushaven.delivery import AttemptError, FailureKind, find_header
from hibiscushaven.forwarding import RelayDialect, RelayedCallers, RetryBudgetOptions
from hibiscushaven.forwarding.refusals import NOT_RUN_STATUSES
from hibiscushaven.forwarding.tests.support import Head, make_request
from hibiscushaven.gateway.daemon import make_forwarder
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.metrics import Metrics
from hibiscushaven.placement import LoadReport, ServerNotice
from hibiscushaven.routing import (
    Configuration,
    OperatorState,
    RequestKind,
    Route,
    ServiceOptions,
    WeightedService,
)

from .simulated_region import REMOTE_DELAY_S, LoopClock
from .support import make_record

# Time that a server takes to run a request, and to end after it began to run a crashing one.
PROCESSING_S = 0.2
CRASH_S = 0.005

# Time until a crashed server is back.
DOWN_S = 3.0

CRASHING_PATH = "/crash/1"

# Requests of other callers that arrive in a second, and the objects that they are about.
ARRIVALS_PER_S = 100.0
OBJECTS = 40


LIMIT_HEADER = "X-Limit"
LEAVING_HEADER = "X-Leaving"
PAUSE_HEADER = "X-Pause"

# Time after which an attempt to open a connection is given up.
CONNECT_TIMEOUT_S = 0.35


class Cut(StrEnum):
    """What the connections of a VM that has lost its links to the servers do."""

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse-new"


class IdleLoadReader:
    """Reads a report of the usual speed, and the rate limit if there is one, from each response."""

    def read_notice(self, status, headers):
        limit, pause = (find_header(headers, name) for name in (LIMIT_HEADER, PAUSE_HEADER))
        return ServerNotice(
            LoadReport(1, 0, 4),
            float(limit) if limit is not None else None,
            find_header(headers, LEAVING_HEADER) is not None,
            float(pause) if pause is not None else None,
        )


class SimulatedBackends:
    """Backend servers of all regions, which register in the store of a simulated region.

    :param region: the VMs and their store.
    :param servers: number of servers by failure domain.
    :param crash_s: time until a server ends that has begun to run the crashing request.
    :ivar crashes: times at which a request crashed a server.
    :ivar arrivals: times at which the crashing request reached a server.
    :ivar limits_per_s: rate limits that servers announce with their responses, by server.
    :ivar limited_arrivals: time, VM and server of each request that reached a limited server.
    :ivar told_at: time at which a VM first received the limit of a server, by VM and server.
    :ivar leaving: servers that say in their responses that they leave.
    :ivar pauses_s: seconds for which servers want nothing, with which they reject all requests.
    :ivar notices: time, VM and server of each response in which a server said so.
    :ivar unwanted_arrivals: time, VM and server of each request to such a server.
    :ivar runs: number of times that a server began to run each request, by its id.
    :ivar cuts: VMs that have lost their links to all servers, with what their connections do.
    """

    def __init__(self, region, servers, crash_s=CRASH_S):
        self._region = region
        self._crash_s = crash_s
        self._now = LoopClock().now
        self._up_at = {}
        self._in_progress = {}
        self.crashes = []
        self.arrivals = []
        self.limits_per_s = {}
        self.limited_arrivals = []
        self.told_at = {}
        self.leaving = set()
        self.pauses_s = {}
        self.notices = []
        self.unwanted_arrivals = []
        self.runs = Counter()
        self.cuts = {}
        self._connected = set()
        records = [
            replace(
                make_record(f"{domain}-{number}", started_unix_ms=1),
                address=Endpoint(f"10.{index}.0.{number + 1}", 80),
                failure_domain=domain,
            )
            for index, (domain, count) in enumerate(servers.items())
            for number in range(count)
        ]
        self._records = {record.server_id: record for record in records}
        region.put_servers(records)

    @property
    def servers(self):
        """Names of the servers."""
        return list(self._records)

    def client_of(self, vm):
        """Return the client of a VM."""
        return SimulatedClient(self, vm)

    async def attempt(self, request, vm):
        """Run a request on its server, as ``BackendClient.attempt`` does."""
        name = request.server_id
        await self._pass_cut(request, vm)
        if self._now() < self._up_at.get(name, 0.0):
            raise AttemptError(FailureKind.NOT_CONNECTED, "refused")
        self._connected.add((vm, name))
        if name in self.limits_per_s:
            self.limited_arrivals.append((self._now(), vm, name))
        if name in self.leaving or name in self.pauses_s:
            self.unwanted_arrivals.append((self._now(), vm, name))
        if name in self.pauses_s:
            self._ask_for_pause(vm, name)
        self.runs[request.attempt_id] += 1
        end = self._in_progress.setdefault(name, asyncio.get_running_loop().create_future())
        is_crashing = request.target == CRASHING_PATH
        if is_crashing:
            self.arrivals.append(self._now())
        duration_s = self._crash_s if is_crashing else PROCESSING_S
        await asyncio.wait((end,), timeout=duration_s)
        if self.cuts.get(vm, Cut.REFUSE_NEW) is not Cut.REFUSE_NEW:
            await self._lose_connection(request, vm)
        if is_crashing and not end.done():
            self._crash(name)
        if end.done():
            raise AttemptError(FailureKind.CONNECTION_LOST, "reset")
        return self._respond(vm, name)

    def cut(self, vm, kind):
        """Let a VM lose its links to all servers.

        :param kind: what its connections do.
        """
        self.cuts[vm] = kind

    async def _pass_cut(self, request, vm):
        """Fail or wait as a request does that a VM sends without links to the servers."""
        kind = self.cuts.get(vm)
        is_connected = (vm, request.server_id) in self._connected
        if kind is None or (kind is Cut.REFUSE_NEW and is_connected):
            return
        if is_connected:
            await self._lose_connection(request, vm)
        if kind is Cut.HANG:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        raise AttemptError(FailureKind.NOT_CONNECTED, f"{kind.value}")

    async def _lose_connection(self, request, vm):
        """End an attempt whose open connection the cut concerns."""
        if self.cuts[vm] is Cut.HANG:
            await asyncio.sleep(max(0.0, request.deadline - self._now()))
            raise AttemptError(FailureKind.DEADLINE, "no answer")
        self._connected.discard((vm, request.server_id))
        raise AttemptError(FailureKind.CONNECTION_LOST, "reset")

    def _ask_for_pause(self, vm, name):
        self.notices.append((self._now(), vm, name))
        headers = ((PAUSE_HEADER, str(self.pauses_s[name])),)
        raise AttemptError(FailureKind.REFUSED, "pause", headers=headers, status=503)

    def _respond(self, vm, name):
        head = Head()
        if name in self.leaving:
            self.notices.append((self._now(), vm, name))
            head.headers = ((LEAVING_HEADER, "1"),)
        if name in self.limits_per_s:
            self.told_at.setdefault((vm, name), self._now())
            head.headers = ((LIMIT_HEADER, str(self.limits_per_s[name])),)
        return head

    async def can_connect(self, server, vm):
        """Return whether a VM can connect to a server, as ``BackendClient.can_connect`` does."""
        if vm in self.cuts:
            await asyncio.sleep(CONNECT_TIMEOUT_S if self.cuts[vm] is Cut.HANG else 0.0)
            return False
        await asyncio.sleep(2 * REMOTE_DELAY_S)
        (name,) = (
            record.server_id for record in self._records.values() if record.address == server
        )
        return self._now() >= self._up_at.get(name, 0.0)

    def _crash(self, name):
        now = self._now()
        self.crashes.append(now)
        self._up_at[name] = now + DOWN_S
        self._in_progress.pop(name).set_result(None)
        asyncio.get_running_loop().call_later(DOWN_S, self._restart, name)

    def _restart(self, name):
        started_unix_ms = self._records[name].started_unix_ms + 1
        self._records[name] = replace(self._records[name], started_unix_ms=started_unix_ms)
        self._region.put_servers(self._records.values())


class SimulatedClient:
    """Client of one VM, as ``BackendClient``."""

    def __init__(self, backends, vm):
        self._backends = backends
        self._vm = vm

    async def attempt(self, request):
        return await self._backends.attempt(request, self._vm)

    async def can_connect(self, server):
        return await self._backends.can_connect(server, self._vm)


@dataclass(frozen=True)
class SimulatedResponse:
    """Response of a VM to a request.

    :ivar arrived_at: time at which the request arrived.
    """

    vm: str
    request_id: str
    path: str
    arrived_at: float
    status: int


class SimulatedRelayClient:
    """Client of one VM for the others, as ``BackendClient`` with a ``RelayDialect``."""

    def __init__(self, region, forwarders, vm):
        self._region = region
        self._forwarders = forwarders
        self._vm = vm

    async def attempt(self, request):
        """Let a request arrive at another VM."""
        name = self._region.name_at(f"{request.server.host}:{request.server.port - 1}")
        delay_s = self._region.relay_delay_s(self._vm, name)
        await asyncio.sleep(delay_s)
        headers = (*request.headers, *RelayDialect().request_headers(request, _ms_left(request)))
        relayed = RelayedCallers(_CallerDialect(request)).read(
            headers, request.method, request.target, request.target, request.body, LoopClock().now()
        )
        response = await self._forwarders[name].handle(relayed)
        await asyncio.sleep(delay_s)
        head = Head(response.status, response.body)
        head.headers = response.headers
        RelayDialect().check_response(head, request)
        return head


def _ms_left(request):
    return int(1000 * (request.deadline - LoopClock().now()))


class _CallerDialect:
    """Reads the object key from the path, since the simulated callers send no cookies."""

    id_header = "Request-Id"

    def __init__(self, request):
        self._request = request

    def read(self, headers, method, path, target, body, now):
        request = make_request(LoopClock(), path)
        request_id = find_header(headers, self.id_header)
        return replace(request, request_id=request_id, object_key=path.rpartition("/")[2])


class SimulatedTraffic:
    """Forwarders of all VMs of a simulated region, and requests that arrive at any of them.

    :ivar responses: responses to the requests of other callers.
    """

    def __init__(self, region, backends, kind=RequestKind.SAFE, seed=1):
        self.region = region
        self._rng = random.Random(seed)
        self._tasks = set()
        self._kind = kind
        self._request_count = 0
        self.responses = []
        routes = tuple(
            Route(name, "a.example", prefix, kind, (WeightedService("stock", 1),), 2.0, 1.0, 2)
            for name, prefix in (("objects", "/x/"), ("crashing", "/crash/"))
        )
        options = ServiceOptions("stock", warmup_s=0.0, warmup_per_s=8.0)
        region.operator = OperatorState(
            region.operator.version + 1, Configuration(2, routes, {"stock": options})
        )
        self.backends = backends
        self._configuration = region.operator.configuration
        self._forwarders = {}
        self._weights = {}
        for name, node in region.nodes.items():
            self.add_vm(name, node)

    @property
    def vms(self):
        """Names of the VMs at which requests arrive."""
        return list(self._forwarders)

    def add_vm(self, name, node, weight=1.0):
        """Let requests arrive at a VM.

        :param weight: its part of the requests relative to those of other VMs.
        """
        forwarder = make_forwarder(
            node,
            self.backends.client_of(name),
            IdleLoadReader(),
            RetryBudgetOptions(10.0, 0.2, 130.0),
            Metrics(),
            LoopClock(),
            SimulatedRelayClient(self.region, self._forwarders, name),
        )
        forwarder.set_configuration(self._configuration)
        self._forwarders[name] = forwarder
        self._weights[name] = weight

    def remove_vm(self, name):
        """Let no more requests arrive at a VM."""
        del self._forwarders[name], self._weights[name]

    def fingerprint_of(self, path):
        """Return the fingerprint of the requests with a path."""
        forwarder = next(iter(self._forwarders.values()))
        return forwarder._prepare(make_request(LoopClock(), path)).fingerprint

    def is_quarantined(self, path):
        """Return whether any VM refuses the requests with a path."""
        fingerprint, now = self.fingerprint_of(path), LoopClock().now()
        return any(
            item._crashes.is_quarantined(now, fingerprint) for item in self._forwarders.values()
        )

    def misreported_requests(self):
        """Return the ids of unsafe requests that ran twice, or although refused as not run."""
        if self._kind is not RequestKind.UNSAFE:
            return []
        runs = self.backends.runs
        return [
            item.request_id
            for item in self.responses
            if runs[item.request_id] > (item.status not in NOT_RUN_STATUSES)
        ]

    def quarantined_objects(self):
        """Return the paths of the requests beside the crashing one that any VM refuses."""
        return [path for path in map(_object_path, range(OBJECTS)) if self.is_quarantined(path)]

    def send(self, path, key):
        """Let a request arrive at a random VM."""
        (name,) = self._rng.choices(list(self._weights), self._weights.values())
        task = asyncio.create_task(self._request(name, path, key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(
        self, duration_s, crashing_interval_s=float("inf"), arrivals_per_s=ARRIVALS_PER_S
    ):
        """Let requests about random objects arrive, and the crashing one at an interval."""
        now = LoopClock().now
        end, next_crashing = now() + duration_s, now() + crashing_interval_s
        while now() < end:
            await asyncio.sleep(self._rng.expovariate(arrivals_per_s))
            number = self._rng.randrange(OBJECTS)
            self.send(_object_path(number), str(number))
            while now() >= next_crashing:
                self.send(CRASHING_PATH, "crash")
                next_crashing += crashing_interval_s
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _request(self, vm, path, key):
        self._request_count += 1
        request_id = f"id-{self._request_count}"
        request = replace(
            make_request(LoopClock(), path),
            request_id=request_id,
            object_key=key,
            headers=((_CallerDialect.id_header, request_id),),
        )
        response = await self._forwarders[vm].handle(request)
        if path != CRASHING_PATH:
            self.responses.append(
                SimulatedResponse(vm, request_id, path, request.received_at, response.status)
            )


def _object_path(number):
    return f"/x/{number}"
