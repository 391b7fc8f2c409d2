"""Load balancing policies: which of the backend servers with a free slot gets an attempt."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import TypeVar

from .servers import ServerState

__all__ = ["BALANCING_POLICIES", "BalancingPolicy", "balancing_policy"]

# Requests take milliseconds, so a load report is outdated after a few seconds.
_REPORT_HALF_LIFE_S = 1.0
# The averaged latencies of equally fast backend servers differ by less than this factor.
_NOISE_FACTOR = 1.5
# Share of attempts that ignores latencies, so that a slow server is measured again.
_EXPLORATION_SHARE = 0.1


class BalancingPolicy(ABC):
    """Chooses a backend server for one attempt.

    :param rng: source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    @abstractmethod
    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        """Return one of ``servers``, which is not empty; each has a free slot."""


T = TypeVar("T", bound=type[BalancingPolicy])

BALANCING_POLICIES: dict[str, type[BalancingPolicy]] = {}


def balancing_policy(name: str) -> Callable[[T], T]:
    """Register a balancing policy under a name.

    Examples
    ========

    >>> sorted(BALANCING_POLICIES)
    ['latency_aware', 'least_loaded', 'least_reported', 'random', 'round_robin']

    """

    def register(cls: T) -> T:
        if BALANCING_POLICIES.setdefault(name, cls) is not cls:
            raise ValueError(f"balancing policy {name!r} is already registered")
        return cls

    return register


@balancing_policy("random")
class RandomPolicy(BalancingPolicy):
    """Selects uniformly at random."""

    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        return self._rng.choice(servers)


@balancing_policy("round_robin")
class RoundRobinPolicy(BalancingPolicy):
    """Selects the backend servers in turn, ordered by name."""

    _last = ""

    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        ordered = sorted(servers, key=lambda state: state.name)
        later = (state for state in ordered if state.name > self._last)
        chosen = next(later, ordered[0])
        self._last = chosen.name
        return chosen


class _LowestScorePolicy(BalancingPolicy):
    """Selects the lowest score; ties are broken at random."""

    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        rng = self._rng
        return min(servers, key=lambda state: (self._score(now, state), rng.random()))

    @abstractmethod
    def _score(self, now: float, state: ServerState) -> float: ...


@balancing_policy("least_reported")
class LeastReportedPolicy(_LowestScorePolicy):
    """Selects the lowest reported load per slot, regardless of the age of the reports."""

    def _score(self, now: float, state: ServerState) -> float:
        return state.report.in_progress / state.server.slots if state.report else 0.0


@balancing_policy("least_loaded")
class LeastLoadedPolicy(_LowestScorePolicy):
    """Selects the fewest requests in progress per slot, counting those of this VM only."""

    def _score(self, now: float, state: ServerState) -> float:
        return state.in_progress / state.server.slots


@balancing_policy("latency_aware")
class LatencyAwarePolicy(_LowestScorePolicy):
    """Selects the lowest expected latency.

    Explanation
    ===========

    The expected latency follows from measured latencies and the requests in progress. Load
    reports only add requests that this VM did not send, and their weight decays with their
    age. A small share of the selections is uniformly random, because a server that is never
    selected is never measured again.
    """

    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        if self._rng.random() < _EXPLORATION_SHARE:
            return self._rng.choice(servers)
        return super().choose(now, servers)

    def _score(self, now: float, state: ServerState) -> float:
        load = state.in_progress + _load_of_others(now, state)
        slowness = state.slowness if state.slowness > _NOISE_FACTOR else 1.0
        return slowness * (1 + load / state.server.slots)


def _load_of_others(now: float, state: ServerState) -> float:
    if state.report is None:
        return 0.0
    surplus = state.report.in_progress - state.in_progress
    age = max(0.0, now - state.report.measured_at)
    return max(0, surplus) * 0.5 ** (age / _REPORT_HALF_LIFE_S)
