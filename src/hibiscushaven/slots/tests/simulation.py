"""Simulation of a failure domain on a virtual clock, with network faults, pauses and crashes."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from hibiscushaven.documents import ServiceDocument, parse_document
from hibiscushaven.membership import MembershipNode
from hibiscushaven.peers import PeerIdentity, decode, encode
from hibiscushaven.slots import RosterManager, Shard, SlotNode
from hibiscushaven.tablestore import MemoryPlatform, UnavailableError, VmRecord, VmState

SERVICE = "stock"
SHARD = Shard(SERVICE)
LONGEST_S = 3.0
SHORT_S = 0.5
TICK_S = 0.25
# Two loan terms, the longest deadline of short work, the margin and a tick after a VM crashed.
RECOVERY_S = 4.0 + SHORT_S + 0.5 + TICK_S


def document(
    slots: int = 4,
    capacity: int = 6,
    servers: int = 2,
    extra: str = "",
    longest_s: float = LONGEST_S,
):
    """Return a document with one place, a class of short work and one of long work."""
    text = f"""
        [service]
        name = {SERVICE}
        tenant = shops
        team = a
        [class downloads]
        path = /d/*
        methods = GET
        idempotent = yes
        size = long
        deadline_ms = {int(longest_s * 1000)}
        [class lookups]
        path = /*
        methods = GET
        idempotent = yes
        size = short
        deadline_ms = {int(SHORT_S * 1000)}
        [place p]
        region = r
        failure_domain = d
        capacity = {capacity}
    """
    for number in range(servers):
        address = f"10.9.0.{number + 1}:80"
        text += f"\n[server s{number}]\nplace = p\naddress = {address}\nslots = {slots}\n{extra}"
    return parse_document("\n".join(line.strip() for line in text.splitlines())).ok


def run_now(coroutine):
    """Return the result of a coroutine that does not wait."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waited")


@dataclass
class Network:
    """Faults of the network, changed during a run."""

    loss: float = 0.0
    duplicates: float = 0.0
    delay_s: float = 0.0


@dataclass
class Use:
    """A request in progress on a backend server."""

    server: str
    ends_at: float


class Vm:
    """One incarnation of a VM."""

    def __init__(self, world: "World", name: str, incarnation: str) -> None:
        port = 7000 + int(name[2:])
        self.identity = PeerIdentity(name, incarnation, "d", "r", "10.0.0.1", port)
        self.offset = world.rng.uniform(-1000, 1000)
        self.membership = MembershipNode(self.identity, rng=random.Random(world.rng.random()))
        self.slots = SlotNode(self.identity)
        self.slots.set_documents({SERVICE: world.document})
        self.roster_manager = RosterManager(world.platform, self.identity)
        self.is_alive = True
        self.is_leaving = False
        self.paused_until = 0.0
        self.next_step = world.now + world.rng.uniform(0, 0.5)
        self.deferred: list[Callable[[], None]] = []

    def now(self, world: "World") -> float:
        return world.now + self.offset


@dataclass
class World:
    """The failure domain, its network and the platform."""

    seed: int
    size: int = 4
    is_encoded: bool = False
    now: float = 0.0
    network: Network = field(default_factory=Network)
    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    capacity: int = 8
    load: float = 0.95
    longest_s: float = LONGEST_S
    bytes_sent: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.document = self.new_document()
        self.events: list = []
        self.event_count = 0
        self.vms: dict[str, Vm] = {}
        self.uses: list[Use] = []
        self.cuts: list[Callable[[str, str], bool]] = []
        self.unlisted: set[str] = set()
        self.superseded: list[Vm] = []
        self.starts = 0
        self.crashes: list[tuple[float, str]] = []
        self.earlier_documents = [(0.0, self.document)]
        for number in range(self.size):
            self.start_vm(f"vm{number}")
        self.list_vms()

    def new_document(self, **limits: int) -> ServiceDocument:
        return document(**{"capacity": self.capacity, "longest_s": self.longest_s, **limits})

    def at(self, time: float, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (time, self.event_count, action))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def start_vm(self, name: str) -> Vm:
        """Start a new incarnation; its predecessor crashes unless it is in ``superseded``."""
        if name in self.vms and self.vms[name] not in self.superseded:
            self.crash(name)
        vm = Vm(self, name, f"{name}-{self.rng.getrandbits(32):08x}")
        self.vms[name] = vm
        self.at(self.now + self.rng.uniform(0, TICK_S), lambda: self._tick(vm))
        return vm

    def crash(self, name: str) -> None:
        self.vms[name].is_alive = False
        self.crashes.append((self.now, self.vms[name].identity.incarnation))

    def pause(self, name: str, seconds: float) -> None:
        vm = self.vms[name]
        vm.paused_until = max(vm.paused_until, self.now + seconds)
        self.at(vm.paused_until, lambda: self._resume(vm))

    def list_vms(self) -> None:
        identities = [
            vm.identity for vm in self.vms.values() if vm.identity.vm not in self.unlisted
        ]
        self.platform.set_vms(
            tuple(
                VmRecord(item.vm, "d", "r", item.host, item.peer_port, VmState.LIVE)
                for item in identities
            )
        )

    def set_document(self, item: ServiceDocument, delay_s: float = 1.0) -> None:
        """Put a document in force, on each VM at a different time."""
        self.earlier_documents.append((self.now, self.document))
        self.document = item
        for vm in self.vms.values():
            self.defer(vm, self.rng.uniform(0, delay_s), self._applier(vm, item))

    def defer(self, vm: Vm, seconds: float, action: Callable[[], None]) -> None:
        """Run an action of a VM later, after a pause if necessary, unless the VM has crashed."""

        def run_if_alive() -> None:
            if vm.is_alive and self.now < vm.paused_until:
                vm.deferred.append(action)
            elif vm.is_alive:
                action()

        self.at(self.now + seconds, run_if_alive)

    def leave(self, name: str) -> None:
        """Make a VM hand over its shards, drain and leave the roster."""
        vm = self.vms[name]
        self.defer(vm, 0.0, lambda: vm.membership.set_leaving(vm.now(self)))
        self.defer(vm, 0.0, vm.slots.stop_lending)
        vm.is_leaving = True

    def live(self) -> list[Vm]:
        """Return the running and paused incarnations, except those with a successor."""
        return [vm for vm in self.vms.values() if vm.is_alive]

    def owners(self) -> list[Vm]:
        return [vm for vm in self.live() if vm.slots.owned_shards(vm.membership.view)]

    def free_tokens(self) -> tuple[int, int]:
        """Return the owner's free tokens: the fewest of any server, and those of the place."""
        (owner,) = self.owners()
        servers = [server.name for server in self.document.servers]
        now = owner.now(self)
        counts = [owner.slots.available(now, SERVICE, server) for server in servers]
        acquired = 0
        while any(owner.slots.acquire(now, SERVICE, server, now + 0.1) for server in servers):
            acquired += 1
        return min(counts), acquired

    def _applier(self, vm: Vm, item: ServiceDocument) -> Callable[[], None]:
        return lambda: vm.slots.set_documents({SERVICE: item})

    def _resume(self, vm: Vm) -> None:
        if self.now >= vm.paused_until and vm.is_alive:
            deferred, vm.deferred = vm.deferred, []
            for action in deferred:
                action()

    def _tick(self, vm: Vm) -> None:
        if not vm.is_alive:
            return
        self.at(self.now + TICK_S, lambda: self._tick(vm))
        if self.now < vm.paused_until:
            return
        now = vm.now(self)
        if self.now >= vm.next_step:
            vm.next_step = self.now + 1.0
            self._step_platform(vm, now)
        self._send(vm, vm.membership.tick(now))
        self._send(vm, vm.slots.tick(now, vm.membership.view))
        for server in self.document.servers:
            while self.rng.random() < self.load and self._request(vm, server.name):
                pass

    def _step_platform(self, vm: Vm, now: float) -> None:
        try:
            vm.membership.on_vm_list(now, run_now(self.platform.list_vms()))
        except UnavailableError:
            vm.membership.on_vm_list_failed(now)
        live_incarnations = frozenset(
            key.identity.incarnation
            for other in self.live()
            for key in other.membership.view.members.values()
            if key.identity and other.membership.view.is_alive(key.vm, key.identity.incarnation)
        )
        if vm.is_leaving:
            if vm.slots.is_drained and run_now(vm.roster_manager.leave(now)):
                vm.is_alive = False
            roster = vm.roster_manager.roster
        else:
            roster = run_now(vm.roster_manager.step(now, vm.membership.view, live_incarnations))
        vm.slots.set_roster(now, roster, vm.roster_manager.read_at)

    def _send(self, vm: Vm, outgoing) -> None:
        source = vm.identity
        for item in outgoing:
            message = item.message
            if self.is_encoded:
                data = encode(message)
                self.bytes_sent[source.vm, message.kind] += len(data) + 4
                message = decode(data)
            copies = 1 + (self.rng.random() < self.network.duplicates)
            for _ in range(copies):
                if self.rng.random() >= self.network.loss:
                    delay = 0.002 + self.rng.random() * self.network.delay_s
                    self.at(self.now + delay, self._delivery(source, item.endpoint, message))

    def _delivery(self, source: PeerIdentity, endpoint, message) -> Callable[[], None]:
        def deliver() -> None:
            for vm in [*self.vms.values(), *self.superseded]:
                if vm.identity.peer_port != endpoint.port or not vm.is_alive:
                    continue
                if vm in self.superseded and self.now < vm.paused_until:
                    continue  # its connections are closed
                if not any(cut(source.vm, vm.identity.vm) for cut in self.cuts):
                    self.defer(vm, 0.0, partial(self._receive, vm, source, message))

        return deliver

    def _receive(self, vm: Vm, source: PeerIdentity, message) -> None:
        now = vm.now(self)
        self._send(vm, vm.membership.on_message(now, source, message))
        self._send(vm, vm.slots.on_message(now, source, message))

    def _request(self, vm: Vm, server: str) -> bool:
        now = vm.now(self)
        longest = self.longest_s
        seconds = self.rng.choice((SHORT_S, longest, self.rng.uniform(0.05, longest)))
        token = vm.slots.acquire(now, SERVICE, server, now + seconds)
        if token is None:
            return False
        connect_s = self.rng.choice((0.0, 0.0, 0.1, 0.8))
        self.defer(vm, connect_s, partial(self._start, vm, token))
        return True

    def _start(self, vm: Vm, token) -> None:
        now = vm.now(self)
        if not vm.slots.is_usable(now, token):
            vm.slots.release(now, token)
            return
        remaining_s = token.deadline - now
        seconds = remaining_s if self.rng.random() < 0.8 else self.rng.uniform(0, remaining_s)
        self.uses = [use for use in self.uses if use.ends_at > self.now]
        self.uses.append(Use(token.server, self.now + seconds))
        self.starts += 1
        self.check()
        self.defer(vm, seconds, lambda: vm.slots.release(vm.now(self), token))

    def check_accounts(self) -> None:
        """Assert that lenders wait only for a crashed borrower's long work after ``RECOVERY_S``."""
        for crashed_at, incarnation in self.crashes:
            for vm in self.live():
                account = vm.slots._services[SERVICE].lender._accounts.get(incarnation)
                if account is not None and self.now >= crashed_at + RECOVERY_S:
                    case = f"seed {self.seed} at {self.now:.2f}: {account}"
                    assert account.max_held == account.max_held_long, case

    def check(self) -> None:
        """Assert that no server and no place has more requests in progress than its limit."""
        recent = [self.document]
        recent += [
            item for until, item in self.earlier_documents if self.now - until < 2 + self.longest_s
        ]
        counts = Counter(use.server for use in self.uses)
        for name, count in counts.items():
            slots = max(s.slots for item in recent for s in item.servers if s.name == name)
            assert count <= slots, f"seed {self.seed} at {self.now:.2f}: {name} has {count}"
        capacity = max(item.places[0].capacity for item in recent)
        total = sum(counts.values())
        assert total <= capacity, f"seed {self.seed} at {self.now:.2f}: the place has {total}"


def with_state(item: ServiceDocument, state) -> ServiceDocument:
    """Return a document with all backend servers in the given state."""
    return replace(item, servers=tuple(replace(server, state=state) for server in item.servers))
