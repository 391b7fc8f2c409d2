"""Orders in which queued work is taken."""

from abc import ABC, abstractmethod
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush, heapreplace

from .items import Item

__all__ = ["DeadlineLane", "FairLane", "FifoLane", "Lane"]


class Lane(ABC):
    """A queue of items; discarded items stay inside until they reach the head.

    :ivar backlog_s: expected slot time of all items that wait.
    """

    def __init__(self) -> None:
        self.backlog_s = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, item: Item) -> None:
        item.is_queued = True
        self.backlog_s += item.cost_s
        self._length += 1
        self._insert(item)

    def take(self, item: Item) -> None:
        """Take out the head, which is served."""
        self._take_out(item)
        self._forget(item, is_served=True)

    def discard(self, item: Item) -> None:
        """Take out an item that is not served, wherever it is."""
        self._take_out(item)
        self._forget(item, is_served=False)

    @abstractmethod
    def head(self) -> Item | None:
        """Return the item to start next."""

    @abstractmethod
    def ahead_s(self, item: Item) -> float:
        """Return the expected slot time that would be served before an item not yet pushed."""

    @abstractmethod
    def entries(self) -> Iterator[tuple[Item, float]]:
        """Yield the items that wait, each with the slot time ahead of it."""

    @abstractmethod
    def _insert(self, item: Item) -> None: ...

    def _take_out(self, item: Item) -> None:
        item.is_queued = False
        self._length -= 1
        self.backlog_s = max(0.0, self.backlog_s - item.cost_s) if self._length else 0.0

    def _forget(self, item: Item, is_served: bool) -> None:  # noqa: B027 (optional hook)
        """Adjust what a subclass keeps about an item taken out."""


class FifoLane(Lane):
    """Order of arrival."""

    def __init__(self) -> None:
        super().__init__()
        self._items: deque[Item] = deque()

    def head(self) -> Item | None:
        while self._items and not self._items[0].is_queued:
            self._items.popleft()
        return self._items[0] if self._items else None

    def ahead_s(self, item: Item) -> float:
        return self.backlog_s

    def entries(self) -> Iterator[tuple[Item, float]]:
        yield from _with_ahead([item for item in self._items if item.is_queued])

    def _insert(self, item: Item) -> None:
        self._items.append(item)


class DeadlineLane(Lane):
    """Earliest deadline first."""

    def __init__(self) -> None:
        super().__init__()
        self._items: list[tuple[float, int, Item]] = []
        self._count = 0

    def head(self) -> Item | None:
        return self._items[0][2] if self._items else None

    def ahead_s(self, item: Item) -> float:
        position = bisect_left(self._items, (item.work.deadline,))
        return position * self.backlog_s / max(1, len(self))

    def entries(self) -> Iterator[tuple[Item, float]]:
        yield from _with_ahead([entry[2] for entry in self._items])

    def _insert(self, item: Item) -> None:
        self._count += 1
        insort(self._items, (item.work.deadline, self._count, item))

    def _forget(self, item: Item, is_served: bool) -> None:
        at = bisect_left(self._items, (item.work.deadline,))
        while self._items[at][2] is not item:
            at += 1
        del self._items[at]


def _with_ahead(items: list[Item]) -> Iterator[tuple[Item, float]]:
    ahead = 0.0
    for item in items:
        yield item, ahead
        # An item that the reader of this generator refused takes no time.
        ahead += item.cost_s if item.is_queued else 0.0


_FlowKey = tuple[str, str]


@dataclass(slots=True, eq=False)
class _Flow:
    """Items of one caller; ``tag`` is its virtual time, in weighted seconds of service."""

    key: _FlowKey
    share: float
    tag: float
    items: deque[Item] = field(default_factory=deque)
    length: int = 0
    backlog_s: float = 0.0


