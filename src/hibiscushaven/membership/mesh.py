"""Topology of a failure domain: which VMs exchange heartbeats and which VMs are relays."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

__all__ = ["MAX_FULL_MESH_VMS", "RELAY_COUNT", "neighbours_of", "rank", "relays_of"]

MAX_FULL_MESH_VMS = 8
RELAY_COUNT = 2

# Two neighbours on each of four independently hashed rings give a VM up to eight links, on which
# both ends agree. Choosing the top eight by rendezvous hash instead would not be symmetric.
_RING_COUNT = 4


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names by decreasing rendezvous weight for a key.

    Examples
    ========

    >>> sorted(rank("key", ["a", "b"]))
    ['a', 'b']

    """
    return sorted(names, key=lambda name: (-_weight(key, name), name))


def relays_of(domain: str, names: Iterable[str]) -> list[str]:
    """Return the VMs of a failure domain that send and receive digests for it."""
    return rank(f"relay/{domain}", names)[:RELAY_COUNT]


@lru_cache(maxsize=64)
def neighbours_of(names: frozenset[str]) -> dict[str, frozenset[str]]:
    """Return the neighbours of each VM of a failure domain; the relation is symmetric."""
    if len(names) <= MAX_FULL_MESH_VMS:
        return {name: names - {name} for name in names}
    links: dict[str, set[str]] = {name: set() for name in names}
    for number in range(_RING_COUNT):
        ring = rank(f"ring/{number}", names)
        for left, right in zip(ring, ring[1:] + ring[:1], strict=True):
            links[left].add(right)
            links[right].add(left)
    return {name: frozenset(others) for name, others in links.items()}


@lru_cache(maxsize=65536)
def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
