"""Tests of the time until tokens follow a change of owner, and of the size of renewals."""

from collections import Counter

from .simulation import LONGEST_S, SERVICE, SHARD, World

POOL = "10.9.0.1:80"


def settled_world(**options) -> World:
    world = World(3, load=0.0, **options)
    world.run(4.0)
    assert world.free_tokens() == (4, world.capacity)
    world.run(4.2)
    return world


def test_leaving_owner_hands_over_within_a_second() -> None:
    """Guards against a planned stop that leaves backend servers without requests."""
    world = settled_world()
    (owner,) = world.owners()
    owner.membership.set_leaving(owner.now(world))
    world.run(world.now + 1.0)
    (new_owner,) = world.owners()
    assert new_owner is not owner
    # The tokens that settled_world acquired are still in use at the former owner.
    used = Counter(token.server for token in owner.slots._tokens.values())
    now = new_owner.now(world)
    assert used.total() == world.capacity
    assert new_owner.slots.available(now, SERVICE, "s0") == 0
    for token in list(owner.slots._tokens.values()):
        owner.slots.release(owner.now(world), token)
    world.run(world.now + 1.0)
    assert world.free_tokens() == (4, world.capacity)


def test_two_relays_reach_an_owner_while_one_leaves() -> None:
    """Guards against requests refused because two VMs name each other as the owner."""
    world = settled_world()
    (owner,) = world.owners()
    owner.membership.set_leaving(owner.now(world))
    until = world.now + 1.0
    while world.now < until:
        world.run(world.now + 0.01)
        owners = {
            vm.identity.vm: vm.slots.owner_of(SHARD, vm.membership.view).vm for vm in world.live()
        }
        for name in owners.values():
            assert owners[owners[name]] == owners[name], owners
    assert owner.identity.vm not in owners.values()


def test_tokens_move_after_a_graceful_stop() -> None:
    """Guards against a graceful stop that delays tokens like a crash, or never ends."""
    world = settled_world()
    (owner,) = world.owners()
    for token in list(owner.slots._tokens.values()):
        owner.slots.release(owner.now(world), token)
    world.leave(owner.identity.vm)
    world.run(world.now + 4.0)
    assert not owner.is_alive
    assert world.owners()[0].slots.roster.changes[-1].is_graceful
    assert world.free_tokens() == (4, world.capacity)


def test_crashed_owner_is_replaced_within_three_seconds() -> None:
    """Guards against a place without an owner, and loans that are freed too late or too early."""
    world = settled_world()
    (owner,) = world.owners()
    world.crash(owner.identity.vm)
    world.run(world.now + 3.0)
    (new_owner,) = world.owners()
    shards = [vm.slots.owner_of(SHARD, vm.membership.view).vm for vm in world.live()]
    assert set(shards) == {new_owner.identity.vm}
    services = [vm.slots._services[SERVICE] for vm in world.live()]
    assert sum(item.lender.lent(POOL) for item in services) > 0, "loans to the crashed owner"
    world.run(world.now + LONGEST_S + 1.0)
    home_tokens = sum(item.lender.owned.get(POOL, 0) for item in services)
    assert (
        new_owner.slots._services[SERVICE].available(new_owner.now(world), POOL, 4, True)
        == home_tokens
        > 0
    )


def test_unchanged_loans_use_few_bytes() -> None:
    """Guards against renewals and responses that repeat the whole grant each time."""
    world = settled_world(is_encoded=True)
    world.bytes_sent.clear()
    world.run(world.now + 10.0)
    loans = Counter()
    for (vm, kind), size in world.bytes_sent.items():
        if kind in ("loan-renewal", "loan-answer"):
            loans[vm] += size
    assert max(loans.values()) / 10.0 < 500.0
