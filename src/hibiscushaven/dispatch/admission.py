"""Work that waits: admission at submission, and refusal once it cannot be reached."""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterator

from hibiscushaven.quarantine import CrashLedger

from .actions import RefusalReason
from .attempts import AttemptBook
from .config import DispatchConfig
from .items import Item
from .lanes import Lane
from .long_limits import LongLimits
from .prediction import Capacity, WaitModel
from .queues import QUEUES
from .servers import ServerBook
from .statistics import StatisticsBook

__all__ = ["Admission"]

_SWEEP_EVERY_S = 0.05
# A pass costs up to 10 microseconds per item; with this it takes at most a tenth of the time.
_SWEEP_EVERY_PER_ITEM_S = 0.0001
# Resends of a suspect are refused beyond this; each waits for the one before it.
_SUSPECT_WAITERS = 4

Refusal = Callable[[Item, RefusalReason, float], None]


class Admission:
    """The lanes, and the items parked outside of them.

    Explanation
    ===========

    Retries and suspects are parked, because what holds them back is not the queue: a retry
    needs a backend server that it has not tried, a suspect must run alone. A lane whose head
    cannot start would hold back everything behind it.

    :param refuse: called with an item, a reason and a predicted wait in seconds.
    """

    def __init__(
        self,
        config: DispatchConfig,
        servers: ServerBook,
        attempts: AttemptBook,
        crashes: CrashLedger,
        statistics: StatisticsBook,
        rng: random.Random,
        refuse: Refusal,
    ) -> None:
        self.limits = LongLimits(config)
        self.queues = QUEUES[config.queue]()
        self.waits = WaitModel(config, servers, self.queues, self.limits, statistics, rng)
        self.place_capacity = 0
        self._config = config
        self._servers = servers
        self._attempts = attempts
        self._crashes = crashes
        self._statistics = statistics
        self._refuse = refuse
        self._parked: dict[str, Item] = {}
        self._parked_fingerprints: Counter[str] = Counter()
        self._swept_at = -math.inf

    @property
    def parked(self) -> tuple[Item, ...]:
        return tuple(self._parked.values())

    def waiting(self) -> Iterator[Item]:
        yield from self._parked.values()
        for lane in self.queues.lanes:
            yield from (item for item, _ in lane.entries())

    def capacity(self, now: float) -> Capacity:
        return self.waits.capacity(now, self.place_capacity)

    def lane_wait_s(self, capacity: Capacity, lane: Lane, is_long: bool) -> float:
        return self.waits.lane_wait_s(capacity, lane, is_long)

    def is_quarantined(self, now: float, item: Item) -> bool:
        return self._crashes.is_quarantined(now, item.work.fingerprint)

    def refuse_quarantined(self, now: float, item: Item) -> None:
        remaining = self._crashes.remaining_s(now, item.work.fingerprint)
        self._refuse(item, RefusalReason.QUARANTINED, remaining)

    def is_suspect(self, now: float, item: Item) -> bool:
        return self._crashes.is_suspect(now, item.work.fingerprint)

    def is_blocked_suspect(self, now: float, item: Item) -> bool:
        """Return whether a suspect must wait because a copy of it is in progress."""
        return self.is_suspect(now, item) and self._attempts.copies(item.work.fingerprint) > 0

    def admit(self, now: float, item: Item) -> None:
        """Queue an item, or refuse it at once."""
        if self.is_quarantined(now, item):
            self.refuse_quarantined(now, item)
        elif self.is_suspect(now, item):
            self._admit_suspect(item)
        else:
            self._admit_ordinary(now, item)

    def confirm(self, now: float, item: Item) -> None:
        """Refuse a new item that could not start at once and will not be reached in time."""
        if item.is_queued and len(self.queues.lane_of(item)) == 1:
            self._refuse_unreachable(now, item, 0.0)

    def park(self, item: Item) -> None:
        self._parked[item.work.id] = item
        self._parked_fingerprints[item.work.fingerprint] += 1

    def remove(self, item: Item) -> None:
        """Take out an item wherever it waits, without serving it."""
        if item.is_queued:
            self.queues.lane_of(item).discard(item)
        self.unpark(item)

    def unpark(self, item: Item) -> None:
        if self._parked.pop(item.work.id, None) is None:
            return
        fingerprint = item.work.fingerprint
        self._parked_fingerprints[fingerprint] -= 1
        if not self._parked_fingerprints[fingerprint]:
            del self._parked_fingerprints[fingerprint]

    def sweep(self, now: float, is_forced: bool = False) -> None:
        """Refuse the work that will not be reached before its deadline."""
        pause_s = max(_SWEEP_EVERY_S, _SWEEP_EVERY_PER_ITEM_S * len(self.queues))
        if not is_forced and now - self._swept_at < pause_s:
            return
        self._swept_at = now
        if self.queues or self._parked:
            self._refuse_quarantined_waiting(now)
            self._refuse_parked(now)
            self._refuse_queued(now)

    def is_too_late(self, now: float, item: Item) -> bool:
        """Return whether an item that waited has no time left for a usual run."""
        if item.work.deadline <= now:
            return True
        return now > item.submitted_at and not self.waits.is_reachable(now, item, 0.0)

    def _admit_suspect(self, item: Item) -> None:
        if self._parked_fingerprints[item.work.fingerprint] >= _SUSPECT_WAITERS:
            statistics = self._statistics.of(item.work.request_class, item.size)
            wait = _SUSPECT_WAITERS * statistics.mean_s
            self._refuse(item, RefusalReason.SUSPECT_BUSY, wait)
        else:
            self.park(item)

    def _admit_ordinary(self, now: float, item: Item) -> None:
        lane = self.queues.lane_of(item)
        if len(lane):
            self._refuse_unreachable(now, item, lane.ahead_s(item))
        if not item.is_final:
            lane.push(item)

    def _refuse_unreachable(self, now: float, item: Item, ahead_s: float) -> None:
        capacity = self.capacity(now)
        start_in = self.waits.start_in_s(now, capacity, item, ahead_s)
        is_full = len(self.queues) >= self._config.queue_limit
        if is_full or not self.waits.is_reachable(now, item, start_in, is_new=True):
            self._refuse(item, self._reason(capacity), start_in)

    @staticmethod
    def _reason(capacity: Capacity) -> RefusalReason:
        return RefusalReason.QUEUE_TOO_LONG if capacity.slots else RefusalReason.NO_SERVER

    def _refuse_quarantined_waiting(self, now: float) -> None:
        for item in list(self.waiting()):
            if self.is_quarantined(now, item):
                self.refuse_quarantined(now, item)

    def _refuse_parked(self, now: float) -> None:
        for item in self.parked:
            if self.is_too_late(now, item):
                self._refuse(item, RefusalReason.EXPIRED, 0.0)

    def _refuse_queued(self, now: float) -> None:
        capacity = self.capacity(now)
        for lane in self.queues.lanes:
            for item, ahead_s in lane.entries():
                start_in = self.waits.start_in_s(now, capacity, item, ahead_s)
                if not self.waits.is_reachable(now, item, start_in):
                    self._refuse(item, self._reason(capacity), start_in)
