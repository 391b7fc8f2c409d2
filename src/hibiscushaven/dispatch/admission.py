"""Admission control: queues work items, and refuses those that would miss their deadlines."""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterator

from hibiscushaven.quarantine import CrashLedger

from .actions import RefusalReason
from .attempts import AttemptTracker
from .config import DispatchConfig
from .items import ItemState
from .long_work_limits import LongWorkLimits
from .prediction import Capacity, WaitModel
from .queue_policies import QUEUE_POLICIES
from .servers import ServerPool
from .statistics import StatisticsRegistry
from .wait_queues import WaitQueue

__all__ = ["AdmissionController"]

_SWEEP_INTERVAL_S = 0.05
# A sweep costs up to 10 microseconds per item, so it uses at most a tenth of the CPU time.
_SWEEP_INTERVAL_PER_ITEM_S = 0.0001
# Suspects of one fingerprint run one at a time, so each one that waits delays the next.
_MAX_WAITING_SUSPECTS = 4

RefuseCallback = Callable[[ItemState, RefusalReason, float], None]


class AdmissionController:
    """Holds the waiting work items: the queued ones, and the deferred ones outside the queues.

    Explanation
    ===========

    Retries and suspects are deferred instead of queued, because they wait for specific
    conditions: a retry needs a backend server that it has not tried, and a suspect must run
    alone. At the head of a queue they would block the items behind them.

    :param refuse: called with an item, a reason and a predicted wait in seconds.
    """

    def __init__(
        self,
        config: DispatchConfig,
        servers: ServerPool,
        attempts: AttemptTracker,
        crashes: CrashLedger,
        statistics: StatisticsRegistry,
        rng: random.Random,
        refuse: RefuseCallback,
    ) -> None:
        self.long_work_limits = LongWorkLimits(config)
        self.queue_policy = QUEUE_POLICIES[config.queue_policy]()
        self.wait_model = WaitModel(
            config, servers, self.queue_policy, self.long_work_limits, statistics, rng
        )
        self.place_capacity = 0
        self._config = config
        self._servers = servers
        self._attempts = attempts
        self._crashes = crashes
        self._statistics = statistics
        self._refuse = refuse
        self._deferred: dict[str, ItemState] = {}
        self._deferred_fingerprints: Counter[str] = Counter()
        self._last_sweep_at = -math.inf

    @property
    def deferred(self) -> tuple[ItemState, ...]:
        return tuple(self._deferred.values())

    def waiting(self) -> Iterator[ItemState]:
        yield from self._deferred.values()
        for queue in self.queue_policy.queues:
            yield from (item for item, _ in queue.entries())

    def capacity(self, now: float) -> Capacity:
        return self.wait_model.capacity(now, self.place_capacity)

    def queue_wait_s(self, capacity: Capacity, queue: WaitQueue, is_long: bool) -> float:
        return self.wait_model.queue_wait_s(capacity, queue, is_long)

    def is_quarantined(self, now: float, item: ItemState) -> bool:
        return self._crashes.is_quarantined(now, item.work.fingerprint)

    def refuse_quarantined(self, now: float, item: ItemState) -> None:
        remaining = self._crashes.remaining_s(now, item.work.fingerprint)
        self._refuse(item, RefusalReason.QUARANTINED, remaining)

    def is_suspect(self, now: float, item: ItemState) -> bool:
        return self._crashes.is_suspect(now, item.work.fingerprint)

    def is_blocked_suspect(self, now: float, item: ItemState) -> bool:
        """Return whether a suspect must wait because an attempt with its fingerprint is running."""
        return (
            self.is_suspect(now, item)
            and self._attempts.copies_in_progress(item.work.fingerprint) > 0
        )

    def admit(self, now: float, item: ItemState) -> None:
        """Queue or defer a new item, or refuse it immediately."""
        if self.is_quarantined(now, item):
            self.refuse_quarantined(now, item)
        elif self.is_suspect(now, item):
            self._admit_suspect(item)
        else:
            self._admit_ordinary(now, item)

    def refuse_if_late(self, now: float, item: ItemState) -> None:
        """Refuse a new item that is still queued and would miss its deadline.

        Only the sole item of a queue needs this check: an item behind others was already checked
        by ``admit``.
        """
        if item.is_queued and len(self.queue_policy.queue_for(item)) == 1:
            self._refuse_unless_in_time(now, item, 0.0)

    def defer(self, item: ItemState) -> None:
        self._deferred[item.work.id] = item
        self._deferred_fingerprints[item.work.fingerprint] += 1

    def remove(self, item: ItemState) -> None:
        """Remove a waiting item from its queue or from the deferred items."""
        if item.is_queued:
            self.queue_policy.queue_for(item).discard(item)
        self.remove_deferred(item)

    def remove_deferred(self, item: ItemState) -> None:
        if self._deferred.pop(item.work.id, None) is None:
            return
        fingerprint = item.work.fingerprint
        self._deferred_fingerprints[fingerprint] -= 1
        if not self._deferred_fingerprints[fingerprint]:
            del self._deferred_fingerprints[fingerprint]

    def sweep(self, now: float, is_forced: bool = False) -> None:
        """Refuse the waiting items that are quarantined or would miss their deadlines."""
        interval_s = max(_SWEEP_INTERVAL_S, _SWEEP_INTERVAL_PER_ITEM_S * len(self.queue_policy))
        if not is_forced and now - self._last_sweep_at < interval_s:
            return
        self._last_sweep_at = now
        if self.queue_policy or self._deferred:
            self._refuse_quarantined_waiting(now)
            self._refuse_deferred(now)
            self._refuse_queued(now)

    def is_too_late(self, now: float, item: ItemState) -> bool:
        """Return whether an item that has waited can no longer finish before its deadline."""
        if item.work.deadline <= now:
            return True
        return now > item.submitted_at and not self.wait_model.can_finish_in_time(now, item, 0.0)

    def _admit_suspect(self, item: ItemState) -> None:
        if self._deferred_fingerprints[item.work.fingerprint] >= _MAX_WAITING_SUSPECTS:
            statistics = self._statistics.for_class(item.work.request_class, item.size)
            wait = _MAX_WAITING_SUSPECTS * statistics.mean_slot_time_s
            self._refuse(item, RefusalReason.SUSPECT_BUSY, wait)
        else:
            self.defer(item)

    def _admit_ordinary(self, now: float, item: ItemState) -> None:
        queue = self.queue_policy.queue_for(item)
        if len(queue):
            self._refuse_unless_in_time(now, item, queue.ahead_s(item))
        if not item.is_final:
            queue.push(item)

    def _refuse_unless_in_time(self, now: float, item: ItemState, ahead_s: float) -> None:
        capacity = self.capacity(now)
        predicted_wait_s = self.wait_model.predicted_wait_s(now, capacity, item, ahead_s)
        is_full = len(self.queue_policy) >= self._config.queue_limit
        if is_full or not self.wait_model.can_finish_in_time(
            now, item, predicted_wait_s, is_new=True
        ):
            self._refuse(item, self._capacity_reason(capacity), predicted_wait_s)

    @staticmethod
    def _capacity_reason(capacity: Capacity) -> RefusalReason:
        return RefusalReason.QUEUE_TOO_LONG if capacity.slots else RefusalReason.NO_SERVER

    def _refuse_quarantined_waiting(self, now: float) -> None:
        for item in list(self.waiting()):
            if self.is_quarantined(now, item):
                self.refuse_quarantined(now, item)

    def _refuse_deferred(self, now: float) -> None:
        for item in self.deferred:
            if self.is_too_late(now, item):
                self._refuse(item, RefusalReason.EXPIRED, 0.0)

    def _refuse_queued(self, now: float) -> None:
        capacity = self.capacity(now)
        for queue in self.queue_policy.queues:
            for item, ahead_s in queue.entries():
                predicted_wait_s = self.wait_model.predicted_wait_s(now, capacity, item, ahead_s)
                if not self.wait_model.can_finish_in_time(now, item, predicted_wait_s):
                    self._refuse(item, self._capacity_reason(capacity), predicted_wait_s)
