"""Hedging: a second, concurrent attempt of a late short request on another backend server."""

import math
from heapq import heappop, heappush

from .budget import ShareBudget
from .items import Attempt
from .statistics import ClassStatistics

__all__ = ["HedgePlanner"]

_BUDGET_BURST = 20.0
# With less than half of the budget left, attempts on servers that are not slow are hedged only
# at 1.5 times the 95th percentile, so that budget is left for a slowdown.
_LOW_BUDGET_LEVEL = _BUDGET_BURST / 2
_LOW_BUDGET_DELAY_FACTOR = 1.5


class HedgePlanner:
    """Schedules hedges and limits them to a share of the short requests."""

    def __init__(self, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._budget = ShareBudget(_BUDGET_BURST)
        self._timers: list[tuple[float, int, Attempt, ClassStatistics]] = []
        self._count = 0

    @property
    def next_at(self) -> float:
        return self._timers[0][0] if self._timers else math.inf

    @property
    def is_exhausted(self) -> bool:
        return self._budget.is_empty

    def deposit(self, share: float) -> None:
        """Add the share of one short request to the budget."""
        self._budget.deposit(share)

    def spend_budget(self) -> None:
        self._budget.try_withdraw()

    def schedule(self, now: float, attempt: Attempt, statistics: ClassStatistics) -> None:
        """Schedule the hedge of an attempt that has just started."""
        p95_first_byte_s = statistics.p95_first_byte_s
        if self._is_enabled and p95_first_byte_s is not None and self._is_eligible(attempt):
            self._set_timer(now + p95_first_byte_s, attempt, statistics)

    def due(self, now: float) -> list[tuple[Attempt, ClassStatistics]]:
        """Return the attempts to hedge now, if there are free slots."""
        due = []
        while self._timers and self._timers[0][0] <= now:
            _, _, attempt, statistics = heappop(self._timers)
            if attempt.id not in attempt.item.attempts or not self._needs_hedge(attempt):
                continue
            p95_first_byte_s = statistics.p95_first_byte_s or 0.0
            postponed_to = attempt.started_at + p95_first_byte_s * _LOW_BUDGET_DELAY_FACTOR
            is_budget_low = self._budget.level < _LOW_BUDGET_LEVEL and not attempt.server.is_slow
            if is_budget_low and now < postponed_to:
                self._set_timer(postponed_to, attempt, statistics)
            elif self._budget.is_empty:
                self.reschedule(now, attempt, statistics)
            else:
                due.append((attempt, statistics))
        return due

    def reschedule(self, now: float, attempt: Attempt, statistics: ClassStatistics) -> None:
        """Reschedule the hedge of an attempt, because there was no slot or no budget."""
        self._set_timer(
            now + max((statistics.p95_first_byte_s or 0.0) / 2, 0.001), attempt, statistics
        )

    def _set_timer(self, at: float, attempt: Attempt, statistics: ClassStatistics) -> None:
        self._count += 1
        heappush(self._timers, (at, self._count, attempt, statistics))

    @staticmethod
    def _is_eligible(attempt: Attempt) -> bool:
        item = attempt.item
        is_short = not item.is_long and not item.work.request_class.is_long
        return item.work.is_idempotent and is_short and not attempt.is_suspect

    def _needs_hedge(self, attempt: Attempt) -> bool:
        item = attempt.item
        is_only = len(item.attempts) == 1 and not item.is_final and item.streaming_attempt is None
        is_unanswered = attempt.first_byte_at is None and not attempt.is_cancelled
        return is_only and is_unanswered and self._is_eligible(attempt)
