"""Executes the decisions of an owned shard's dispatcher on its backend servers."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from hibiscushaven.delivery import (
    AttemptError,
    AttemptRequest,
    AttemptResponse,
    BackendClient,
    FailureKind,
    Outcome,
)
from hibiscushaven.dispatch import (
    Action,
    AttemptResult,
    CancelAttempt,
    Dispatcher,
    Finish,
    Refuse,
    ResultKind,
    Snapshot,
    StartAttempt,
)
from hibiscushaven.documents import Server, ServiceDocument
from hibiscushaven.process import Clock

from .decaying_maximum import DecayingMaximum
from .jobs import RESULT_BY_FAILURE, BackendResponse, Job, WorkRefusedError

__all__ = ["ShardRunner"]

_LOG = logging.getLogger(__name__)

# Idempotent responses up to this size are read completely before they are returned: a slow
# caller then does not occupy the slot, and a truncated response can be retried.
MAX_BUFFERED_BYTES = 64 * 1024

# Limits of the time to wait for a response on a reused connection; see _head_timeout_s.
_MIN_HEAD_TIMEOUT_S = 0.5
_HEAD_TIMEOUT_FACTOR = 8.0
_HEAD_TIME_CONSTANT_S = 60.0
_HEALTH_PATH = "/-/health"


@dataclass(slots=True)
class _Attempt:
    """An attempt in progress.

    :ivar response: the response once it has started.
    :ivar buffered: the whole body if it was read before the response was returned.
    :ivar is_sent: whether the request may have been written to the connection.
    """

    start: StartAttempt
    job: Job
    server: Server
    task: asyncio.Task[None] | None = None
    response: AttemptResponse | None = None
    buffered: bytes | None = None
    is_sent: bool = False
    is_ended: bool = False


class ShardRunner:
    """Runs jobs on the backend servers of one shard.

    :param loan_expiry: returns the time until which a slot token may start a request.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        client: BackendClient,
        loan_expiry: Callable[[float, object], float],
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._client = client
        self._loan_expiry = loan_expiry
        self._document: ServiceDocument | None = None
        self._servers: dict[str, Server] = {}
        self._jobs: dict[str, Job] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._slowest_head_times: dict[str, DecayingMaximum] = {}

    @property
    def dispatcher(self) -> Dispatcher:
        return self._dispatcher

    @property
    def is_idle(self) -> bool:
        return not self._jobs and not self._attempts

    @property
    def servers(self) -> tuple[Server, ...]:
        return tuple(self._servers.values())

    def set_document(self, document: ServiceDocument, servers: tuple[Server, ...]) -> None:
        """Apply a document.

        :param servers: the backend servers of this shard.
        """
        self._document = document
        self._servers = {server.name: server for server in servers}
        self._execute(self._dispatcher.set_document(self._clock.now(), document, servers))

    def report_load(self, server: str, in_progress: int, age_s: float) -> None:
        """Pass a backend server's load report to the dispatcher."""
        self._execute(self._dispatcher.load_report(self._clock.now(), server, in_progress, age_s))

    def quarantined(self, now: float) -> Mapping[str, float]:
        """Return the quarantined fingerprints with their remaining time, in seconds."""
        return self._dispatcher.crashes.export(now)

    def merge_quarantined(self, now: float, fingerprints: Mapping[str, float]) -> None:
        """Quarantine fingerprints that other VMs have quarantined."""
        if fingerprints:
            self._dispatcher.crashes.merge(now, fingerprints)

    @property
    def snapshot(self) -> Snapshot:
        """Current state of queues and slots."""
        return self._dispatcher.snapshot(self._clock.now())

    @property
    def usable_slots(self) -> int:
        """Number of slots, free or in use, on backend servers that are not ejected."""
        snapshot = self.snapshot
        counts = snapshot.in_progress.items()
        return snapshot.free_slots + sum(
            n for name, n in counts if name not in snapshot.ejected_servers
        )

    def describe(self) -> dict[str, object]:
        """Return the state of queues and slots for the status endpoint."""
        snapshot = self.snapshot
        return {
            "queued": {size.value: count for size, count in snapshot.queued.items()},
            "in_progress": dict(snapshot.in_progress),
            "free_slots": snapshot.free_slots,
            "set_aside": list(snapshot.ejected_servers),
            "quarantined": snapshot.quarantined,
        }

    async def run(self, job: Job) -> BackendResponse:
        """Run a job and return its response.

        :raises WorkRefusedError: when the shard refuses the job or gives it up.
        """
        self._jobs[job.work.id] = job
        self._execute(self._dispatcher.submit(self._clock.now(), job.work))
        try:
            return await job.response
        except asyncio.CancelledError:
            self._execute(self._dispatcher.cancel(self._clock.now(), job.work.id))
            raise
        finally:
            self._jobs.pop(job.work.id, None)

    def retire(self) -> None:
        """Refuse the jobs without an attempt, since another VM owns the shard now."""
        started = {attempt.job.work.id for attempt in self._attempts.values()}
        for work_id, job in tuple(self._jobs.items()):
            if work_id not in started and not job.response.done():
                job.response.set_exception(WorkRefusedError(Outcome.NOT_RUN, "owner-changed", 0.1))
                self._execute(self._dispatcher.cancel(self._clock.now(), work_id))

    async def close(self) -> None:
        """Cancel all attempts in progress."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt():
                    self._start_attempt(action)
                case CancelAttempt():
                    self._cancel_attempt(action)
                case Refuse():
                    self._refuse_job(action)
                case Finish():
                    self._deliver_response(action)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Set the timer for the dispatcher's next due time."""
        if self._timer is not None:
            self._timer.cancel()
        now = self._clock.now()
        due = self._dispatcher.next_due(now)
        if due == float("inf"):
            self._timer = None
            return
        # At least 1 ms, so that a dispatcher that is always due does not block the event loop.
        delay = max(0.001, due - now)
        self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._execute(self._dispatcher.tick(self._clock.now()))

    def _start_attempt(self, start: StartAttempt) -> None:
        job = self._jobs.get(start.work_id)
        server = self._servers.get(start.server)
        if job is None or server is None:
            result = AttemptResult(ResultKind.NOT_SENT)
            self._execute_soon(
                lambda: self._dispatcher.attempt_ended(self._clock.now(), start.attempt_id, result)
            )
            return
        attempt = _Attempt(start, job, server)
        self._attempts[start.attempt_id] = attempt
        attempt.task = self._spawn(self._run_attempt(attempt))
        attempt.task.add_done_callback(lambda task: self._end_if_unstarted(attempt, task))

    def _end_if_unstarted(self, attempt: _Attempt, task: asyncio.Task[None]) -> None:
        """End an attempt whose task was cancelled before its first step.

        Such a task never enters its coroutine, which would otherwise end the attempt and release
        its slot.
        """
        if task.cancelled() and not attempt.is_ended:
            self._end_attempt(attempt, AttemptResult(ResultKind.CANCELLED, 0, True))

    def _execute_soon(self, event: Callable[[], list[Action]]) -> None:
        asyncio.get_running_loop().call_soon(lambda: self._execute(event()))

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        attempt = self._attempts.get(action.attempt_id)
        if attempt is None or attempt.is_ended:
            return
        if attempt.task is not None and not attempt.task.done():
            attempt.task.cancel()
        else:
            self._spawn(self._stop_attempt(attempt))

    def _refuse_job(self, action: Refuse) -> None:
        job = self._jobs.get(action.work_id)
        if job is not None and not job.response.done():
            error = WorkRefusedError(action.outcome, action.reason.value, action.retry_after_s)
            job.response.set_exception(error)

    def _deliver_response(self, action: Finish) -> None:
        attempt = self._attempts.get(action.attempt_id)
        if attempt is None or attempt.response is None:
            return
        if attempt.job.response.done():
            self._spawn(self._stop_attempt(attempt))
            return
        response = BackendResponse(
            attempt.response,
            attempt.buffered,
            lambda result: self._end_attempt(attempt, result),
            lambda: self._cancel_work(attempt),
        )
        attempt.job.response.set_result(response)

    async def _run_attempt(self, attempt: _Attempt) -> None:
        started_at = self._clock.now()
        try:
            if attempt.start.is_suspect:
                await self._check_server(attempt)
                started_at = self._clock.now()
            attempt.response = await self._client.attempt(self._attempt_request(attempt))
            self._record_head_time(attempt, self._clock.now() - started_at)
            await self._read_response(attempt, attempt.response)
        except AttemptError as error:
            if error.kind is FailureKind.SILENT and attempt.response is None:
                self._record_head_time(attempt, self._clock.now() - started_at)
            _LOG.info(
                "attempt failed",
                extra={
                    "server": attempt.server.name,
                    "stop": error.kind.value,
                    "request_id": attempt.job.work.id,
                },
            )
            self._end_attempt(attempt, AttemptResult(RESULT_BY_FAILURE[error.kind]))
        except asyncio.CancelledError:
            # Stopping the attempt awaits I/O, so another task does it and this one ends.
            self._spawn(self._stop_attempt(attempt))

    async def _check_server(self, attempt: _Attempt) -> None:
        """Check that the server of a suspect runs.

        :raises AttemptError: when it does not respond.
        """
        address, tenant = attempt.server.address, attempt.job.work.tenant
        if await self._client.call_control(address, "GET", _HEALTH_PATH, tenant) is None:
            detail = f"{address} did not respond to a health check before a suspect"
            raise AttemptError(FailureKind.NOT_CONNECTED, detail)

    async def _read_response(self, attempt: _Attempt, response: AttemptResponse) -> None:
        length = response.content_length
        is_small = length is not None and length <= MAX_BUFFERED_BYTES
        is_retryable = is_small and attempt.job.work.is_idempotent
        self._execute(
            self._dispatcher.attempt_response_started(
                self._clock.now(), attempt.start.attempt_id, is_retryable
            )
        )
        if is_retryable and not attempt.is_ended:
            attempt.buffered = await response.read(MAX_BUFFERED_BYTES)
            self._end_attempt(attempt, AttemptResult(ResultKind.SUCCESS, response.bytes_received))

    def _cancel_work(self, attempt: _Attempt) -> None:
        """Cancel the work of an attempt whose body is no longer needed, to release its slot."""
        if not attempt.is_ended:
            work_id = attempt.job.work.id
            self._execute(self._dispatcher.cancel(self._clock.now(), work_id))

    async def _stop_attempt(self, attempt: _Attempt) -> None:
        """Close an attempt and ask its backend server to confirm that it has stopped."""
        if attempt.is_ended:
            return
        if attempt.response is not None:
            await attempt.response.close()
        is_stopped = True
        if attempt.is_sent:
            is_stopped = await self._client.cancel(
                attempt.server.address,
                attempt.start.attempt_id,
                attempt.job.work.tenant,
                has_response_started=attempt.response is not None,
            )
        self._end_attempt(attempt, AttemptResult(ResultKind.CANCELLED, 0, is_stopped))

    def _end_attempt(self, attempt: _Attempt, result: AttemptResult) -> None:
        if attempt.is_ended:
            return
        attempt.is_ended = True
        self._execute(
            self._dispatcher.attempt_ended(self._clock.now(), attempt.start.attempt_id, result)
        )
        self._attempts.pop(attempt.start.attempt_id, None)

    def _attempt_request(self, attempt: _Attempt) -> AttemptRequest:
        now = self._clock.now()
        start, job = attempt.start, attempt.job
        loop_time = asyncio.get_running_loop().time()
        remaining_s = self._loan_expiry(now, start.token) - now
        return AttemptRequest(
            server=attempt.server.address,
            method=job.method,
            target=job.target,
            attempt_id=start.attempt_id,
            deadline=loop_time + job.work.deadline - now,
            headers=job.headers,
            body=job.body,
            start_by_unix_ms=int((self._clock.unix() + remaining_s) * 1000),
            use_new_connection=start.use_new_connection,
            guard=lambda: self._confirm_send(attempt),
            head_timeout_s=self._head_timeout_s(attempt),
            tenant=job.work.tenant,
        )

    def _head_timeout_s(self, attempt: _Attempt) -> float:
        """Return the time to wait for the response to start, in seconds.

        A reused connection may be dead without an error. An idempotent request therefore waits
        on it only for a multiple of the longest recent time to the first byte of its class. On
        a new connection, and if it is not idempotent, it waits until its deadline.
        """
        work = attempt.job.work
        remaining_s = work.deadline - self._clock.now()
        slowest = self._slowest_head_times.get(work.request_class.name)
        if attempt.start.use_new_connection or not work.is_idempotent or slowest is None:
            return remaining_s
        return min(remaining_s, max(_MIN_HEAD_TIMEOUT_S, _HEAD_TIMEOUT_FACTOR * slowest.value))

    def _record_head_time(self, attempt: _Attempt, seconds: float) -> None:
        """Record a time to the first byte, or the time waited in vain for it."""
        name = attempt.job.work.request_class.name
        slowest = self._slowest_head_times.setdefault(name, DecayingMaximum(_HEAD_TIME_CONSTANT_S))
        slowest.update(self._clock.now(), seconds)

    def _confirm_send(self, attempt: _Attempt) -> bool:
        """Return whether the dispatcher still allows the attempt, now that it is connected."""
        own_id = attempt.start.attempt_id
        actions = self._dispatcher.attempt_connected(self._clock.now(), own_id)
        other_actions = [
            action
            for action in actions
            if not (isinstance(action, CancelAttempt) and action.attempt_id == own_id)
        ]
        attempt.is_sent = len(other_actions) == len(actions)
        self._execute(other_actions)
        return attempt.is_sent

    def _spawn(self, coroutine) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task
