"""Predicted waits of queued work, and the times that refused callers are given."""

import random
from dataclasses import dataclass

from .config import DispatchConfig
from .items import Item
from .lanes import Lane
from .long_limits import LongLimits
from .queues import QueuePolicy
from .servers import ServerBook
from .statistics import StatisticsBook

__all__ = ["Capacity", "WaitModel"]

_RETRY_AFTER_LEAST_S = 0.1
_RETRY_AFTER_MOST_S = 600.0
# Spreads the callers refused together over half of the drain time.
_JITTER = 0.5
# Room for the error of a predicted wait; work that is started and then too late is wasted.
_CAUTION = 1.15
# Time in which a new owner gets its slot tokens from VMs that are up.
HANDOVER_S = 1.0
_UNKNOWN_WAIT_S = 3600.0
_NO_SLOT_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of the shard at one moment.

    :ivar slots: in use and free, of backend servers that take ordinary work.
    :ivar long_limit: of these, most for long work.
    """

    slots: int
    free: int
    long_in_progress: int
    long_limit: int


class WaitModel:
    """Predicts when queued work starts: the slot time ahead of it over the slots."""

    def __init__(
        self,
        config: DispatchConfig,
        servers: ServerBook,
        queues: QueuePolicy,
        limits: LongLimits,
        statistics: StatisticsBook,
        rng: random.Random,
    ) -> None:
        self._servers = servers
        self._queues = queues
        self._limits = limits
        self._statistics = statistics
        self._rng = rng
        self._empty_since: float | None = None

    def capacity(self, now: float, place_capacity: int) -> Capacity:
        slots = free = 0
        for state in self._servers:
            if state.is_set_aside:
                continue
            usable = self._servers.usable_slots(now, state)
            slots += usable
            free += max(0, usable - state.in_progress)
        slots = min(slots, place_capacity)
        free = min(free, max(0, place_capacity - self._servers.in_progress))
        self._note_slots(now, slots)
        limit = self._limits.shard_limit(now, slots) if self._queues.is_limiting_long else slots
        return Capacity(slots, free, self._servers.long_in_progress, limit)

    def lane_slots(self, capacity: Capacity, is_long: bool) -> int:
        """Return how many slots work of a size shares; 0 without any backend server."""
        if not self._queues.is_limiting_long:
            return capacity.slots
        if is_long:
            return min(capacity.slots, capacity.long_limit)
        return max(min(1, capacity.slots), capacity.slots - capacity.long_in_progress)

    def start_in_s(self, now: float, capacity: Capacity, item: Item, ahead_s: float) -> float:
        """Return the time until an item starts that has ``ahead_s`` of slot time before it."""
        slots = self.lane_slots(capacity, item.is_long)
        if not slots:
            return self._no_slots_wait_s(now) + ahead_s
        # The first slot comes free after about one service time over the slots.
        return _CAUTION * (ahead_s + item.cost_s) / slots

    def _note_slots(self, now: float, slots: int) -> None:
        if slots:
            self._empty_since = None
        elif self._empty_since is None:
            self._empty_since = now

    def _no_slots_wait_s(self, now: float) -> float:
        """Return the time until there is a slot again, when there is none.

        Tokens come within a moment of a change of the owner. If they do not, nothing tells
        when they will, and waiting work is answered at once.
        """
        returns_in_s = self._servers.returns_in_s(now)
        is_handover = self._empty_since is None or now - self._empty_since < HANDOVER_S
        return returns_in_s if is_handover else max(returns_in_s, _UNKNOWN_WAIT_S)

    def lane_wait_s(self, capacity: Capacity, lane: Lane, is_long: bool) -> float:
        slots = self.lane_slots(capacity, is_long)
        return lane.backlog_s / slots if slots else lane.backlog_s

    def is_reachable(self, now: float, item: Item, start_in_s: float, is_new: bool = False) -> bool:
        """Return whether an item that waits this long can still be answered in time.

        New items need room for a run of the 95th percentile, those already queued only for
        the median, so that a small error of the first prediction refuses nothing later.
        """
        statistics = self._statistics.of(item.work.request_class, item.size)
        needed = statistics.median_duration_s
        if is_new:
            needed = statistics.long_duration_s or needed
        return now + start_in_s + needed <= item.work.deadline

    def retry_after_s(self, wait_s: float) -> float:
        """Return a jittered time after which about half of the queue has drained."""
        if wait_s >= _UNKNOWN_WAIT_S:
            wait_s = _NO_SLOT_RETRY_S
        wait = min(_RETRY_AFTER_MOST_S, max(_RETRY_AFTER_LEAST_S, wait_s))
        return wait * (1 + _JITTER * self._rng.random())
