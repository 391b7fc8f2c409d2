"""Registry of choices of a backend server among those with a free slot."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import TypeVar

from .servers import ServerState

__all__ = ["CHOICES", "ServerChoice", "choice"]

# A report older than a few seconds says nothing any more about requests of milliseconds.
_REPORT_HALF_LIFE_S = 1.0
# Averaged latencies of equal backend servers differ by less than this.
_NOISE_FACTOR = 1.5
_EXPLORED_SHARE = 0.1


class ServerChoice(ABC):
    """Chooses a backend server for one attempt.

    :param rng: source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    @abstractmethod
    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        """Return one of ``servers``, which is not empty; each has a free slot."""


T = TypeVar("T", bound=type[ServerChoice])

CHOICES: dict[str, type[ServerChoice]] = {}


def choice(name: str) -> Callable[[T], T]:
    """Register a choice under a name.

    Examples
    ========

    >>> sorted(CHOICES)
    ['latency_aware', 'least_loaded', 'least_reported', 'random', 'round_robin']

    """

    def register(cls: T) -> T:
        if CHOICES.setdefault(name, cls) is not cls:
            raise ValueError(f"choice {name!r} is already registered")
        return cls

    return register


@choice("random")
class RandomChoice(ServerChoice):
    """Any backend server with equal chance."""

    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        return self._rng.choice(servers)


@choice("round_robin")
class RoundRobinChoice(ServerChoice):
    """The backend servers in turn, by name."""

    _last = ""

    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        ordered = sorted(servers, key=lambda state: state.name)
        later = (state for state in ordered if state.name > self._last)
        chosen = next(later, ordered[0])
        self._last = chosen.name
        return chosen


class _LeastChoice(ServerChoice):
    """The lowest score; equal scores are decided by chance."""

    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        rng = self._rng
        return min(servers, key=lambda state: (self._score(now, state), rng.random()))

    @abstractmethod
    def _score(self, now: float, state: ServerState) -> float: ...


@choice("least_reported")
class LeastReportedChoice(_LeastChoice):
    """The lowest load by the backend servers' own reports, however old they are."""

    def _score(self, now: float, state: ServerState) -> float:
        return state.report.in_progress / state.server.slots if state.report else 0.0


@choice("least_loaded")
class LeastLoadedChoice(_LeastChoice):
    """The fewest own requests in progress per slot."""

    def _score(self, now: float, state: ServerState) -> float:
        return state.in_progress / state.server.slots


@choice("latency_aware")
class LatencyAwareChoice(_LeastChoice):
    """The lowest expected latency, from own latencies and requests in progress.

    A report counts only for work that this VM did not send, and less with its age. A small
    share of the choices ignores latencies, because a server that is never chosen is never
    measured again.
    """

    def choose(self, now: float, servers: Sequence[ServerState]) -> ServerState:
        if self._rng.random() < _EXPLORED_SHARE:
            return self._rng.choice(servers)
        return super().choose(now, servers)

    def _score(self, now: float, state: ServerState) -> float:
        load = state.in_progress + _unknown_load(now, state)
        slowness = state.slowness if state.slowness > _NOISE_FACTOR else 1.0
        return slowness * (1 + load / state.server.slots)


def _unknown_load(now: float, state: ServerState) -> float:
    if state.report is None:
        return 0.0
    surplus = state.report.in_progress - state.in_progress
    age = max(0.0, now - state.report.measured_at)
    return max(0, surplus) * 0.5 ** (age / _REPORT_HALF_LIFE_S)
