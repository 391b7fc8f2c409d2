"""Backend servers judged by their own latencies, not by what they report."""

import math
from collections.abc import Iterable

from .budget import ShareBudget
from .servers import ServerBook, ServerState

__all__ = ["HealthBook"]

# Latencies of ordinary requests vary less than this around the median once averaged.
SLOW_FACTOR = 3.0
# Lower than the threshold for slow, so that a server does not flap between the two.
_RECOVERED_FACTOR = 1.8
_WEIGHT = 0.2
# A set-aside server is seen through a few probes only, so each counts for more.
_PROBE_WEIGHT = 0.4
# Bounds what one request that is long by itself can say against a server.
_RATIO_LIMIT = 16.0
_RATIO_FLOOR = 1 / 16
# Requests that are overdue at the same time on one server before they count as observations.
_OVERDUE_COUNT = 2
_OVERDUE_FACTOR = 5.0
_SET_ASIDE_SHARE = 1 / 3
_JUDGE_EVERY_S = 0.02
_PROBE_EVERY_S = 0.25
# Well below one in a hundred, so that probes do not show in the 99th percentile.
_PROBE_SHARE = 0.003
# A shard with little traffic still finds out about recovery.
_PROBE_AT_LEAST_EVERY_S = 5.0


class _Record:
    """Mean logarithm of the latency ratios of one backend server."""

    __slots__ = ("last_probe_at", "log_ratio")

    def __init__(self) -> None:
        self.log_ratio = 0.0
        self.last_probe_at = -math.inf


class HealthBook:
    """Which backend servers are much slower than the median, and which are set aside.

    Explanation
    ===========

    A latency is compared with the median of its class, and its logarithm averaged, because
    service times vary by factors. Requests that are overdue count before they end, so that
    a server that stopped answering is found too.
    """

    def __init__(self, servers: ServerBook, is_setting_aside: bool) -> None:
        self._servers = servers
        self._is_setting_aside = is_setting_aside
        self._records: dict[str, _Record] = {}
        self._probes = ShareBudget(burst=2)
        self._judged_at = -math.inf

    def observe(self, state: ServerState, seconds: float, typical_s: float) -> None:
        """Note the latency of an attempt beside the median latency of its class."""
        self._observe_ratio(state, seconds / max(typical_s, 1e-6))

    def observe_at_least(self, state: ServerState, seconds: float, typical_s: float) -> None:
        """Note an attempt that was stopped before its end; it tells only of slowness."""
        if seconds / max(typical_s, 1e-6) > math.exp(self._record(state).log_ratio):
            self.observe(state, seconds, typical_s)

    def observe_failure(self, state: ServerState) -> None:
        """Note an attempt that failed on the backend server's side."""
        self._observe_ratio(state, _RATIO_LIMIT)

    def earn_probe(self) -> None:
        """Count a short request, of which a small share may serve as probes."""
        self._probes.earn(_PROBE_SHARE)

    def probe_due(self, now: float, states: Iterable[ServerState]) -> ServerState | None:
        """Return a set-aside backend server that should get the next short request."""
        for state in states:
            since = now - self._record(state).last_probe_at
            is_due = since >= _PROBE_EVERY_S and not self._probes.is_empty
            if not state.in_progress and (is_due or since >= _PROBE_AT_LEAST_EVERY_S):
                return state
        return None

    def note_probe(self, now: float, state: ServerState) -> None:
        self._probes.spend()
        self._record(state).last_probe_at = now

    def judge(self, now: float, overdue: Iterable[tuple[ServerState, float]]) -> None:
        """Judge all backend servers anew.

        :param overdue: of each attempt in progress, its age relative to the median latency.
        """
        if now - self._judged_at < _JUDGE_EVERY_S:
            return
        self._judged_at = now
        self._count_overdue(overdue)
        active = [state for state in self._servers if not state.is_leaving]
        if not active:
            return
        logs = sorted(self._record(state).log_ratio for state in active)
        median = logs[(len(logs) - 1) // 2]
        for state in active:
            state.slowness = math.exp(self._record(state).log_ratio - median)
            threshold = _RECOVERED_FACTOR if state.is_slow else SLOW_FACTOR
            state.is_slow = state.slowness > threshold
        self._set_aside(now, active)

    def forget_removed(self) -> None:
        names = {state.name for state in self._servers}
        self._records = {name: item for name, item in self._records.items() if name in names}

    def _observe_ratio(self, state: ServerState, ratio: float) -> None:
        ratio = min(_RATIO_LIMIT, max(_RATIO_FLOOR, ratio))
        record = self._record(state)
        weight = _PROBE_WEIGHT if state.is_slow else _WEIGHT
        record.log_ratio += weight * (math.log(ratio) - record.log_ratio)

    def _count_overdue(self, overdue: Iterable[tuple[ServerState, float]]) -> None:
        late: dict[str, list[float]] = {}
        for state, ratio in overdue:
            if ratio > _OVERDUE_FACTOR:
                late.setdefault(state.name, []).append(ratio)
        for name, ratios in late.items():
            state = self._servers.get(name)
            if state is None or len(ratios) < _OVERDUE_COUNT or len(ratios) * 2 < state.in_progress:
                continue
            record = self._record(state)
            record.log_ratio = max(record.log_ratio, math.log(min(_RATIO_LIMIT, min(ratios))))

    def _set_aside(self, now: float, active: list[ServerState]) -> None:
        if not self._is_setting_aside:
            return
        most = math.floor(len(active) * _SET_ASIDE_SHARE)
        slow = sorted((state for state in active if state.is_slow), key=lambda item: -item.slowness)
        chosen = {state.name for state in slow[:most]}
        for state in active:
            is_new = state.name in chosen and not state.is_set_aside
            state.is_set_aside = state.name in chosen
            if is_new:
                self._record(state).last_probe_at = now

    def _record(self, state: ServerState) -> _Record:
        record = self._records.get(state.name)
        if record is None:
            record = self._records[state.name] = _Record()
        return record
