"""Backend servers of a shard: what runs on each and how much each may take."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from hibiscushaven.documents import Server

from .ports import SlotSource

__all__ = ["LoadReport", "ServerBook", "ServerState"]

_BACKOFF_FIRST_S = 0.25
_BACKOFF_LIMIT_S = 5.0
# One failed connection may be an accident of the network; two in a row mean a dead server.
_CONNECT_FAILURES_TO_DOWN = 2
# A backend server that sheds load is left alone for a few typical service times. The pause
# doubles while it goes on refusing, as a server does that drains without being marked as leaving.
_REFUSAL_PAUSE_S = 0.1
_REFUSAL_PAUSE_LIMIT_S = 2.0
_REFUSAL_DOUBLINGS = 10
# Without any token, the next come with a heartbeat (every 0.4 s) that renews a loan.
_TOKEN_RETURN_S = 0.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server said of its load.

    :ivar measured_at: when it was measured, on the dispatcher's clock.
    """

    in_progress: int
    measured_at: float


@dataclass(slots=True, eq=False)
class ServerState:
    """A backend server as the dispatcher sees it.

    :ivar slowness: latency relative to the other backend servers; 1 is usual.
    :ivar is_slow: whether it is judged much slower than the others.
    :ivar is_set_aside: whether it gets only probes for now.
    :ivar no_token_until: until when work that ends at ``no_token_from`` or later is left out,
        because no token was had for such work.
    :ivar ramp_from: when a cold backend server took its first work; ``None`` when warm.
    """

    server: Server
    is_leaving: bool = False
    in_progress: int = 0
    long_in_progress: int = 0
    suspects_in_progress: int = 0
    slowness: float = 1.0
    is_slow: bool = False
    is_set_aside: bool = False
    ramp_from: float | None = None
    is_down: bool = False
    down_until: float = 0.0
    backoff_s: float = _BACKOFF_FIRST_S
    connect_failures: int = 0
    refusals: int = 0
    paused_until: float = 0.0
    no_token_until: float = 0.0
    no_token_from: float = math.inf
    report: LoadReport | None = None

    @property
    def name(self) -> str:
        return self.server.name

    def limit(self, now: float, ramp_s: float) -> int:
        """Return the most requests that may be in progress on it now."""
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

    def note_down(self, now: float) -> None:
        """Stop new work; after a pause a single request finds out whether it is back."""
        self.backoff_s = (
            min(_BACKOFF_LIMIT_S, self.backoff_s * 2) if self.is_down else self.backoff_s
        )
        self.is_down = True
        self.down_until = now + self.backoff_s

    def note_connect_failure(self, now: float) -> None:
        self.connect_failures += 1
        if self.is_down or self.connect_failures >= _CONNECT_FAILURES_TO_DOWN:
            self.note_down(now)

    def note_refusal(self, now: float) -> None:
        refusals = self.refusals
        self.note_answer(now)
        self.pause(now, min(_REFUSAL_PAUSE_LIMIT_S, _REFUSAL_PAUSE_S * 2**refusals))
        self.refusals = min(refusals + 1, _REFUSAL_DOUBLINGS)

    def pause(self, now: float, seconds: float) -> None:
        """Start nothing new on it for a while."""
        self.paused_until = max(self.paused_until, now + seconds)

    def note_no_token(self, now: float, deadline: float, seconds: float) -> None:
        """Leave out work with this deadline or a later one for a while.

        Tokens for short work may be free while none is for long work.
        """
        if now >= self.no_token_until:
            self.no_token_from = math.inf
        self.no_token_from = min(self.no_token_from, deadline)
        self.no_token_until = now + seconds

    def may_have_token(self, now: float, deadline: float) -> bool:
        return now >= self.no_token_until or deadline < self.no_token_from

    def note_answer(self, now: float) -> None:
        """Note that it answers; one that was down starts over with a cold cache."""
        self.connect_failures = 0
        self.refusals = 0
        if self.is_down:
            self.is_down = False
            self.backoff_s = _BACKOFF_FIRST_S
            self.ramp_from = now


class ServerBook:
    """The backend servers of a shard by name, and how many slots of each are free."""

    def __init__(self, slots: SlotSource, ramp_s: float) -> None:
        self._slots = slots
        self._ramp_s = ramp_s
        self._service = ""
        self._states: dict[str, ServerState] = {}
        self._is_first = True
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
        """Take the backend servers of a new document.

        Those of the first document count as warm: they served under the previous owner.
        """
        self._service = service
        named = {server.name: server for server in servers}
        for name, state in self._states.items():
            if name not in named:
                state.is_leaving = True
        for name, server in named.items():
            self._put(now, name, server)
        self._is_first = False
        self._has_leaving = any(state.is_leaving for state in self._states.values())
        self.purge()

    def purge(self) -> None:
        """Forget the backend servers that left and have nothing in progress."""
        if not self._has_leaving:
            return
        gone = [
            name
            for name, state in self._states.items()
            if state.is_leaving and not state.in_progress
        ]
        for name in gone:
            del self._states[name]

    def free(self, now: float, state: ServerState) -> int:
        """Return how many requests may be started on it now."""
        room = state.limit(now, self._ramp_s) - state.in_progress
        if room <= 0:
            return 0
        return min(room, self._slots.available(now, self._service, state.name))

    def usable_slots(self, now: float, state: ServerState) -> int:
        """Return how many slots it contributes: those in use and those free."""
        if state.is_leaving:
            return 0
        return min(state.limit(now, self._ramp_s), state.in_progress + self.free(now, state))

    def returns_in_s(self, now: float) -> float:
        """Return the time until a backend server takes work again, when none does now."""
        times = [
            max(state.down_until if state.is_down else now, state.paused_until) - now
            for state in self._states.values()
            if not state.is_leaving
        ]
        return max(_TOKEN_RETURN_S, min(times)) if times else math.inf

    def _put(self, now: float, name: str, server: Server) -> None:
        state = self._states.get(name)
        if state is None:
            state = ServerState(server, ramp_from=None if self._is_first else now)
            self._states[name] = state
        elif state.is_leaving and not server.is_leaving:
            state.ramp_from = now
        state.server = server
        state.is_leaving = server.is_leaving
