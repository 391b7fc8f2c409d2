"""Backend servers of a shard: requests in progress, limits and failures of each."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from hibiscushaven.documents import Server

from .ports import SlotSource

__all__ = ["LoadReport", "ServerPool", "ServerState"]

_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 5.0
# A single failed connection may be a network fault; two in a row mean that the server is down.
_CONNECT_FAILURES_TO_DOWN = 2
# A backend server that refuses a request is paused for a few typical service times. The pause
# doubles with each further refusal, for servers that drain without being marked as leaving.
_REFUSAL_PAUSE_S = 0.1
_MAX_REFUSAL_PAUSE_S = 2.0
_MAX_REFUSAL_DOUBLINGS = 10
# Without any token, the next ones arrive with a heartbeat that renews a loan, every 0.4 s.
_TOKEN_RENEWAL_S = 0.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by a backend server.

    :ivar measured_at: time of the measurement, on the clock of the dispatcher.
    """

    in_progress: int
    measured_at: float


@dataclass(slots=True, eq=False)
class ServerState:
    """State of a backend server, as observed by the dispatcher.

    :ivar slowness: latency relative to the median of the backend servers; 1 is usual.
    :ivar is_slow: whether it was classified as much slower than the median.
    :ivar is_ejected: whether it is ejected as an outlier: it gets only probes, and its slots do
        not count as capacity.
    :ivar no_token_until: time until which work with the deadline ``no_token_deadline`` or a
        later one is not started on it, because acquiring a token for such work failed.
    :ivar ramp_from: start of the slow start of a cold backend server; ``None`` when warm.
    """

    server: Server
    is_leaving: bool = False
    in_progress: int = 0
    long_in_progress: int = 0
    suspects_in_progress: int = 0
    slowness: float = 1.0
    is_slow: bool = False
    is_ejected: bool = False
    ramp_from: float | None = None
    is_down: bool = False
    down_until: float = 0.0
    backoff_s: float = _INITIAL_BACKOFF_S
    connect_failures: int = 0
    refusals: int = 0
    paused_until: float = 0.0
    no_token_until: float = 0.0
    no_token_deadline: float = math.inf
    report: LoadReport | None = None

    @property
    def name(self) -> str:
        return self.server.name

    def limit(self, now: float, ramp_s: float) -> int:
        """Return the maximum number of requests that may be in progress now."""
        if self.is_leaving or now < self.paused_until:
            return 0
        if self.is_down:
            return 1 if now >= self.down_until else 0
        if self.ramp_from is None:
            return self.server.slots
        elapsed = now - self.ramp_from
        if elapsed >= ramp_s:
            self.ramp_from = None
            return self.server.slots
        return max(1, math.floor(self.server.slots * elapsed / ramp_s))

    def mark_down(self, now: float) -> None:
        """Mark the server as down; after a backoff, a single request tests whether it is up."""
        self.backoff_s = min(_MAX_BACKOFF_S, self.backoff_s * 2) if self.is_down else self.backoff_s
        self.is_down = True
        self.down_until = now + self.backoff_s

    def record_connect_failure(self, now: float) -> None:
        self.connect_failures += 1
        if self.is_down or self.connect_failures >= _CONNECT_FAILURES_TO_DOWN:
            self.mark_down(now)

    def record_refusal(self, now: float) -> None:
        refusals = self.refusals
        self.record_response(now)
        self.pause(now, min(_MAX_REFUSAL_PAUSE_S, _REFUSAL_PAUSE_S * 2**refusals))
        self.refusals = min(refusals + 1, _MAX_REFUSAL_DOUBLINGS)

    def pause(self, now: float, seconds: float) -> None:
        """Start no new requests on the server for some seconds."""
        self.paused_until = max(self.paused_until, now + seconds)

    def record_token_failure(self, now: float, deadline: float, seconds: float) -> None:
        """Start no work with this deadline or a later one for some seconds.

        There may still be tokens for work with an earlier deadline.
        """
        if now >= self.no_token_until:
            self.no_token_deadline = math.inf
        self.no_token_deadline = min(self.no_token_deadline, deadline)
        self.no_token_until = now + seconds

    def may_acquire_token(self, now: float, deadline: float) -> bool:
        return now >= self.no_token_until or deadline < self.no_token_deadline

    def record_response(self, now: float) -> None:
        """Record a response; a server that was down is up again, with a cold cache."""
        self.connect_failures = 0
        self.refusals = 0
        if self.is_down:
            self.is_down = False
            self.backoff_s = _INITIAL_BACKOFF_S
            self.ramp_from = now


class ServerPool:
    """The backend servers of a shard by name, and their free slots."""

    def __init__(self, slots: SlotSource, ramp_s: float) -> None:
        self._slots = slots
        self._ramp_s = ramp_s
        self._service = ""
        self._states: dict[str, ServerState] = {}
        self._is_first_document = True
        self._has_leaving = False

    def __iter__(self) -> Iterator[ServerState]:
        return iter(self._states.values())

    @property
    def in_progress(self) -> int:
        return sum(state.in_progress for state in self._states.values())

    @property
    def long_in_progress(self) -> int:
        return sum(state.long_in_progress for state in self._states.values())

    def get(self, name: str) -> ServerState | None:
        return self._states.get(name)

    def replace(self, now: float, service: str, servers: tuple[Server, ...]) -> None:
        """Apply the backend servers of a new document.

        Those of the first document count as warm: they have served the previous owner.
        """
        self._service = service
        named = {server.name: server for server in servers}
        for name, state in self._states.items():
            if name not in named:
                state.is_leaving = True
        for name, server in named.items():
            self._update(now, name, server)
        self._is_first_document = False
        self._has_leaving = any(state.is_leaving for state in self._states.values())
        self.purge()

    def purge(self) -> None:
        """Remove the leaving backend servers without requests in progress."""
        if not self._has_leaving:
            return
        removed = [
            name
            for name, state in self._states.items()
            if state.is_leaving and not state.in_progress
        ]
        for name in removed:
            del self._states[name]

    def free_slots(self, now: float, state: ServerState) -> int:
        """Return the number of requests that may be started on a backend server now."""
        headroom = state.limit(now, self._ramp_s) - state.in_progress
        if headroom <= 0:
            return 0
        return min(headroom, self._slots.available(now, self._service, state.name))

    def usable_slots(self, now: float, state: ServerState) -> int:
        """Return the number of slots that a backend server contributes, in use and free."""
        if state.is_leaving:
            return 0
        return min(state.limit(now, self._ramp_s), state.in_progress + self.free_slots(now, state))

    def time_to_available_s(self, now: float) -> float:
        """Return the time until some backend server accepts work, when none does now."""
        times = [
            max(state.down_until if state.is_down else now, state.paused_until) - now
            for state in self._states.values()
            if not state.is_leaving
        ]
        return max(_TOKEN_RENEWAL_S, min(times)) if times else math.inf

    def _update(self, now: float, name: str, server: Server) -> None:
        state = self._states.get(name)
        if state is None:
            state = ServerState(server, ramp_from=None if self._is_first_document else now)
            self._states[name] = state
        elif state.is_leaving and not server.is_leaving:
            state.ramp_from = now
        state.server = server
        state.is_leaving = server.is_leaving
