"""Evaluation of attempts: statistics, outliers, request sizes and crashes."""

import math
from collections.abc import Iterator

from hibiscushaven.documents import RequestSize
from hibiscushaven.quarantine import CrashLedger

from .attempts import AttemptTracker
from .items import Attempt
from .outliers import OutlierDetector
from .servers import ServerState
from .sizes import SizePredictor
from .statistics import ClassStatistics, StatisticsRegistry
from .work import AttemptResult, ResultKind

__all__ = ["ResultObserver"]

_SERVER_FAILURES = frozenset(
    {ResultKind.FAILED, ResultKind.TIMED_OUT, ResultKind.WRONG_ID, ResultKind.TRUNCATED}
)
# Minimum interval between evaluations of the attempts in progress.
_EVALUATION_INTERVAL_S = 0.02


class ResultObserver:
    """Updates statistics, outlier detection, size prediction and the crash ledger."""

    def __init__(
        self,
        attempts: AttemptTracker,
        crashes: CrashLedger,
        outliers: OutlierDetector,
        sizes: SizePredictor,
        statistics: StatisticsRegistry,
    ) -> None:
        self._attempts = attempts
        self._crashes = crashes
        self._outliers = outliers
        self._sizes = sizes
        self._statistics = statistics
        self._evaluated_at = -math.inf

    def record_first_byte(self, now: float, attempt: Attempt) -> None:
        """Record the time to the first byte of a response."""
        statistics = self._statistics_for(attempt)
        seconds = now - attempt.started_at
        attempt.server.record_response(now)
        if not attempt.server.is_slow:
            statistics.observe_first_byte(seconds)
        self._outliers.observe(attempt.server, seconds, statistics.median_first_byte_s)

    def record_end(self, now: float, attempt: Attempt, result: AttemptResult) -> bool:
        """Record the end of an attempt; return whether a new crash was recorded."""
        kind = result.kind
        state = attempt.server
        if kind is ResultKind.SUCCESS:
            self._record_success(now, attempt)
        elif kind is ResultKind.REFUSED:
            state.record_refusal(now)
        elif kind is ResultKind.NOT_SENT and not attempt.is_cancelled:
            state.record_connect_failure(now)
        elif kind is ResultKind.CRASHED:
            return self._record_crash(now, attempt)
        elif kind in _SERVER_FAILURES:
            self._outliers.observe_failure(state)
        elif kind is ResultKind.CANCELLED and attempt.first_byte_at is None:
            seconds = now - attempt.started_at
            self._outliers.observe_lower_bound(
                state, seconds, self._statistics_for(attempt).median_first_byte_s
            )
        return False

    def evaluate(self, now: float) -> None:
        """Evaluate the attempts in progress: detect overdue attempts and long requests."""
        if now - self._evaluated_at < _EVALUATION_INTERVAL_S:
            return
        self._evaluated_at = now
        for attempt in self._attempts:
            self._mark_if_long(now, attempt)
        self._outliers.evaluate(now, self._overdue(now))

    def _record_success(self, now: float, attempt: Attempt) -> None:
        if attempt.first_byte_at is None:
            self.record_first_byte(now, attempt)
        self._mark_if_long(now, attempt)
        seconds = now - attempt.started_at
        self._statistics_for(attempt).observe_duration(seconds)
        if attempt.is_suspect:
            self._crashes.clear_suspicion(attempt.item.work.fingerprint)
        if attempt.is_long and not self._is_overlong(attempt, seconds):
            self._sizes.record_short_run(attempt.item.work)

    def _record_crash(self, now: float, attempt: Attempt) -> bool:
        if attempt.is_crash_recorded:
            return False
        state = attempt.server
        affected = [other for other in self._attempts if other.server is state]
        for other in affected:
            other.is_crash_recorded = True
        # A request that was never written to the server cannot have caused the crash.
        sent_at_by_fingerprint = {
            other.item.work.fingerprint: (
                other.started_at if other.sent_at is None else other.sent_at
            )
            for other in affected
            if other is attempt or other.sent_at is not None
        }
        self._crashes.record(now, state.name, sent_at_by_fingerprint)
        self._attempts.mark_suspects(sent_at_by_fingerprint)
        state.mark_down(now)
        return True

    def _mark_if_long(self, now: float, attempt: Attempt) -> None:
        item = attempt.item
        if attempt.is_long or item.work.request_class.is_long:
            return
        if self._is_overlong(attempt, now - attempt.started_at):
            self._attempts.count_as_long(attempt)
            item.size = RequestSize.LONG
            self._sizes.mark_long(item.work)

    def _is_overlong(self, attempt: Attempt, seconds: float) -> bool:
        statistics = self._statistics.for_class(attempt.item.work.request_class, RequestSize.SHORT)
        return self._sizes.is_overlong(statistics, seconds, attempt.server.slowness)

    def _overdue(self, now: float) -> Iterator[tuple[ServerState, float]]:
        for attempt in self._attempts:
            if attempt.first_byte_at is None and not attempt.is_long:
                median_s = self._statistics_for(attempt).median_first_byte_s
                yield attempt.server, (now - attempt.started_at) / max(median_s, 1e-6)

    def _statistics_for(self, attempt: Attempt) -> ClassStatistics:
        size = RequestSize.LONG if attempt.is_long else RequestSize.SHORT
        return self._statistics.for_class(attempt.item.work.request_class, size)
