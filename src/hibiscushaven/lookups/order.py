"""Orders of entry VMs for a caller."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf, log
from random import Random

from xxhash import xxh3_64_intdigest

__all__ = [
    "DEFAULT_LIMIT",
    "ORDERS",
    "EntryVm",
    "Fleet",
    "LookupQuery",
    "Order",
    "order",
    "order_vms",
    "prepare_fleet",
]

DEFAULT_LIMIT = 8

# Alternates in so many other failure domains, so that a caller outlives the loss of two.
ALTERNATE_DOMAINS = 2

# Least weight of a loaded VM: load reports are late, so no VM is left out because of one.
_MIN_WEIGHT = 0.1

_HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True)
class EntryVm:
    """An entry VM as the view of the system shows it.

    :ivar is_up: false for a suspect VM.
    :ivar load: part of its capacity in use, from 0 to 1.
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
    vm: EntryVm
    key: bytes
    inverse_weight: float


@dataclass(frozen=True, slots=True)
class _Domain:
    name: str
    region: str
    key: bytes
    members: tuple[_Member, ...]


@dataclass(frozen=True, slots=True)
class Fleet:
    """Entry VMs that may be handed out, grouped by failure domain.

    :ivar up: domains with the VMs that are up.
    :ivar suspect: domains with the VMs that may be down.
    """

    up: tuple[_Domain, ...]
    suspect: tuple[_Domain, ...]


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """What is known of a caller, and where its traffic may go.

    :ivar caller: bytes that are the same for each look-up of a caller, such as its address.
    :ivar region: the caller's region, empty if unknown.
    :ivar failure_domain: the caller's failure domain, empty if unknown.
    :ivar shares: current shares by failure domain of the place.
    :ivar first_shares: row of the plan of flows for this caller's failure domain. With it,
        callers are spread so that the places get their shares of all arrivals. Without it,
        the caller's surroundings come first wherever their share is over 0.
    :ivar delays: one-way delay between two regions.
    """

    caller: bytes
    region: str = ""
    failure_domain: str = ""
    shares: Mapping[str, float] = field(default_factory=dict)
    first_shares: Mapping[str, float] | None = None
    delays: Mapping[frozenset[str], float] = field(default_factory=dict)


Order = Callable[[tuple[_Domain, ...], LookupQuery, Random], Iterable[EntryVm]]

ORDERS: dict[str, Order] = {}


def order(name: str) -> Callable[[Order], Order]:
    """Register an order under a name."""

    def register(function: Order) -> Order:
        ORDERS[name] = function
        return function

    return register


def prepare_fleet(vms: Iterable[EntryVm]) -> Fleet:
    """Group the VMs once per change of the view; leaving VMs are omitted."""
    staying = sorted((vm for vm in vms if not vm.is_leaving), key=lambda vm: vm.name)
    return Fleet(
        _group(vm for vm in staying if vm.is_up), _group(vm for vm in staying if not vm.is_up)
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
    """Return the entry VMs for a caller by the order of that name.

    Suspect VMs come last. The list holds VMs of at least two other failure domains than
    the first one's, where there are any.

    Examples
    ========

    >>> vms = [EntryVm(f"{d}-{i}", "127.0.0.1", 80, d[0], d) for d in ("a1", "b1") for i in "12"]
    >>> query = LookupQuery(b"caller", region="b", shares={"a1": 0.5, "b1": 0.5})
    >>> [vm.failure_domain for vm in order_vms("spread", prepare_fleet(vms), query, Random(1))]
    ['b1', 'b1', 'a1', 'a1']

    """
    function = ORDERS[name]
    ordered = list(function(fleet.up, query, rng))
    if fleet.suspect:
        ordered.extend(function(fleet.suspect, query, rng))
    return _cut(ordered, max(limit, ALTERNATE_DOMAINS + 1))


def _cut(ordered: list[EntryVm], limit: int) -> tuple[EntryVm, ...]:
    """Cut the list to the limit, keeping the first VM of two other failure domains."""
    if len(ordered) <= limit:
        return tuple(ordered)
    kept: dict[str, int] = {}
    for index, vm in enumerate(ordered):
        if len(kept) > ALTERNATE_DOMAINS:
            break
        kept.setdefault(vm.failure_domain, index)
    beyond = sorted(index for index in kept.values() if index >= limit)
    if not beyond:
        return tuple(ordered[:limit])
    needed = set(kept.values())
    spare = [index for index in range(limit) if index not in needed]
    indexes = sorted([*needed, *spare[: limit - len(needed)]])
    return tuple(ordered[index] for index in indexes)


@order("random")
def _random(domains: tuple[_Domain, ...], query: LookupQuery, rng: Random) -> Iterable[EntryVm]:
    """Every order is equally likely; the baseline of the measurements."""
    vms = [member.vm for domain in domains for member in domain.members]
    rng.shuffle(vms)
    return vms


@order("nearest")
def _nearest(domains: tuple[_Domain, ...], query: LookupQuery, rng: Random) -> Iterable[EntryVm]:
    """By distance alone, then by load; equal callers all use the same VM."""
    ranked = sorted(domains, key=lambda domain: (_distance(domain, query), domain.name))
    for domain in ranked:
        members = sorted(domain.members, key=lambda item: (item.vm.load, item.key))
        yield from (member.vm for member in members)


@order("spread")
def _spread(domains: tuple[_Domain, ...], query: LookupQuery, rng: Random) -> Iterable[EntryVm]:
    """Near domains by their shares, and rendezvous hashing of the caller within them.

    The first two VMs are in the first domain, so that the loss of one VM moves no caller
    to another place; then comes one VM of each other domain.
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
    draws = {domain.name: _draw(domain.key, seed) for domain in domains}
    shares = query.shares

    def key(domain: _Domain) -> tuple[bool, tuple[int, float], float]:
        share = shares.get(domain.name, 0.0)
        return share <= 0, _distance(domain, query), _score(draws[domain.name], share)

    ranked = sorted(domains, key=key)
    if query.first_shares is not None:
        first = min(
            ranked, key=lambda item: _score(draws[item.name], query.first_shares.get(item.name, 0))
        )
        ranked.remove(first)
        ranked.insert(0, first)
    return ranked


def _rank_members(members: tuple[_Member, ...], seed: int) -> list[EntryVm]:
    if len(members) == 1:
        return [members[0].vm]
    scored = [(_draw(item.key, seed) * item.inverse_weight, item.key, item.vm) for item in members]
    scored.sort()
    return [item[2] for item in scored]


def _draw(key: bytes, seed: int) -> float:
    """Return an exponentially distributed number that is the same for the same arguments."""
    return -log((xxh3_64_intdigest(key, seed) + 1) / _HASH_RANGE)


def _score(draw: float, weight: float) -> float:
    """Return a score whose least one falls to each item in proportion to its weight."""
    return draw / weight if weight > 0 else inf


def _distance(domain: _Domain, query: LookupQuery) -> tuple[int, float]:
    """Return the caller's distance class and the delay between the regions."""
    if domain.name == query.failure_domain:
        return 0, 0.0
    if domain.region == query.region:
        return 1, 0.0
    return 2, query.delays.get(frozenset((domain.region, query.region)), inf)
