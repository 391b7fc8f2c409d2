"""Forwarding of a request: placement, attempts, retries and the response to the caller."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from itertools import count
from math import inf
from typing import Protocol

from hibiscushaven.delivery import (
    AttemptError,
    AttemptRequest,
    AttemptResponse,
    BackendClient,
    FailureKind,
    Headers,
)
from hibiscushaven.discovery import KnownServer
from hibiscushaven.metrics import Metrics
from hibiscushaven.placement import (
    LoadReport,
    Picker,
    Placement,
    PlacementRejection,
    PlacementRequest,
    RateLimit,
    RetryBudget,
    ServerLoad,
    ServerLoads,
    ServerNotice,
    cache_hit_counter,
    cache_lookup_counter,
)
from hibiscushaven.process import Clock
from hibiscushaven.quarantine import CrashDetector, CrashLedger
from hibiscushaven.routing import Configuration, RouteTable, SplitChooser

from .bodies import buffer_body
from .caller_retries import CallerRetryDetector
from .context import RequestContext
from .links import IntactLinks, Links
from .messages import CallerRequest, CallerResponse, failure_response, rejection_response
from .refusals import NOT_RUN_STATUSES, Refusal, RefusalSource
from .relaying import PeerRelay, name_server, name_transfer, relay_refusal
from .reporter import Reporter

__all__ = ["Forwarder", "NoticeReader", "RetryBudgetOptions"]

# Number of attempts of a request that may end before anything is sent; each of them uses up part
# of the time left.
MAX_CONNECT_FAILURES = 3

# Failed attempts that may be due to the links of this VM, and those that show that they work.
_LINK_FAILURES = frozenset(
    {FailureKind.NOT_CONNECTED, FailureKind.CONNECTION_LOST, FailureKind.SILENT}
)
_RESPONDED = frozenset(
    {
        FailureKind.REFUSED,
        FailureKind.MISDIRECTED,
        FailureKind.UNNAMED_REFUSAL,
        FailureKind.MALFORMED,
        FailureKind.WRONG_ATTEMPT_ID,
    }
)

# Responses that may not be those to the attempt.
_FAULTY_RESPONSES = frozenset(
    {FailureKind.UNNAMED_REFUSAL, FailureKind.MALFORMED, FailureKind.WRONG_ATTEMPT_ID}
)

# Backoff of a backend server whose address now belongs to another one; its record is removed
# within seconds.
MISDIRECTED_BACKOFF_S = 5.0

# Time left below which a request is not sent: no backend server responds that fast.
MIN_TIME_LEFT_S = 0.02

# Retry delay of callers while this VM has no configuration, or lacks a newer one.
CONFIGURATION_RETRY_S = 0.3

# Wait of callers that a stopping VM rejects; other VMs accept them at once.
STOPPING_RETRY_S = 0.05


class NoticeReader(Protocol):
    """Port to what backend servers say about themselves with their responses."""

    def read_notice(self, status: int, headers: Headers) -> ServerNotice:
        """Return what the head of a response says about its server."""


@dataclass(frozen=True, slots=True)
class RetryBudgetOptions:
    """Limits on the retries of a service, for all VMs together.

    :ivar window_s: length of the sliding window.
    :ivar ratio: allowed retries per request in a window.
    :ivar fixed_retries: number of retries that are allowed in addition.
    """

    window_s: float = 10.0
    ratio: float = 0.1
    fixed_retries: float = 10.0


class Forwarder:
    """Forwards requests to backend servers.

    Explanation
    ===========

    A request is sent to one backend server. It is sent to another one only if the first one did
    not run it, or if it is idempotent, and only within the attempts of its route and the retry
    budget of its service. A request that was not sent, or that every backend server reported as
    not run, is rejected as not run. A request that may have run is never reported as not run.

    :param vm_count: returns the number of VMs that share the retry budget.
    :param on_load_change: called when the number of requests in progress on a server changes.
    :param is_configuration_old: returns whether a peer has a newer configuration than this VM.
    :param crashes: crashes that any VM has observed; by default those observed here.
    :param on_crash_evidence: called when ``crashes`` has changed.
    :param on_rate_limit_change: called when a server has announced another rate limit.
    :param links: this VM's links to the backend servers; by default they never fail.
    :param relay: relays requests to other VMs; by default none is relayed.
    :ivar accepts_until: time from which requests are rejected whose body arrives later.
    :ivar ends_at: latest deadline of requests that arrive from now on.
    """

    def __init__(
        self,
        picker: Picker,
        loads: ServerLoads,
        client: BackendClient,
        notice_reader: NoticeReader,
        budget: RetryBudgetOptions,
        metrics: Metrics,
        vm_count: Callable[[], float],
        clock: Clock,
        on_load_change: Callable[[], None] = lambda: None,
        is_configuration_old: Callable[[], bool] = lambda: False,
        crashes: CrashLedger | None = None,
        on_crash_evidence: Callable[[], None] = lambda: None,
        on_rate_limit_change: Callable[[], None] = lambda: None,
        links: Links | None = None,
        relay: PeerRelay | None = None,
    ) -> None:
        self._links = links or IntactLinks()
        self._relay = relay
        self._picker = picker
        self._loads = loads
        self._client = client
        self._notice_reader = notice_reader
        self._budget_options = budget
        self._reporter = Reporter(metrics, clock)
        self._vm_count = vm_count
        self._now = clock.now
        self._started_at = clock.now()
        self._on_load_change = on_load_change
        self._is_configuration_old = is_configuration_old
        self._rate_limits = picker.rate_limits
        self._on_rate_limit_change = on_rate_limit_change
        self._budgets: dict[str, RetryBudget] = {}
        self._splits = SplitChooser()
        self._caller_retries = CallerRetryDetector()
        self._crashes = crashes if crashes is not None else CrashLedger()
        self._detector = CrashDetector(
            self._crashes,
            metrics,
            client,
            clock.now,
            picker.last_response_at,
            on_crash_evidence,
        )
        self._route_table: RouteTable | None = None
        self._configuration_version = 0
        self._attempt_numbers = count(1)
        self._counts: dict[str, int] = {}
        self.accepts_until = self.ends_at = inf
        self.in_progress = 0

    @property
    def route_table(self) -> RouteTable | None:
        """Current routes, or ``None`` before the first configuration."""
        return self._route_table

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration to all requests that arrive from now on."""
        self._route_table = RouteTable(configuration)
        self._configuration_version = configuration.version
        names = frozenset(route.name for route in configuration.routes)
        self._splits.retain_only(names)
        self._caller_retries.retain_only(names)

    def set_budget(self, options: RetryBudgetOptions) -> None:
        """Apply changed limits on retries."""
        self._budget_options = options
        for budget in self._budgets.values():
            budget.set_limits(options.window_s, options.ratio, options.fixed_retries)

    def close(self) -> None:
        """Cancel the checks of backend servers in progress."""
        self._detector.close()

    def drain_arrival_counts(self) -> dict[str, int]:
        """Return the counts of requests and cache lookups by name since the last call."""
        counts, self._counts = self._counts, {}
        return counts

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request; it can be cancelled when the caller disconnects."""
        self.in_progress += 1
        context: RequestContext | None = None
        response: CallerResponse | None = None
        try:
            context = self._prepare(request)
            if isinstance(context, CallerResponse):
                response, context = context, None
            else:
                response = await self._forward(context)
            response = name_transfer(response, request)
            return response
        finally:
            self.in_progress -= 1
            self._reporter.request_ended(request, context, response, self._configuration_version)

    def _prepare(self, request: CallerRequest) -> RequestContext | CallerResponse:
        """Return the context of a request, or the response if it cannot be forwarded."""
        if self._now() >= self.accepts_until:
            return rejection_response("this VM is stopping", STOPPING_RETRY_S)
        if self._configuration_version < request.min_configuration:
            return relay_refusal("configuration older than that of the sender", is_temporary=True)
        configuration = self._picker.configuration
        if self._route_table is None or configuration is None:
            return rejection_response("no configuration yet", CONFIGURATION_RETRY_S)
        route = self._route_table.find(request.host, request.path)
        if route is None and self._is_configuration_old():
            # The newer configuration may have the route, and callers do not retry after a 404.
            return rejection_response("route may be too new for this VM", CONFIGURATION_RETRY_S)
        if route is None:
            return rejection_response("no such route", None, status=404)
        if len(request.body) > configuration.limits.max_body_bytes:
            return rejection_response("body too large", None, status=413)
        limit_s = route.timeout_s
        if request.time_left_s is not None:
            limit_s = min(limit_s, request.time_left_s)
        is_caller_retry = self._caller_retries.is_caller_retry(route.name, request.time_left_s)
        service = self._splits.choose(route)
        if request.relayed_attempts is None:
            # The VM that relays a request has counted it.
            self._count(service)
            self._retry_budget(service).count_request(request.received_at)
        deadline = min(request.received_at + limit_s, self.ends_at)
        return RequestContext(
            request, route, service, deadline, self._configuration_version, is_caller_retry
        )

    async def _forward(self, context: RequestContext) -> CallerResponse:
        while True:
            if context.sent_attempts:
                await self._detector.wait_for_confirmation(context.fingerprint)
            now = self._now()
            if self._detector.is_quarantined(now, context.fingerprint):
                context.last_error = "this request crashes backend servers"
                return self._final_response(context, 502, retry_after_s=None)
            if context.deadline - now < MIN_TIME_LEFT_S:
                context.last_error = context.last_error or "no time left"
                return self._final_response(context, 504)
            if self._links.is_isolated and context.is_relayed and not context.may_have_run:
                return relay_refusal("no backend server can be reached")
            if self._links.is_isolated and (response := await self._try_relay(context)):
                return response
            if context.connect_failures >= MAX_CONNECT_FAILURES:
                return await self._relay_or_end(context, 502)
            choice = self._picker.pick(now, self._placement_request(now, context))
            if isinstance(choice, PlacementRejection):
                context.rejection = choice
                context.last_error = (
                    f"{context.last_error}; {choice.reason}"
                    if context.last_error
                    else choice.reason
                )
                is_stopping = self.ends_at < inf
                retry_after_s = STOPPING_RETRY_S if is_stopping else choice.retry_after_s
                return await self._relay_or_end(context, 502, retry_after_s)
            if context.sent_attempts and not self._try_spend_retry(now, context):
                context.last_error += "; budget of repeats used up"
                return self._final_response(context, 502)
            if not self._picker.try_admit(now, choice.server):
                context.excluded.add(choice.server.record.server_id)
                continue
            response = await self._attempt(context, choice)
            if response is not None:
                return response

    async def _relay_or_end(
        self, context: RequestContext, status: int, retry_after_s: float | None = 0.2
    ) -> CallerResponse:
        """Relay a request if other VMs reach servers that this one does not, or give it up."""
        if self._links.has_failing_paths() and (response := await self._try_relay(context)):
            return response
        return self._final_response(context, status, retry_after_s)

    async def _try_relay(self, context: RequestContext) -> CallerResponse | None:
        """Return the response of another VM, or ``None`` if none takes the request."""
        if self._relay is None or context.is_relayed or context.was_relayed:
            return None
        if context.sent_attempts and not self._try_spend_retry(self._now(), context):
            return None
        try:
            response = await self._relay.send(context, context.attempts_left)
        except AttemptError as error:
            context.may_have_run = True
            context.sent_attempts += 1
            if error.kind is FailureKind.DEADLINE:
                return failure_response(504, "no answer within the time limit")
            if context.route.kind.is_idempotent:
                return await self._try_relay(context)
            return failure_response(502, str(error))
        context.was_relayed = True
        if response is not None and context.relayed_server is not None:
            self._record_statement(context.relayed_server, response.status, response.headers)
        if response is not None and context.may_have_run and response.status in NOT_RUN_STATUSES:
            return failure_response(502, f"{context.last_error}; then refused by another VM")
        return response

    def _placement_request(self, now: float, context: RequestContext) -> PlacementRequest:
        elapsed_s = now - context.request.received_at
        return PlacementRequest(
            context.route,
            context.service,
            context.request.object_key,
            context.route.objective_s - elapsed_s,
            context.deadline - now,
            frozenset(context.excluded),
            # Retries by this VM are admitted like those of callers, since they have lost time too.
            context.is_caller_retry or context.sent_attempts > 0,
            context.attempts_left > 1
            and self._retry_budget(context.service).has_spare(now, self._vm_count()),
        )

    def _try_spend_retry(self, now: float, context: RequestContext) -> bool:
        if context.attempts_left <= 0:
            return False
        return self._retry_budget(context.service).try_spend(now, self._vm_count())

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            options = self._budget_options
            budget = RetryBudget(
                options.window_s, options.ratio, options.fixed_retries, self._started_at
            )
            self._budgets[service] = budget
        return budget

    def _final_response(
        self, context: RequestContext, status: int, retry_after_s: float | None = 0.2
    ) -> CallerResponse:
        """Return the response to a request that will not be attempted again."""
        if context.fallback_response is not None:
            return context.fallback_response
        if context.may_have_run:
            return failure_response(status, context.last_error)
        return rejection_response(context.last_error, retry_after_s)

    async def _attempt(
        self, context: RequestContext, placement: Placement
    ) -> CallerResponse | None:
        """Send a request once; return its response, or ``None`` if it may be retried."""
        server = placement.server
        server_id = server.record.server_id
        load = self._loads.of(server_id)
        attempt_number = next(self._attempt_numbers)
        started = self._now()
        load.start_times[attempt_number] = started
        context.placement = placement
        context.attempt_started_at = started
        context.excluded.add(server_id)
        self._on_load_change()
        try:
            head = await self._client.attempt(self._attempt_request(context, server))
            response_time_s = self._now() - started
            self._links.on_response(server_id)
            notice = self._record_notice(server, head.status, head.headers)
            body, body_stream = await buffer_body(head, context.request.try_hold_response)
            context.sent_attempts += 1
        except AttemptError as error:
            return self._on_attempt_error(context, server, error)
        finally:
            load.start_times.pop(attempt_number, None)
            self._on_load_change()
        return await self._on_response(
            context, placement, head, notice, response_time_s, body, body_stream
        )

    def _attempt_request(self, context: RequestContext, server: KnownServer) -> AttemptRequest:
        request = context.request
        left_s = context.deadline - self._now()
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
            guard=lambda: not self._picker.is_excluded(self._now(), server),
        )

    def _on_attempt_error(
        self, context: RequestContext, server: KnownServer, error: AttemptError
    ) -> CallerResponse | None:
        now = self._now()
        server_id = server.record.server_id
        load = self._loads.of(server_id)
        context.last_error = str(error)
        notice: ServerNotice | None = None
        if error.headers is not None:
            notice = self._record_notice(server, error.status, error.headers)
        kind = error.kind
        if kind is FailureKind.NOT_CONNECTED:
            load.on_connection_loss(now, is_unreachable=True)
            self._detector.on_unreachable(now, server.record)
        elif kind in (FailureKind.CONNECTION_LOST, FailureKind.SILENT, FailureKind.TRUNCATED):
            load.on_connection_loss(now)
            # All attempts of a request date from its arrival, since the retry of an innocent one
            # can be beside the crashing request again.
            self._detector.on_connection_loss(
                now, server.record, context.fingerprint, context.request.received_at
            )
        elif kind is FailureKind.DEADLINE:
            self._on_timeout(now, context, load)
        elif kind is FailureKind.REFUSED:
            # A server that asks for a pause is left out for that time, and is no worse after it.
            is_failure = notice is None or not notice.pause_s
            load.on_response(now, None, is_failure=is_failure, report=None)
            self._picker.record_response(now, server_id)
        elif kind in _FAULTY_RESPONSES:
            load.on_response(now, None, is_failure=True, report=None)
        elif kind is FailureKind.MISDIRECTED:
            load.backoff_until = now + MISDIRECTED_BACKOFF_S
        if kind in _LINK_FAILURES:
            self._links.on_failure(server_id)
        elif kind in _RESPONDED:
            self._links.on_response(server_id)
        self._reporter.attempt_failed(context, server_id, error)
        if kind.is_before_sending:
            context.connect_failures += 1
            return None
        context.sent_attempts += 1
        if kind in (FailureKind.REFUSED, FailureKind.MISDIRECTED):
            refusal = Refusal(RefusalSource.SERVER, server_id, error.status, error.names_request)
            context.refusals.append(refusal)
            return None
        context.may_have_run = True
        if kind is FailureKind.DEADLINE:
            return failure_response(504, "no answer within the time limit")
        return None if context.route.kind.is_idempotent else failure_response(502, str(error))

    async def _on_response(
        self,
        context: RequestContext,
        placement: Placement,
        head: AttemptResponse,
        notice: ServerNotice,
        response_time_s: float,
        body: bytes,
        body_stream: AsyncIterator[bytes] | None,
    ) -> CallerResponse | None:
        now = self._now()
        context.may_have_run = True
        load = self._loads.of(placement.server.record.server_id)
        is_failure = head.status >= 500
        relative_duration = None
        if not is_failure:
            relative_duration = self._record_processing_time(
                now, context, placement, response_time_s
            )
            self._count_cache_lookup(now, context, placement, response_time_s, notice.load)
        load.on_response(now, relative_duration, is_failure and not notice.pause_s, notice.load)
        self._picker.record_response(now, placement.server.record.server_id)
        if head.status in NOT_RUN_STATUSES:
            # Callers take these statuses as a guarantee that the request has not run. The backend
            # server gave no such guarantee.
            context.last_error = f"backend server answered {head.status} and may have run it"
            if body_stream is not None:
                await head.close()
            return (
                None
                if context.route.kind.is_idempotent
                else failure_response(502, context.last_error)
            )
        headers = head.headers
        if context.is_relayed:
            headers = name_server(headers, placement.server.record.process_id)
        response = CallerResponse(head.status, headers, body, body_stream, head.content_length)
        if not is_failure:
            self._picker.notices.record_served(now, placement.server.record.process_id)
            self._detector.on_success(now, context.fingerprint)
            return response
        context.last_error = f"backend server answered {head.status}"
        if body_stream is None and context.route.kind.is_idempotent:
            context.fallback_response = response
            return None
        return response

    def _record_notice(self, server: KnownServer, status: int, headers: Headers) -> ServerNotice:
        """Record what a response to this VM says about its server."""
        now = self._now()
        notice = self._record_statement(server.record.process_id, status, headers)
        limit = RateLimit(notice.rate_limit_per_s, announced_at=now)
        if self._rate_limits.update(server.record.process_id, limit):
            self._reporter.rate_limit_announced(server.record.server_id, limit.per_s)
            self._on_rate_limit_change()
        return notice

    def _record_statement(self, process_id: str, status: int, headers: Headers) -> ServerNotice:
        """Record whether a server wants no requests, also from a response to another VM."""
        notice = self._notice_reader.read_notice(status, headers)
        if self._picker.notices.record(self._now(), process_id, notice, random.random()):
            self._reporter.server_excluded(process_id, notice)
        return notice

    def _on_timeout(self, now: float, context: RequestContext, load: ServerLoad) -> None:
        """Lower the estimated speed of the server if the attempt exceeded its predicted time."""
        placement = context.placement
        if placement is None:
            return
        times = self._picker.processing_times(context.service)
        expected_s = times.expected_s(placement.is_cache_hit_expected) + placement.wait_s
        if now - context.attempt_started_at > expected_s:
            load.on_timeout(now, (now - context.attempt_started_at) / expected_s)

    def _record_processing_time(
        self, now: float, context: RequestContext, placement: Placement, response_time_s: float
    ) -> float | None:
        """Record a processing time that includes no queueing delay.

        :returns: its ratio to the expected time, or ``None`` if the request may have been queued.
        """
        if placement.in_progress >= placement.server.record.slots:
            return None
        times = self._picker.processing_times(context.service)
        relative_duration = response_time_s / times.expected_s(placement.is_cache_hit_expected)
        if not self._picker.is_cold(now, placement.server):
            times.record(placement.is_cache_hit_expected, response_time_s)
        return relative_duration

    def _count_cache_lookup(
        self,
        now: float,
        context: RequestContext,
        placement: Placement,
        response_time_s: float,
        report: LoadReport | None,
    ) -> None:
        """Count a response about an object that the server should have cached."""
        if not (
            placement.is_cache_hit_expected
            and context.route.is_sticky
            and context.request.object_key
        ):
            return
        has_queue = placement.in_progress >= placement.server.record.slots
        if has_queue or self._picker.is_cold(now, placement.server):
            return
        slowness = max(1.0, report.slowness) if report is not None else 1.0
        is_cache_hit = self._picker.processing_times(context.service).is_cache_hit(
            response_time_s / slowness
        )
        self._count(cache_lookup_counter(context.service, placement.region))
        if is_cache_hit:
            self._count(cache_hit_counter(context.service, placement.region))

    def _count(self, name: str) -> None:
        self._counts[name] = self._counts.get(name, 0) + 1
