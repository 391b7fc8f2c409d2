"""Discrete-event runs of dispatchers with fake backend servers, on a virtual clock."""

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

__all__ = ["AttemptFate", "EventLoop", "FakeServer", "FakeShard", "LocalSlots", "Observer"]

REPORT_EVERY_S = 1.0
REPORT_DELAY_S = 5.0
# Time from a cancellation to its confirmation by the backend server.
CANCEL_S = 0.002
# Time until the driver sees the connections to a crashed backend server reset.
CRASH_SEEN_S = 0.001


class EventLoop:
    """Callbacks in the order of their virtual times, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (max(at, self.now), self._count, callback))

    def run(self, until: float) -> None:
        """Run the callbacks up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heappop(self._events)
            callback()
        self.now = until


@dataclass(frozen=True, slots=True)
class AttemptFate:
    """What a backend server makes of an attempt.

    :ivar end_after_s: time from the start to the end that the driver sees.
    :ivar head_after_s: time to the first byte; ``None`` if it is not reported apart.
    :ivar frees_after_s: time until the slot is free; by default at the end.
    """

    end_after_s: float
    result: AttemptResult
    head_after_s: float | None = None
    frees_after_s: float | None = None


@dataclass(slots=True)
class FakeServer:
    """A backend server that counts what runs on it.

    :ivar slowdown: factor on its service times.
    :ivar down_until: time until which connections to it fail.
    """

    server: Server
    slowdown: float = 1.0
    running: int = 0
    most_running: int = 0
    down_until: float = 0.0

    def begin(self) -> None:
        self.running += 1
        self.most_running = max(self.most_running, self.running)

    def end(self) -> None:
        self.running -= 1


@dataclass(eq=False)
class _SlotToken:
    server: str
    is_lost: bool = False


@dataclass
class LocalSlots:
    """All slots of the backend servers, as a dispatcher that owns them alone has them.

    :ivar taken: tokens in use by backend server.
    :ivar withheld: tokens that are lent elsewhere, by backend server.
    """

    totals: dict[str, int]
    taken: Counter[str] = field(default_factory=Counter)
    withheld: Counter[str] = field(default_factory=Counter)
    released: set[_SlotToken] = field(default_factory=set)

    def available(self, now: float, service: str, server: str) -> int:
        free = self.totals.get(server, 0) - self.taken[server] - self.withheld[server]
        return max(0, free)

    def acquire(self, now: float, service: str, server: str, deadline: float) -> _SlotToken | None:
        if not self.available(now, service, server):
            return None
        self.taken[server] += 1
        return _SlotToken(server)

    def is_usable(self, now: float, token: _SlotToken) -> bool:
        return not token.is_lost

    def release(self, now: float, token: _SlotToken) -> None:
        if token in self.released:
            raise AssertionError(f"a token of {token.server!r} was released twice")
        self.released.add(token)
        self.taken[token.server] -= 1


class Observer:
    """Receives what happens in a run; subclasses measure or check."""

    def on_submit(self, now: float, work: WorkItem) -> None: ...

    def on_start(self, now: float, work: WorkItem, start: StartAttempt) -> None: ...

    def on_sent(self, now: float, work: WorkItem, start: StartAttempt) -> None: ...

    def on_head(self, now: float, work: WorkItem, start: StartAttempt) -> None: ...

    def on_end(self, now: float, work: WorkItem, start: StartAttempt, kind: ResultKind) -> None: ...

    def on_refuse(self, now: float, work: WorkItem, refuse: Refuse) -> None: ...

    def on_finish(self, now: float, work: WorkItem, finish: Finish) -> None: ...


@dataclass(slots=True, eq=False)
class _Running:
    start: StartAttempt
    work: WorkItem
    is_ended: bool = False
    is_sent: bool = False
    is_occupying: bool = False


FateOf = Callable[[float, WorkItem, FakeServer], AttemptFate]


