"""Order in which backend servers are tried for an object."""

from collections import Counter, OrderedDict, deque
from math import exp

import xxhash

from hibiscushaven.fleet import token_of as hash_of

__all__ = ["ObjectOrder", "ObjectSample", "copies_of", "position_of"]

# Orders that are kept; enough for all objects of today's services.
ORDER_LIMIT = 4096

# Most servers of a region that should know an object. With one, requests wait for it while
# others idle; with three, servers know too many objects and forget them in between.
MOST_COPIES = 2

# Objects that a server is taken to keep between two requests for one of them.
KEPT_OBJECTS = 20

# Requests from which the number of objects is estimated, and their greatest age.
SAMPLE_LIMIT = 400
SAMPLE_S = 20.0

# Estimate without enough repeated objects to tell.
_MOST_OBJECTS = 1e6
_LEAST_REPEATS = 4

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


def copies_of(servers: int, objects: float) -> int:
    """Return how many of so many servers should know each of so many objects.

    Examples
    ========

    >>> copies_of(10, 100), copies_of(4, 100), copies_of(10, 0)
    (2, 1, 2)

    """
    if objects <= 0:
        return MOST_COPIES
    return max(1, min(MOST_COPIES, round(servers * KEPT_OBJECTS / objects)))


class ObjectSample:
    """Estimates how many objects there are from a part of the requests for them.

    Explanation
    ===========

    Of ``n`` requests for ``m`` objects that are asked for alike, about ``m (1 - exp(-n / m))``
    name different objects. What one VM sees is enough, so that VMs need not exchange objects.
    With few requests the estimate is high, and each object is kept at one server.

    Examples
    ========

    >>> sample = ObjectSample()
    >>> for number in range(200):
    ...     sample.note(0.0, str(number * 7 % 20))
    >>> round(sample.estimate())
    20

    """

    def __init__(self) -> None:
        self._requests: deque[tuple[float, str]] = deque()
        self._counts: Counter[str] = Counter()

    def note(self, now: float, key: str) -> None:
        """Note a request for an object."""
        self._requests.append((now, key))
        self._counts[key] += 1
        while self._requests[0][0] < now - SAMPLE_S or len(self._requests) > SAMPLE_LIMIT:
            _, oldest = self._requests.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def estimate(self) -> float:
        """Return the number of objects."""
        requests, distinct = len(self._requests), len(self._counts)
        low, high = float(distinct), _MOST_OBJECTS
        if requests - distinct < _LEAST_REPEATS:
            return high
        while high - low > 0.01 * low:
            middle = (low + high) / 2
            if middle * (1.0 - exp(-requests / middle)) < distinct:
                low = middle
            else:
                high = middle
        return low
