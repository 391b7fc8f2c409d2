"""Shards, their groups and owners, and the home VM of each slot token."""

import math
from dataclasses import dataclass

from hibiscushaven.membership import View
from hibiscushaven.membership.mesh import rank

from .roster import Roster, RosterMember

__all__ = [
    "GROUP_VMS",
    "PLACE_POOL",
    "SHARD_SERVERS",
    "Shard",
    "group_of",
    "owner_of",
    "shard_count",
    "token_homes",
]

GROUP_VMS = 5
SHARD_SERVERS = 32

# Pool of the tokens for the place's capacity; the names of other pools are server addresses.
PLACE_POOL = ""


@dataclass(frozen=True, slots=True, order=True)
class Shard:
    """Up to 32 backend servers of a service in the failure domain's place.

    Examples
    ========

    >>> str(Shard("stock", 0))
    'stock/0'

    """

    service: str
    index: int = 0

    def __str__(self) -> str:
        return f"{self.service}/{self.index}"


def shard_count(servers: int) -> int:
    """Return the number of shards of a place.

    Examples
    ========

    >>> shard_count(32), shard_count(33)
    (1, 2)

    """
    return max(1, math.ceil(servers / SHARD_SERVERS))


def group_of(roster: Roster, shard: Shard) -> tuple[RosterMember, ...]:
    """Return the VMs that may own a shard, in order of preference.

    Explanation
    ===========

    The group of a service's first shard also contains the homes of all its tokens. If homes
    depended on the token's shard, they would change whenever a backend server is added.
    """
    group = roster.groups.get(str(shard))
    if group is None:
        names = rank(f"group/{shard}", roster.by_vm)[:GROUP_VMS]
        group = roster.groups[str(shard)] = tuple(roster.by_vm[name] for name in names)
    return group


def owner_of(roster: Roster, shard: Shard, view: View) -> RosterMember | None:
    """Return the owner of a shard: the first member of its group that is up and not leaving."""
    for member in group_of(roster, shard):
        if view.is_up(member.vm, member.incarnation):
            return member
    return None


def token_homes(roster: Roster, service: str, pool: str, count: int) -> tuple[str, ...]:
    """Return the home VM of each of the first ``count`` tokens of a pool.

    Explanation
    ===========

    A token's home depends on its number but not on ``count``, so that VMs with different
    revisions of a document never count the same token twice.

    Examples
    ========

    >>> roster = Roster().with_member(RosterMember("vm-1", "a", "10.0.0.1", 7000))
    >>> token_homes(roster, "stock", "10.0.1.1:80", 2)
    ('vm-1', 'vm-1')

    """
    key = (service, pool, count)
    homes = roster.homes.get(key)
    if homes is None:
        group = [member.vm for member in group_of(roster, Shard(service))]
        homes = roster.homes[key] = tuple(
            rank(f"token/{service}/{pool}/{number}", group)[0]
            for number in range(count if group else 0)
        )
    return homes
