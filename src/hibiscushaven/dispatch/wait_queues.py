"""Queues of work items, by the order in which they are served."""

from abc import ABC, abstractmethod
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush, heapreplace

from .items import ItemState

__all__ = ["DeadlineWaitQueue", "FairWaitQueue", "FifoWaitQueue", "WaitQueue"]


class WaitQueue(ABC):
    """Base class of queues; an implementation may keep removed items until they reach the head.

    :ivar backlog_s: total expected slot time of the waiting items.
    """

    def __init__(self) -> None:
        self.backlog_s = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, item: ItemState) -> None:
        item.is_queued = True
        self.backlog_s += item.cost_s
        self._length += 1
        self._insert(item)

    def remove_served(self, item: ItemState) -> None:
        """Remove the head, which was started."""
        self._remove_waiting(item)
        self._on_removed(item, is_served=True)

    def discard(self, item: ItemState) -> None:
        """Remove an item at any position, which was not started."""
        self._remove_waiting(item)
        self._on_removed(item, is_served=False)

    @abstractmethod
    def head(self) -> ItemState | None:
        """Return the item to start next."""

    @abstractmethod
    def ahead_s(self, item: ItemState) -> float:
        """Return the expected slot time that would precede an item if it were pushed now."""

    @abstractmethod
    def entries(self) -> Iterator[tuple[ItemState, float]]:
        """Yield the waiting items, each with the expected slot time ahead of it."""

    @abstractmethod
    def _insert(self, item: ItemState) -> None: ...

    def _remove_waiting(self, item: ItemState) -> None:
        item.is_queued = False
        self._length -= 1
        self.backlog_s = max(0.0, self.backlog_s - item.cost_s) if self._length else 0.0

    def _on_removed(self, item: ItemState, is_served: bool) -> None:  # noqa: B027 (optional hook)
        """Update the data of a subclass after an item was removed."""


class FifoWaitQueue(WaitQueue):
    """First in, first out."""

    def __init__(self) -> None:
        super().__init__()
        self._items: deque[ItemState] = deque()

    def head(self) -> ItemState | None:
        while self._items and not self._items[0].is_queued:
            self._items.popleft()
        return self._items[0] if self._items else None

    def ahead_s(self, item: ItemState) -> float:
        return self.backlog_s

    def entries(self) -> Iterator[tuple[ItemState, float]]:
        yield from _with_work_ahead([item for item in self._items if item.is_queued])

    def _insert(self, item: ItemState) -> None:
        self._items.append(item)


class DeadlineWaitQueue(WaitQueue):
    """Earliest deadline first."""

    def __init__(self) -> None:
        super().__init__()
        self._items: list[tuple[float, int, ItemState]] = []
        self._count = 0

    def head(self) -> ItemState | None:
        return self._items[0][2] if self._items else None

    def ahead_s(self, item: ItemState) -> float:
        position = bisect_left(self._items, (item.work.deadline,))
        return position * self.backlog_s / max(1, len(self))

    def entries(self) -> Iterator[tuple[ItemState, float]]:
        yield from _with_work_ahead([entry[2] for entry in self._items])

    def _insert(self, item: ItemState) -> None:
        self._count += 1
        insort(self._items, (item.work.deadline, self._count, item))

    def _on_removed(self, item: ItemState, is_served: bool) -> None:
        index = bisect_left(self._items, (item.work.deadline,))
        while self._items[index][2] is not item:
            index += 1
        del self._items[index]


def _with_work_ahead(items: list[ItemState]) -> Iterator[tuple[ItemState, float]]:
    ahead_s = 0.0
    for item in items:
        yield item, ahead_s
        # The consumer of this generator may have refused the item, which then takes no time.
        ahead_s += item.cost_s if item.is_queued else 0.0


_FlowKey = tuple[str, str]


@dataclass(slots=True, eq=False)
class _Flow:
    """The items of one caller.

    :ivar start_tag: virtual start time of its next item, in weighted seconds of service.
    """

    key: _FlowKey
    share: float
    start_tag: float
    items: deque[ItemState] = field(default_factory=deque)
    length: int = 0
    backlog_s: float = 0.0


