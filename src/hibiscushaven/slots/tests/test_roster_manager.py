"""Tests of the roster manager with faults of the platform."""

import asyncio

from hibiscushaven.membership import Member, MemberState, View
from hibiscushaven.peers import PeerIdentity
from hibiscushaven.slots import RosterManager
from hibiscushaven.tablestore import MemoryPlatform, VmRecord, VmState


def identity(number: int, incarnation: str = "a") -> PeerIdentity:
    return PeerIdentity(f"vm{number}", incarnation, "d", "r", "10.0.0.1", 7000 + number)


def view_of(listed: set[int], alive: set[int], listed_at: float | None) -> View:
    members = {f"vm{n}": Member(f"vm{n}", MemberState.UP, identity(n)) for n in alive}
    entries = tuple(
        VmRecord(f"vm{n}", "d", "r", "10.0.0.1", 7000 + n, VmState.LIVE) for n in sorted(listed)
    )
    return View(members, entries, listed_at)


EMPTY = view_of(set(), set(), None)


def step(
    manager: RosterManager, now: float = 0.0, view: View = EMPTY, live_incarnations=frozenset()
):
    return asyncio.run(manager.step(now, view, live_incarnations))


def names(manager: RosterManager) -> list[str]:
    return [member.vm for member in manager.roster.members]


def joined(platform: MemoryPlatform, count: int) -> list[RosterManager]:
    managers = [RosterManager(platform, identity(number)) for number in range(count)]
    for manager in managers:
        step(manager)
    return managers


def test_writes_with_lost_responses_take_effect_once() -> None:
    """Guards against a join or leave that is repeated or treated as failed."""
    platform = MemoryPlatform()
    platform.faults.lost_answers = 1
    manager = RosterManager(platform, identity(0))
    step(manager)
    assert manager.is_member
    assert step(manager).version == 1
    platform.faults.lost_answers = 1
    assert asyncio.run(manager.leave(1.0))
    assert manager.roster.version == 2
    assert manager.roster.changes[-1].is_graceful


def test_concurrent_joins_and_stale_reads_lose_no_member() -> None:
    """Guards against a join that overwrites the join of another VM."""
    platform = MemoryPlatform()
    first, second = joined(platform, 2)
    assert names(second) == ["vm0", "vm1"]
    third = RosterManager(platform, identity(2))
    platform.faults.stale_reads = 1
    step(third)
    assert not third.is_member
    step(third)
    platform.faults.stale_reads = 1
    step(third)
    assert names(third) == ["vm0", "vm1", "vm2"]
    assert step(first).version == 3


def test_roster_is_unchanged_while_the_table_is_down() -> None:
    """Guards against a roster that is emptied or changed during an outage."""
    platform = MemoryPlatform()
    (manager,) = joined(platform, 1)
    step(manager)
    platform.faults.is_down = True
    assert step(manager, 5.0).version == 1
    assert manager.read_at == 0.0
    assert not asyncio.run(manager.leave(6.0))


def test_member_is_removed_only_when_unlisted_and_down_in_all_views() -> None:
    """Guards against the removal of a VM that is listed, or alive in the view of any VM."""
    platform = MemoryPlatform()
    manager, _ = joined(platform, 2)
    step(manager, 0.0, view_of({0, 1}, {0, 1}, 0.0))
    for now in range(1, 15):
        step(manager, now, view_of({0}, {0, 1}, now))
    for now in range(15, 30):
        step(manager, now, view_of({0, 1}, {0}, now))
    for now in range(30, 45):
        step(manager, now, view_of({0}, {0}, now), frozenset({"a"}))
    for now in range(45, 60):
        step(manager, now, view_of({0}, {0}, 0.0))
    for now in range(60, 71):
        assert names(manager) == ["vm0", "vm1"]
        step(manager, now, view_of({0}, {0}, now))
    assert names(manager) == ["vm0"]
    assert not manager.roster.changes[-1].is_graceful


def test_member_that_was_never_listed_is_removed_later() -> None:
    """Guards against the removal of a new VM that a lagging list does not contain yet."""
    platform = MemoryPlatform()
    manager, _ = joined(platform, 2)
    for now in range(60):
        step(manager, now, view_of({0}, {0}, now))
        assert names(manager) == ["vm0", "vm1"]
    step(manager, 60, view_of({0}, {0}, 60))
    assert names(manager) == ["vm0"]


def test_replaced_incarnation_does_not_join_again() -> None:
    """Guards against a resumed incarnation that removes its successor from the roster."""
    platform = MemoryPlatform()
    (old,) = joined(platform, 1)
    step(old)
    new = RosterManager(platform, identity(0, "b"))
    step(new)
    step(old)
    assert old.is_replaced
    assert [member.incarnation for member in step(new).members] == ["b"]
