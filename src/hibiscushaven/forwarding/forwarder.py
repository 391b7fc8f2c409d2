"""From a caller's request to its answer: attempts, repeats and refusals."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from itertools import count
from typing import Protocol

from hibiscushaven.delivery import (
    AttemptError,
    AttemptRequest,
    AttemptResponse,
    BackendClient,
    FailureKind,
)
from hibiscushaven.discovery import KnownServer
from hibiscushaven.metrics import Metrics
from hibiscushaven.placement import (
    Demand,
    LoadReport,
    NoRoom,
    Picker,
    Placement,
    RetryBudget,
    ServerLoad,
    ServerLoads,
    hit_rate_name,
    known_rate_name,
)
from hibiscushaven.process import Clock
from hibiscushaven.quarantine import CrashLedger, CrashSuspects
from hibiscushaven.routing import Configuration, RouteTable, SplitChooser

from .course import Course
from .messages import Answer, CallerRequest, failure, refusal
from .reporter import Reporter
from .returns import ReturnDetector

__all__ = ["BudgetOptions", "Forwarder", "LoadReader"]

# Bodies up to this size are read whole before the answer starts, so that a truncated one can
# be asked for again; larger ones are passed on as they arrive.
WHOLE_BODY_BYTES = 1024 * 1024

# Attempts to connect for one request; each failed one takes time off the request.
MAX_CONNECTS = 3

# Statuses by which a caller is told that its request has not run and will not.
PROMISES = frozenset({408, 421, 429, 503})

# Pause of a backend server whose address belongs to another one; its record goes within
# seconds.
MISDIRECTED_PAUSE_S = 5.0

# Requests with less time left are not sent: no backend server answers that fast.
LEAST_TIME_S = 0.02

# Time after which a caller should return to a VM that has no configuration yet.
NO_CONFIGURATION_RETRY_S = 0.3


class LoadReader(Protocol):
    """Port to the load that backend servers report with their answers."""

    def load_of(self, head: AttemptResponse) -> LoadReport | None:
        """Return the load of an answer, or ``None``."""


@dataclass(frozen=True, slots=True)
class BudgetOptions:
    """Bounds of repeats that all VMs share, for each service.

    :ivar window_s: length of the sliding window.
    :ivar ratio: repeats over requests in a window.
    :ivar fixed: repeats that are allowed besides.
    """

    window_s: float = 10.0
    ratio: float = 0.1
    fixed: float = 10.0


class Forwarder:
    """Forwards requests to backend servers.

    Explanation
    ===========

    A request is sent to one backend server. It is sent to another one only if the first did
    not run it, or may be asked again because the request is idempotent; both within the
    attempts of its route and the budget of its service. A request that was not sent, or that
    each backend server says it did not run, is refused as not run; one that may have run is
    never said not to have.

    :param vm_count: number of VMs that share the budget of repeats.
    :param on_change: called when the requests in progress change.
    """

    def __init__(
        self,
        picker: Picker,
        loads: ServerLoads,
        client: BackendClient,
        load_reader: LoadReader,
        budget: BudgetOptions,
        metrics: Metrics,
        vm_count: Callable[[], int],
        clock: Clock,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._picker = picker
        self._loads = loads
        self._client = client
        self._load_reader = load_reader
        self._budget = budget
        self._reporter = Reporter(metrics, clock)
        self._vm_count = vm_count
        self._now = clock.now
        self._on_change = on_change
        self._budgets: dict[str, RetryBudget] = {}
        self._splits = SplitChooser()
        self._returns = ReturnDetector()
        self._crashes = CrashLedger()
        self._suspects = CrashSuspects()
        self._table: RouteTable | None = None
        self._version = 0
        self._attempts = count(1)
        self._arrivals: dict[str, int] = {}
        self.in_progress = 0

    @property
    def table(self) -> RouteTable | None:
        """Routes in force, or ``None`` before the first configuration."""
        return self._table

    def set_configuration(self, configuration: Configuration) -> None:
        """Use a newer configuration for the requests that arrive from now on."""
        self._table = RouteTable(configuration)
        self._version = configuration.version
        names = frozenset(route.name for route in configuration.routes)
        self._splits.keep_only(names)
        self._returns.keep_only(names)

    def set_budget(self, options: BudgetOptions) -> None:
        """Use other bounds of repeats."""
        self._budget = options
        for budget in self._budgets.values():
            budget.set_bounds(options.window_s, options.ratio, options.fixed)

    def take_arrivals(self) -> dict[str, int]:
        """Return the requests by service, and the answers about objects, since the last call."""
        arrivals, self._arrivals = self._arrivals, {}
        return arrivals

    async def handle(self, request: CallerRequest) -> Answer:
        """Return the answer to a request; cancel it when the caller leaves."""
        self.in_progress += 1
        course: Course | None = None
        answer: Answer | None = None
        try:
            course = self._begin(request)
            if isinstance(course, Answer):
                answer, course = course, None
            else:
                answer = await self._run(course)
            return answer
        finally:
            self.in_progress -= 1
            self._reporter.ended(request, course, answer, self._version)

    def _begin(self, request: CallerRequest) -> Course | Answer:
        """Return the course of a request, or the answer to one that cannot be forwarded."""
        configuration = self._picker.configuration
        if self._table is None or configuration is None:
            return refusal("no configuration yet", NO_CONFIGURATION_RETRY_S)
        route = self._table.find(request.host, request.path)
        if route is None:
            return refusal("no such route", None, status=404)
        if len(request.body) > configuration.limits.max_body_bytes:
            return refusal("body too large", None, status=413)
        limit_s = route.timeout_s
        if request.time_left_s is not None:
            limit_s = min(limit_s, request.time_left_s)
        is_return = self._returns.is_return(route.name, request.time_left_s)
        service = self._splits.choose(route)
        self._count(service)
        self._budget_of(service).count_request(request.received_at)
        deadline = request.received_at + limit_s
        return Course(request, route, service, deadline, is_return)

    async def _run(self, course: Course) -> Answer:
        if self._crashes.is_quarantined(self._now(), course.fingerprint):
            course.last = "crashed two backend servers"
            return refusal("this request crashes backend servers", None)
        while True:
            now = self._now()
            if course.deadline - now < LEAST_TIME_S:
                course.last = course.last or "no time left"
                return self._give_up(course, 504)
            choice = self._picker.pick(now, self._demand(now, course))
            if isinstance(choice, NoRoom):
                course.no_room = choice
                course.last = f"{course.last}; {choice.reason}" if course.last else choice.reason
                return self._give_up(course, 502, choice.retry_after_s)
            if course.sent and not self._may_repeat(now, course):
                course.last += "; budget of repeats used up"
                return self._give_up(course, 502)
            if not self._picker.take(now, choice.server):
                course.tried.add(choice.server.record.server_id)
                continue
            answer = await self._attempt(course, choice)
            if answer is not None:
                return answer

    def _demand(self, now: float, course: Course) -> Demand:
        elapsed = now - course.request.received_at
        return Demand(
            course.route,
            course.service,
            course.request.object_key,
            course.route.objective_s - elapsed,
            course.deadline - now,
            frozenset(course.tried),
            # A request that is sent again has lost time like that of a returning caller.
            course.is_return or course.sent > 0,
        )

    def _may_repeat(self, now: float, course: Course) -> bool:
        if course.sent >= course.route.max_attempts:
            return False
        return self._budget_of(course.service).try_spend(now, self._vm_count())

    def _budget_of(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            options = self._budget
            budget = RetryBudget(options.window_s, options.ratio, options.fixed)
            self._budgets[service] = budget
        return budget

    def _give_up(self, course: Course, status: int, retry_after_s: float = 0.2) -> Answer:
        """Return the final answer of a request that got none from a backend server."""
        if course.answer is not None:
            return course.answer
        if course.may_have_run:
            return failure(status, course.last)
        return refusal(course.last, retry_after_s)

    async def _attempt(self, course: Course, placement: Placement) -> Answer | None:
        """Send a request once; return its answer, or ``None`` to go on."""
        server = placement.server
        server_id = server.record.server_id
        load = self._loads.of(server_id)
        number = next(self._attempts)
        started = self._now()
        load.started[number] = started
        course.placement = placement
        course.sent_at = started
        course.tried.add(server_id)
        self._on_change()
        try:
            head = await self._client.attempt(self._attempt_request(course, server))
            waited_s = self._now() - started
            body, rest = await _read(head)
            course.sent += 1
        except AttemptError as error:
            return self._on_error(course, server, error)
        finally:
            load.started.pop(number, None)
            self._on_change()
        return await self._on_answer(course, placement, head, waited_s, body, rest)

    def _attempt_request(self, course: Course, server: KnownServer) -> AttemptRequest:
        request = course.request
        left_s = course.deadline - self._now()
        loop_now = asyncio.get_running_loop().time()
        return AttemptRequest(
            server=server.record.address,
            method=request.method,
            target=request.target,
            attempt_id=request.request_id,
            deadline=loop_now + left_s,
            headers=request.headers,
            body=request.body,
            head_timeout_s=left_s,
            server_id=server.record.server_id,
        )

    def _on_error(self, course: Course, server: KnownServer, error: AttemptError) -> Answer | None:
        now = self._now()
        server_id = server.record.server_id
        load = self._loads.of(server_id)
        course.last = str(error)
        stop = error.kind
        if stop is FailureKind.NOT_CONNECTED:
            load.on_loss(now, is_unreachable=True)
            self._suspects.on_unreachable(now, server_id, self._crashes)
        elif stop in (FailureKind.CONNECTION_LOST, FailureKind.SILENT, FailureKind.TRUNCATED):
            load.on_loss(now)
            self._suspects.on_loss(now, server_id, course.fingerprint, course.sent_at)
        elif stop is FailureKind.DEADLINE:
            self._on_timeout(now, course, load)
        elif stop is FailureKind.REFUSED:
            load.on_answer(now, None, is_failure=True, report=None)
        elif stop is FailureKind.MISDIRECTED:
            load.avoid_until = now + MISDIRECTED_PAUSE_S
        self._reporter.attempt_failed(course, server_id, error)
        if stop.is_before_sending:
            course.connects += 1
            return None if course.connects < MAX_CONNECTS else self._give_up(course, 502)
        course.sent += 1
        if stop in (FailureKind.REFUSED, FailureKind.MISDIRECTED):
            return None
        course.may_have_run = True
        if stop is FailureKind.DEADLINE:
            return failure(504, "no answer within the time limit")
        return None if course.route.kind.is_idempotent else failure(502, str(error))

    async def _on_answer(
        self,
        course: Course,
        placement: Placement,
        head: AttemptResponse,
        waited_s: float,
        body: bytes,
        rest: AsyncIterator[bytes] | None,
    ) -> Answer | None:
        now = self._now()
        course.may_have_run = True
        load = self._loads.of(placement.server.record.server_id)
        is_failure = head.status >= 500
        report = self._load_reader.load_of(head)
        relative = None
        if not is_failure:
            relative = self._measure(now, course, placement, waited_s)
            self._note_known(now, course, placement, waited_s, report)
        load.on_answer(now, relative, is_failure, report)
        if head.status in PROMISES:
            # Callers take these for a promise that the request has not run, which the backend
            # server did not give.
            course.last = f"backend server answered {head.status} and may have run it"
            if rest is not None:
                await head.close()
            return None if course.route.kind.is_idempotent else failure(502, course.last)
        answer = Answer(head.status, head.headers, body, rest, head.content_length)
        if not is_failure:
            self._crashes.absolve(course.fingerprint)
            return answer
        course.last = f"backend server answered {head.status}"
        if rest is None and course.route.kind.is_idempotent:
            course.answer = answer
            return None
        return answer

    def _on_timeout(self, now: float, course: Course, load: ServerLoad) -> None:
        """Count an attempt that ended at its limit against its server, if it had enough time."""
        placement = course.placement
        if placement is None:
            return
        times = self._picker.work_times(course.service)
        expected_s = times.expected_s(placement.is_known_object) + placement.wait_s
        if now - course.sent_at > expected_s:
            load.on_timeout(now, (now - course.sent_at) / expected_s)

    def _measure(
        self, now: float, course: Course, placement: Placement, waited_s: float
    ) -> float | None:
        """Learn from a work time that no queue is part of; return it relative to the usual."""
        if placement.busy >= placement.server.record.slots:
            return None
        times = self._picker.work_times(course.service)
        relative = waited_s / times.expected_s(placement.is_known_object)
        if not self._picker.is_cold(now, placement.server):
            times.record(placement.is_known_object, waited_s)
        return relative

    def _note_known(
        self,
        now: float,
        course: Course,
        placement: Placement,
        waited_s: float,
        report: LoadReport | None,
    ) -> None:
        """Count an answer about an object that its server should know."""
        if not (placement.is_known_object and course.route.is_sticky and course.request.object_key):
            return
        has_queue = placement.busy >= placement.server.record.slots
        if has_queue or self._picker.is_cold(now, placement.server):
            return
        slowness = max(1.0, report.slowness) if report is not None else 1.0
        is_hit = self._picker.work_times(course.service).is_hit(waited_s / slowness)
        self._count(known_rate_name(course.service, placement.region))
        if is_hit:
            self._count(hit_rate_name(course.service, placement.region))

    def _count(self, name: str) -> None:
        self._arrivals[name] = self._arrivals.get(name, 0) + 1


async def _read(head: AttemptResponse) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Return a body that is complete, or its beginning and the rest."""
    parts: list[bytes] = []
    size = 0
    chunks = head.__aiter__()
    async for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > WHOLE_BODY_BYTES:
            return b"".join(parts), chunks
    return b"".join(parts), None
