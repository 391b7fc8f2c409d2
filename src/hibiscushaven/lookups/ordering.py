"""Orderings of entry VMs for a caller."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf, log
from random import Random

from xxhash import xxh3_64_intdigest

__all__ = [
    "DEFAULT_LIMIT",
    "ORDERINGS",
    "EntryVm",
    "Fleet",
    "LookupQuery",
    "Ordering",
    "order_vms",
    "ordering",
    "prepare_fleet",
]

DEFAULT_LIMIT = 8

# Other failure domains with a VM in every list, so that a caller tolerates the loss of two
# failure domains.
MIN_ALTERNATE_DOMAINS = 2

# Lower bound of the weight of a loaded VM. Load reports are delayed, so a high load alone must
# not exclude a VM.
_MIN_WEIGHT = 0.1

_HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True)
class EntryVm:
    """An entry VM as this VM sees it through membership and the platform's list.

    :ivar is_up: false for a suspect VM.
    :ivar load: fraction of its capacity in use, from 0 to 1.
    """

    name: str
    host: str
    port: int
    region: str
    failure_domain: str
    is_up: bool = True
    is_leaving: bool = False
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class _Member:
    """An entry VM with the values that each look-up needs, computed once."""

    vm: EntryVm
    key: bytes
    inverse_weight: float


@dataclass(frozen=True, slots=True)
class _Domain:
    """A failure domain and its entry VMs."""

    name: str
    region: str
    key: bytes
    members: tuple[_Member, ...]


@dataclass(frozen=True, slots=True)
class Fleet:
    """Entry VMs that look-ups may return, grouped by failure domain.

    :ivar up: domains with the VMs that are up.
    :ivar suspect: domains with the VMs that may be down.
    """

    up: tuple[_Domain, ...]
    suspect: tuple[_Domain, ...]


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """What is known about a caller, and the traffic shares of the failure domains.

    :ivar caller: bytes that are the same for each look-up of a caller, such as its address.
    :ivar region: the caller's region, empty if unknown.
    :ivar failure_domain: the caller's failure domain, empty if unknown.
    :ivar shares: current shares by failure domain of the place.
    :ivar first_shares: probability of each failure domain to be the first in the list, from the
        traffic plan's row for the caller's failure domain. With it, callers are spread so that
        the places receive their shares of all arrivals. Without it, the caller's own failure
        domain and region come first wherever their share is greater than 0.
    :ivar delays: one-way delay by pair of regions.
    """

    caller: bytes
    region: str = ""
    failure_domain: str = ""
    shares: Mapping[str, float] = field(default_factory=dict)
    first_shares: Mapping[str, float] | None = None
    delays: Mapping[frozenset[str], float] = field(default_factory=dict)


Ordering = Callable[[tuple[_Domain, ...], LookupQuery, Random], Iterable[EntryVm]]

ORDERINGS: dict[str, Ordering] = {}


def ordering(name: str) -> Callable[[Ordering], Ordering]:
    """Register an ordering under a name."""

    def register(function: Ordering) -> Ordering:
        ORDERINGS[name] = function
        return function

    return register


def prepare_fleet(vms: Iterable[EntryVm]) -> Fleet:
    """Group the VMs by failure domain, without those that are leaving.

    Called once per change of the list of VMs, so that look-ups do not repeat the grouping.
    """
    candidates = sorted((vm for vm in vms if not vm.is_leaving), key=lambda vm: vm.name)
    return Fleet(
        _group(vm for vm in candidates if vm.is_up), _group(vm for vm in candidates if not vm.is_up)
    )


def _group(vms: Iterable[EntryVm]) -> tuple[_Domain, ...]:
    groups: dict[str, list[EntryVm]] = {}
    for vm in vms:
        groups.setdefault(vm.failure_domain, []).append(vm)
    return tuple(
        _Domain(name, members[0].region, name.encode(), tuple(map(_member, members)))
        for name, members in sorted(groups.items())
    )


def _member(vm: EntryVm) -> _Member:
    return _Member(vm, vm.name.encode(), 1.0 / max(_MIN_WEIGHT, 1.0 - vm.load))


def order_vms(
    name: str, fleet: Fleet, query: LookupQuery, rng: Random, limit: int = DEFAULT_LIMIT
) -> tuple[EntryVm, ...]:
    """Return the entry VMs for a caller, sorted by the named ordering.

    Suspect VMs come last. The list contains VMs of at least two failure domains besides the
    first VM's, as far as there are any.

    :param name: key of :data:`ORDERINGS`.
    :param limit: maximum length of the list, raised to 3 to leave room for the alternates.

    Examples
    ========

    >>> vms = [EntryVm(f"{d}-{i}", "127.0.0.1", 80, d[0], d) for d in ("a1", "b1") for i in "12"]
    >>> query = LookupQuery(b"caller", region="b", shares={"a1": 0.5, "b1": 0.5})
    >>> [vm.failure_domain for vm in order_vms("spread", prepare_fleet(vms), query, Random(1))]
    ['b1', 'b1', 'a1', 'a1']

    """
    function = ORDERINGS[name]
    ordered = list(function(fleet.up, query, rng))
    if fleet.suspect:
        ordered.extend(function(fleet.suspect, query, rng))
    return _truncate(ordered, max(limit, MIN_ALTERNATE_DOMAINS + 1))


def _truncate(ordered: list[EntryVm], limit: int) -> tuple[EntryVm, ...]:
    """Truncate the list, keeping the first VM of each of the first three failure domains."""
    if len(ordered) <= limit:
        return tuple(ordered)
    kept: dict[str, int] = {}
    for index, vm in enumerate(ordered):
        if len(kept) > MIN_ALTERNATE_DOMAINS:
            break
        kept.setdefault(vm.failure_domain, index)
    beyond = sorted(index for index in kept.values() if index >= limit)
    if not beyond:
        return tuple(ordered[:limit])
    needed = set(kept.values())
    spare = [index for index in range(limit) if index not in needed]
    indexes = sorted([*needed, *spare[: limit - len(needed)]])
    return tuple(ordered[index] for index in indexes)


@ordering("random")
def _random(domains: tuple[_Domain, ...], query: LookupQuery, rng: Random) -> Iterable[EntryVm]:
    """Return a uniformly random permutation; the baseline of the measurements."""
    vms = [member.vm for domain in domains for member in domain.members]
    rng.shuffle(vms)
    return vms


@ordering("nearest")
def _nearest(domains: tuple[_Domain, ...], query: LookupQuery, rng: Random) -> Iterable[EntryVm]:
    """Sort by distance, then by load; all callers of one location get the same first VM."""
    ranked = sorted(domains, key=lambda domain: (_distance(domain, query), domain.name))
    for domain in ranked:
        members = sorted(domain.members, key=lambda item: (item.vm.load, item.key))
        yield from (member.vm for member in members)


@ordering("spread")
def _spread(domains: tuple[_Domain, ...], query: LookupQuery, rng: Random) -> Iterable[EntryVm]:
    """Rank domains by distance and share, and VMs by weighted rendezvous hashing of the caller.

    The first two VMs are in the first domain, so that the loss of one VM moves no caller
    to another place; then follows one VM of each other domain.
    """
    if not domains:
        return []
    seed = xxh3_64_intdigest(query.caller)
    ranked = _rank_domains(domains, query, seed)
    members = [_rank_members(domain.members, seed) for domain in ranked]
    vms = members[0][:2]
    vms.extend(group[0] for group in members[1:])
    vms.extend(members[0][2:])
    for group in members[1:]:
        vms.extend(group[1:])
    return vms


def _rank_domains(domains: tuple[_Domain, ...], query: LookupQuery, seed: int) -> list[_Domain]:
    hashes = {domain.name: _exponential_hash(domain.key, seed) for domain in domains}
    shares = query.shares

    def key(domain: _Domain) -> tuple[bool, tuple[int, float], float]:
        share = shares.get(domain.name, 0.0)
        return share <= 0, _distance(domain, query), _weighted_score(hashes[domain.name], share)

    ranked = sorted(domains, key=key)
    if query.first_shares is not None:
        first = min(
            ranked,
            key=lambda item: _weighted_score(
                hashes[item.name], query.first_shares.get(item.name, 0)
            ),
        )
        ranked.remove(first)
        ranked.insert(0, first)
    return ranked


def _rank_members(members: tuple[_Member, ...], seed: int) -> list[EntryVm]:
    if len(members) == 1:
        return [members[0].vm]
    scored = [
        (_exponential_hash(item.key, seed) * item.inverse_weight, item.key, item.vm)
        for item in members
    ]
    scored.sort()
    return [item[2] for item in scored]


def _exponential_hash(key: bytes, seed: int) -> float:
    """Hash a key to an exponentially distributed number with mean 1."""
    return -log((xxh3_64_intdigest(key, seed) + 1) / _HASH_RANGE)


def _weighted_score(hash_value: float, weight: float) -> float:
    """Return the item's score in weighted rendezvous hashing, infinite without a weight.

    Of several items with exponentially distributed hashes, each has the lowest score with a
    probability proportional to its weight.
    """
    return hash_value / weight if weight > 0 else inf


def _distance(domain: _Domain, query: LookupQuery) -> tuple[int, float]:
    """Return a distance to sort by: 0 own domain, 1 own region, 2 others by one-way delay."""
    if domain.name == query.failure_domain:
        return 0, 0.0
    if domain.region == query.region:
        return 1, 0.0
    return 2, query.delays.get(frozenset((domain.region, query.region)), inf)
