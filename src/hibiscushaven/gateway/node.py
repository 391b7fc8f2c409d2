"""State of one VM, kept up to date by the platform's store and by the other VMs."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from hibiscushaven.discovery import (
    EXPIRY_GRACE_S,
    KnownServer,
    Registry,
    RegistryUpdate,
    server_id_of,
)
from hibiscushaven.eras import era_of, number_of
from hibiscushaven.fleet import (
    CrashReport,
    DomainBroadcast,
    FleetTransport,
    FleetView,
    ForwarderReport,
    LeavingReport,
    LinkReport,
    Message,
    RateLimitReport,
    RegionDigest,
    SyncResponse,
    VmCensus,
    VmState,
    digest_interval_s,
    token_of,
)
from hibiscushaven.fleet.messages import draw_incarnation, encode, orders_by_era
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.metrics import Metrics
from hibiscushaven.placement import Picker, PickerOptions, ServerLoads
from hibiscushaven.process import Clock, ConnectionBudget, PauseDetector, keep_running, spawn
from hibiscushaven.quarantine import CrashLedger
from hibiscushaven.routing import OperatorState, ServiceOptions

from .arrivals import ArrivalRates
from .crash_exchange import CrashExchange
from .domain_broadcasts import DomainBroadcasts
from .gossip import Gossip
from .isolation_exchange import IsolationExchange
from .kept_evacuations import KeptEvacuations
from .leaving_exchange import LeavingExchange
from .link_monitor import LinkMonitor
from .lost_servers import LostServers
from .options import GatewayOptions
from .ports import PlatformStore, ServerListing, StoreError, VmAddress
from .puller import PeerPuller
from .rate_limit_exchange import RateLimitExchange
from .read_proofs import UNKNOWN_AGE_S, ReadProofs
from .reader import StoreReader
from .relay_peers import choose_relay_peers
from .remote_versions import OPERATOR_READ_TIMEOUT_S, REGION_READ_TIMEOUT_S, RemoteVersions
from .server_exclusions import ServerExclusions
from .state_change_logger import StateChangeLogger
from .sync_reporter import SyncReporter

__all__ = ["GatewayNode"]

_LOG = logging.getLogger(__name__)

# Delay between a change of the requests in progress and the state that reports it to the VMs of
# the region, so that several changes share a datagram. A short request takes about four times
# as long.
STATE_SEND_DELAY_S = 0.02

# Without an aggregator the delay grows with the number of VMs of the region, which limits a VM
# to 400 datagrams per second.
STATE_SEND_DELAY_PER_VM_S = 0.0025

# Usual interval between states sent to the VMs of the region; the longest one is 1.5 times as
# long.
STATE_INTERVAL_S = 0.2

# Interval between states sent to the VMs of all regions. VMs of other regions use them only to
# determine whether this VM is up.
REMOTE_STATE_INTERVAL_S = 1.0

# Interval between states sent to all VMs while the digests of a large region's aggregator
# report that this VM is up. These states are for VMs that missed a message.
AGGREGATED_STATE_INTERVAL_S = 10.0

# Interval between digests sent to the other regions.
DIGEST_INTERVAL_S = 0.2

# Mean interval between attempts to register in the store and list the other VMs.
REGISTER_RETRY_S = 1.0

# Time over which the VMs spread their registrations after the store was restored from a copy, which
# may lack them, so that they do not load it all at once.
REGISTER_SPREAD_S = 1.0

# Time that a starting VM waits for its registration before it starts to read the store; enough
# for two calls of a slow store.
REGISTER_WAIT_S = 0.5

# Time that a starting VM then waits for replies of its region's VMs, whose round-trip time is
# some milliseconds.
PEER_REPLY_WAIT_S = 0.1

# Time for which a peer's newer version counts after its latest message, which is several intervals
# between messages. The peer may have failed since, and no other VM may have the version.
NEWER_VERSION_LIFETIME_S = 1.0

# Fraction per second of the cap on shifting requests between regions. The cap applies to two
# consecutive windows of 2 s, of which the shift uses two thirds; the rest is a margin for random
# variation.
SHIFT_FRACTION_PER_S = 1 / 3

# Time after its start within which a read of the store shows the record of a backend server: two
# intervals between its writes.
RECORD_DELAY_S = 3.0

# Time for which the loss of a backend server is reported to the other VMs, which is also the
# longest time for which this VM avoids the server after the loss.
LOST_SERVER_REPORT_S = 2.0


class GatewayNode:
    """State of one VM: operator state, backend servers, other VMs and loads.

    :param on_operator: called with each newer operator state.
    :param drain_arrival_counts: returns the requests of each service since its last call.
    :param on_address_removed: called with each address that no known backend server uses any more.
    :param metrics: registry for the metrics of the node; by default they are not exposed.
    :param on_links_change: called with whether this VM is isolated from all backend servers, when
        that changes.
    :param budget: budget that connections of other VMs share with those of callers.
    """

    def __init__(
        self,
        options: GatewayOptions,
        store: PlatformStore,
        clock: Clock,
        on_operator: Callable[[OperatorState], None],
        drain_arrival_counts: Callable[[], dict[str, int]],
        on_address_removed: Callable[[Endpoint], None] = lambda address: None,
        metrics: Metrics | None = None,
        on_links_change: Callable[[bool], None] = lambda is_isolated: None,
        budget: ConnectionBudget | None = None,
    ) -> None:
        self._on_links_change = on_links_change
        self._options = options
        self._store = store
        self._clock = clock
        self._on_operator = on_operator
        self._arrivals = ArrivalRates(drain_arrival_counts)
        self._on_address_removed = on_address_removed
        self._server_addresses: frozenset[Endpoint] = frozenset()
        self.registry = Registry(options.renewal_interval_s)
        self.loads = ServerLoads()
        self.view = FleetView(
            options.name, options.region, options.failure_domain, options.capacity
        )
        self._lost_servers = LostServers(self.view.uptime.has_responded_between)
        self.picker = Picker(
            _picker_options(options),
            self.registry,
            self.view,
            self.loads,
            self._lost_servers.is_suspected,
        )
        metrics = metrics or Metrics()
        self._transport = FleetTransport(
            clock.now, self._on_message, self._make_sync_response, budget
        )
        self._reporter = SyncReporter(metrics)
        self._pauses = PauseDetector(clock.now, DIGEST_INTERVAL_S, self.view.resume)
        self._reader = StoreReader(
            store,
            clock,
            self._reader_rank,
            lambda: self._operator,
            self._on_listing,
            self._on_operator_read,
            self._send_state_to_region,
            self._reporter,
            self._observing_since,
        )
        self._puller = PeerPuller(
            self._pull, clock, self._reporter, self._on_sync_response, self._on_pull_delay
        )
        self.crashes = CrashLedger(self._process_ran_at)
        self.crash_exchange = CrashExchange(self.crashes, self.view, clock, self._send_datagram)
        self.rate_limit_exchange = RateLimitExchange(
            self.picker.rate_limits, self.view, clock, self._send_datagram
        )
        self._exclusions = ServerExclusions(
            self.picker.notices, self.registry, metrics, options.renewal_interval_s
        )
        self.leaving_exchange = LeavingExchange(
            self.picker.notices, self._exclusions, self.view, clock, self._send_datagram
        )
        self.isolation_exchange = IsolationExchange(self.view, clock, self._send_datagram)
        self._incarnation = draw_incarnation()
        self._broadcasts = DomainBroadcasts(
            self.view, self._incarnation, clock, self._on_message, self._send_datagram
        )
        # Messages that concern one exchange alone.
        self._handlers: dict[type[Message], Callable[[Any], None]] = {
            CrashReport: self.crash_exchange.on_report,
            RateLimitReport: self.rate_limit_exchange.on_report,
            LeavingReport: self.leaving_exchange.on_report,
            LinkReport: self.isolation_exchange.on_report,
            ForwarderReport: self._broadcasts.on_report,
            DomainBroadcast: self._broadcasts.on_broadcast,
        }
        self.links = LinkMonitor(
            self.registry,
            self.view.uptime,
            clock,
            metrics,
            self.picker.overdue_requests,
            self._on_isolation_change,
        )
        self._census = VmCensus(options.name)
        # As listed by the store, and with the evacuations that are kept beside.
        self._operator = OperatorState()
        self._operator_in_force = OperatorState()
        self._kept_evacuations = KeptEvacuations()
        # Era of the store in which this VM has registered; ``None`` before it has.
        self._registered_era: int | None = None
        self._registering: asyncio.Task[None] | None = None
        self._sequence = 0
        self._digest_sequence = 0
        self._digest_bytes = 0
        self._change_logger = StateChangeLogger()
        self._aggregating = asyncio.Event()
        self._is_leaving = False
        self._is_send_scheduled = False
        self._sent_to_all_at = -1e6
        self._state_sent_at = -1e6
        self._has_diverged = False
        self._remote_versions = RemoteVersions()
        self._operator_proofs = ReadProofs()
        self._servers_proofs = ReadProofs()
        self._newest_operator_version = 0
        self._newer_operator_seen_at = float("-inf")
        self._lacks_configuration = False
        self._newest_servers_version = 0
        self._newest_servers_read_at = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def operator(self) -> OperatorState:
        """Operator state in force."""
        return self._operator_in_force

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this VM."""
        has_data = self._operator.configuration is not None and bool(self.registry.servers)
        return has_data and not self._is_leaving

    @property
    def is_leaving(self) -> bool:
        """Whether this VM has started to shut down."""
        return self._is_leaving

    @property
    def servers_age_s(self) -> float:
        """Time since a read by any VM returned the backend servers known here, in seconds."""
        return self._clock.now() - self._reader.servers_confirmed_at

    def is_configuration_old(self) -> bool:
        """Return whether a peer of the region has a newer operator state than this VM."""
        return self._clock.now() - self._newer_operator_seen_at <= NEWER_VERSION_LIFETIME_S

    def vm_count(self) -> float:
        """Return the number of VMs that share a limit, up or silent, this one included."""
        return self._census.count(self._clock.now())

    def relay_peers(self, home_regions: frozenset[str]) -> list[Endpoint]:
        """Return where a request can be relayed, as ``choose_relay_peers`` does."""
        return choose_relay_peers(self._clock.now(), self.view, home_regions)

    async def start(self) -> None:
        """Start the exchange of states and the reads of the store.

        :raises OSError: when listening on the address for peers fails.
        """
        await self._transport.start(self._options.peers_at)
        self._tasks = [
            spawn("start of the reads", self._start_reading()),
            spawn("steps", keep_running("steps", self._step_periodically)),
            spawn("digests", keep_running("digests", self._send_local_digests)),
        ]

    def apply_options(self, options: GatewayOptions) -> None:
        """Apply changed options that need no restart."""
        self._options = options
        self.picker.set_options(_picker_options(options))

    def leave(self) -> None:
        """Announce to all VMs at once that this VM accepts no new callers."""
        self._is_leaving = True
        self.view.is_leaving = True
        if self._registering is not None:
            self._registering.cancel()
        self._send_state_to_all(is_urgent=True)

    async def close(self) -> None:
        """Stop all tasks and close the sockets."""
        tasks = [*self._tasks, *([self._registering] if self._registering is not None else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.links.close()
        await self._puller.close()
        await self._reader.close()
        self._transport.close()

    async def deregister(self) -> None:
        """Remove this VM's address from the store; repeated until the store confirms it."""
        while True:
            try:
                await self._store.deregister(self._options.name)
                return
            except StoreError as error:
                _LOG.warning(
                    "cannot remove the address of this VM from the store, will retry",
                    extra={"why": str(error)},
                )
            await asyncio.sleep(REGISTER_RETRY_S * random.uniform(0.5, 1.5))

    def on_load_change(self) -> None:
        """Schedule a state that reports the changed requests in progress to the region."""
        if self._is_send_scheduled:
            return
        self._is_send_scheduled = True
        delay_s = STATE_SEND_DELAY_S
        if not self.view.has_aggregator(self._clock.now()):
            delay_s = max(delay_s, STATE_SEND_DELAY_PER_VM_S * self.view.local_peer_count)
        asyncio.get_running_loop().call_later(delay_s, self._send_state)

    async def _start_reading(self) -> None:
        """Register this VM, and start to read the store after the peers had time to reply."""
        announcement = spawn("registration", keep_running("registration", self._announce))
        try:
            await asyncio.wait((announcement,), timeout=REGISTER_WAIT_S)
            await asyncio.sleep(PEER_REPLY_WAIT_S)
            self._reader.start()
            await announcement
        finally:
            announcement.cancel()

    async def _announce(self) -> None:
        """Register in the store and send this VM's state to all others, which reply with theirs."""
        state = encode(self._state())
        for seed in self._options.seeds:
            self._transport.send(state, seed)
        self._send_state_to_addresses(await self._register())

    async def _register(self) -> tuple[VmAddress, ...]:
        """Register in the store and return the addresses of the other VMs."""
        own = VmAddress(self._options.name, str(self._options.peers_at))
        while True:
            try:
                era = await self._store.register(own)
                listed = await self._store.list_vms()
                break
            except StoreError as error:
                _LOG.warning("cannot register in the store, will retry", extra={"why": str(error)})
                await asyncio.sleep(REGISTER_RETRY_S * random.uniform(0.5, 1.5))
        self._registered_era = era
        self._census.record(self._clock.now(), (own.name, *(vm.name for vm in listed)))
        others = tuple(vm for vm in listed if vm.name != own.name)
        _LOG.info("registered in the store", extra={"others": len(others), "era": era})
        return others

    async def _register_again(self) -> None:
        """Register in a restored store, and meet the VMs that have started meanwhile."""
        await asyncio.sleep(random.uniform(0.0, REGISTER_SPREAD_S))
        others = await self._register()
        known = {peer.name for peer in self.view.known_peers()}
        self._send_state_to_addresses(vm for vm in others if vm.name not in known)

    def _check_registration(self) -> None:
        """Register again once the store has been restored since this VM registered."""
        era = self._known_era()
        if self._registered_era is None or era <= self._registered_era or self._is_leaving:
            return
        if self._registering is None or self._registering.done():
            registration = keep_running("registration", self._register_again)
            self._registering = spawn("registration", registration)

    def _known_era(self) -> int:
        """Return the latest era of the store that this VM has data of; 0 if it names none."""
        return max(era_of(self._operator.version), era_of(self.registry.version))

    def _send_state_to_addresses(self, vms: Iterable[VmAddress]) -> None:
        state = encode(self._state())
        for vm in vms:
            self._transport.send(state, vm.peers_at)

    def _on_message(self, message: Message) -> None:
        self._pauses.check()
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
            return
        now = self._clock.now()
        if self._known_era() and not orders_by_era(message.incarnation):
            message = _without_reads(message)
        if isinstance(message, RegionDigest):
            self._on_digest(now, message)
            return
        if message.name == self._options.name:
            return
        self._census.record(now, (message.name,))
        if self.view.on_state(now, message):
            _LOG.info("VM is up", extra={"peer": message.name, "region": message.region})
            self._transport.send(encode(self._state()), message.peers_at)
            self._broadcasts.on_vm_up(message)
            for gossip in self._gossips():
                gossip.on_vm_up(message.name, message.peers_at)
        self._lost_servers.report(now, message.lost_server_ages_s)
        if message.region == self._options.region:
            self._compare_versions(now, message.name, message)
        else:
            self._compare_remote_versions(now, message.name, message)

    def _on_digest(self, now: float, digest: RegionDigest) -> None:
        is_accepted = self.view.on_digest(now, digest)
        is_local = digest.region == self._options.region
        if is_local:
            self._reporter.digest_received(is_accepted)
            # A VM that was cut off accepts digests only once their sender has heard of it.
            self._compare_versions(now, digest.sender, digest)
        else:
            self._compare_remote_versions(now, digest.sender, digest)
        if not is_accepted:
            return
        if is_local:
            self._lost_servers.report(now, digest.lost_server_ages_s)
        elif self.view.is_aggregating(now):
            self._broadcasts.send(encode(digest), self.view.known_local_peers())

    def _compare_versions(self, now: float, name: str, state: VmState | RegionDigest) -> None:
        """Use a peer's versions to confirm the data held here, or fetch newer data from it."""
        if isinstance(state, VmState):
            self._operator_proofs.add_reported(state.operator_version, now - state.operator_age_s)
            self._servers_proofs.add_reported(state.servers_version, now - state.servers_age_s)
        if state.operator_version == self._operator.version:
            self._reader.confirm_operator(now - state.operator_age_s)
        if state.servers_version == self.registry.version:
            self._confirm_servers(now, now - state.servers_age_s)
        if self._note_newer_versions(now, state):
            self._puller.start(name, state.peers_at)

    def _compare_remote_versions(
        self, now: float, name: str, state: VmState | RegionDigest
    ) -> None:
        """Fetch newer data from a VM of another region while no VM of the own one reads the store.

        Equal versions confirm nothing: each message makes a read appear later by its delay, so
        that regions that read nothing would keep confirming each other's data.
        """
        if not (self._is_region_unread() or self._has_later_configuration(state)):
            return
        address = state.peers_at or self.view.peers_at_of(name)
        if not (self._note_newer_versions(now, state) and address):
            return
        held = self._operator.version, self.registry.version
        if self._remote_versions.is_pull_due(now, held, self._reader_rank(self._reader.can_read)):
            self._puller.start(name, address)

    def _is_region_unread(self) -> bool:
        """Return whether no VM of the region seems to read one of the tables."""
        observing_since = self._pauses.resumed_at
        return (
            self._reader.servers_unread_s(observing_since) > REGION_READ_TIMEOUT_S
            or self._reader.operator_unread_s(observing_since) > OPERATOR_READ_TIMEOUT_S
        )

    def _note_newer_versions(self, now: float, state: VmState | RegionDigest) -> bool:
        """Record the versions of another VM; return whether any is newer than those held here."""
        self._newest_operator_version = max(self._newest_operator_version, state.operator_version)
        newest = self._newest_servers_version, self._newest_servers_read_at
        self._newest_servers_version, self._newest_servers_read_at = max(
            newest, (state.servers_version, now - state.servers_age_s)
        )
        is_operator_newer = state.operator_version > self._operator.version
        if self._has_later_configuration(state):
            self._lacks_configuration = is_operator_newer = True
        if is_operator_newer:
            self._newer_operator_seen_at = now
        return is_operator_newer or state.servers_version > self.registry.version

    def _has_later_configuration(self, state: VmState | RegionDigest) -> bool:
        """Return whether a VM has kept a later configuration than that of a restored store."""
        return (
            state.operator_version == self._operator.version
            and state.configuration_version > self._operator.configuration_version
        )

    def _observing_since(self) -> float:
        """Return since when this VM would have heard of reads by the others of its region."""
        return max(self._pauses.resumed_at, self.view.contact_since(self._clock.now()))

    def _confirm_servers(self, now: float, read_at: float) -> None:
        """Record a read by any VM that returned the backend servers known here."""
        if read_at > self._reader.servers_confirmed_at:
            self.registry.on_confirmation(now, self._reader.servers_gap_s(read_at))
            self._reader.confirm_servers(read_at)

    async def _pull(self, address: str, timeout_s: float) -> SyncResponse:
        """Fetch the data from a peer that is newer than that of this VM."""
        return await self._transport.pull(
            address,
            self._operator.version - self._lacks_configuration,
            0 if self._has_diverged else self.registry.version,
            timeout_s,
        )

    def _on_sync_response(self, response: SyncResponse, source: str) -> None:
        if response.leaving is not None:
            self.leaving_exchange.on_report(response.leaving)
        if response.operator is not None:
            self._adopt_operator(response.operator, source)
        if response.servers is not None:
            self._adopt_servers(response.servers, source)

    def _on_pull_delay(self, peer: str) -> None:
        """Request reads of what this VM still lacks although a peer has it."""
        is_operator_old = self._newest_operator_version > self._operator.version
        are_servers_old = self._newest_servers_version > self.registry.version
        if not (is_operator_old or are_servers_old):
            return
        _LOG.info(
            "changes are late, will read the store",
            extra={
                "peer": peer,
                "operator_version": number_of(self._operator.version),
                "newest_operator_version": number_of(self._newest_operator_version),
                "servers_version": number_of(self.registry.version),
                "newest_servers_version": number_of(self._newest_servers_version),
                "era": era_of(max(self._newest_operator_version, self._newest_servers_version)),
                "rank": self._reader_rank(self._reader.can_read),
            },
        )
        if is_operator_old:
            self._reader.request_operator_read()
        if are_servers_old:
            self._reader.request_servers_read()

    def _adopt_servers(self, update: RegistryUpdate, source: str) -> None:
        """Apply a peer's update of the backend servers if it is newer and consistent."""
        now = self._clock.now()
        self._check_servers_era(now, update.version, source)
        if update.version > self.registry.version:
            self.registry.on_confirmation(now, self._reader.servers_gap_s(now))
        if self.registry.apply_update(self.registry.accepted_part(now, update)):
            self._has_diverged = False
            if update.version >= self._newest_servers_version:
                # The read that confirmed the announced version came before that of a later one.
                self._reader.confirm_servers(self._newest_servers_read_at)
            self._on_registry_change(source)
        elif (
            update.version > self.registry.version and update.base_version == self.registry.version
        ):
            # Two VMs can reach the same version with different records. The changes then lead to
            # another checksum, and the next pull requests the complete list.
            _LOG.warning(
                "checksum mismatch after server changes, will fetch all servers",
                extra={"peer": source, "version": number_of(update.version)},
            )
            self._has_diverged = True

    def _make_sync_response(self, operator_version: int, servers_version: int) -> SyncResponse:
        """Return the data that a peer with these versions lacks."""
        has_operator = self._operator.version > operator_version
        has_servers = self.registry.version > servers_version
        return SyncResponse(
            self._operator if has_operator else None,
            self.registry.update_since(servers_version) if has_servers else None,
            self.leaving_exchange.report() if has_servers else None,
        )

    def _process_ran_at(self, process_id: str, at: float) -> bool:
        """Return whether one start of a backend server provably ran at a time.

        Explanation
        ===========

        Either it responded before and after so closely that it cannot have restarted, or it
        responded since, and a read of the store long after that response still shows this start.

        :param process_id: as in ``ServerRecord``.
        """
        server_id = server_id_of(process_id)
        token, uptime = token_of(server_id), self.view.uptime
        if uptime.ran_at(token, at):
            return True
        server = self.registry.servers.get(server_id)
        if server is None or server.record.process_id != process_id:
            return False
        recorded_until = self._reader.servers_confirmed_at - RECORD_DELAY_S
        return uptime.has_responded_between(token, at, recorded_until)

    def _presume_lost_servers_cold(self, now: float) -> None:
        """Treat servers that are lost as cold for a while after their return."""
        self._lost_servers.report(now, self._own_lost_server_ages_s(now))
        lost_at = dict(self._lost_servers.pop_confirmed(now))
        if not lost_at:
            return
        for server_id, server in list(self.registry.servers.items()):
            at = lost_at.get(token_of(server_id))
            if at is not None:
                self._presume_cold(at, server_id, server)

    def _presume_cold(self, lost_at: float, server_id: str, server: KnownServer) -> None:
        """Treat a server as cold until it has had time to return and warm up after its loss."""
        options = self._services().get(server.record.service)
        if options is not None:
            until = lost_at + LOST_SERVER_REPORT_S + options.warmup_s
            self.registry.mark_server_cold(server_id, until)

    def _state(self) -> VmState:
        """Return the state to send next; recorded for the subtraction from later digests."""
        now = self._clock.now()
        self._sequence += 1
        in_progress = self._own_in_progress()
        has_arrivals = self._arrivals.try_mark_sent(now)
        self.view.aggregate.record_sent_state(self._sequence, in_progress)
        return VmState(
            name=self._options.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=self._options.region,
            failure_domain=self._options.failure_domain,
            callers_at=str(self._options.callers_at),
            peers_at=str(self._options.peers_at),
            is_ready=self.is_ready,
            is_leaving=self._is_leaving,
            capacity=self._options.capacity,
            has_aggregator=self.view.has_aggregator(now) or self.view.is_aggregating(now),
            can_read=self._reader.can_read,
            **self._version_fields(now, is_digest=False),
            in_progress=in_progress,
            lost_server_ages_s=self._own_lost_server_ages_s(now),
            arrivals=self._arrivals.by_token() if has_arrivals else {},
            has_arrivals=has_arrivals,
            slowness=self._own_slowness_reports(now),
        )

    def _version_fields(self, now: float, is_digest: bool) -> dict[str, Any]:
        """Return the message fields for the versions that this VM holds and their age."""
        operator_version, servers_version = self._operator.version, self.registry.version
        operator, servers = self._operator_proofs, self._servers_proofs
        operator_age_s, servers_age_s = (
            (operator.age_s, servers.age_s)
            if is_digest
            else (operator.own_age_s, servers.own_age_s)
        )
        return {
            "operator_version": operator_version,
            "operator_age_s": operator_age_s(now, operator_version),
            "configuration_version": self._operator.configuration_version,
            "servers_version": servers_version,
            "servers_age_s": servers_age_s(now, servers_version),
        }

    def _on_isolation_change(self, is_isolated: bool) -> None:
        self.isolation_exchange.state_own(is_isolated)
        self._on_links_change(is_isolated)
        self._send_state()

    def _own_lost_server_ages_s(self, now: float) -> dict[int, float]:
        if self.links.is_isolated:
            return {}
        return {
            token_of(server_id): age_s
            for server_id, age_s in self.loads.lost_server_ages_s(now, LOST_SERVER_REPORT_S).items()
        }

    def _own_slowness_reports(self, now: float) -> dict[int, tuple[float, float]]:
        """Return the slowness of servers in percent, with its age in seconds, by token."""
        return {
            token_of(server_id): (round(100 * slowness), round(age_s, 3))
            for server_id, (slowness, age_s) in self.loads.slowness_reports(now).items()
        }

    def _own_in_progress(self) -> dict[int, int]:
        """Return the requests in progress by token of their server.

        Those of an isolated VM have broken connections, and may occupy no server any more.
        """
        if self.links.is_isolated:
            return {}
        return {token_of(server_id): count for server_id, count in self.loads.in_progress().items()}

    def _send_state(self) -> None:
        """Send this VM's state to the VMs of the region that need it."""
        self._is_send_scheduled = False
        now = self._clock.now()
        recipients = self.view.state_recipients(now)
        self._state_sent_at = now
        if not recipients:
            return
        self._broadcasts.send(encode(self._state()), recipients)

    def _send_state_to_all(self, is_urgent: bool = False) -> None:
        """Send this VM's state to the VMs of all regions.

        :param is_urgent: whether each VM must receive it at once, also if the VM fails that would
            forward it.
        """
        self._is_send_scheduled = False
        self._state_sent_at = self._sent_to_all_at = self._clock.now()
        local, remote = self.view.known_local_peers(), self.view.known_remote_peers()
        if not (local or remote):
            return
        datagram = encode(self._state())
        self._send(datagram, local)
        if is_urgent:
            self._send(datagram, remote)
        else:
            self._broadcasts.send(datagram, remote)

    def _gossips(self) -> tuple[Gossip, ...]:
        return (
            self.crash_exchange.gossip,
            self.rate_limit_exchange.gossip,
            self.leaving_exchange.gossip,
            self.isolation_exchange.gossip,
        )

    def _send_datagram(self, datagram: bytes, address: str) -> None:
        self._transport.send(datagram, address)

    def _send(self, datagram: bytes, recipients: Iterable[VmState]) -> None:
        for recipient in recipients:
            self._transport.send(datagram, recipient.peers_at)

    def _send_state_to_region(self) -> None:
        """Send this VM's state to all VMs of the region, also while there is an aggregator."""
        self._send_to_local_peers(encode(self._state()))

    def _send_to_local_peers(self, datagram: bytes) -> None:
        self._send(datagram, self.view.known_local_peers())

    def _digest(self, now: float) -> RegionDigest:
        """Return the digest of this VM's region, with the fields that other regions need."""
        self._digest_sequence += 1
        return RegionDigest(
            self._options.region,
            self._options.name,
            self._incarnation,
            self._digest_sequence,
            self.view.local_in_progress(now, self._own_in_progress()),
            self.view.local_arrivals(now, self._arrivals.by_token()),
        )

    def _local_digest(self, now: float) -> RegionDigest:
        """Return the digest for the VMs of a large region, which send their states only here."""
        lost_ages_s, own_lost_ages_s = (
            self.view.lost_server_ages_s(now, LOST_SERVER_REPORT_S),
            self._own_lost_server_ages_s(now),
        )
        return replace(
            self._digest(now),
            sequences=self.view.sequences(now),
            interval_s=self._digest_interval_s(),
            peers_at=str(self._options.peers_at),
            **self._version_fields(now, is_digest=True),
            lost_server_ages_s={**lost_ages_s, **own_lost_ages_s},
            slowness={**self.view.slowness_reports(now), **self._own_slowness_reports(now)},
        )

    def _send_remote_digest(self, now: float) -> None:
        recipients = self.view.remote_digest_recipients(now)
        if not recipients:
            return
        digest = self._digest(now)
        if self.view.is_aggregating(now):
            # The VMs of a small region send their versions to all regions themselves.
            digest = replace(
                digest,
                sequences=self.view.sequences(now),
                **self._version_fields(now, is_digest=True),
            )
        self._broadcasts.send(encode(digest), recipients)

    async def _send_local_digests(self) -> None:
        """Send digests to the VMs of a large region while this VM is its aggregator."""
        while True:
            await self._aggregating.wait()
            self._send_local_digest(self._clock.now())
            await asyncio.sleep(self._digest_interval_s())

    def _send_local_digest(self, now: float) -> None:
        if self.view.is_aggregating(now):
            datagram = encode(self._local_digest(now))
            self._digest_bytes = len(datagram)
            self._broadcasts.send(datagram, self.view.known_local_peers())

    def _digest_interval_s(self) -> float:
        vms, link_mbps = self.view.local_peer_count, self._options.link_mbps
        return digest_interval_s(vms, self._digest_bytes, link_mbps)

    async def _step_periodically(self) -> None:
        while True:
            self._pauses.step()
            started = self._clock.now()
            await asyncio.sleep(DIGEST_INTERVAL_S)
            now = self._clock.now()
            lag_s = now - started - DIGEST_INTERVAL_S
            self._reporter.loop_woke(lag_s)
            self.links.step(lag_s)
            self._step(now)

    def _step(self, now: float) -> None:
        """Expire old data, update rates and region shares, and send due states and digests."""
        for name in self.view.expire(now):
            _LOG.info("VM went silent", extra={"peer": name})
        if self.registry.expire(now):
            self._on_registry_change("expiry")
        if self._kept_evacuations.expire(now):
            self._put_operator_in_force("expiry")
        self._check_registration()
        self.crash_exchange.gossip.step()
        self.rate_limit_exchange.gossip.step()
        self.leaving_exchange.step()
        self._exclusions.step(now)
        self.isolation_exchange.step()
        self._broadcasts.step()
        self.crashes.discard_disproved()
        self._presume_lost_servers_cold(now)
        self._arrivals.update(now)
        self.picker.update_region_shares(now, self._arrivals.by_token())
        is_aggregating = self.view.is_aggregating(now)
        if is_aggregating:
            self._aggregating.set()
        else:
            self._aggregating.clear()
        has_aggregator = is_aggregating or self.view.has_aggregator(now)
        self._change_logger.log_aggregator(
            self.view.aggregator(now).name if has_aggregator else None,
            self.view.local_peer_count + 1,
        )
        for service in self._services():
            self._change_logger.log_replication(service, self.picker.replication_factors(service))
        interval_s = AGGREGATED_STATE_INTERVAL_S if has_aggregator else REMOTE_STATE_INTERVAL_S
        # Half the interval, since a state that is due shortly after this step would otherwise wait
        # for the next one.
        if now - self._sent_to_all_at >= interval_s:
            self._send_state_to_all()
        elif now - self._state_sent_at >= STATE_INTERVAL_S / 2:
            self._send_state()
        if self.view.is_aggregator(now):
            self._send_remote_digest(now)
        self._report_data_age(now)

    def _report_data_age(self, now: float) -> None:
        self._reporter.data_checked(
            self._operator.configuration_version,
            self._known_era(),
            now - self._reader.operator_confirmed_at,
            now - self._reader.servers_confirmed_at,
            self._reader_rank(self._reader.can_read),
        )

    def _services(self) -> Mapping[str, ServiceOptions]:
        configuration = self._operator.configuration
        return configuration.services if configuration is not None else {}

    def _reader_rank(self, can_read: bool) -> int:
        return self.view.reader_rank(self._clock.now(), can_read)

    def _on_listing(self, listing: ServerListing, gap_s: float) -> None:
        now = self._clock.now()
        self._check_servers_era(now, listing.version, "store")
        is_changed = self.registry.replace_all(now, listing.version, listing.records, gap_s)
        self._servers_proofs.add_own(self.registry.version, now)
        if is_changed:
            self._on_registry_change("store", gap_s=round(gap_s, 3))

    def _check_servers_era(self, now: float, version: int, source: str) -> None:
        """Begin a grace period if a version is of a later era than the servers known here."""
        if not self.registry.is_of_later_era(version):
            return
        self.registry.begin_grace(now)
        _LOG.warning(
            "store restored, keeping backend servers that it lacks",
            extra={
                "era": era_of(version),
                "previous": era_of(self.registry.version),
                "known": len(self.registry.servers),
                "grace_s": EXPIRY_GRACE_S,
                "source": source,
            },
        )

    def _on_operator_read(self, operator: OperatorState, source: str) -> None:
        version = max(operator.version, self._operator.version)
        self._operator_proofs.add_own(version, self._clock.now())
        self._adopt_operator(operator, source)

    def _adopt_operator(self, operator: OperatorState, source: str) -> None:
        previous = self._operator
        known = previous.version, previous.configuration_version
        if (operator.version, operator.configuration_version) <= known:
            return
        self._lacks_configuration = False
        adopted = operator.with_later_configuration(previous)
        if adopted is not operator:
            _LOG.error(
                "older configuration ignored",
                extra={
                    "version": operator.configuration_version,
                    "known": previous.configuration_version,
                },
            )
        if previous.version and era_of(operator.version) > era_of(previous.version):
            self._keep_evacuations(operator)
        self._kept_evacuations.discard(operator.evacuated)
        self._operator = adopted
        if operator.version >= self._newest_operator_version:
            self._newer_operator_seen_at = float("-inf")
            self._reader.cancel_operator_read()
        self._put_operator_in_force(source)
        self._send_state()

    def _keep_evacuations(self, restored: OperatorState) -> None:
        """Keep the evacuations that a restored store lacks, for a grace period."""
        missing = self._operator_in_force.evacuated - restored.evacuated
        self._kept_evacuations.keep(self._clock.now() + EXPIRY_GRACE_S, missing)
        _LOG.warning(
            "store restored, keeping evacuations that it lacks",
            extra={
                "era": era_of(restored.version),
                "previous": era_of(self._operator.version),
                "kept": sorted(missing),
                "configuration": restored.configuration_version,
                "known_configuration": self._operator.configuration_version,
                "grace_s": EXPIRY_GRACE_S,
            },
        )

    def _put_operator_in_force(self, source: str) -> None:
        """Act on the operator state, with the evacuations that are kept beside."""
        previous, operator = self._operator_in_force, self._operator
        evacuated = operator.evacuated | self._kept_evacuations.domains
        self._operator_in_force = operator = replace(operator, evacuated=evacuated)
        warmups = {name: options.warmup_s for name, options in self._services().items()}
        for domain in previous.evacuated - operator.evacuated:
            self.registry.mark_domain_cold(self._clock.now(), domain, warmups)
        self.picker.set_operator_state(operator)
        self._on_operator(operator)
        _LOG.info(
            "operator state adopted",
            extra={
                "configuration": operator.configuration_version,
                "version": number_of(operator.version),
                "era": era_of(operator.version),
                "evacuated": sorted(operator.evacuated),
                "source": source,
            },
        )

    def _on_registry_change(self, source: str, **details: float) -> None:
        if self.registry.version >= self._newest_servers_version:
            self._reader.cancel_servers_read()
        names = frozenset(self.registry.servers)
        self.loads.retain_only(names)
        self.picker.retain_only(self.registry.servers)
        addresses = frozenset(server.record.address for server in self.registry.servers.values())
        for address in self._server_addresses - addresses:
            self._on_address_removed(address)
        self._server_addresses = addresses
        self._exclusions.on_registry_change(self._clock.now())
        _LOG.info(
            "backend servers changed",
            extra={
                "version": number_of(self.registry.version),
                "era": era_of(self.registry.version),
                "known": len(names),
                "leaving": sum(
                    server.record.is_leaving for server in self.registry.servers.values()
                ),
                "expiring": sum(
                    server.expires_at is not None for server in self.registry.servers.values()
                ),
                "source": source,
                **details,
            },
        )
        self._send_state()


def _without_reads(message: VmState | RegionDigest) -> VmState | RegionDigest:
    """Return a message of an older build without what it says of reads of the store.

    A read by an older build, which knows no eras, confirms nothing where the store names them.
    """
    message = replace(message, operator_age_s=UNKNOWN_AGE_S, servers_age_s=UNKNOWN_AGE_S)
    return replace(message, can_read=False) if isinstance(message, VmState) else message


def _picker_options(options: GatewayOptions) -> PickerOptions:
    return PickerOptions(
        options.name,
        options.region,
        options.regions,
        max_shift_per_s=SHIFT_FRACTION_PER_S * options.shift_cap,
    )