class _PriorityLevel:
    """Start-time fair queueing of the items of one priority.

    Tenants have equal weights; the callers of a tenant divide its weight by their shares.
    """

    def __init__(self) -> None:
        self._flows: dict[_FlowKey, _Flow] = {}
        self._heap: list[tuple[float, int, _Flow]] = []
        self._tenant_shares: dict[str, float] = {}
        self._virtual_s = 0.0
        self._count = 0
        self.backlog_s = 0.0

    def insert(self, item: ItemState) -> None:
        key = _flow_key(item)
        flow = self._flows.get(key)
        if flow is None:
            flow = _Flow(key, item.work.caller_share, self._virtual_s)
            self._flows[key] = flow
            shares = self._tenant_shares
            shares[key[0]] = shares.get(key[0], 0.0) + flow.share
            self._count += 1
            heappush(self._heap, (flow.start_tag, self._count, flow))
        flow.items.append(item)
        flow.length += 1
        flow.backlog_s += item.cost_s
        self.backlog_s += item.cost_s

    def remove(self, item: ItemState, is_served: bool) -> None:
        flow = self._flows[_flow_key(item)]
        flow.length -= 1
        flow.backlog_s = max(0.0, flow.backlog_s - item.cost_s)
        self.backlog_s = max(0.0, self.backlog_s - item.cost_s)
        if is_served:
            flow.start_tag = max(flow.start_tag, self._virtual_s) + item.cost_s / self._weight(flow)
        if not flow.length:
            self._remove_flow(flow)

    def head(self) -> ItemState | None:
        while self._heap:
            start_tag, count, flow = self._heap[0]
            if self._flows.get(flow.key) is not flow:
                heappop(self._heap)
            elif start_tag < flow.start_tag:
                heapreplace(self._heap, (flow.start_tag, count, flow))
            else:
                self._virtual_s = max(self._virtual_s, flow.start_tag)
                while not flow.items[0].is_queued:
                    flow.items.popleft()
                return flow.items[0]
        return None

    def ahead_s(self, item: ItemState) -> float:
        key = _flow_key(item)
        flow = self._flows.get(key)
        own_s = flow.backlog_s if flow else 0.0
        share = item.work.caller_share
        tenant_share = self._tenant_shares.get(key[0], 0.0) + (0.0 if flow else share)
        tenants = len(self._tenant_shares) + (key[0] not in self._tenant_shares)
        # The flow gets at least its share of the slots, and all slots once other flows are empty.
        return min(self.backlog_s, (own_s + item.cost_s) * tenants * tenant_share / share)

    def entries(self) -> Iterator[tuple[ItemState, float]]:
        for flow in list(self._flows.values()):
            slowdown = 1 / self._weight(flow)
            others_s = self.backlog_s - flow.backlog_s
            items = [item for item in flow.items if item.is_queued]
            for item, ahead_s in _with_work_ahead(items):
                yield item, min(ahead_s + others_s, (ahead_s + item.cost_s) * slowdown)

    def _weight(self, flow: _Flow) -> float:
        return flow.share / (self._tenant_shares[flow.key[0]] * len(self._tenant_shares))

    def _remove_flow(self, flow: _Flow) -> None:
        del self._flows[flow.key]
        remaining_share = self._tenant_shares[flow.key[0]] - flow.share
        if any(key[0] == flow.key[0] for key in self._flows):
            self._tenant_shares[flow.key[0]] = remaining_share
        else:
            del self._tenant_shares[flow.key[0]]
        if not self._flows:
            self.backlog_s = 0.0


def _flow_key(item: ItemState) -> _FlowKey:
    return (item.work.tenant, item.work.caller)


class FairWaitQueue(WaitQueue):
    """Strict priorities, with fair queueing of the callers within each priority.

    Within a priority, work relayed by other failure domains waits behind all other work.
    """

    def __init__(self) -> None:
        super().__init__()
        self._levels: dict[tuple[int, bool], _PriorityLevel] = {}

    def head(self) -> ItemState | None:
        if not len(self):
            return None
        heads = (self._levels[key].head() for key in sorted(self._levels, reverse=True))
        return next((item for item in heads if item is not None), None)

    def ahead_s(self, item: ItemState) -> float:
        key = _level_key(item)
        preceding_s = sum(level.backlog_s for other, level in self._levels.items() if other > key)
        level = self._levels.get(key)
        return preceding_s + (level.ahead_s(item) if level else 0.0)

    def entries(self) -> Iterator[tuple[ItemState, float]]:
        preceding_s = 0.0
        for key in sorted(self._levels, reverse=True):
            level = self._levels[key]
            backlog_s = level.backlog_s
            for item, ahead_s in level.entries():
                yield item, preceding_s + ahead_s
            preceding_s += backlog_s

    def _insert(self, item: ItemState) -> None:
        self._levels.setdefault(_level_key(item), _PriorityLevel()).insert(item)

    def _on_removed(self, item: ItemState, is_served: bool) -> None:
        self._levels[_level_key(item)].remove(item, is_served)


def _level_key(item: ItemState) -> tuple[int, bool]:
    return (item.work.request_class.priority, not item.work.is_foreign)
