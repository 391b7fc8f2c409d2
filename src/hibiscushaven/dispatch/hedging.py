"""When a short request gets a second attempt on another backend server."""

import math
from heapq import heappop, heappush

from .budget import ShareBudget
from .items import Attempt
from .statistics import ClassStatistics

__all__ = ["HedgePlanner"]

_BURST = 20.0
# With less than half of the budget left, only attempts on slow servers and those already
# twice as old as the 95th percentile are worth it; a slowdown would find no budget otherwise.
_SCARCE = _BURST / 2
_SCARCE_FACTOR = 1.5


class HedgePlanner:
    """Times of hedges and their budget, a share of the short requests."""

    def __init__(self, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._budget = ShareBudget(_BURST)
        self._timers: list[tuple[float, int, Attempt, ClassStatistics]] = []
        self._count = 0

    @property
    def next_at(self) -> float:
        return self._timers[0][0] if self._timers else math.inf

    @property
    def is_exhausted(self) -> bool:
        return self._budget.is_empty

    def earn(self, share: float) -> None:
        """Count a short request."""
        self._budget.earn(share)

    def spend(self) -> None:
        self._budget.spend()

    def watch(self, now: float, attempt: Attempt, statistics: ClassStatistics) -> None:
        """Plan the hedge of an attempt that has just started."""
        late_s = statistics.late_s
        if self._is_enabled and late_s is not None and self._is_eligible(attempt):
            self._arm(now + late_s, attempt, statistics)

    def due(self, now: float) -> list[tuple[Attempt, ClassStatistics]]:
        """Return the attempts for which a hedge should start now, if there is room."""
        ready = []
        while self._timers and self._timers[0][0] <= now:
            _, _, attempt, statistics = heappop(self._timers)
            if attempt.id not in attempt.item.attempts or not self._is_waiting(attempt):
                continue
            late_s = statistics.late_s or 0.0
            again_at = attempt.started_at + late_s * _SCARCE_FACTOR
            is_scarce = self._budget.level < _SCARCE and not attempt.server.is_slow
            if is_scarce and now < again_at:
                self._arm(again_at, attempt, statistics)
            elif self._budget.is_empty:
                self.defer(now, attempt, statistics)
            else:
                ready.append((attempt, statistics))
        return ready

    def defer(self, now: float, attempt: Attempt, statistics: ClassStatistics) -> None:
        """Look at an attempt again later, because there was no slot or no budget."""
        self._arm(now + max((statistics.late_s or 0.0) / 2, 0.001), attempt, statistics)

    def _arm(self, at: float, attempt: Attempt, statistics: ClassStatistics) -> None:
        self._count += 1
        heappush(self._timers, (at, self._count, attempt, statistics))

    @staticmethod
    def _is_eligible(attempt: Attempt) -> bool:
        item = attempt.item
        is_short = not item.is_long and not item.work.request_class.is_long
        return item.work.is_idempotent and is_short and not attempt.is_suspect

    def _is_waiting(self, attempt: Attempt) -> bool:
        item = attempt.item
        is_only = len(item.attempts) == 1 and not item.is_final and item.head_attempt is None
        is_open = attempt.head_at is None and not attempt.is_cancelled
        return is_only and is_open and self._is_eligible(attempt)
