"""Composition and periodic tasks of one entry VM."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator

from hibiscushaven.claims import ClaimManager, TableRateLimiter
from hibiscushaven.delivery import RelayClient, RelayServer
from hibiscushaven.documents import DocumentCatalog
from hibiscushaven.documents.distribution import DocumentDistributor
from hibiscushaven.documents.publishing import DocumentPublisher
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.lookups import EntryVm
from hibiscushaven.membership import MembershipNode, MemberState
from hibiscushaven.metrics import Metrics
from hibiscushaven.peers import Message, PeerConnection, PeerIdentity
from hibiscushaven.settings import Settings
from hibiscushaven.slots import RosterManager, SlotNode
from hibiscushaven.tablestore import PlatformError

from .control_sender import ControlSender
from .documents import MESSAGE_TYPES, DocumentExchange
from .gauges import refresh_gauges
from .link_budgets import LinkBudgets
from .lookup_service import LookupService
from .owners import ShardOwners
from .ports import NodePorts
from .probes import ServerProbes
from .recorder import RequestRecorder
from .router import RequestRouter
from .routes import RequestForwarder
from .steering import Steering
from .topology import Topology

__all__ = ["EntryNode"]

_LOG = logging.getLogger(__name__)

_TICK_INTERVAL_S = 0.1
# Flows, look-ups and reported revisions change with heartbeats (every 0.4 s) and digests (every
# 1 s). Their cost grows with services and failure domains: updated at each tick, they took over
# half of a daemon's processor time for control.
_REFRESH_INTERVAL_S = 0.25
_POLL_INTERVAL_S = 1.0
_PROBE_INTERVAL_S = 1.0
_GAUGES_INTERVAL_S = 1.0
_JITTER_SHARE = 0.2  # fraction of an interval, so that VMs do not call the platform in step
_DEFAULT_CONNECTIONS = 64


class EntryNode:
    """The components of one entry VM and the periodic tasks that update them.

    :param ports: external dependencies: platform, clock, randomness and connections.
    """

    def __init__(self, settings: Settings, ports: NodePorts) -> None:
        self.settings = settings
        self.ports = ports
        self.clock = ports.clock
        self.platform = ports.platform
        self.identity = PeerIdentity(
            settings.name,
            ports.new_id(),
            settings.failure_domain,
            settings.region,
            settings.host,
            settings.peer_port,
        )
        self._rng = ports.rng
        self.metrics = Metrics()
        self.recorder = RequestRecorder(self.metrics)
        self.hub = ports.make_hub(self.identity, self._receive)
        self.control_sender = ControlSender(self.hub)
        self.membership = MembershipNode(self.identity, rng=self._rng)
        self.slots = SlotNode(self.identity)
        self.roster = RosterManager(ports.platform, self.identity)
        self.topology = Topology(self.membership, self.clock)
        self._compose_documents()
        self._compose_requests()
        self._tasks: list[asyncio.Task[None]] = []
        self._refreshed_at = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether this VM has loaded the documents and can serve callers."""
        return self.documents.is_loaded

    @property
    def is_idle(self) -> bool:
        """Whether no requests of callers or of other VMs are in progress here."""
        return self.owners.is_idle and not self.relay_server.in_progress

    async def start(self) -> None:
        """Listen for peers and start the periodic tasks."""
        await self.hub.listen()
        self.membership.set_seeds(self.clock.now(), self.settings.seeds)
        periodic_tasks = (
            (_TICK_INTERVAL_S, 0.0, self._tick),
            (_POLL_INTERVAL_S, _JITTER_SHARE, self._read_vm_list),
            (_POLL_INTERVAL_S, _JITTER_SHARE, self.documents.poll),
            (_POLL_INTERVAL_S, _JITTER_SHARE, self._update_roster),
            (_PROBE_INTERVAL_S, _JITTER_SHARE, self.probes.probe_all),
            (_GAUGES_INTERVAL_S, 0.0, self._refresh_gauges),
        )
        self._tasks = [
            asyncio.create_task(self._run_periodically(*item)) for item in periodic_tasks
        ]

    async def close(self) -> None:
        """Stop the periodic tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.control_sender.close()
        self.relay_client.close()
        await self.relay_server.close()
        await self.owners.close()
        await self.claims.close()
        await self.client.close()
        await self.hub.close()

    def begin_leaving(self) -> None:
        """Announce that this VM leaves: it gets no new callers, and its shards new owners."""
        self.membership.set_attribute("leaving", [self.identity.vm])
        self.membership.set_leaving(self.clock.now())
        self.lookup_service.set_leaving()

    async def leave_roster(self) -> bool:
        """Give up the slot tokens of this VM and leave the roster; return whether it is done.

        Called when no requests are in progress here. Until then the new owners continue to
        borrow the tokens, so that a planned stop loses no capacity.
        """
        self.slots.stop_lending()
        return self.slots.is_drained and await self.roster.leave(self.clock.now())

    def _compose_documents(self) -> None:
        self.catalog = DocumentCatalog(lambda entry: self.documents.on_change(entry))
        distributor = DocumentDistributor(
            self.platform, self.catalog, self.identity.vm, self.clock.unix
        )
        self.distributor = distributor
        self.publisher = DocumentPublisher(self.platform, self.clock.unix)
        self.documents = DocumentExchange(
            self.catalog, distributor, self.membership, self.control_sender
        )

    def _compose_requests(self) -> None:
        settings = self.settings
        self.client = self.ports.make_client(self._connection_limit)
        self.owners = ShardOwners(
            settings.failure_domain,
            self.catalog,
            self.slots,
            self.client,
            lambda: self.membership.view,
            self._rng,
            self.clock,
        )
        self.probes = ServerProbes(self.owners, self.client)
        self.steering = Steering(
            self.catalog, self.membership, self.topology, self._rng, self.clock
        )
        self.link_budgets = LinkBudgets(
            settings.region, self.catalog, self.membership, self.topology, self.clock
        )
        self.relay_client = RelayClient(self.hub)
        self.forwarder = RequestForwarder(
            self.catalog,
            self.topology,
            self.owners,
            self.steering,
            self.relay_client,
            self._rng,
            self.clock,
            self.link_budgets,
        )
        self.relay_server = RelayServer(self.hub, self.forwarder.serve)
        self.claims = ClaimManager(
            self.platform,
            self.identity.incarnation,
            self.clock.now,
            TableRateLimiter(self.clock.now, asyncio.sleep),
            self.clock.unix,
        )
        self.router = RequestRouter(self.claims, self.forwarder, self.clock)
        own_vm = EntryVm(
            settings.name,
            settings.host,
            settings.http_port,
            settings.region,
            settings.failure_domain,
        )
        self.lookup_service = LookupService(
            self.catalog, self.membership, self.topology, self.steering, own_vm, self._rng
        )

    async def _run_periodically(
        self, interval_s: float, jitter: float, step: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await step()
            except PlatformError as error:
                self.metrics.counter("platform_failures_total").add()
                _LOG.warning("platform call failed", extra={"reason": str(error)})
            except Exception:
                # An error caused by one message or document must not stop the heartbeats.
                _LOG.exception("periodic step failed", extra={"step": step.__qualname__})
            await asyncio.sleep(interval_s * self._rng.uniform(1 - jitter, 1 + jitter))

    async def _tick(self) -> None:
        now = self.clock.now()
        self.control_sender.post_all(self.membership.tick(now))
        view = self.membership.view
        self.slots.set_documents(
            {entry.document.name: entry.document for entry in self.catalog.entries}
        )
        self.control_sender.post_all(self.slots.tick(now, view))
        self.owners.refresh()
        if now - self._refreshed_at >= _REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self.link_budgets.refresh()
            self.steering.refresh()
            self.lookup_service.refresh()
            self.documents.report_revisions()
        down = [vm for vm, member in view.members.items() if member.state is MemberState.DOWN]
        self.membership.set_attribute("down", sorted(down))
        self.membership.set_attribute("heard", sorted(self._live_incarnations()))
        self._exchange_quarantined(now)
        self.membership.set_attribute("usable", self.owners.usable_slots())

    async def _refresh_gauges(self) -> None:
        refresh_gauges(
            self.metrics, self.catalog, self.membership, self.owners, self.claims.open_claims
        )

    async def _read_vm_list(self) -> None:
        try:
            vms = await self.platform.list_vms()
        except PlatformError:
            self.membership.on_vm_list_failed(self.clock.now())
            raise
        self.membership.on_vm_list(self.clock.now(), vms)
        self.claims.set_live_vms(max(1, len(vms)))

    async def _update_roster(self) -> None:
        now = self.clock.now()
        view = self.membership.view
        if self.membership.is_leaving:
            return
        live_incarnations = {
            incarnation
            for vm in view.members
            for incarnation in (self.membership.peer_attribute(vm, "heard") or ())
        }
        roster = await self.roster.step(now, view, frozenset(live_incarnations))
        self.slots.set_roster(self.clock.now(), roster, self.roster.read_at)

    async def _receive(self, connection: PeerConnection, message: Message) -> None:
        if isinstance(message, MESSAGE_TYPES):
            self.documents.receive(connection.identity, message)
            return
        now = self.clock.now()
        self.control_sender.post_all(self.membership.on_message(now, connection.identity, message))
        self.control_sender.post_all(self.slots.on_message(now, connection.identity, message))

    def _live_incarnations(self) -> Iterator[str]:
        for vm, member in self.membership.view.members.items():
            if vm != self.identity.vm and member.state is not MemberState.DOWN:
                yield member.incarnation or ""

    def _exchange_quarantined(self, now: float) -> None:
        """Publish the quarantined fingerprints and merge those of all failure domains."""
        own = {
            shard.service: {
                key: round(remaining_s) for key, remaining_s in runner.quarantined(now).items()
            }
            for shard, runner in self.owners.runners.items()
        }
        self.membership.set_attribute(
            "crashes", {name: value for name, value in own.items() if value}
        )
        domains = (self.settings.failure_domain, *self.membership.domains)
        for domain in domains:
            quarantined = self.membership.domain_attribute(domain, "crashes") or {}
            for shard, runner in self.owners.runners.items():
                runner.merge_quarantined(now, quarantined.get(shard.service, {}))

    def _connection_limit(self, address: Endpoint) -> int:
        for entry in self.catalog.entries:
            for server in entry.document.servers:
                if server.address == address:
                    return server.connections
        return _DEFAULT_CONNECTIONS
