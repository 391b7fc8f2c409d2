"""Discrete-event simulation of dispatchers and backend servers on a virtual clock."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush

from hibiscushaven.dispatch import (
    Action,
    AttemptResult,
    CancelAttempt,
    Dispatcher,
    Finish,
    Refuse,
    ResultKind,
    StartAttempt,
    WorkItem,
)
from hibiscushaven.documents import Server, ServiceDocument

__all__ = ["EventLoop", "FakeServer", "FakeShard", "LocalSlots", "Observer", "SimulatedAttempt"]

REPORT_INTERVAL_S = 1.0
# Age of a load report when the dispatcher receives it.
REPORT_DELAY_S = 5.0
# Time from a cancellation to its confirmation by the backend server.
CANCEL_DELAY_S = 0.002
# Time from a crash of a backend server until its driver sees the connection resets.
CRASH_DETECTION_S = 0.001


class EventLoop:
    """Event queue that runs callbacks in the order of their virtual times, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (max(at, self.now), self._count, callback))

    def run(self, until: float) -> None:
        """Run the callbacks due up to a time, then set the clock to it."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heappop(self._events)
            callback()
        self.now = until


@dataclass(frozen=True, slots=True)
class SimulatedAttempt:
    """Outcome and timing of an attempt, relative to the time when its request is sent.

    :ivar end_after_s: time until the driver sees the end of the attempt.
    :ivar response_start_after_s: time to the first byte; ``None`` if only the end is reported.
    :ivar slot_free_after_s: time until the slot is free; by default ``end_after_s``.
    """

    end_after_s: float
    result: AttemptResult
    response_start_after_s: float | None = None
    slot_free_after_s: float | None = None


@dataclass(slots=True)
class FakeServer:
    """Simulated backend server that counts its running attempts.

    :ivar slowdown: factor on its service times.
    :ivar max_running: highest number of concurrent attempts so far.
    :ivar down_until: time until which connections to it fail.
    """

    server: Server
    slowdown: float = 1.0
    running: int = 0
    max_running: int = 0
    down_until: float = 0.0

    def start_attempt(self) -> None:
        self.running += 1
        self.max_running = max(self.max_running, self.running)

    def end_attempt(self) -> None:
        self.running -= 1


@dataclass(eq=False)
class _SlotToken:
    server: str
    is_revoked: bool = False


@dataclass
class LocalSlots:
    """Slots of the backend servers of a dispatcher that is their only owner.

    :ivar totals: number of slots by backend server.
    :ivar in_use: number of tokens in use by backend server.
    :ivar lent: number of tokens lent to other VMs by backend server.
    :ivar released: tokens released so far, to detect a second release.
    """

    totals: dict[str, int]
    in_use: Counter[str] = field(default_factory=Counter)
    lent: Counter[str] = field(default_factory=Counter)
    released: set[_SlotToken] = field(default_factory=set)

    def available(self, now: float, service: str, server: str) -> int:
        free = self.totals.get(server, 0) - self.in_use[server] - self.lent[server]
        return max(0, free)

    def acquire(self, now: float, service: str, server: str, deadline: float) -> _SlotToken | None:
        if not self.available(now, service, server):
            return None
        self.in_use[server] += 1
        return _SlotToken(server)

    def is_usable(self, now: float, token: _SlotToken) -> bool:
        return not token.is_revoked

    def release(self, now: float, token: _SlotToken) -> None:
        if token in self.released:
            raise AssertionError(f"a token of {token.server!r} was released twice")
        self.released.add(token)
        self.in_use[token.server] -= 1


class Observer:
    """Callbacks for the events of a run; subclasses record statistics or check invariants."""

    def on_submit(self, now: float, work: WorkItem) -> None: ...

    def on_start(self, now: float, work: WorkItem, start: StartAttempt) -> None: ...

    def on_sent(self, now: float, work: WorkItem, start: StartAttempt) -> None: ...

    def on_response_start(self, now: float, work: WorkItem, start: StartAttempt) -> None: ...

    def on_end(self, now: float, work: WorkItem, start: StartAttempt, kind: ResultKind) -> None: ...

    def on_refuse(self, now: float, work: WorkItem, refuse: Refuse) -> None: ...

    def on_finish(self, now: float, work: WorkItem, finish: Finish) -> None: ...


@dataclass(slots=True, eq=False)
class _RunningAttempt:
    start: StartAttempt
    work: WorkItem
    is_ended: bool = False
    is_sent: bool = False
    is_holding_slot: bool = False


AttemptSimulator = Callable[[float, WorkItem, FakeServer], SimulatedAttempt]


class FakeShard:
    """Dispatcher with a simulated driver and simulated backend servers.

    :param simulate_attempt: returns the outcome and timing of an attempt that is sent.
    :param connect_s: time from the start of an attempt until its request is written.
    """

    def __init__(
        self,
        loop: EventLoop,
        dispatcher: Dispatcher,
        slots: LocalSlots,
        servers: Iterable[FakeServer],
        simulate_attempt: AttemptSimulator,
        observer: Observer,
        connect_s: float = 0.0,
    ) -> None:
        self.loop = loop
        self.dispatcher = dispatcher
        self.slots = slots
        self.servers = {server.server.name: server for server in servers}
        self._simulate_attempt = simulate_attempt
        self._observer = observer
        self._connect_s = connect_s
        self._work_items: dict[str, WorkItem] = {}
        self._running: dict[str, _RunningAttempt] = {}
        self._tick_at: float | None = None
        self._reports_delay_s = REPORT_DELAY_S

    def set_document(self, document: ServiceDocument, servers: tuple[Server, ...]) -> None:
        self._apply_actions(self.dispatcher.set_document(self.loop.now, document, servers))

    def submit(self, work: WorkItem) -> None:
        self._work_items[work.id] = work
        self._observer.on_submit(self.loop.now, work)
        self._apply_actions(self.dispatcher.submit(self.loop.now, work))

    def cancel(self, work_id: str) -> None:
        self._apply_actions(self.dispatcher.cancel(self.loop.now, work_id))

    def report_loads(self) -> None:
        """Schedule the delayed load reports of all backend servers, and repeat every second."""
        for name, server in self.servers.items():
            self._schedule_report(name, server.running)
        self.loop.call_at(self.loop.now + REPORT_INTERVAL_S, self.report_loads)

    def _schedule_report(self, name: str, in_progress: int) -> None:
        def deliver() -> None:
            age = self._reports_delay_s
            self._apply_actions(self.dispatcher.load_report(self.loop.now, name, in_progress, age))

        self.loop.call_at(self.loop.now + self._reports_delay_s, deliver)

    def crash(self, name: str, down_s: float) -> None:
        """Crash a backend server: its attempts end, and it refuses connections for ``down_s``."""
        now = self.loop.now
        server = self.servers[name]
        server.down_until = now + down_s
        result = AttemptResult(ResultKind.CRASHED)
        lost_attempts = [item for item in self._running.values() if item.start.server == name]
        for running in lost_attempts:
            self._free_slot(running)
            if running.is_sent:
                self._schedule_end(running, result)

    def _schedule_end(self, running: _RunningAttempt, result: AttemptResult) -> None:
        self.loop.call_at(
            self.loop.now + CRASH_DETECTION_S, partial(self._end, running, result, True)
        )

    def _free_slot(self, running: _RunningAttempt) -> None:
        if running.is_holding_slot:
            running.is_holding_slot = False
            self.servers[running.start.server].end_attempt()

    def _apply_actions(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt():
                    self._start(action)
                case CancelAttempt():
                    self._cancel(action)
                case Refuse():
                    self._observer.on_refuse(
                        self.loop.now, self._work_items[action.work_id], action
                    )
                case Finish():
                    self._observer.on_finish(
                        self.loop.now, self._work_items[action.work_id], action
                    )
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        due = self.dispatcher.next_due(self.loop.now)
        if due == float("inf") or (self._tick_at is not None and self._tick_at <= due):
            return
        self._tick_at = due
        self.loop.call_at(due, lambda: self._tick(due))

    def _tick(self, due: float) -> None:
        if self._tick_at == due:
            self._tick_at = None
            self._apply_actions(self.dispatcher.tick(self.loop.now))

    def _start(self, start: StartAttempt) -> None:
        running = _RunningAttempt(start, self._work_items[start.work_id])
        self._running[start.attempt_id] = running
        self._observer.on_start(self.loop.now, running.work, start)
        self.loop.call_at(self.loop.now + self._connect_s, lambda: self._connect(running))

    def _connect(self, running: _RunningAttempt) -> None:
        if running.is_ended:
            return
        attempt_id = running.start.attempt_id
        actions = self.dispatcher.attempt_connected(self.loop.now, attempt_id)
        is_cancelled = any(
            isinstance(action, CancelAttempt) and action.attempt_id == attempt_id
            for action in actions
        )
        if not is_cancelled:
            self._send(running)
        self._apply_actions(actions)

    def _send(self, running: _RunningAttempt) -> None:
        now = self.loop.now
        server = self.servers[running.start.server]
        if now < server.down_until:
            self._end(running, AttemptResult(ResultKind.NOT_SENT), False)
            return
        running.is_sent = True
        self._observer.on_sent(now, running.work, running.start)
        simulated = self._simulate_attempt(now, running.work, server)
        server.start_attempt()
        running.is_holding_slot = True
        is_slot_freed = simulated.slot_free_after_s is None
        if not is_slot_freed:
            self.loop.call_at(now + simulated.slot_free_after_s, lambda: self._free_slot(running))
        if simulated.response_start_after_s is not None:
            self.loop.call_at(
                now + simulated.response_start_after_s, lambda: self._start_response(running)
            )
        end = partial(self._end, running, simulated.result, is_slot_freed)
        self.loop.call_at(now + simulated.end_after_s, end)

    def _start_response(self, running: _RunningAttempt) -> None:
        if running.is_ended:
            return
        self._observer.on_response_start(self.loop.now, running.work, running.start)
        self._apply_actions(
            self.dispatcher.attempt_response_started(self.loop.now, running.start.attempt_id)
        )

    def _cancel(self, action: CancelAttempt) -> None:
        running = self._running.get(action.attempt_id)
        if running is not None:
            result = AttemptResult(ResultKind.CANCELLED)
            end = partial(self._end, running, result, True)
            self.loop.call_at(self.loop.now + CANCEL_DELAY_S, end)

    def _end(self, running: _RunningAttempt, result: AttemptResult, is_slot_freed: bool) -> None:
        if running.is_ended:
            return
        running.is_ended = True
        if is_slot_freed:
            self._free_slot(running)
        attempt_id = running.start.attempt_id
        del self._running[attempt_id]
        self._observer.on_end(self.loop.now, running.work, running.start, result.kind)
        self._apply_actions(self.dispatcher.attempt_ended(self.loop.now, attempt_id, result))
