"""Entry VMs of a simulation: each start of a VM is a simulated process."""

import asyncio
import random

from starlette.applications import Starlette

from hibiscushaven.entry.callers import CallerInterface
from hibiscushaven.entry.node import EntryNode
from hibiscushaven.entry.ports import NodePorts
from hibiscushaven.operators import OperatorContext, TeamDirectory, operator_routes
from hibiscushaven.peers import PeerIdentity
from hibiscushaven.settings import Settings
from hibiscushaven.tablestore import VmRecord, VmState

from .backends import MemoryClient
from .callers import Response, send_request
from .network import MemoryHub, RemotePlatform
from .processes import Process

__all__ = ["UNIX_START", "SimulationClock", "Vm"]

UNIX_START = 1_700_000_000.0
_POLL_INTERVAL_S = 0.1
_LEAVE_TIMEOUT_S = 30.0


class SimulationClock:
    """Clock of the daemon that reads the virtual time of the event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def unix(self) -> float:
        return UNIX_START + self.now()


class Vm:
    """One start of an entry VM; a restart makes a new object.

    :param number: number of the start, which is part of all ids that the VM generates.
    :ivar pauses_after_guard: pause the process between the guard of the next request to a backend
        server and its sending.
    :ivar ended: done when the process was killed or has stopped.
    """

    def __init__(self, simulation, settings: Settings, number: int) -> None:
        self._simulation = simulation
        self.settings = settings
        self.name = settings.name
        self.domain = settings.failure_domain
        self.number = number
        self.process = Process(self.name)
        self.pauses_after_guard = False
        self.is_leaving = self.is_stopped = False
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._id_count = 0
        self.node: EntryNode = self.process.context().run(self._create_node)

    @property
    def is_serving(self) -> bool:
        return not (self.process.is_dead or self.is_stopped)

    @property
    def record(self) -> VmRecord:
        """Record of this VM in the platform's list."""
        settings = self.settings
        state = VmState.LEAVING if self.is_leaving else VmState.LIVE
        return VmRecord(
            settings.name,
            settings.failure_domain,
            settings.region,
            settings.host,
            settings.peer_port,
            state,
            settings.http_port,
        )

    def create_task(self, coroutine) -> asyncio.Task:
        """Run a coroutine in the VM's process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, context=self.process.context())

    async def start(self) -> None:
        await self.create_task(self.node.start())

    async def request(self, method, target, headers, body=b"", timeout_s=30.0) -> Response | None:
        """Return the response to a request, ``None`` if the VM ended or the time ran out."""
        task = self.create_task(send_request(self._app, method, target, headers, body))
        await asyncio.wait(
            (task, self.ended), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        return task.result() if task.done() else None

    def kill(self) -> None:
        self.process.kill()
        self._simulation.network.silence_process(self.process)
        self._mark_ended()

    async def stop(self) -> None:
        """Stop as the daemon does on SIGTERM."""
        self.is_leaving = True
        await self.create_task(self._drain())
        self.is_stopped = True
        self._mark_ended()

    async def _drain(self) -> None:
        node = self.node
        node.begin_leaving()
        entries = node.catalog.entries
        await asyncio.sleep(max((item.document.lookup_ttl_s for item in entries), default=0.0))
        while self._callers.in_progress or not node.is_idle:
            await asyncio.sleep(_POLL_INTERVAL_S)
        leave_deadline = node.clock.now() + _LEAVE_TIMEOUT_S
        while node.clock.now() < leave_deadline and not await node.leave_roster():
            await asyncio.sleep(_POLL_INTERVAL_S)
        async with asyncio.timeout(max(0.0, leave_deadline - node.clock.now())):
            await node.claims.drain()
        await node.close()

    def _mark_ended(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def _create_node(self) -> EntryNode:
        simulation, settings = self._simulation, self.settings
        identity = PeerIdentity(
            settings.name,
            "",
            settings.failure_domain,
            settings.region,
            settings.host,
            settings.peer_port,
        )
        ports = NodePorts(
            RemotePlatform(simulation.platform, simulation.network, identity),
            SimulationClock(),
            random.Random(f"{simulation.seed}/{self.name}/{self.number}"),
            self._new_id,
            lambda *args: MemoryHub(simulation.network, self.process, *args),
            lambda limit: MemoryClient(simulation.fleet, self._after_guard),
        )
        node = EntryNode(settings, ports)
        self._callers = CallerInterface(
            node.catalog,
            node.router,
            node.lookup_service.resolve,
            node.recorder,
            settings.max_body_bytes,
            settings.max_requests,
            node.clock,
            ports.new_id,
        )
        context = OperatorContext(
            publisher=node.publisher,
            distributor=node.distributor,
            catalog=node.catalog,
            teams=TeamDirectory(node.platform, node.clock.now),
            current_shares=node.steering.shares,
            on_published=node.documents.push,
        )
        self._app = Starlette(routes=[*self._callers.routes, *operator_routes(context)])
        return node

    def _after_guard(self) -> None:
        if self.pauses_after_guard:
            self.pauses_after_guard = False
            self.process.pause()
            self._simulation.log(self.name, "paused between the check of its loan and the send")

    def _new_id(self) -> str:
        self._id_count += 1
        return f"{self.name}-s{self.number}-{self._id_count}"
