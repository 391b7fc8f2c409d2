"""Faults of the simulated failure domain, by name."""

from collections.abc import Callable

from hibiscushaven.documents import AdminState

from .simulation import World, with_state

__all__ = ["BEGIN_S", "END_S", "FAULTS", "inject"]

Fault = Callable[[World, str, str], None]

BEGIN_S, END_S = 2.5, 6.0

FAULTS: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault that begins when it is called and ends at ``END_S``."""
    FAULTS[function.__name__] = function
    return function


def inject(world: World, names: tuple[str, ...]) -> None:
    """Schedule each fault at a random time, mostly on an owner of the shard."""
    for name in names:
        vms = sorted(world.vms)
        owners = sorted(vm.identity.vm for vm in world.owners()) or vms
        first = world.rng.choice(owners if world.rng.random() < 0.75 else vms)
        second = world.rng.choice([vm for vm in vms if vm != first])
        begin = world.rng.uniform(BEGIN_S, BEGIN_S + 1.5)
        world.at(begin, lambda fault=FAULTS[name], pair=(first, second): fault(world, *pair))


def _add_vm(world: World) -> None:
    if "vm8" not in world.vms:
        world.start_vm("vm8")


@fault
def loss(world: World, first: str, second: str) -> None:
    world.network.loss = world.rng.uniform(0.1, 0.6)
    world.at(END_S, lambda: setattr(world.network, "loss", 0.0))


@fault
def delay(world: World, first: str, second: str) -> None:
    world.network.delay_s = world.rng.choice((0.3, 1.0, 3.0))
    world.at(END_S, lambda: setattr(world.network, "delay_s", 0.0))


@fault
def duplicates(world: World, first: str, second: str) -> None:
    """Messages are duplicated and reordered."""
    world.network.duplicates, world.network.delay_s = 0.7, 0.8
    world.at(END_S, lambda: setattr(world.network, "duplicates", 0.0))
    world.at(END_S, lambda: setattr(world.network, "delay_s", 0.0))


@fault
def pause(world: World, first: str, second: str) -> None:
    world.pause(first, world.rng.uniform(0.5, END_S - world.now))


@fault
def crash(world: World, first: str, second: str) -> None:
    """A VM crashes, is not restarted and disappears from the platform's list."""
    world.crash(first)
    world.unlisted.add(first)
    world.list_vms()


@fault
def replacement(world: World, first: str, second: str) -> None:
    """A VM crashes and a new incarnation starts at the same address."""
    world.crash(first)
    world.at(world.now + world.rng.uniform(0.1, 0.4), lambda: world.start_vm(first))


@fault
def paused_replacement(world: World, first: str, second: str) -> None:
    """A VM is paused and resumes after its successor has joined.

    The longer pause ends when the successor may already use the home tokens of the VM.
    """
    old = world.vms[first]
    world.pause(first, world.rng.choice((2.5, 6.5 + world.longest_s)))
    world.superseded.append(old)
    old.next_step = float("inf")  # it no longer accesses the table
    world.at(world.now + 0.1, lambda: world.start_vm(first))
    world.at(old.paused_until + 2.0, lambda: setattr(old, "is_alive", False))


@fault
def asymmetric_cut(world: World, first: str, second: str) -> None:
    """Messages from one VM to another, or to all others, are lost."""
    targets = world.rng.choice(({second}, set(world.vms)))
    world.cuts.append(lambda source, target: source == first and target in targets)
    world.at(END_S, world.cuts.clear)


@fault
def isolation(world: World, first: str, second: str) -> None:
    world.cuts.append(lambda source, target: (source == first) != (target == first))
    world.at(END_S, world.cuts.clear)


@fault
def half_cut(world: World, first: str, second: str) -> None:
    side = {first, second}
    world.cuts.append(lambda source, target: (source in side) != (target in side))
    world.at(END_S, world.cuts.clear)


@fault
def table_down(world: World, first: str, second: str) -> None:
    """The table is down while a new VM tries to join."""
    world.platform.faults.is_down = True
    _add_vm(world)
    world.at(END_S, lambda: setattr(world.platform.faults, "is_down", False))


@fault
def lost_answers(world: World, first: str, second: str) -> None:
    """Responses to roster writes are lost while one VM leaves and another joins."""
    world.platform.faults.lost_answers = 3
    _add_vm(world)
    world.leave(first)
    world.at(END_S, lambda: setattr(world.platform.faults, "lost_answers", 0))


@fault
def list_lag(world: World, first: str, second: str) -> None:
    """The list lacks a VM that has joined, and reads do not return the last write."""
    world.platform.faults.list_lag = 1
    world.platform.faults.stale_reads = 2
    _add_vm(world)
    world.list_vms()
    world.at(END_S, lambda: setattr(world.platform.faults, "list_lag", 0))


@fault
def leave(world: World, first: str, second: str) -> None:
    world.leave(first)


@fault
def fewer_slots(world: World, first: str, second: str) -> None:
    world.set_document(world.new_document(slots=2, capacity=world.rng.choice((3, 6))))
    world.at(END_S, lambda: world.set_document(world.new_document()))


@fault
def leaving_servers(world: World, first: str, second: str) -> None:
    world.set_document(with_state(world.new_document(), AdminState.LEAVING))
    world.at(END_S, lambda: world.set_document(world.new_document()))
