"""What a VM has seen of backend servers itself."""

from dataclasses import dataclass, field
from math import sqrt

__all__ = ["LoadReport", "ServerLoad", "ServerLoads", "WorkTimes"]

# Weight of a new measurement in a moving mean: the last ten count most.
SMOOTHING = 0.1

# The same for the work times of a service, of which a VM sees some each second.
TIMES_SMOOTHING = 0.02

# Objective of services without a route, and the work times that are expected as parts of an
# objective before any were measured: objectives lie between the times with and without a known
# object.
DEFAULT_OBJECTIVE_S = 0.25
KNOWN_PART = 0.4
UNKNOWN_PART = 1.0
MEAN_PART = 0.6

# Answers that this expectation weighs as much as.
PRIOR_RECORDS = 3

# Work takes at least so many times longer than usual when a server does not know an object.
LEAST_MISS_PART = 1.5

# A server's report of how fast its machine is changes several times a second.
REPORT_LIFE_S = 0.4

# Weight of a new work time in the slowness of a server, of which a VM sees about one a second.
SLOWNESS_SMOOTHING = 0.2

# Time in which measured slowness fades by half while no requests go to the server, so that it is
# tried again some seconds after it was set aside.
SLOWNESS_HALF_LIFE_S = 3.0

# Age up to which reports are told to other VMs; each is told in several states.
NEWS_LIFE_S = 0.1

# A single work time counts as so many usual ones at most.
MOST_RELATIVE_TIME = 20.0

# Pauses after failures in a row, doubled each time: short, since a server that restarts is
# back after some seconds and a probe costs one request that can be sent again.
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 2.0

# A server that has not answered anything for so many times the usual work time is avoided.
STUCK_FACTOR = 4.0
STUCK_LEAST_S = 0.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a backend server reports with an answer.

    :ivar slowness: how long work takes on its machine at present; 1 is usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@dataclass(slots=True)
class ServerLoad:
    """One backend server as this VM sees it.

    :ivar started: start times of the attempts in progress, by attempt, oldest first.
    :ivar avoid_until: end of the pause after failures.
    :ivar lost_at: time at which it was last found to be unreachable.
    :ivar relative_time: moving mean of work times over what was expected.
    :ivar failed_part: moving mean of failed answers.
    """

    started: dict[int, float] = field(default_factory=dict)
    avoid_until: float = 0.0
    failures: int = 0
    lost_at: float | None = None
    last_answer_at: float = 0.0
    relative_time: float = 1.0
    measured_at: float = 0.0
    failed_part: float = 0.0
    report: LoadReport | None = None
    reported_at: float = 0.0

    @property
    def in_progress(self) -> int:
        return len(self.started)

    def slowness(self, now: float, told: float = 1.0, told_at: float = float("-inf")) -> float:
        """Return how many times longer than usual work takes.

        :param told: what other VMs tell, as of ``told_at``.
        """
        reported, at = told, told_at
        if self.report is not None and self.reported_at >= told_at:
            reported, at = self.report.slowness, self.reported_at
        if now - at > REPORT_LIFE_S:
            reported = 1.0
        return max(reported, self.measured_slowness(now))

    def measured_slowness(self, now: float) -> float:
        """Return the work times of late over what was expected, fading while none come in."""
        age_s = max(0.0, now - self.measured_at)
        return 1.0 + (self.relative_time - 1.0) * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)

    def is_avoided(self, now: float, work_s: float) -> bool:
        """Return whether it should get no requests for the moment."""
        return now < self.avoid_until or self.is_stuck(now, work_s)

    def is_stuck(self, now: float, work_s: float) -> bool:
        """Return whether it has left a request unanswered for far too long."""
        oldest = next(iter(self.started.values()), None)
        if oldest is None:
            return False
        silent_s = now - max(oldest, self.last_answer_at)
        return silent_s > max(STUCK_LEAST_S, STUCK_FACTOR * work_s)

    def on_answer(
        self, now: float, relative_time: float | None, is_failure: bool, report: LoadReport | None
    ) -> None:
        """Note an answer.

        :param relative_time: work time over what was expected; ``None`` if it says nothing.
        """
        self.failures = 0
        self.avoid_until = 0.0
        self.last_answer_at = now
        self.failed_part += SMOOTHING * (is_failure - self.failed_part)
        if relative_time is not None:
            self._measure(now, relative_time)
        if report is not None:
            self.report, self.reported_at = report, now

    def on_timeout(self, now: float, relative_time: float) -> None:
        """Note an attempt that ended at its time limit.

        :param relative_time: time until then over what was expected.
        """
        self._measure(now, relative_time)

    def on_loss(self, now: float, is_unreachable: bool = False) -> None:
        """Note a connection that broke or stayed silent.

        :param is_unreachable: whether no connection could be made, so that the server is
            probably down and will be cold when it is back.
        """
        if is_unreachable:
            self.lost_at = now
        pause = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0**self.failures)
        self.failures = min(self.failures + 1, 10)
        self.avoid_until = now + pause

    def _measure(self, now: float, relative_time: float) -> None:
        known = self.measured_slowness(now)
        sample = min(relative_time, MOST_RELATIVE_TIME)
        self.relative_time = known + SLOWNESS_SMOOTHING * (sample - known)
        self.measured_at = now


