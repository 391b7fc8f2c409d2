"""Order in which backend servers are tried for an object."""

from collections import OrderedDict

import xxhash

from hibiscushaven.fleet import token_of as hash_of

__all__ = ["COPIES", "ObjectOrder", "position_of"]

# Orders that are kept; enough for all objects of today's services.
ORDER_LIMIT = 4096

# Servers of a region that should know each object. With one, requests wait for it while others
# idle; with three, servers know too many objects and forget them in between.
COPIES = 2

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
