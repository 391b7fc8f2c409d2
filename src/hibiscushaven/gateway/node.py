"""What one VM knows and how it keeps it up to date."""

import asyncio
import logging
import random
from collections.abc import Callable

from hibiscushaven.discovery import KnownServer, Registry
from hibiscushaven.feeds import ReadingTurn
from hibiscushaven.fleet import (
    FleetLink,
    FleetView,
    MessageError,
    News,
    RegionDigest,
    VmState,
    token_of,
)
from hibiscushaven.fleet.messages import encode
from hibiscushaven.placement import Picker, PickerOptions, ServerLoads
from hibiscushaven.process import Clock
from hibiscushaven.routing import OperatorState

from .options import GatewayOptions
from .ports import PlatformStore, StoreError, VmAddress

__all__ = ["GatewayNode"]

_LOG = logging.getLogger(__name__)

# Changes of the requests in progress are told to the VMs of the region after this time, so
# that several of them share a datagram; a short request takes about four times as long. In
# large regions the time grows with the VMs, so that a VM sends 400 datagrams a second at most.
STATE_DELAY_S = 0.02
STATE_DELAY_PER_VM_S = 0.0025

# Longest time between two states to the VMs of the region.
STATE_INTERVAL_S = 0.2

# The same for VMs of other regions, which only need to know that this VM is up.
FAR_STATE_INTERVAL_S = 1.0

# Time between two digests for the other regions.
DIGEST_INTERVAL_S = 0.2

# Longest wait for the operator's state to change in one read, and the age after which another
# VM reads it in place of the reader.
OPERATOR_WAIT_S = 1.5
OPERATOR_MAX_AGE_S = 2.0

# Time for a peer of the region to deliver news; it is a millisecond away.
PULL_TIMEOUT_S = 0.4

# Time between two attempts to find the other VMs through the store.
JOIN_RETRY_S = 1.0

# Weight of a new measurement of the arrivals, which is taken five times a second.
ARRIVALS_SMOOTHING = 0.15

# Longest pause of a backend server that was lost, and for how long its loss is told.
LOSS_NEWS_S = 2.0