class ServerLoads:
    """Loads by id of the backend server."""

    def __init__(self) -> None:
        self._loads: dict[str, ServerLoad] = {}

    def of(self, server_id: str) -> ServerLoad:
        """Return the load of a server."""
        load = self._loads.get(server_id)
        if load is None:
            load = self._loads[server_id] = ServerLoad()
        return load

    def busy(self) -> dict[str, int]:
        """Return the requests in progress by server, without idle servers."""
        return {name: len(load.started) for name, load in self._loads.items() if load.started}

    def lost(self, now: float, within_s: float) -> dict[str, float]:
        """Return the seconds since servers were lost, for those lost of late."""
        return {
            name: now - load.lost_at
            for name, load in self._loads.items()
            if load.lost_at is not None and now - load.lost_at < within_s
        }

    def reports(self, now: float) -> dict[str, tuple[float, float]]:
        """Return the latest slowness of servers with its age, for fresh reports."""
        return {
            name: (load.report.slowness, now - load.reported_at)
            for name, load in self._loads.items()
            if load.report is not None and now - load.reported_at < NEWS_LIFE_S
        }

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Forget idle servers that are not named."""
        for name in [name for name in self._loads if name not in server_ids]:
            if not self._loads[name].started:
                del self._loads[name]


class WorkTimes:
    """Moving means of the work times of a service, in seconds.

    Explanation
    ===========

    Before the first answers, times are taken from the objective of the service's requests,
    which is set so that most can meet it. The first answers weigh most.

    :ivar known_s: for objects that the backend server should know.
    :ivar unknown_s: for other objects.
    :ivar mean_s: for all.

    Examples
    ========

    >>> times = WorkTimes(objective_s=1.0)
    >>> times.is_hit(0.3), times.is_hit(1.0)
    (True, False)

    """

    def __init__(self, objective_s: float = DEFAULT_OBJECTIVE_S) -> None:
        self.known_s = KNOWN_PART * objective_s
        self.unknown_s = UNKNOWN_PART * objective_s
        self.mean_s = MEAN_PART * objective_s
        self._records = {True: 0, False: 0}

    def expected_s(self, is_known: bool) -> float:
        return self.known_s if is_known else self.unknown_s

    def is_hit(self, seconds: float) -> bool:
        """Return whether a work time shows that the server knew the object."""
        return seconds < max(sqrt(self.known_s * self.unknown_s), LEAST_MISS_PART * self.known_s)

    def record(self, is_known: bool, seconds: float) -> None:
        """Note a work time that no queue is part of."""
        count = self._records[is_known] = self._records[is_known] + 1
        gain = max(TIMES_SMOOTHING, 1.0 / (count + PRIOR_RECORDS))
        if is_known:
            self.known_s += gain * (seconds - self.known_s)
        else:
            self.unknown_s += gain * (seconds - self.unknown_s)
        all_records = sum(self._records.values())
        gain = max(TIMES_SMOOTHING, 1.0 / (all_records + PRIOR_RECORDS))
        self.mean_s += gain * (seconds - self.mean_s)
