"""Predicted waits of queued work items, and ``Retry-After`` times of refused ones."""

import random
from dataclasses import dataclass

from .config import DispatchConfig
from .items import ItemState
from .long_work_limits import LongWorkLimits
from .queue_policies import QueuePolicy
from .servers import ServerPool
from .statistics import StatisticsRegistry
from .wait_queues import WaitQueue

__all__ = ["Capacity", "WaitModel"]

_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 600.0
# Spreads the retries of callers refused together over half of the drain time.
_JITTER_SHARE = 0.5
# Margin for prediction errors; work that starts but misses its deadline wastes a slot.
_SAFETY_FACTOR = 1.15
# Time within which a new owner of a shard gets its slot tokens from the VMs that are up.
HANDOVER_S = 1.0
# Stands for an unknown wait, on which waiting work is refused immediately.
_UNKNOWN_WAIT_S = 3600.0
# Base of the retry time of callers refused with an unknown wait.
_NO_SLOT_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of the shard at one time, on backend servers that are not ejected.

    :ivar slots: slots in use and free.
    :ivar long_limit: maximum number of slots for long work.
    """

    slots: int
    free: int
    long_in_progress: int
    long_limit: int


class WaitModel:
    """Predicts the wait of queued work: the slot time ahead of it, divided by the slots."""

    def __init__(
        self,
        config: DispatchConfig,
        servers: ServerPool,
        queue_policy: QueuePolicy,
        long_work_limits: LongWorkLimits,
        statistics: StatisticsRegistry,
        rng: random.Random,
    ) -> None:
        self._servers = servers
        self._queue_policy = queue_policy
        self._long_work_limits = long_work_limits
        self._statistics = statistics
        self._rng = rng
        self._no_slots_since: float | None = None

    def capacity(self, now: float, place_capacity: int) -> Capacity:
        slots = free = 0
        for state in self._servers:
            if state.is_ejected:
                continue
            usable = self._servers.usable_slots(now, state)
            slots += usable
            free += max(0, usable - state.in_progress)
        slots = min(slots, place_capacity)
        free = min(free, max(0, place_capacity - self._servers.in_progress))
        self._track_slots(now, slots)
        limit = (
            self._long_work_limits.shard_limit(now, slots)
            if self._queue_policy.is_limiting_long
            else slots
        )
        return Capacity(slots, free, self._servers.long_in_progress, limit)

    def slots_for_size(self, capacity: Capacity, is_long: bool) -> int:
        """Return the number of slots that work of one size shares; 0 without any slot."""
        if not self._queue_policy.is_limiting_long:
            return capacity.slots
        if is_long:
            return min(capacity.slots, capacity.long_limit)
        return max(min(1, capacity.slots), capacity.slots - capacity.long_in_progress)

    def predicted_wait_s(
        self, now: float, capacity: Capacity, item: ItemState, ahead_s: float
    ) -> float:
        """Return the wait of an item that has ``ahead_s`` seconds of slot time ahead of it."""
        slots = self.slots_for_size(capacity, item.is_long)
        if not slots:
            return self._no_slots_wait_s(now) + ahead_s
        # If all slots are busy, one becomes free after about one service time over the slots.
        return _SAFETY_FACTOR * (ahead_s + item.cost_s) / slots

    def _track_slots(self, now: float, slots: int) -> None:
        if slots:
            self._no_slots_since = None
        elif self._no_slots_since is None:
            self._no_slots_since = now

    def _no_slots_wait_s(self, now: float) -> float:
        """Return the time until a slot becomes available, when there is none.

        After a change of the owner, tokens arrive within ``HANDOVER_S``. If they do not, the
        wait is unknown, and waiting work is refused immediately.
        """
        time_to_available_s = self._servers.time_to_available_s(now)
        is_handover = self._no_slots_since is None or now - self._no_slots_since < HANDOVER_S
        return time_to_available_s if is_handover else max(time_to_available_s, _UNKNOWN_WAIT_S)

    def queue_wait_s(self, capacity: Capacity, queue: WaitQueue, is_long: bool) -> float:
        slots = self.slots_for_size(capacity, is_long)
        return queue.backlog_s / slots if slots else queue.backlog_s

    def can_finish_in_time(
        self, now: float, item: ItemState, predicted_wait_s: float, is_new: bool = False
    ) -> bool:
        """Return whether an item with this predicted wait can finish before its deadline.

        A new item needs time for the 95th percentile of durations, a queued one only for the
        median, so that a small error of the first prediction does not refuse it later.
        """
        statistics = self._statistics.for_class(item.work.request_class, item.size)
        needed_s = statistics.median_duration_s
        if is_new:
            needed_s = statistics.p95_duration_s or needed_s
        return now + predicted_wait_s + needed_s <= item.work.deadline

    def retry_after_s(self, wait_s: float) -> float:
        """Return a jittered retry time, after which about half of the queue has drained."""
        if wait_s >= _UNKNOWN_WAIT_S:
            wait_s = _NO_SLOT_RETRY_S
        wait = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        return wait * (1 + _JITTER_SHARE * self._rng.random())
