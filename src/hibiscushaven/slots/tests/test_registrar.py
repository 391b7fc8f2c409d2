"""The roster keeper against a platform that fails."""

import asyncio

from hibiscushaven.membership import Member, MemberState, View
from hibiscushaven.peers import PeerIdentity
from hibiscushaven.slots import RosterKeeper
from hibiscushaven.tablestore import MemoryPlatform, VmRecord, VmState


def identity(number: int, incarnation: str = "a") -> PeerIdentity:
    return PeerIdentity(f"vm{number}", incarnation, "d", "r", "10.0.0.1", 7000 + number)


def view_of(listed: set[int], heard: set[int], listed_at: float | None) -> View:
    members = {f"vm{n}": Member(f"vm{n}", MemberState.UP, identity(n)) for n in heard}
    entries = tuple(
        VmRecord(f"vm{n}", "d", "r", "10.0.0.1", 7000 + n, VmState.LIVE) for n in sorted(listed)
    )
    return View(members, entries, listed_at)


EMPTY = view_of(set(), set(), None)


def step(keeper: RosterKeeper, now: float = 0.0, view: View = EMPTY, heard=frozenset()):
    return asyncio.run(keeper.step(now, view, heard))


def names(keeper: RosterKeeper) -> list[str]:
    return [member.vm for member in keeper.roster.members]


def joined(platform: MemoryPlatform, count: int) -> list[RosterKeeper]:
    keepers = [RosterKeeper(platform, identity(number)) for number in range(count)]
    for keeper in keepers:
        step(keeper)
    return keepers


def test_lost_answers_take_effect_once() -> None:
    """Guards against a join or leave that is repeated, or believed to have failed."""
    platform = MemoryPlatform()
    platform.faults.lost_answers = 1
    keeper = RosterKeeper(platform, identity(0))
    step(keeper)
    assert keeper.is_member
    assert step(keeper).version == 1
    platform.faults.lost_answers = 1
    assert asyncio.run(keeper.leave(1.0))
    assert keeper.roster.version == 2
    assert keeper.roster.changes[-1].is_graceful


def test_racing_joins_and_stale_reads_lose_nobody() -> None:
    """Guards against a join that overwrites another VM's."""
    platform = MemoryPlatform()
    first, second = joined(platform, 2)
    assert names(second) == ["vm0", "vm1"]
    third = RosterKeeper(platform, identity(2))
    platform.faults.stale_reads = 1
    step(third)
    assert not third.is_member
    step(third)
    platform.faults.stale_reads = 1
    step(third)
    assert names(third) == ["vm0", "vm1", "vm2"]
    assert step(first).version == 3


def test_table_down_leaves_the_roster() -> None:
    """Guards against a roster that empties or changes during an outage."""
    platform = MemoryPlatform()
    (keeper,) = joined(platform, 1)
    step(keeper)
    platform.faults.is_down = True
    assert step(keeper, 5.0).version == 1
    assert keeper.read_at == 0.0
    assert not asyncio.run(keeper.leave(6.0))


def test_member_is_removed_only_when_gone_and_silent() -> None:
    """Guards against the removal of a VM that lags in the list, or that anyone hears."""
    platform = MemoryPlatform()
    keeper, _ = joined(platform, 2)
    step(keeper, 0.0, view_of({0, 1}, {0, 1}, 0.0))
    for now in range(1, 15):
        step(keeper, now, view_of({0}, {0, 1}, now))
    for now in range(15, 30):
        step(keeper, now, view_of({0, 1}, {0}, now))
    for now in range(30, 45):
        step(keeper, now, view_of({0}, {0}, now), frozenset({"a"}))
    for now in range(45, 60):
        step(keeper, now, view_of({0}, {0}, 0.0))
    for now in range(60, 71):
        assert names(keeper) == ["vm0", "vm1"]
        step(keeper, now, view_of({0}, {0}, now))
    assert names(keeper) == ["vm0"]
    assert not keeper.roster.changes[-1].is_graceful


def test_member_never_seen_in_the_list_stays_longer() -> None:
    """Guards against the removal of a new VM that a lagging list does not name yet."""
    platform = MemoryPlatform()
    keeper, _ = joined(platform, 2)
    for now in range(60):
        step(keeper, now, view_of({0}, {0}, now))
        assert names(keeper) == ["vm0", "vm1"]
    step(keeper, 60, view_of({0}, {0}, 60))
    assert names(keeper) == ["vm0"]


def test_successor_replaces_and_the_old_one_stays_away() -> None:
    """Guards against a paused incarnation that pushes out its successor."""
    platform = MemoryPlatform()
    (old,) = joined(platform, 1)
    step(old)
    new = RosterKeeper(platform, identity(0, "b"))
    step(new)
    step(old)
    assert old.is_replaced
    assert [member.incarnation for member in step(new).members] == ["b"]
