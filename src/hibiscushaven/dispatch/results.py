"""What the course of attempts teaches about classes, backend servers and requests."""

import math
from collections.abc import Iterator

from hibiscushaven.documents import RequestSize
from hibiscushaven.quarantine import CrashLedger

from .attempts import AttemptBook
from .health import HealthBook
from .items import Attempt
from .servers import ServerState
from .sizes import SizeBook
from .statistics import ClassStatistics, StatisticsBook
from .work import AttemptResult, ResultKind

__all__ = ["ResultObserver"]

_SERVER_FAILURES = frozenset(
    {ResultKind.FAILED, ResultKind.TIMED_OUT, ResultKind.WRONG_ID, ResultKind.TRUNCATED}
)
# Attempts in progress are looked at this often.
_JUDGE_EVERY_S = 0.02


class ResultObserver:
    """Passes observations on to statistics, health, sizes and the crash ledger."""

    def __init__(
        self,
        attempts: AttemptBook,
        crashes: CrashLedger,
        health: HealthBook,
        sizes: SizeBook,
        statistics: StatisticsBook,
    ) -> None:
        self._attempts = attempts
        self._crashes = crashes
        self._health = health
        self._sizes = sizes
        self._statistics = statistics
        self._judged_at = -math.inf

    def note_head(self, now: float, attempt: Attempt) -> None:
        """Note the time to the first byte."""
        statistics = self._of(attempt)
        seconds = now - attempt.started_at
        attempt.server.note_answer(now)
        if not attempt.server.is_slow:
            statistics.observe_head(seconds)
        self._health.observe(attempt.server, seconds, statistics.typical_s)

    def note_end(self, now: float, attempt: Attempt, result: AttemptResult) -> bool:
        """Note the end of an attempt; return whether a crash was recorded."""
        kind = result.kind
        state = attempt.server
        if kind is ResultKind.SUCCESS:
            self._note_success(now, attempt)
        elif kind is ResultKind.REFUSED:
            state.note_refusal(now)
        elif kind is ResultKind.NOT_SENT and not attempt.is_cancelled:
            state.note_connect_failure(now)
        elif kind is ResultKind.CRASHED:
            return self._note_crash(now, attempt)
        elif kind in _SERVER_FAILURES:
            self._health.observe_failure(state)
        elif kind is ResultKind.CANCELLED and attempt.head_at is None:
            seconds = now - attempt.started_at
            self._health.observe_at_least(state, seconds, self._of(attempt).typical_s)
        return False

    def judge(self, now: float) -> None:
        """Look at the attempts in progress: overdue ones, and those that became long."""
        if now - self._judged_at < _JUDGE_EVERY_S:
            return
        self._judged_at = now
        for attempt in self._attempts:
            self._count_long(now, attempt)
        self._health.judge(now, self._overdue(now))

    def _note_success(self, now: float, attempt: Attempt) -> None:
        if attempt.head_at is None:
            self.note_head(now, attempt)
        self._count_long(now, attempt)
        seconds = now - attempt.started_at
        self._of(attempt).observe_duration(seconds)
        if attempt.is_suspect:
            self._crashes.absolve(attempt.item.work.fingerprint)
        if attempt.is_long and not self._is_overlong(attempt, seconds):
            self._sizes.mark_short(attempt.item.work)

    def _note_crash(self, now: float, attempt: Attempt) -> bool:
        if attempt.is_in_crash:
            return False
        state = attempt.server
        lost = [other for other in self._attempts if other.server is state]
        for other in lost:
            other.is_in_crash = True
        # A request that was never written to the server has no part in its crash.
        sent_at = {
            other.item.work.fingerprint: (
                other.started_at if other.sent_at is None else other.sent_at
            )
            for other in lost
            if other is attempt or other.sent_at is not None
        }
        self._crashes.record(now, state.name, sent_at)
        self._attempts.suspect(sent_at)
        state.note_down(now)
        return True

    def _count_long(self, now: float, attempt: Attempt) -> None:
        item = attempt.item
        if attempt.is_long or item.work.request_class.is_long:
            return
        if self._is_overlong(attempt, now - attempt.started_at):
            self._attempts.count_as_long(attempt)
            item.size = RequestSize.LONG
            self._sizes.mark_long(item.work)

    def _is_overlong(self, attempt: Attempt, seconds: float) -> bool:
        statistics = self._statistics.of(attempt.item.work.request_class, RequestSize.SHORT)
        return self._sizes.is_overlong(statistics, seconds, attempt.server.slowness)

    def _overdue(self, now: float) -> Iterator[tuple[ServerState, float]]:
        for attempt in self._attempts:
            if attempt.head_at is None and not attempt.is_long:
                typical = self._of(attempt).typical_s
                yield attempt.server, (now - attempt.started_at) / max(typical, 1e-6)

    def _of(self, attempt: Attempt) -> ClassStatistics:
        size = RequestSize.LONG if attempt.is_long else RequestSize.SHORT
        return self._statistics.of(attempt.item.work.request_class, size)
