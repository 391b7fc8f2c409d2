"""Detection of slow backend servers from measured latencies; load reports are not used."""

import math
from collections.abc import Iterable

from .budget import ShareBudget
from .servers import ServerPool, ServerState

__all__ = ["OutlierDetector"]

# The averaged latencies of ordinary requests stay within this factor of the median.
SLOW_FACTOR = 3.0
# Hysteresis: lower than ``SLOW_FACTOR``, so that a server does not flap between states.
_RECOVERED_FACTOR = 1.8
# Weight of a new observation in the moving average of log ratios.
_LATENCY_WEIGHT = 0.2
# A slow server gets only a few probes, so each observation of it weighs more.
_PROBE_WEIGHT = 0.4
# Limits the effect of a single request that takes long on any server.
_MAX_RATIO = 16.0
_MIN_RATIO = 1 / 16
# Attempts that must be overdue on one server at the same time to count as observations.
_MIN_OVERDUE_ATTEMPTS = 2
# An attempt is overdue at this multiple of the median latency.
_OVERDUE_FACTOR = 5.0
_MAX_EJECTED_SHARE = 1 / 3
_EVALUATION_INTERVAL_S = 0.02
_PROBE_INTERVAL_S = 0.25
# Well below one in a hundred, so that probes do not affect the 99th percentile.
_PROBE_SHARE = 0.003
# Lets a shard with little traffic detect recovery, regardless of the probe budget.
_MAX_PROBE_INTERVAL_S = 5.0


class _LatencyRecord:
    """Moving average of the logarithms of the latency ratios of one backend server."""

    __slots__ = ("last_probe_at", "log_ratio")

    def __init__(self) -> None:
        self.log_ratio = 0.0
        self.last_probe_at = -math.inf


class OutlierDetector:
    """Marks backend servers that are much slower than the median, and ejects some of them.

    Explanation
    ===========

    Each latency is divided by the median of its request class. The logarithms of these
    ratios are averaged, because service times vary by factors. Overdue attempts count before
    they end, so that a server that stopped responding is detected too. An ejected server gets
    only probes, and its slots do not count as capacity; at most a third of the servers is
    ejected.
    """

    def __init__(self, servers: ServerPool, is_ejecting_outliers: bool) -> None:
        self._servers = servers
        self._is_ejecting_outliers = is_ejecting_outliers
        self._records: dict[str, _LatencyRecord] = {}
        self._probes = ShareBudget(burst=2)
        self._evaluated_at = -math.inf

    def observe(self, state: ServerState, latency_s: float, median_s: float) -> None:
        """Record the latency of an attempt and the median latency of its class."""
        self._observe_ratio(state, latency_s / max(median_s, 1e-6))

    def observe_lower_bound(self, state: ServerState, latency_s: float, median_s: float) -> None:
        """Record the age of an attempt that was cancelled: a lower bound of its latency.

        It can only raise the average, since the full latency is unknown.
        """
        if latency_s / max(median_s, 1e-6) > math.exp(self._record(state).log_ratio):
            self.observe(state, latency_s, median_s)

    def observe_failure(self, state: ServerState) -> None:
        """Record an attempt that failed because of the backend server."""
        self._observe_ratio(state, _MAX_RATIO)

    def deposit_probe_share(self) -> None:
        """Add the share of one short request to the probe budget."""
        self._probes.deposit(_PROBE_SHARE)

    def probe_due(self, now: float, states: Iterable[ServerState]) -> ServerState | None:
        """Return a backend server among ``states`` that should get the next short request."""
        for state in states:
            elapsed_s = now - self._record(state).last_probe_at
            is_due = elapsed_s >= _PROBE_INTERVAL_S and not self._probes.is_empty
            if not state.in_progress and (is_due or elapsed_s >= _MAX_PROBE_INTERVAL_S):
                return state
        return None

    def record_probe(self, now: float, state: ServerState) -> None:
        self._probes.try_withdraw()
        self._record(state).last_probe_at = now

    def evaluate(self, now: float, overdue: Iterable[tuple[ServerState, float]]) -> None:
        """Update which backend servers are slow and which are ejected.

        :param overdue: the server of each attempt in progress, and the age of the attempt
            divided by the median latency.
        """
        if now - self._evaluated_at < _EVALUATION_INTERVAL_S:
            return
        self._evaluated_at = now
        self._observe_overdue(overdue)
        active = [state for state in self._servers if not state.is_leaving]
        if not active:
            return
        log_ratios = sorted(self._record(state).log_ratio for state in active)
        median = log_ratios[(len(log_ratios) - 1) // 2]
        for state in active:
            state.slowness = math.exp(self._record(state).log_ratio - median)
            threshold = _RECOVERED_FACTOR if state.is_slow else SLOW_FACTOR
            state.is_slow = state.slowness > threshold
        self._update_ejections(now, active)

    def drop_removed_servers(self) -> None:
        names = {state.name for state in self._servers}
        self._records = {name: item for name, item in self._records.items() if name in names}

    def _observe_ratio(self, state: ServerState, ratio: float) -> None:
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, ratio))
        record = self._record(state)
        weight = _PROBE_WEIGHT if state.is_slow else _LATENCY_WEIGHT
        record.log_ratio += weight * (math.log(ratio) - record.log_ratio)

    def _observe_overdue(self, overdue: Iterable[tuple[ServerState, float]]) -> None:
        overdue_ratios: dict[str, list[float]] = {}
        for state, ratio in overdue:
            if ratio > _OVERDUE_FACTOR:
                overdue_ratios.setdefault(state.name, []).append(ratio)
        for name, ratios in overdue_ratios.items():
            state = self._servers.get(name)
            if (
                state is None
                or len(ratios) < _MIN_OVERDUE_ATTEMPTS
                or len(ratios) * 2 < state.in_progress
            ):
                continue
            record = self._record(state)
            record.log_ratio = max(record.log_ratio, math.log(min(_MAX_RATIO, min(ratios))))

    def _update_ejections(self, now: float, active: list[ServerState]) -> None:
        if not self._is_ejecting_outliers:
            return
        max_ejected = math.floor(len(active) * _MAX_EJECTED_SHARE)
        slow = sorted((state for state in active if state.is_slow), key=lambda item: -item.slowness)
        ejected = {state.name for state in slow[:max_ejected]}
        for state in active:
            is_newly_ejected = state.name in ejected and not state.is_ejected
            state.is_ejected = state.name in ejected
            if is_newly_ejected:
                self._record(state).last_probe_at = now

    def _record(self, state: ServerState) -> _LatencyRecord:
        record = self._records.get(state.name)
        if record is None:
            record = self._records[state.name] = _LatencyRecord()
        return record
