"""Topology of a failure domain: which VMs exchange heartbeats and which VMs are relays."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

__all__ = ["MAX_FULL_MESH_VMS", "RELAY_COUNT", "heartbeat_peers_of", "rank", "relays_of"]

MAX_FULL_MESH_VMS = 8
RELAY_COUNT = 2

# The two adjacent VMs on each of four independently hashed rings give a VM up to eight heartbeat
# peers. The relation is symmetric, unlike a choice of the top eight by rendezvous hash.
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
def heartbeat_peers_of(names: frozenset[str]) -> dict[str, frozenset[str]]:
    """Return the VMs that each VM exchanges heartbeats with; the relation is symmetric.

    :param names: all VMs of the failure domain.
    """
    if len(names) <= MAX_FULL_MESH_VMS:
        return {name: names - {name} for name in names}
    links: dict[str, set[str]] = {name: set() for name in names}
    for number in range(_RING_COUNT):
        ring = rank(f"ring/{number}", names)
        for vm, successor in zip(ring, ring[1:] + ring[:1], strict=True):
            links[vm].add(successor)
            links[successor].add(vm)
    return {name: frozenset(others) for name, others in links.items()}


@lru_cache(maxsize=65536)
def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