class _Level:
    """Weighted fair queueing of the items of one priority (start-time fair queueing).

    Tenants have equal weights; callers divide the weight of their tenant by their shares.
    """

    def __init__(self) -> None:
        self._flows: dict[_FlowKey, _Flow] = {}
        self._heap: list[tuple[float, int, _Flow]] = []
        self._tenant_shares: dict[str, float] = {}
        self._virtual_s = 0.0
        self._count = 0
        self.backlog_s = 0.0

    def insert(self, item: Item) -> None:
        key = _flow_key(item)
        flow = self._flows.get(key)
        if flow is None:
            flow = _Flow(key, item.work.caller_share, self._virtual_s)
            self._flows[key] = flow
            shares = self._tenant_shares
            shares[key[0]] = shares.get(key[0], 0.0) + flow.share
            self._count += 1
            heappush(self._heap, (flow.tag, self._count, flow))
        flow.items.append(item)
        flow.length += 1
        flow.backlog_s += item.cost_s
        self.backlog_s += item.cost_s

    def forget(self, item: Item, is_served: bool) -> None:
        flow = self._flows[_flow_key(item)]
        flow.length -= 1
        flow.backlog_s = max(0.0, flow.backlog_s - item.cost_s)
        self.backlog_s = max(0.0, self.backlog_s - item.cost_s)
        if is_served:
            flow.tag = max(flow.tag, self._virtual_s) + item.cost_s / self._weight(flow)
        if not flow.length:
            self._remove(flow)

    def head(self) -> Item | None:
        while self._heap:
            tag, count, flow = self._heap[0]
            if self._flows.get(flow.key) is not flow:
                heappop(self._heap)
            elif tag < flow.tag:
                heapreplace(self._heap, (flow.tag, count, flow))
            else:
                self._virtual_s = max(self._virtual_s, flow.tag)
                while not flow.items[0].is_queued:
                    flow.items.popleft()
                return flow.items[0]
        return None

    def ahead_s(self, item: Item) -> float:
        key = _flow_key(item)
        flow = self._flows.get(key)
        own_s = flow.backlog_s if flow else 0.0
        share = item.work.caller_share
        tenant_share = self._tenant_shares.get(key[0], 0.0) + (0.0 if flow else share)
        tenants = len(self._tenant_shares) + (key[0] not in self._tenant_shares)
        # The flow gets its part of the slots at least, and all of them once the others are done.
        return min(self.backlog_s, (own_s + item.cost_s) * tenants * tenant_share / share)

    def entries(self) -> Iterator[tuple[Item, float]]:
        for flow in list(self._flows.values()):
            factor = 1 / self._weight(flow)
            others_s = self.backlog_s - flow.backlog_s
            items = [item for item in flow.items if item.is_queued]
            for item, ahead in _with_ahead(items):
                yield item, min(ahead + others_s, (ahead + item.cost_s) * factor)

    def _weight(self, flow: _Flow) -> float:
        return flow.share / (self._tenant_shares[flow.key[0]] * len(self._tenant_shares))

    def _remove(self, flow: _Flow) -> None:
        del self._flows[flow.key]
        left = self._tenant_shares[flow.key[0]] - flow.share
        if any(key[0] == flow.key[0] for key in self._flows):
            self._tenant_shares[flow.key[0]] = left
        else:
            del self._tenant_shares[flow.key[0]]
        if not self._flows:
            self.backlog_s = 0.0


def _flow_key(item: Item) -> _FlowKey:
    return (item.work.tenant, item.work.caller)


class FairLane(Lane):
    """Higher priorities first, own work before foreign work, fair between callers."""

    def __init__(self) -> None:
        super().__init__()
        self._levels: dict[tuple[int, bool], _Level] = {}

    def head(self) -> Item | None:
        if not len(self):
            return None
        heads = (self._levels[key].head() for key in sorted(self._levels, reverse=True))
        return next((item for item in heads if item is not None), None)

    def ahead_s(self, item: Item) -> float:
        key = _level_key(item)
        before = sum(level.backlog_s for other, level in self._levels.items() if other > key)
        level = self._levels.get(key)
        return before + (level.ahead_s(item) if level else 0.0)

    def entries(self) -> Iterator[tuple[Item, float]]:
        before = 0.0
        for key in sorted(self._levels, reverse=True):
            level = self._levels[key]
            backlog_s = level.backlog_s
            for item, ahead in level.entries():
                yield item, before + ahead
            before += backlog_s

    def _insert(self, item: Item) -> None:
        self._levels.setdefault(_level_key(item), _Level()).insert(item)

    def _forget(self, item: Item, is_served: bool) -> None:
        self._levels[_level_key(item)].forget(item, is_served)


def _level_key(item: Item) -> tuple[int, bool]:
    return (item.work.request_class.priority, not item.work.is_foreign)
