"""Load, speed and reachability of backend servers, as observed by this VM."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import sqrt

__all__ = ["LoadReport", "ProcessingTimes", "ServerLoad", "ServerLoads"]

# Weight of a new sample in an exponentially weighted moving average (EWMA): the last ten samples
# dominate.
EWMA_WEIGHT = 0.1

# Weight of a new sample in the processing times of a service, of which a VM sees several per
# second.
PROCESSING_TIME_EWMA_WEIGHT = 0.02

# Objective of services without a route.
DEFAULT_OBJECTIVE_S = 0.25

# Processing times that are expected before any were measured, as fractions of the objective.
# Objectives lie between the processing times with and without a cache hit.
PRIOR_HIT_FRACTION = 0.4
PRIOR_MISS_FRACTION = 1.0
PRIOR_MEAN_FRACTION = 0.6

# Number of samples that the prior expectation weighs as much as.
PRIOR_SAMPLES = 3

# Smallest ratio of the processing time of a cache miss to that of a hit.
MIN_MISS_RATIO = 1.5

# Age from which a reported slowness is ignored; the speed of a server's machine changes several
# times per second.
REPORT_MAX_AGE_S = 0.4

# Weight of a new sample in the slowness of a server, of which a VM sees about one per second.
SLOWNESS_EWMA_WEIGHT = 0.2

# Half-life of the measured slowness while no requests are sent to the server, so that a
# deprioritized server is tried again after some seconds.
SLOWNESS_HALF_LIFE_S = 3.0

# Half-life of the failure rate while a server sends no responses, for the same reason.
FAILURE_HALF_LIFE_S = 3.0

# Age up to which a report is passed on to other VMs, in each of several state messages.
REPORT_SHARING_MAX_AGE_S = 0.1

# Upper bound on a single sample of the relative duration, which limits the effect of outliers.
MAX_RELATIVE_DURATION = 20.0

# Exponential backoff after consecutive failures. It is short, since a server that restarts is
# back after some seconds and a probe costs one request that can be retried.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0

# A server with requests in progress is unresponsive when it has sent no response for this many
# times the usual processing time.
UNRESPONSIVE_FACTOR = 4.0

# Shortest time without a response after which a server counts as unresponsive.
MIN_UNRESPONSIVE_S = 0.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a backend server reports with a response.

    :ivar slowness: current processing time on its machine relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@dataclass(slots=True)
class ServerLoad:
    """Load and health of one backend server, as observed by this VM.

    :ivar start_times: start times of the attempts in progress by attempt number, oldest first.
    :ivar backoff_until: end of the backoff after failures.
    :ivar lost_at: time at which a connection attempt last failed.
    :ivar last_response_at: time of the last response.
    :ivar relative_duration: EWMA of the ratio of measured to expected processing time.
    :ivar measured_at: time of the last sample of ``relative_duration``.
    :ivar failure_rate: EWMA of the fraction of responses that report a failure.
    """

    start_times: dict[int, float] = field(default_factory=dict)
    backoff_until: float = 0.0
    consecutive_failures: int = 0
    lost_at: float | None = None
    last_response_at: float = 0.0
    relative_duration: float = 1.0
    measured_at: float = 0.0
    failure_rate: float = 0.0
    report: LoadReport | None = None
    reported_at: float = 0.0

    @property
    def in_progress(self) -> int:
        return len(self.start_times)

    def slowness(
        self, now: float, peer_slowness: float = 1.0, peer_report_at: float = float("-inf")
    ) -> float:
        """Return the current processing time relative to the usual one.

        :param peer_slowness: slowness reported by other VMs.
        :param peer_report_at: time of their report.
        """
        reported, reported_at = peer_slowness, peer_report_at
        if self.report is not None and self.reported_at >= peer_report_at:
            reported, reported_at = self.report.slowness, self.reported_at
        if now - reported_at > REPORT_MAX_AGE_S:
            reported = 1.0
        return max(reported, self.measured_slowness(now))

    def measured_slowness(self, now: float) -> float:
        """Return the EWMA of the relative duration, decayed towards 1 since the last sample."""
        age_s = max(0.0, now - self.measured_at)
        return 1.0 + (self.relative_duration - 1.0) * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)

    def recent_failure_rate(self, now: float) -> float:
        """Return the EWMA of the failures, decayed since the last response."""
        age_s = max(0.0, now - self.last_response_at)
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def is_unavailable(self, now: float, processing_s: float) -> bool:
        """Return whether the server should receive no requests for now."""
        return now < self.backoff_until or self.is_unresponsive(now, processing_s)

    def is_unresponsive(self, now: float, processing_s: float) -> bool:
        """Return whether the server has left its requests unanswered for too long."""
        oldest = next(iter(self.start_times.values()), None)
        if oldest is None:
            return False
        silent_s = now - max(oldest, self.last_response_at)
        return silent_s > max(MIN_UNRESPONSIVE_S, UNRESPONSIVE_FACTOR * processing_s)

    def on_response(
        self,
        now: float,
        relative_duration: float | None,
        is_failure: bool,
        report: LoadReport | None,
    ) -> None:
        """Record a response.

        :param relative_duration: ratio of measured to expected processing time, or ``None`` if
            the duration of the response includes other delays.
        """
        self.consecutive_failures = 0
        self.backoff_until = 0.0
        self.last_response_at = now
        self.failure_rate += EWMA_WEIGHT * (is_failure - self.failure_rate)
        if relative_duration is not None:
            self._update_relative_duration(now, relative_duration)
        if report is not None:
            self.report, self.reported_at = report, now

    def on_timeout(self, now: float, relative_duration: float) -> None:
        """Record an attempt that ended at its deadline.

        :param relative_duration: ratio of the elapsed to the expected time.
        """
        self._update_relative_duration(now, relative_duration)

    def on_connection_loss(self, now: float, is_unreachable: bool = False) -> None:
        """Record a connection that failed, broke or made no progress.

        :param is_unreachable: whether no connection could be established. The server is then
            probably down, and cold once it is back.
        """
        if is_unreachable:
            self.lost_at = now
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**self.consecutive_failures)
        self.consecutive_failures = min(self.consecutive_failures + 1, 10)
        self.backoff_until = now + backoff_s

    def _update_relative_duration(self, now: float, relative_duration: float) -> None:
        previous = self.measured_slowness(now)
        sample = min(relative_duration, MAX_RELATIVE_DURATION)
        self.relative_duration = previous + SLOWNESS_EWMA_WEIGHT * (sample - previous)
        self.measured_at = now


class ServerLoads:
    """Loads of all backend servers by server id."""

    def __init__(self) -> None:
        self._loads: dict[str, ServerLoad] = {}

    def of(self, server_id: str) -> ServerLoad:
        """Return the load of a server, creating it if needed."""
        load = self._loads.get(server_id)
        if load is None:
            load = self._loads[server_id] = ServerLoad()
        return load

    def busy(self) -> Iterator[tuple[str, ServerLoad]]:
        """Yield the servers with requests in progress, with their loads."""
        return ((name, load) for name, load in self._loads.items() if load.start_times)

    def in_progress(self) -> dict[str, int]:
        """Return the number of requests in progress by server, without idle servers."""
        return {name: len(load.start_times) for name, load in self.busy()}

    def lost_server_ages_s(self, now: float, within_s: float) -> dict[str, float]:
        """Return the time since a connection attempt failed, for recent failures."""
        return {
            name: now - load.lost_at
            for name, load in self._loads.items()
            if load.lost_at is not None and now - load.lost_at < within_s
        }

    def slowness_reports(self, now: float) -> dict[str, tuple[float, float]]:
        """Return the reported slowness and the age of the report, for recent responses.

        Servers that report no load have the usual slowness, so that other VMs learn of every
        response.
        """
        return {
            name: (load.report.slowness if load.report is not None else 1.0, age_s)
            for name, load in self._loads.items()
            if (age_s := now - load.last_response_at) < REPORT_SHARING_MAX_AGE_S
        }

    def retain_only(self, server_ids: frozenset[str]) -> None:
        """Discard the state of idle servers that are not in the set."""
        for name in [name for name in self._loads if name not in server_ids]:
            if not self._loads[name].start_times:
                del self._loads[name]


class ProcessingTimes:
    """Moving averages of the processing times of a service, in seconds.

    Explanation
    ===========

    Initial values are derived from the objective of the service's requests, which is set so that
    most requests can meet it. The first samples have the largest weight.

    :ivar hit_s: mean for objects that the backend server should have cached.
    :ivar miss_s: mean for other objects.
    :ivar mean_s: mean for all objects.

    Examples
    ========

    >>> times = ProcessingTimes(objective_s=1.0)
    >>> times.is_cache_hit(0.3), times.is_cache_hit(1.0)
    (True, False)

    """

    def __init__(self, objective_s: float = DEFAULT_OBJECTIVE_S) -> None:
        self.hit_s = PRIOR_HIT_FRACTION * objective_s
        self.miss_s = PRIOR_MISS_FRACTION * objective_s
        self.mean_s = PRIOR_MEAN_FRACTION * objective_s
        self._sample_counts = {True: 0, False: 0}

    def expected_s(self, is_hit: bool) -> float:
        return self.hit_s if is_hit else self.miss_s

    def is_cache_hit(self, duration_s: float) -> bool:
        """Return whether a processing time indicates a cache hit."""
        return duration_s < max(sqrt(self.hit_s * self.miss_s), MIN_MISS_RATIO * self.hit_s)

    def record(self, is_hit: bool, duration_s: float) -> None:
        """Record a processing time that includes no queueing delay."""
        count = self._sample_counts[is_hit] = self._sample_counts[is_hit] + 1
        weight = max(PROCESSING_TIME_EWMA_WEIGHT, 1.0 / (count + PRIOR_SAMPLES))
        if is_hit:
            self.hit_s += weight * (duration_s - self.hit_s)
        else:
            self.miss_s += weight * (duration_s - self.miss_s)
        total_count = sum(self._sample_counts.values())
        weight = max(PROCESSING_TIME_EWMA_WEIGHT, 1.0 / (total_count + PRIOR_SAMPLES))
        self.mean_s += weight * (duration_s - self.mean_s)
