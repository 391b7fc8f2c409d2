"""Life cycle of the daemon of one entry VM."""

import asyncio
import logging
from functools import partial

from starlette.applications import Starlette

from hibiscushaven.logs import configure_logging
from hibiscushaven.operators import OperatorContext, TeamDirectory, operator_routes
from hibiscushaven.peers import PeerHub
from hibiscushaven.process import (
    BudgetLimits,
    ConnectionBudget,
    ConnectionLimits,
    HttpServer,
    MachineLimits,
    map_large_blocks,
    on_stop,
)
from hibiscushaven.settings import Settings
from hibiscushaven.tablestore import HttpPlatform, Platform

from .callers import CallerInterface
from .node import EntryNode
from .ports import NodePorts
from .status import StatusInterface

__all__ = ["EntryDaemon", "run_entry"]

_LOG = logging.getLogger(__name__)
_DRAIN_POLL_S = 0.1
# Bounds the shutdown when slot tokens or claims cannot be settled, for example because the
# platform's table is unavailable.
_MAX_SETTLE_S = 30.0

# Limits of one connection of a caller. The interfaces check the lengths of bodies, and the idle
# time is at least that within which a body has to arrive.
_CONNECTION_LIMITS = ConnectionLimits(
    max_head_bytes=64 * 1024, head_timeout_s=10.0, idle_timeout_s=60.0
)


class EntryDaemon:
    """One entry VM with its HTTP interfaces.

    :param platform: platform API; ``None`` connects to the address in the settings.
    :param machine: memory and descriptors of the process.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform | None = None,
        machine: MachineLimits | None = None,
    ) -> None:
        self._settings = settings
        self._own_platform: HttpPlatform | None = None
        if platform is None:
            platform = self._own_platform = HttpPlatform(
                settings.platform_url, settings.platform_timeout_s
            )
        budget = ConnectionBudget(BudgetLimits.of(machine or MachineLimits.detect()))
        ports = NodePorts(platform, make_hub=partial(PeerHub, budget=budget))
        self._node = EntryNode(settings, ports)
        self._status = StatusInterface(self._node)
        self._callers = CallerInterface(
            self._node.catalog,
            self._node.router,
            self._node.lookup_service.resolve,
            self._node.recorder,
            settings.max_body_bytes,
            settings.max_requests,
            self._node.clock,
            self._node.ports.new_id,
        )
        self._server = HttpServer(
            self._build_app(),
            settings.host,
            settings.http_port,
            limits=lambda: _CONNECTION_LIMITS,
            budget=budget,
        )

    @property
    def node(self) -> EntryNode:
        return self._node

    async def start(self) -> None:
        """Start serving.

        :raises OSError: when an address cannot be used; what was opened until then is closed.
        """
        try:
            await self._node.start()
            await self._server.start()
        except OSError:
            await self.stop(is_forced=True)
            raise
        _LOG.info("entry VM started", extra={"incarnation": self._node.identity.incarnation})

    async def drain(self) -> None:
        """Announce that this VM leaves, and wait until its work is finished.

        Waits first until cached look-ups that contain this VM have expired, then until no
        requests are in progress, then until slot tokens and claims are settled.
        """
        self._status.set_leaving()
        self._node.begin_leaving()
        entries = self._node.catalog.entries
        lookup_ttl_s = max((entry.document.lookup_ttl_s for entry in entries), default=0.0)
        _LOG.info("entry VM draining", extra={"wait_s": lookup_ttl_s})
        await asyncio.sleep(lookup_ttl_s)
        while self._callers.in_progress or not self._node.is_idle:
            await asyncio.sleep(_DRAIN_POLL_S)
        await self._settle_roster_and_claims()

    async def stop(self, is_forced: bool = False) -> None:
        """Stop the HTTP server and close all connections.

        :param is_forced: whether to abort requests that are still in progress.
        """
        await self._server.stop(is_forced)
        await self._node.close()
        if self._own_platform is not None:
            await self._own_platform.close()

    async def _settle_roster_and_claims(self) -> None:
        limit = self._node.clock.now() + _MAX_SETTLE_S
        while self._node.clock.now() < limit and not await self._node.leave_roster():
            await asyncio.sleep(_DRAIN_POLL_S)
        try:
            async with asyncio.timeout(max(0.0, limit - self._node.clock.now())):
                await self._node.claims.drain()
        except TimeoutError:
            _LOG.warning("stopping with unsettled claims")

    def _build_app(self) -> Starlette:
        node = self._node
        context = OperatorContext(
            publisher=node.publisher,
            distributor=node.distributor,
            catalog=node.catalog,
            teams=TeamDirectory(node.platform, node.clock.now),
            current_shares=node.steering.shares,
            on_published=node.documents.push,
        )
        routes = [*self._callers.routes, *operator_routes(context), *self._status.routes]
        return Starlette(routes=routes)


async def run_entry(settings: Settings, machine: MachineLimits) -> None:
    """Run the daemon of one entry VM until SIGTERM or SIGINT; a second signal stops it at once.

    :param machine: memory and descriptors of the process.
    """
    map_large_blocks()
    configure_logging(settings.log.level, settings.log.format, settings.name)
    daemon = EntryDaemon(settings, machine=machine)
    signals = asyncio.Semaphore(0)
    on_stop(signals.release)
    await daemon.start()
    await signals.acquire()
    drain = asyncio.create_task(daemon.drain())
    second_signal = asyncio.create_task(signals.acquire())
    await asyncio.wait((drain, second_signal), return_when=asyncio.FIRST_COMPLETED)
    second_signal.cancel()
    is_drained = drain.done()
    drain.cancel()
    await daemon.stop(is_forced=not is_drained)