class GatewayNode:
    """Knowledge of one VM: operator's state, backend servers, other VMs, loads.

    :param on_operator: called with each newer state of the operator.
    """

    def __init__(
        self,
        options: GatewayOptions,
        store: PlatformStore,
        clock: Clock,
        on_operator: Callable[[OperatorState], None],
        take_arrivals: Callable[[], dict[str, int]],
    ) -> None:
        self._options = options
        self._store = store
        self._clock = clock
        self._on_operator = on_operator
        self._take_arrivals = take_arrivals
        self.registry = Registry()
        self.loads = ServerLoads()
        self.view = FleetView(options.name, options.region, options.failure_domain)
        self.picker = Picker(
            PickerOptions(
                options.name, options.region, options.regions, shift_per_s=options.shift_cap / 3
            ),
            self.registry,
            self.view,
            self.loads,
        )
        self._link = FleetLink(clock.now, self._on_message, self._give_news)
        self._turn = ReadingTurn()
        self._operator = OperatorState()
        self._operator_confirmed_at = -1e6
        self._servers_confirmed_at = -1e6
        self._incarnation = random.getrandbits(31)
        self._sequence = 0
        self._is_leaving = False
        self._is_sending_soon = False
        self._far_sent_at = -1e6
        self._near_sent_at = -1e6
        self._arrivals: dict[str, float] = {}
        self._arrivals_at = 0.0
        self._pulling: asyncio.Task[None] | None = None
        self._must_read = asyncio.Event()
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
        return self._clock.now() - self._servers_confirmed_at

    def vm_count(self) -> int:
        """Return the number of VMs, up or silent, this one included."""
        return len(self.view.known()) + 1

    async def start(self) -> None:
        """Start to exchange states and to read the store.

        :raises OSError: when the address for peers cannot be used.
        """
        await self._link.start(self._options.peers_at)
        loops = (self._join(), self._read_servers(), self._read_operator(), self._tick())
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    def leave(self) -> None:
        """Tell the others at once that this VM takes no new callers."""
        self._is_leaving = True
        self._send_state(is_far=True)

    async def close(self) -> None:
        """Stop all exchange."""
        pulling = [self._pulling] if self._pulling is not None else []
        for task in (*self._tasks, *pulling):
            task.cancel()
        await asyncio.gather(*self._tasks, *pulling, return_exceptions=True)
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
        delay_s = max(STATE_DELAY_S, STATE_DELAY_PER_VM_S * self.view.near_count)
        asyncio.get_running_loop().call_later(delay_s, self._send_state)

    # Joining ----------------------------------------------------------------------------

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

    # Messages ---------------------------------------------------------------------------

    def _on_message(self, message: VmState | RegionDigest) -> None:
        now = self._clock.now()
        if isinstance(message, RegionDigest):
            self.view.on_digest(now, message)
            return
        if message.name == self._options.name:
            return
        if self.view.on_state(now, message):
            _LOG.info("VM is up", extra={"vm": message.name, "region": message.region})
            self._link.send(encode(self._state()), message.peers_at)
        self._note_lost(now, message)
        if message.region == self._options.region:
            self._compare(now, message)

    def _compare(self, now: float, state: VmState) -> None:
        """Confirm what is known here by a peer's state, or ask the peer for what is newer."""
        if state.operator_version == self._operator.version:
            confirmed = now - state.operator_age_s
            self._operator_confirmed_at = max(self._operator_confirmed_at, confirmed)
        if state.servers_version == self.registry.version:
            confirmed = now - state.servers_age_s
            self._servers_confirmed_at = max(self._servers_confirmed_at, confirmed)
        is_newer = (
            state.operator_version > self._operator.version
            or state.servers_version > self.registry.version
        )
        if is_newer and (self._pulling is None or self._pulling.done()):
            self._pulling = asyncio.create_task(self._pull(state))

    async def _pull(self, state: VmState) -> None:
        try:
            news = await self._link.pull(
                state.peers_at, self._operator.version, self.registry.version, PULL_TIMEOUT_S
            )
        except (OSError, MessageError, TimeoutError) as error:
            _LOG.warning("no news from VM", extra={"vm": state.name, "why": repr(error)})
            self._must_read.set()
            return
        now = self._clock.now()
        if news.operator is not None:
            self._adopt_operator(news.operator, state.name)
        if news.servers is not None and self.registry.adopt(
            now, news.servers_version, news.servers
        ):
            self._on_servers(state.name)

    def _give_news(self, operator_version: int, servers_version: int) -> News:
        has_operator = self._operator.version > operator_version
        has_servers = self.registry.version > servers_version
        return News(
            self._operator if has_operator else None,
            self.registry.version,
            dict(self.registry.servers) if has_servers else None,
        )

    def _note_lost(self, now: float, state: VmState) -> None:
        """Count servers that another VM cannot reach as cold once they are back."""
        if not state.lost:
            return
        for server_id, server in list(self.registry.servers.items()):
            age_s = state.lost.get(token_of(server_id))
            if age_s is not None:
                self._presume_cold(now - age_s, server_id, server)

    def _presume_cold(self, lost_at: float, server_id: str, server: KnownServer) -> None:
        configuration = self._operator.configuration
        options = configuration.services.get(server.record.service) if configuration else None
        if options is not None:
            until = lost_at + LOSS_NEWS_S + options.warmup_s
            self.registry.mark_server_cold(server_id, until)

    # Sending ----------------------------------------------------------------------------

    def _state(self) -> VmState:
        now = self._clock.now()
        self._sequence += 1
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
            can_read=not self._turn.is_failing,
            operator_version=self._operator.version,
            operator_age_s=now - self._operator_confirmed_at,
            servers_version=self.registry.version,
            servers_age_s=now - self._servers_confirmed_at,
            in_progress=self._own_in_progress(),
            lost={token_of(name): age for name, age in self.loads.lost(now, LOSS_NEWS_S).items()},
            arrivals={token_of(name): rate for name, rate in self._arrivals.items()},
            slowness={
                token_of(name): (round(100 * slowness), round(age_s, 3))
                for name, (slowness, age_s) in self.loads.reports(now).items()
            },
        )

    def _own_in_progress(self) -> dict[int, int]:
        return {token_of(name): count for name, count in self.loads.busy().items()}

    def _send_state(self, is_far: bool = False) -> None:
        self._is_sending_soon = False
        now = self._clock.now()
        datagram = encode(self._state())
        self._near_sent_at = now
        if is_far:
            self._far_sent_at = now
        for state in self.view.known():
            if is_far or state.region == self._options.region:
                self._link.send(datagram, state.peers_at)

    def _send_digest(self, now: float) -> None:
        digest = RegionDigest(
            self._options.region,
            self._options.name,
            self._incarnation,
            self._sequence,
            self.view.near_in_progress(now, self._own_in_progress()),
            self.view.arrivals(now, self._own_arrivals()),
        )
        datagram = encode(digest)
        for state in self.view.up(now):
            if state.region != self._options.region:
                self._link.send(datagram, state.peers_at)

    def _own_arrivals(self) -> dict[int, float]:
        return {token_of(name): rate for name, rate in self._arrivals.items()}

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S)
            now = self._clock.now()
            for name in self.view.expire(now):
                _LOG.info("VM went silent", extra={"vm": name})
            if self.registry.expire(now):
                self._on_servers("expiry")
            self._note_own_lost(now)
            self._measure_arrivals(now)
            self.picker.move_shares(now, self._own_arrivals())
            is_far = now - self._far_sent_at >= FAR_STATE_INTERVAL_S
            if is_far or now - self._near_sent_at >= STATE_INTERVAL_S:
                self._send_state(is_far)
            if self.view.is_lead(now):
                self._send_digest(now)

    def _note_own_lost(self, now: float) -> None:
        for server_id, age_s in self.loads.lost(now, LOSS_NEWS_S).items():
            server = self.registry.servers.get(server_id)
            if server is not None:
                self._presume_cold(now - age_s, server_id, server)

    def _measure_arrivals(self, now: float) -> None:
        elapsed_s = now - self._arrivals_at
        self._arrivals_at = now
        counts = self._take_arrivals()
        for service in {*counts, *self._arrivals}:
            rate = counts.get(service, 0) / max(elapsed_s, DIGEST_INTERVAL_S / 2)
            known = self._arrivals.get(service, 0.0)
            self._arrivals[service] = known + ARRIVALS_SMOOTHING * (rate - known)

    # Reading ----------------------------------------------------------------------------

    async def _read_servers(self) -> None:
        while True:
            now = self._clock.now()
            rank = self.view.rank(now, can_read=not self._turn.is_failing)
            wait_s = self._turn.wait_s(now, rank, self._servers_confirmed_at)
            if wait_s > 0:
                await self._sleep(min(wait_s, DIGEST_INTERVAL_S))
                continue
            try:
                listing = await self._store.read_servers()
            except StoreError as error:
                self._on_read_error("servers", error)
                continue
            self._on_read_success()
            now = self._clock.now()
            gap_s = now - self._servers_confirmed_at
            self._servers_confirmed_at = now
            if self.registry.replace_all(now, listing.version, listing.records, gap_s):
                self._on_servers("store")

    async def _read_operator(self) -> None:
        while True:
            now = self._clock.now()
            age_s = now - self._operator_confirmed_at
            rank = self.view.rank(now, can_read=not self._turn.is_failing)
            is_reader = rank == 0 and not self._turn.is_failing
            if not is_reader and age_s < OPERATOR_MAX_AGE_S + 0.3 * rank:
                await asyncio.sleep(DIGEST_INTERVAL_S)
                continue
            is_stale = age_s > OPERATOR_MAX_AGE_S
            try:
                operator = await self._store.read_operator(0.0 if is_stale else OPERATOR_WAIT_S)
            except StoreError as error:
                self._on_read_error("operator", error)
                await asyncio.sleep(DIGEST_INTERVAL_S * random.uniform(1.0, 3.0))
                continue
            self._operator_confirmed_at = self._clock.now()
            self._adopt_operator(operator, "store")

    async def _sleep(self, seconds: float) -> None:
        """Wait, or until a read is due because a peer could not deliver its news."""
        try:
            async with asyncio.timeout(seconds):
                await self._must_read.wait()
        except TimeoutError:
            return
        self._must_read.clear()
        self._servers_confirmed_at = min(self._servers_confirmed_at, self._clock.now() - 1.0)
        self._operator_confirmed_at = min(self._operator_confirmed_at, self._clock.now() - 3.0)

    def _on_read_error(self, what: str, error: StoreError) -> None:
        now = self._clock.now()
        if not self._turn.is_failing:
            _LOG.warning("store lost", extra={"table": what, "why": str(error)})
            self._turn.failed(now)
            self._send_state()
        elif what == "servers":
            self._turn.failed(now)

    def _on_read_success(self) -> None:
        if self._turn.is_failing:
            _LOG.info("store regained", extra={"failures": self._turn.failures})
        self._turn.succeeded()

    def _adopt_operator(self, operator: OperatorState, source: str) -> None:
        known = self._operator
        if operator.version <= known.version:
            return
        old = known.configuration.version if known.configuration is not None else 0
        new = operator.configuration.version if operator.configuration is not None else 0
        if new < old:
            _LOG.error("older configuration ignored", extra={"version": new, "known": old})
            return
        now = self._clock.now()
        warmups = {}
        if operator.configuration is not None:
            services = operator.configuration.services.values()
            warmups = {options.name: options.warmup_s for options in services}
        for domain in known.evacuated - operator.evacuated:
            self.registry.mark_cold(now, domain, warmups)
        self._operator = operator
        self.picker.set_operator(operator)
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