class FakeShard:
    """A dispatcher, its driver and its backend servers.

    :param fate_of: decides what becomes of an attempt that is sent.
    :param connect_s: time from the start of an attempt until its request is written.
    """

    def __init__(
        self,
        loop: EventLoop,
        dispatcher: Dispatcher,
        slots: LocalSlots,
        servers: Iterable[FakeServer],
        fate_of: FateOf,
        observer: Observer,
        connect_s: float = 0.0,
    ) -> None:
        self.loop = loop
        self.dispatcher = dispatcher
        self.slots = slots
        self.servers = {server.server.name: server for server in servers}
        self._fate_of = fate_of
        self._observer = observer
        self._connect_s = connect_s
        self._works: dict[str, WorkItem] = {}
        self._running: dict[str, _Running] = {}
        self._tick_at: float | None = None
        self._reports_delay_s = REPORT_DELAY_S

    def set_document(self, document: ServiceDocument, servers: tuple[Server, ...]) -> None:
        self._apply(self.dispatcher.set_document(self.loop.now, document, servers))

    def submit(self, work: WorkItem) -> None:
        self._works[work.id] = work
        self._observer.on_submit(self.loop.now, work)
        self._apply(self.dispatcher.submit(self.loop.now, work))

    def cancel(self, work_id: str) -> None:
        self._apply(self.dispatcher.cancel(self.loop.now, work_id))

    def report_loads(self) -> None:
        """Send the load reports of all backend servers late, and again every second."""
        for name, server in self.servers.items():
            self._report_later(name, server.running)
        self.loop.call_at(self.loop.now + REPORT_EVERY_S, self.report_loads)

    def _report_later(self, name: str, in_progress: int) -> None:
        def deliver() -> None:
            age = self._reports_delay_s
            self._apply(self.dispatcher.load_report(self.loop.now, name, in_progress, age))

        self.loop.call_at(self.loop.now + self._reports_delay_s, deliver)

    def crash(self, name: str, down_s: float) -> None:
        """End everything on a backend server, which then refuses connections for a while."""
        now = self.loop.now
        server = self.servers[name]
        server.down_until = now + down_s
        result = AttemptResult(ResultKind.CRASHED)
        lost = [item for item in self._running.values() if item.start.server == name]
        for running in lost:
            self._free(running)
            if running.is_sent:
                self._end_later(running, result)

    def _end_later(self, running: _Running, result: AttemptResult) -> None:
        self.loop.call_at(self.loop.now + CRASH_SEEN_S, partial(self._end, running, result, True))

    def _free(self, running: _Running) -> None:
        if running.is_occupying:
            running.is_occupying = False
            self.servers[running.start.server].end()

    def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt():
                    self._start(action)
                case CancelAttempt():
                    self._cancel(action)
                case Refuse():
                    self._observer.on_refuse(self.loop.now, self._works[action.work_id], action)
                case Finish():
                    self._observer.on_finish(self.loop.now, self._works[action.work_id], action)
        self._plan_tick()

    def _plan_tick(self) -> None:
        due = self.dispatcher.next_due(self.loop.now)
        if due == float("inf") or (self._tick_at is not None and self._tick_at <= due):
            return
        self._tick_at = due
        self.loop.call_at(due, lambda: self._tick(due))

    def _tick(self, due: float) -> None:
        if self._tick_at == due:
            self._tick_at = None
            self._apply(self.dispatcher.tick(self.loop.now))

    def _start(self, start: StartAttempt) -> None:
        running = _Running(start, self._works[start.work_id])
        self._running[start.attempt_id] = running
        self._observer.on_start(self.loop.now, running.work, start)
        self.loop.call_at(self.loop.now + self._connect_s, lambda: self._write(running))

    def _write(self, running: _Running) -> None:
        if running.is_ended:
            return
        attempt_id = running.start.attempt_id
        actions = self.dispatcher.attempt_connected(self.loop.now, attempt_id)
        is_stopped = any(
            isinstance(action, CancelAttempt) and action.attempt_id == attempt_id
            for action in actions
        )
        if not is_stopped:
            self._send(running)
        self._apply(actions)

    def _send(self, running: _Running) -> None:
        now = self.loop.now
        server = self.servers[running.start.server]
        if now < server.down_until:
            self._end(running, AttemptResult(ResultKind.NOT_SENT), False)
            return
        running.is_sent = True
        self._observer.on_sent(now, running.work, running.start)
        fate = self._fate_of(now, running.work, server)
        server.begin()
        running.is_occupying = True
        is_freeing = fate.frees_after_s is None
        if not is_freeing:
            self.loop.call_at(now + fate.frees_after_s, lambda: self._free(running))
        if fate.head_after_s is not None:
            self.loop.call_at(now + fate.head_after_s, lambda: self._head(running))
        end = partial(self._end, running, fate.result, is_freeing)
        self.loop.call_at(now + fate.end_after_s, end)

    def _head(self, running: _Running) -> None:
        if running.is_ended:
            return
        self._observer.on_head(self.loop.now, running.work, running.start)
        self._apply(
            self.dispatcher.attempt_response_started(self.loop.now, running.start.attempt_id)
        )

    def _cancel(self, action: CancelAttempt) -> None:
        running = self._running.get(action.attempt_id)
        if running is not None:
            result = AttemptResult(ResultKind.CANCELLED)
            end = partial(self._end, running, result, True)
            self.loop.call_at(self.loop.now + CANCEL_S, end)

    def _end(self, running: _Running, result: AttemptResult, is_freeing: bool) -> None:
        if running.is_ended:
            return
        running.is_ended = True
        if is_freeing:
            self._free(running)
        attempt_id = running.start.attempt_id
        del self._running[attempt_id]
        self._observer.on_end(self.loop.now, running.work, running.start, result.kind)
        self._apply(self.dispatcher.attempt_ended(self.loop.now, attempt_id, result))
