"""Entry VMs of a session: each start is a process of its own."""

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
from .callers import Reply, exchange
from .network import MemoryHub, RemotePlatform
from .processes import Process

__all__ = ["UNIX_START", "SessionClock", "Vm"]

UNIX_START = 1_700_000_000.0
_CHECK_S = 0.1
_SETTLE_LIMIT_S = 30.0


class SessionClock:
    """The event loop's virtual time as a daemon's clock."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def unix(self) -> float:
        return UNIX_START + self.now()


class Vm:
    """One start of an entry VM.

    :param number: number of the start, part of all its ids.
    """

    def __init__(self, world, settings: Settings, number: int) -> None:
        self._world = world
        self.settings = settings
        self.name = settings.name
        self.domain = settings.failure_domain
        self.number = number
        self.process = Process(self.name)
        self.pauses_after_guard = False
        self.is_leaving = self.is_stopped = False
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._ids = 0
        self.node: EntryNode = self.process.context().run(self._compose)

    @property
    def is_serving(self) -> bool:
        return not (self.process.is_dead or self.is_stopped)

    @property
    def entry(self) -> VmRecord:
        """This VM in the platform's list."""
        own = self.settings
        state = VmState.LEAVING if self.is_leaving else VmState.LIVE
        return VmRecord(
            own.name, own.failure_domain, own.region, own.host, own.peer_port, state, own.http_port
        )

    def run(self, work) -> asyncio.Task:
        """Run something in the VM's process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self.process.context())

    async def start(self) -> None:
        await self.run(self.node.start())

    async def request(self, method, target, headers, body=b"", timeout_s=30.0) -> Reply | None:
        """Return the answer to a request, ``None`` if the connection ended without one."""
        task = self.run(exchange(self._app, method, target, headers, body))
        await asyncio.wait(
            (task, self.ended), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        return task.result() if task.done() else None

    def kill(self) -> None:
        self.process.kill()
        self._world.network.forget_process(self.process)
        self._end()

    async def stop(self) -> None:
        """Stop as the daemon does at SIGTERM."""
        self.is_leaving = True
        await self.run(self._drain())
        self.is_stopped = True
        self._end()

    async def _drain(self) -> None:
        node = self.node
        node.begin_leaving()
        entries = node.catalog.entries
        await asyncio.sleep(max((item.document.lookup_ttl_s for item in entries), default=0.0))
        while self._callers.in_progress or not node.is_idle:
            await asyncio.sleep(_CHECK_S)
        limit = node.clock.now() + _SETTLE_LIMIT_S
        while node.clock.now() < limit and not await node.leave_roster():
            await asyncio.sleep(_CHECK_S)
        async with asyncio.timeout(max(0.0, limit - node.clock.now())):
            await node.claims.drain()
        await node.close()

    def _end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def _compose(self) -> EntryNode:
        world, own = self._world, self.settings
        identity = PeerIdentity(
            own.name, "", own.failure_domain, own.region, own.host, own.peer_port
        )
        ports = NodePorts(
            RemotePlatform(world.platform, world.network, identity),
            SessionClock(),
            random.Random(f"{world.seed}/{self.name}/{self.number}"),
            self._new_id,
            lambda *args: MemoryHub(world.network, self.process, *args),
            lambda limit: MemoryClient(world.fleet, self._after_guard),
        )
        node = EntryNode(own, ports)
        self._callers = CallerInterface(
            node.catalog,
            node.router,
            node.lookup_service.resolve,
            node.recorder,
            own.max_body_bytes,
            own.max_requests,
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
            self._world.log(self.name, "paused between the check of its loan and the send")

    def _new_id(self) -> str:
        self._ids += 1
        return f"{self.name}-s{self.number}-{self._ids}"
