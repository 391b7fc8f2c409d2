"""Order in which backend servers are tried for an object."""

from collections import OrderedDict

import xxhash

from hibiscushaven.fleet import token_of as hash_of

__all__ = ["CopyLevel", "ObjectOrder", "hit_rate_name", "known_rate_name", "position_of"]

# Orders that are kept; enough for all objects of today's services.
ORDER_LIMIT = 4096

# Most servers of a region that should know an object. With one, requests wait for it while
# others idle; with three, servers know too many objects and forget them in between.
MOST_COPIES = 2

# Part of the answers about objects that servers should know from which on more of the objects
# get a second server. Work varies, so that one in ten known objects looks unknown.
HIT_TARGET = 0.8

# Change of the level in a second for each unit of the part above or below the target: a second
# server for all objects takes some 5 s when all is known.
LEVEL_GAIN_PER_S = 1.0

# Rate below which the answers say too little.
LEAST_KNOWN_PER_S = 2.0

_MAX_HASH = 2.0**32


def position_of(key: str) -> float:
    """Return a place for an object from 0 to 1, the same at all VMs.

    Examples
    ========

    >>> 0 <= position_of("17") < 1
    True

    """
    return xxhash.xxh32_intdigest(key.encode(), seed=1) / _MAX_HASH


class ObjectOrder:
    """Rendezvous order of the servers for each object.

    Explanation
    ===========

    All VMs order the servers of an object alike, so that its requests meet at few servers,
    which know it then. A server that joins or leaves changes the order of few objects.

    Examples
    ========

    >>> order = ObjectOrder()
    >>> servers = ("s1", "s2", "s3")
    >>> order.of("17", servers) == order.of("17", servers)
    True
    >>> sorted(order.of("17", servers))
    ['s1', 's2', 's3']

    """

    def __init__(self) -> None:
        self._orders: OrderedDict[tuple[str, tuple[str, ...]], tuple[str, ...]] = OrderedDict()

    def of(self, key: str, server_ids: tuple[str, ...]) -> tuple[str, ...]:
        """Return the servers, those that should know the object first."""
        found = self._orders.get((key, server_ids))
        if found is None:
            found = tuple(sorted(server_ids, key=lambda name: hash_of(f"{key}/{name}")))
            self._orders[key, server_ids] = found
            if len(self._orders) > ORDER_LIMIT:
                self._orders.popitem(last=False)
        return found


def known_rate_name(service: str, region: str) -> str:
    """Return the name of the rate of answers about objects that servers should know."""
    return f"{service}/{region}/known"


def hit_rate_name(service: str, region: str) -> str:
    """Return the name of the rate of those answers whose time shows that they did."""
    return f"{service}/{region}/hit"


class CopyLevel:
    """How many servers of a region should know each object, learnt from their answers.

    Explanation
    ===========

    Servers forget objects when they serve too many, and how many they keep is told nowhere. A
    second server that knows an object helps while the first one is busy or slow, until servers
    begin to forget. So the part of the objects with a second server grows while the servers
    know what they should, and shrinks while they do not. At first each has one, which servers
    that know nothing learn soonest. The rates are those of the whole
    deployment, so that all VMs come to about the same level.

    Which objects have a second server follows from their position, the same at all VMs.

    Examples
    ========

    >>> level = CopyLevel()
    >>> for now in (0.0, 1.0, 2.0):
    ...     level.move(now, known_per_s=50.0, hits_per_s=50.0)
    >>> round(level.level, 2), level.copies_at(0.1), level.copies_at(0.9)
    (1.4, 2, 1)

    """

    def __init__(self) -> None:
        self.level = 1.0
        self._moved_at: float | None = None

    def move(self, now: float, known_per_s: float, hits_per_s: float) -> None:
        """Follow the rates of answers about objects that servers should know."""
        elapsed_s = 0.0 if self._moved_at is None else now - self._moved_at
        self._moved_at = now
        if known_per_s < LEAST_KNOWN_PER_S:
            return
        surplus = hits_per_s / known_per_s - HIT_TARGET
        level = self.level + LEVEL_GAIN_PER_S * surplus * elapsed_s
        self.level = max(1.0, min(float(MOST_COPIES), level))

    def copies_at(self, position: float) -> int:
        """Return the servers that should know an object with a position from 0 to 1."""
        return 1 + (position < self.level - 1.0)
