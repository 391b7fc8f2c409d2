"""Cache affinity: which backend servers should have an object in their cache."""

from collections import OrderedDict

import xxhash

from hibiscushaven.fleet import token_of as hash_of

__all__ = [
    "RendezvousOrder",
    "ReplicationFactor",
    "cache_hit_counter",
    "cache_lookup_counter",
    "position_of",
]

# Orders kept in memory; enough for all objects of today's services.
MAX_CACHED_ORDERS = 4096

# Largest number of servers of a region that should cache the same object. With one, requests
# queue for it while other servers idle; with three, each server is sent more objects than it can
# cache and evicts them between requests.
MAX_REPLICATION_FACTOR = 2

# Cache hit rate above which more objects get a second server. Processing times vary, so that one
# in ten cache hits is mistaken for a miss.
TARGET_HIT_RATE = 0.8

# Change of the replication factor per second, per unit of difference between the hit rate and
# its target. At a hit rate of 1, all objects have a second server after about 5 s.
GAIN_PER_S = 1.0

# Lookup rate below which the hit rate is too uncertain to act on.
MIN_LOOKUPS_PER_S = 2.0

_MAX_HASH = 2.0**32


def position_of(key: str) -> float:
    """Return the hash of an object's key as a position in [0, 1), the same on all VMs.

    Examples
    ========

    >>> 0 <= position_of("17") < 1
    True

    """
    return xxhash.xxh32_intdigest(key.encode(), seed=1) / _MAX_HASH


class RendezvousOrder:
    """Order of the servers for each object by rendezvous (highest random weight) hashing.

    Explanation
    ===========

    All VMs compute the same order, so that the requests for an object reach the same few servers,
    which then have it cached. Adding or removing a server changes the order of few objects.

    Examples
    ========

    >>> order = RendezvousOrder()
    >>> servers = ("s1", "s2", "s3")
    >>> order.servers_for("17", servers) == order.servers_for("17", servers)
    True
    >>> sorted(order.servers_for("17", servers))
    ['s1', 's2', 's3']

    """

    def __init__(self) -> None:
        self._orders: OrderedDict[tuple[str, tuple[str, ...]], tuple[str, ...]] = OrderedDict()

    def servers_for(self, key: str, server_ids: tuple[str, ...]) -> tuple[str, ...]:
        """Return the servers in order of preference, those that should cache the object first."""
        order = self._orders.get((key, server_ids))
        if order is None:
            order = tuple(sorted(server_ids, key=lambda name: hash_of(f"{key}/{name}")))
            self._orders[key, server_ids] = order
            if len(self._orders) > MAX_CACHED_ORDERS:
                self._orders.popitem(last=False)
        return order


def cache_lookup_counter(service: str, region: str) -> str:
    """Return the name under which responses from servers that should have a hit are counted."""
    return f"{service}/{region}/known"


def cache_hit_counter(service: str, region: str) -> str:
    """Return the name under which those responses are counted whose duration shows a hit."""
    return f"{service}/{region}/hit"


class ReplicationFactor:
    """How many servers of a region should cache each object, adapted to the cache hit rate.

    Explanation
    ===========

    Servers evict objects when their caches are full, and do not report how large the caches are.
    A second server with an object cached helps while the first one is busy or slow, until the
    caches overflow. The fraction of objects with a second server therefore grows while the hit
    rate is above its target and shrinks while it is below. It starts with one server for each
    object, which fills empty caches soonest. The rates are those of the whole deployment, so that
    all VMs converge to about the same value.

    Whether an object has a second server depends on its position, which is the same on all VMs.

    :ivar value: mean number of servers for each object.

    Examples
    ========

    >>> factor = ReplicationFactor()
    >>> for now in (0.0, 1.0, 2.0):
    ...     factor.update(now, lookups_per_s=50.0, hits_per_s=50.0)
    >>> round(factor.value, 2), factor.replicas_at(0.1), factor.replicas_at(0.9)
    (1.4, 2, 1)

    """

    def __init__(self) -> None:
        self.value = 1.0
        self._updated_at: float | None = None

    def update(self, now: float, lookups_per_s: float, hits_per_s: float) -> None:
        """Adapt to the rates of lookups that should hit and of those that did."""
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        if lookups_per_s < MIN_LOOKUPS_PER_S:
            return
        surplus = hits_per_s / lookups_per_s - TARGET_HIT_RATE
        value = self.value + GAIN_PER_S * surplus * elapsed_s
        self.value = max(1.0, min(float(MAX_REPLICATION_FACTOR), value))

    def replicas_at(self, position: float) -> int:
        """Return how many servers should cache an object with a position in [0, 1)."""
        return 1 + (position < self.value - 1.0)
