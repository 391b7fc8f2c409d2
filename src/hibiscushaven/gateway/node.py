"""What one VM knows and how it keeps it up to date."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from hibiscushaven.discovery import KnownServer, Registry, RegistryNews
from hibiscushaven.fleet import (
    FleetLink,
    FleetView,
    MessageError,
    News,
    RegionDigest,
    VmState,
    digest_interval_s,
    token_of,
)
from hibiscushaven.fleet.messages import encode
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.placement import Picker, PickerOptions, ServerLoads
from hibiscushaven.process import Clock
from hibiscushaven.routing import OperatorState, ServiceOptions

from .arrivals import ArrivalRates
from .belief_log import BeliefLog
from .options import GatewayOptions
from .ports import PlatformStore, ServerListing, StoreError, VmAddress
from .reader import StoreReader

__all__ = ["GatewayNode"]

_LOG = logging.getLogger(__name__)

# Changes of the requests in progress are told to the VMs of the region after this time, so
# that several of them share a datagram; a short request takes about four times as long. In
# large regions the time grows with the VMs, so that a VM sends 400 datagrams a second at most.
STATE_DELAY_S = 0.02
STATE_DELAY_PER_VM_S = 0.0025

# Usual time between two states to the VMs of the region; at most half as much again.
STATE_INTERVAL_S = 0.2

# The same for VMs of other regions, which only need to know that this VM is up.
FAR_STATE_INTERVAL_S = 1.0

# The same for all VMs when the lead of a large region tells them that this VM is up; for those
# that a message did not reach.
TOLD_STATE_INTERVAL_S = 10.0

# Time between two digests for the other regions.
DIGEST_INTERVAL_S = 0.2

# Time for a peer of the region to deliver news; it is a millisecond away.
PULL_TIMEOUT_S = 0.4

# Time between two attempts to find the other VMs through the store.
JOIN_RETRY_S = 1.0

# Time for that before this VM reads the store by itself; two calls of a slow store.
JOIN_WAIT_S = 0.5

# Time for the VMs of the region to answer; a round trip there is some milliseconds.
ANSWER_WAIT_S = 0.1

# Part of the cap on moving requests between regions that is used in a second. The cap holds for
# two windows of 2 s, so that two thirds of it are used and the rest covers chance.
SHIFT_PART_PER_S = 1 / 3

# Longest pause of a backend server that was lost, and for how long its loss is told.
LOSS_NEWS_S = 2.0


class GatewayNode:
    """Knowledge of one VM: operator's state, backend servers, other VMs, loads.

    :param on_operator: called with each newer state of the operator.
    :param on_address_gone: called with each address that no known server has any more.
    """

    def __init__(
        self,
        options: GatewayOptions,
        store: PlatformStore,
        clock: Clock,
        on_operator: Callable[[OperatorState], None],
        take_arrivals: Callable[[], dict[str, int]],
        on_address_gone: Callable[[Endpoint], None] = lambda address: None,
    ) -> None:
        self._options = options
        self._store = store
        self._clock = clock
        self._on_operator = on_operator
        self._arrivals = ArrivalRates(take_arrivals)
        self._on_address_gone = on_address_gone
        self._addresses: frozenset[Endpoint] = frozenset()
        self.registry = Registry()
        self.loads = ServerLoads()
        self.view = FleetView(
            options.name, options.region, options.failure_domain, options.capacity
        )
        self.picker = Picker(_picker_options(options), self.registry, self.view, self.loads)
        self._link = FleetLink(clock.now, self._on_message, self._give_news)
        self._reader = StoreReader(
            store, clock, self._rank, self._on_listing, self._adopt_operator, self._tell_region
        )
        self._operator = OperatorState()
        self._incarnation = random.getrandbits(31)
        self._sequence = 0
        self._digest_sequence = 0
        self._digest_bytes = 0
        self._belief_log = BeliefLog()
        self._leads = asyncio.Event()
        self._is_leaving = False
        self._is_sending_soon = False
        self._far_sent_at = -1e6
        self._near_sent_at = -1e6
        self._has_diverged = False
        self._pulling: asyncio.Task[None] | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def operator(self) -> OperatorState:
        return self._operator

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        knows = self._operator.configuration is not None and bool(self.registry.servers)
        return knows and not self._is_leaving

    @property
    def is_leaving(self) -> bool:
        return self._is_leaving

    @property
    def servers_age_s(self) -> float:
        """Time since the backend servers were last confirmed by a read, in seconds."""
        return self._clock.now() - self._reader.servers_confirmed_at

    def vm_count(self) -> int:
        """Return the number of VMs, up or silent, this one included."""
        return len(self.view.known()) + 1

    async def start(self) -> None:
        """Start to exchange states and to read the store.

        :raises OSError: when the address for peers cannot be used.
        """
        await self._link.start(self._options.peers_at)
        self._tasks = [
            asyncio.create_task(loop) for loop in (self._begin(), self._tick(), self._sum_up())
        ]

    def adopt(self, options: GatewayOptions) -> None:
        """Use changed options that need no restart."""
        self._options = options
        self.picker.set_options(_picker_options(options))

    def leave(self) -> None:
        """Tell the others at once that this VM takes no new callers."""
        self._is_leaving = True
        self.view.is_leaving = True
        self._send_state(is_far=True)

    async def close(self) -> None:
        """Stop all exchange."""
        pulling = [self._pulling] if self._pulling is not None else []
        for task in (*self._tasks, *pulling):
            task.cancel()
        await asyncio.gather(*self._tasks, *pulling, return_exceptions=True)
        await self._reader.close()
        self._link.close()

    async def deregister(self) -> None:
        """Drop this VM's address from the store."""
        try:
            await self._store.deregister(self._options.name)
        except StoreError as error:
            _LOG.warning("address not dropped", extra={"why": str(error)})

    def on_load_change(self) -> None:
        """Tell the region soon what is in progress here."""
        if self._is_sending_soon:
            return
        self._is_sending_soon = True
        delay_s = STATE_DELAY_S
        if not self.view.is_told(self._clock.now()):
            delay_s = max(delay_s, STATE_DELAY_PER_VM_S * self.view.near_count)
        asyncio.get_running_loop().call_later(delay_s, self._send_state)

    async def _begin(self) -> None:
        """Find the other VMs; read the store when none of them can tell what it holds."""
        joining = asyncio.create_task(self._join())
        try:
            await asyncio.wait((joining,), timeout=JOIN_WAIT_S)
            await asyncio.sleep(ANSWER_WAIT_S)
            self._reader.start()
            await joining
        finally:
            joining.cancel()

    async def _join(self) -> None:
        """Tell the other VMs about this one, and learn of them."""
        own = VmAddress(self._options.name, str(self._options.peers_at))
        state = encode(self._state())
        for seed in self._options.seeds:
            self._link.send(state, seed)
        while True:
            try:
                await self._store.register(own)
                others = await self._store.list_vms()
                break
            except StoreError as error:
                _LOG.warning("cannot join through the store", extra={"why": str(error)})
                await asyncio.sleep(JOIN_RETRY_S * random.uniform(0.5, 1.5))
        state = encode(self._state())
        for other in others:
            if other.name != own.name:
                self._link.send(state, other.peers_at)
        _LOG.info("joined", extra={"others": len(others) - 1})

    def _on_message(self, message: VmState | RegionDigest) -> None:
        now = self._clock.now()
        if isinstance(message, RegionDigest):
            self._on_digest(now, message)
            return
        if message.name == self._options.name:
            return
        if self.view.on_state(now, message):
            _LOG.info("VM is up", extra={"vm": message.name, "region": message.region})
            self._link.send(encode(self._state()), message.peers_at)
        self._note_lost(now, message.lost)
        if message.region == self._options.region:
            self._compare(now, message.name, message)

    def _on_digest(self, now: float, digest: RegionDigest) -> None:
        if not self.view.on_digest(now, digest):
            return
        if digest.region == self._options.region:
            self._note_lost(now, digest.lost)
            self._compare(now, digest.sender, digest)
        elif self.view.is_summing(now):
            self._send_near(encode(digest))

    def _compare(self, now: float, name: str, state: VmState | RegionDigest) -> None:
        """Confirm what is known here by what a peer holds, or ask it for what is newer."""
        if state.operator_version == self._operator.version:
            self._reader.confirm_operator(now - state.operator_age_s)
        if state.servers_version == self.registry.version:
            self._reader.confirm_servers(now - state.servers_age_s)
        is_newer = (
            state.operator_version > self._operator.version
            or state.servers_version > self.registry.version
        )
        if is_newer and (self._pulling is None or self._pulling.done()):
            self._pulling = asyncio.create_task(self._pull(name, state.peers_at))

    async def _pull(self, name: str, peers_at: str) -> None:
        try:
            news = await self._link.pull(
                peers_at,
                self._operator.version,
                0 if self._has_diverged else self.registry.version,
                PULL_TIMEOUT_S,
            )
        except (OSError, MessageError, TimeoutError) as error:
            _LOG.warning("no news from VM", extra={"vm": name, "why": repr(error)})
            self._reader.read_now()
            return
        if news.operator is not None:
            self._adopt_operator(news.operator, name)
        if news.servers is not None:
            self._adopt_servers(news.servers, name)

    def _adopt_servers(self, news: RegistryNews, source: str) -> None:
        if self.registry.adopt(news):
            self._has_diverged = False
            self._on_servers(source)
        elif news.version > self.registry.version and news.base == self.registry.version:
            # Both came to the version in different ways; the whole list settles it.
            _LOG.warning("changes do not fit", extra={"vm": source, "version": news.version})
            self._has_diverged = True

    def _give_news(self, operator_version: int, servers_version: int) -> News:
        has_operator = self._operator.version > operator_version
        has_servers = self.registry.version > servers_version
        return News(
            self._operator if has_operator else None,
            self.registry.news_since(servers_version) if has_servers else None,
        )

    def _note_lost(self, now: float, lost: Mapping[int, float]) -> None:
        """Count servers that another VM cannot reach as cold once they are back."""
        if not lost:
            return
        for server_id, server in list(self.registry.servers.items()):
            age_s = lost.get(token_of(server_id))
            if age_s is not None:
                self._presume_cold(now - age_s, server_id, server)

    def _presume_cold(self, lost_at: float, server_id: str, server: KnownServer) -> None:
        options = self._services().get(server.record.service)
        if options is not None:
            until = lost_at + LOSS_NEWS_S + options.warmup_s
            self.registry.mark_server_cold(server_id, until)

    def _state(self) -> VmState:
        now = self._clock.now()
        self._sequence += 1
        in_progress = self._own_in_progress()
        has_arrivals = self._arrivals.try_tell(now)
        self.view.told.note_sent(self._sequence, in_progress)
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
            hears_lead=self.view.is_told(now) or self.view.is_summing(now),
            can_read=self._reader.can_read,
            **self._knowledge(now),
            in_progress=in_progress,
            lost=self._own_lost(now),
            arrivals=self._arrivals.by_token() if has_arrivals else {},
            has_arrivals=has_arrivals,
            slowness=self._own_reports(now),
        )

    def _knowledge(self, now: float) -> dict[str, Any]:
        """Return which versions this VM holds, and when they were read; fields of messages."""
        return {
            "operator_version": self._operator.version,
            "operator_age_s": now - self._reader.operator_confirmed_at,
            "servers_version": self.registry.version,
            "servers_age_s": now - self._reader.servers_confirmed_at,
        }

    def _own_lost(self, now: float) -> dict[int, float]:
        return {
            token_of(name): age
            for name, age in self.loads.lost_server_ages_s(now, LOSS_NEWS_S).items()
        }

    def _own_reports(self, now: float) -> dict[int, tuple[float, float]]:
        return {
            token_of(name): (round(100 * slowness), round(age_s, 3))
            for name, (slowness, age_s) in self.loads.slowness_reports(now).items()
        }

    def _own_in_progress(self) -> dict[int, int]:
        return {token_of(name): count for name, count in self.loads.in_progress().items()}

    def _send_state(self, is_far: bool = False) -> None:
        self._is_sending_soon = False
        now = self._clock.now()
        listeners = self.view.known() if is_far else self.view.listeners(now)
        self._near_sent_at = now
        if is_far:
            self._far_sent_at = now
        if not listeners:
            return
        self._send(encode(self._state()), listeners)

    def _send(self, datagram: bytes, listeners: Iterable[VmState]) -> None:
        for listener in listeners:
            self._link.send(datagram, listener.peers_at)

    def _tell_region(self) -> None:
        """Tell all VMs of the region at once, also those that usually hear the lead."""
        self._send_near(encode(self._state()))

    def _send_near(self, datagram: bytes) -> None:
        self._send(datagram, self.view.near_known())

    def _digest(self, now: float) -> RegionDigest:
        self._digest_sequence += 1
        return RegionDigest(
            self._options.region,
            self._options.name,
            self._incarnation,
            self._digest_sequence,
            self.view.near_in_progress(now, self._own_in_progress()),
            self.view.arrivals(now, self._arrivals.by_token()),
        )

    def _near_digest(self, now: float) -> RegionDigest:
        """Return the digest for the VMs of a large region, which hear only this VM."""
        lost, own_lost = self.view.lost(now, LOSS_NEWS_S), self._own_lost(now)
        return replace(
            self._digest(now),
            sequences=self.view.sequences(now),
            interval_s=self._digest_interval_s(),
            peers_at=str(self._options.peers_at),
            **self._knowledge(now),
            lost={**lost, **own_lost},
            slowness={**self.view.reports(now), **self._own_reports(now)},
        )

    def _send_far_digest(self, now: float) -> None:
        listeners = self.view.far_listeners(now)
        if not listeners:
            return
        digest = self._digest(now)
        if self.view.is_summing(now):
            digest = replace(digest, sequences=self.view.sequences(now))
        self._send(encode(digest), listeners)

    async def _sum_up(self) -> None:
        """Tell the VMs of a large region what is in progress, while this VM leads it."""
        while True:
            await self._leads.wait()
            self._send_near_digest(self._clock.now())
            await asyncio.sleep(self._digest_interval_s())

    def _send_near_digest(self, now: float) -> None:
        if self.view.is_summing(now):
            datagram = encode(self._near_digest(now))
            self._digest_bytes = len(datagram)
            self._send_near(datagram)

    def _digest_interval_s(self) -> float:
        vms, link_mbps = self.view.near_count, self._options.link_mbps
        return digest_interval_s(vms, self._digest_bytes, link_mbps)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S)
            self._step(self._clock.now())

    def _step(self, now: float) -> None:
        """Drop what is old, follow the load and tell others that this VM is up."""
        for name in self.view.expire(now):
            _LOG.info("VM went silent", extra={"vm": name})
        if self.registry.expire(now):
            self._on_servers("expiry")
        self._note_own_lost(now)
        self._arrivals.measure(now)
        self.picker.update_region_shares(now, self._arrivals.by_token())
        is_summing = self.view.is_summing(now)
        if is_summing:
            self._leads.set()
        else:
            self._leads.clear()
        is_told = is_summing or self.view.is_told(now)
        self._belief_log.note_lead(
            self.view.lead(now).name if is_told else None, self.view.near_count + 1
        )
        for service in self._services():
            self._belief_log.note_copies(service, self.picker.replication_factors(service))
        far_interval_s = TOLD_STATE_INTERVAL_S if is_told else FAR_STATE_INTERVAL_S
        is_far = now - self._far_sent_at >= far_interval_s
        # The next step comes a whole interval later.
        if is_far or now - self._near_sent_at >= STATE_INTERVAL_S / 2:
            self._send_state(is_far)
        if self.view.is_lead(now):
            self._send_far_digest(now)

    def _note_own_lost(self, now: float) -> None:
        for server_id, age_s in self.loads.lost_server_ages_s(now, LOSS_NEWS_S).items():
            server = self.registry.servers.get(server_id)
            if server is not None:
                self._presume_cold(now - age_s, server_id, server)

    def _services(self) -> Mapping[str, ServiceOptions]:
        configuration = self._operator.configuration
        return configuration.services if configuration is not None else {}

    def _rank(self, can_read: bool) -> int:
        return self.view.rank(self._clock.now(), can_read)

    def _on_listing(self, listing: ServerListing, gap_s: float) -> None:
        now = self._clock.now()
        if self.registry.replace_all(now, listing.version, listing.records, gap_s):
            self._on_servers("store")

    def _adopt_operator(self, operator: OperatorState, source: str) -> None:
        known = self._operator
        if operator.version <= known.version:
            return
        old = known.configuration.version if known.configuration is not None else 0
        new = operator.configuration.version if operator.configuration is not None else 0
        if new < old:
            _LOG.error("older configuration ignored", extra={"version": new, "known": old})
            return
        self._operator = operator
        warmups = {name: options.warmup_s for name, options in self._services().items()}
        for domain in known.evacuated - operator.evacuated:
            self.registry.mark_cold(self._clock.now(), domain, warmups)
        self.picker.set_operator_state(operator)
        self._on_operator(operator)
        _LOG.info(
            "operator state adopted",
            extra={
                "configuration": new,
                "version": operator.version,
                "evacuated": sorted(operator.evacuated),
                "source": source,
            },
        )
        self._send_state()

    def _on_servers(self, source: str) -> None:
        names = frozenset(self.registry.servers)
        self.loads.keep_only(names)
        self.picker.keep_only(names)
        addresses = frozenset(s.record.address for s in self.registry.servers.values())
        for address in self._addresses - addresses:
            self._on_address_gone(address)
        self._addresses = addresses
        _LOG.info(
            "backend servers changed",
            extra={
                "version": self.registry.version,
                "known": len(names),
                "leaving": sum(s.record.is_leaving for s in self.registry.servers.values()),
                "source": source,
            },
        )
        self._send_state()


def _picker_options(options: GatewayOptions) -> PickerOptions:
    return PickerOptions(
        options.name,
        options.region,
        options.regions,
        max_shift_per_s=SHIFT_PART_PER_S * options.shift_cap,
    )
