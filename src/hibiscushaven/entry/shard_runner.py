"""Carries out what the dispatcher of an owned shard decides."""

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

from .jobs import RESULTS, BackendAnswer, Job, WorkRefusedError
from .totals import DecayingMaximum

__all__ = ["ShardRunner"]

_LOG = logging.getLogger(__name__)

# Responses up to this size are read before they are passed on: the slot does not wait for a
# slow caller, and a truncated one can be retried.
BUFFERED_BYTES = 64 * 1024

_LEAST_SILENCE_S = 0.5
_SILENCE_FACTOR = 8.0
_HEAD_MEMORY_S = 60.0


@dataclass(slots=True)
class _Attempt:
    start: StartAttempt
    job: Job
    server: Server
    task: asyncio.Task[None] | None = None
    head: AttemptResponse | None = None
    buffered: bytes | None = None
    is_sent: bool = False
    is_ended: bool = False


class ShardRunner:
    """Runs jobs on the backend servers of one shard.

    :param loan_expiry: time until which a token may start a request.
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
        self._slowest_heads: dict[str, DecayingMaximum] = {}

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
        """Put a document in force."""
        self._document = document
        self._servers = {server.name: server for server in servers}
        self._carry_out(self._dispatcher.set_document(self._clock.now(), document, servers))

    def report_load(self, server: str, in_progress: int, age_s: float) -> None:
        """Pass on a backend server's own report."""
        self._carry_out(self._dispatcher.load_report(self._clock.now(), server, in_progress, age_s))

    def quarantined(self, now: float) -> Mapping[str, float]:
        """Return the fingerprints refused here, with the seconds that are left."""
        return self._dispatcher.crashes.export(now)

    def merge_quarantined(self, now: float, fingerprints: Mapping[str, float]) -> None:
        """Refuse fingerprints that crashed backend servers elsewhere."""
        if fingerprints:
            self._dispatcher.crashes.merge(now, fingerprints)

    @property
    def snapshot(self) -> Snapshot:
        """The state of queues and slots."""
        return self._dispatcher.snapshot(self._clock.now())

    @property
    def usable(self) -> int:
        """How many requests may be in progress now, on servers that are not set aside."""
        snapshot = self.snapshot
        counts = snapshot.in_progress.items()
        return snapshot.free_slots + sum(n for name, n in counts if name not in snapshot.set_aside)

    def describe(self) -> dict[str, object]:
        """Return the state for operators."""
        snapshot = self.snapshot
        return {
            "queued": {size.value: count for size, count in snapshot.queued.items()},
            "in_progress": dict(snapshot.in_progress),
            "free_slots": snapshot.free_slots,
            "set_aside": list(snapshot.set_aside),
            "quarantined": snapshot.quarantined,
        }

    async def run(self, job: Job) -> BackendAnswer:
        """Run a job and return its response.

        :raises WorkRefusedError: when the shard gives it up.
        """
        self._jobs[job.work.id] = job
        self._carry_out(self._dispatcher.submit(self._clock.now(), job.work))
        try:
            return await job.answer
        except asyncio.CancelledError:
            self._carry_out(self._dispatcher.cancel(self._clock.now(), job.work.id))
            raise
        finally:
            self._jobs.pop(job.work.id, None)

    def retire(self) -> None:
        """Give up what has not started, since the shard has another owner now."""
        started = {attempt.job.work.id for attempt in self._attempts.values()}
        for work_id, job in tuple(self._jobs.items()):
            if work_id not in started and not job.answer.done():
                job.answer.set_exception(WorkRefusedError(Outcome.NOT_RUN, "owner-changed", 0.1))
                self._carry_out(self._dispatcher.cancel(self._clock.now(), work_id))

    async def close(self) -> None:
        """Cancel what is in progress."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt():
                    self._start(action)
                case CancelAttempt():
                    self._cancel(action)
                case Refuse():
                    self._refuse(action)
                case Finish():
                    self._finish(action)
        self._arm()

    def _arm(self) -> None:
        """Set the timer for the next thing that time brings."""
        if self._timer is not None:
            self._timer.cancel()
        now = self._clock.now()
        due = self._dispatcher.next_due(now)
        if due == float("inf"):
            self._timer = None
            return
        # A millisecond at least, so that a dispatcher that is always due yields the loop.
        delay = max(0.001, due - now)
        self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._carry_out(self._dispatcher.tick(self._clock.now()))

    def _start(self, start: StartAttempt) -> None:
        job = self._jobs.get(start.work_id)
        server = self._servers.get(start.server)
        if job is None or server is None:
            result = AttemptResult(ResultKind.NOT_SENT)
            self._later(
                lambda: self._dispatcher.attempt_ended(self._clock.now(), start.attempt_id, result)
            )
            return
        attempt = _Attempt(start, job, server)
        self._attempts[start.attempt_id] = attempt
        attempt.task = self._spawn(self._attempt(attempt))
        attempt.task.add_done_callback(lambda task: self._end_if_unstarted(attempt, task))

    def _end_if_unstarted(self, attempt: _Attempt, task: asyncio.Task[None]) -> None:
        """End an attempt whose task was cancelled before its first step.

        Such a task never enters its coroutine, so that the attempt would keep its slot.
        """
        if task.cancelled() and not attempt.is_ended:
            self._end(attempt, AttemptResult(ResultKind.CANCELLED, 0, True))

    def _later(self, event: Callable[[], list[Action]]) -> None:
        asyncio.get_running_loop().call_soon(lambda: self._carry_out(event()))

    def _cancel(self, action: CancelAttempt) -> None:
        attempt = self._attempts.get(action.attempt_id)
        if attempt is None or attempt.is_ended:
            return
        if attempt.task is not None and not attempt.task.done():
            attempt.task.cancel()
        else:
            self._spawn(self._abandon(attempt))

    def _refuse(self, action: Refuse) -> None:
        job = self._jobs.get(action.work_id)
        if job is not None and not job.answer.done():
            error = WorkRefusedError(action.outcome, action.reason.value, action.retry_after_s)
            job.answer.set_exception(error)

    def _finish(self, action: Finish) -> None:
        attempt = self._attempts.get(action.attempt_id)
        if attempt is None or attempt.head is None:
            return
        if attempt.job.answer.done():
            self._spawn(self._abandon(attempt))
            return
        answer = BackendAnswer(
            attempt.head,
            attempt.buffered,
            lambda result: self._end(attempt, result),
            lambda: self._give_up(attempt),
        )
        attempt.job.answer.set_result(answer)

    async def _attempt(self, attempt: _Attempt) -> None:
        begun = self._clock.now()
        try:
            attempt.head = await self._client.attempt(self._request(attempt))
            self._note_head(attempt, self._clock.now() - begun)
            await self._receive(attempt, attempt.head)
        except AttemptError as error:
            if error.kind is FailureKind.SILENT and attempt.head is None:
                self._note_head(attempt, self._clock.now() - begun)
            _LOG.info(
                "attempt failed",
                extra={
                    "server": attempt.server.name,
                    "stop": error.kind.value,
                    "request_id": attempt.job.work.id,
                },
            )
            self._end(attempt, AttemptResult(RESULTS[error.kind]))
        except asyncio.CancelledError:
            # The task ends here; what remains is done by a task of its own.
            self._spawn(self._abandon(attempt))

    async def _receive(self, attempt: _Attempt, head: AttemptResponse) -> None:
        length = head.content_length
        is_small = length is not None and length <= BUFFERED_BYTES
        is_retryable = is_small and attempt.job.work.is_idempotent
        self._carry_out(
            self._dispatcher.attempt_response_started(
                self._clock.now(), attempt.start.attempt_id, is_retryable
            )
        )
        if is_retryable and not attempt.is_ended:
            attempt.buffered = await head.read(BUFFERED_BYTES)
            self._end(attempt, AttemptResult(ResultKind.SUCCESS, head.bytes_received))

    def _give_up(self, attempt: _Attempt) -> None:
        """Cancel an attempt whose body is wanted no more, so that its slot becomes free."""
        if not attempt.is_ended:
            work_id = attempt.job.work.id
            self._carry_out(self._dispatcher.cancel(self._clock.now(), work_id))

    async def _abandon(self, attempt: _Attempt) -> None:
        """Stop an attempt and ask its backend server whether it stopped."""
        if attempt.is_ended:
            return
        if attempt.head is not None:
            await attempt.head.close()
        is_stopped = True
        if attempt.is_sent:
            is_stopped = await self._client.cancel(
                attempt.server.address,
                attempt.start.attempt_id,
                attempt.job.work.tenant,
                has_response_started=attempt.head is not None,
            )
        self._end(attempt, AttemptResult(ResultKind.CANCELLED, 0, is_stopped))

    def _end(self, attempt: _Attempt, result: AttemptResult) -> None:
        if attempt.is_ended:
            return
        attempt.is_ended = True
        self._carry_out(
            self._dispatcher.attempt_ended(self._clock.now(), attempt.start.attempt_id, result)
        )
        self._attempts.pop(attempt.start.attempt_id, None)

    def _request(self, attempt: _Attempt) -> AttemptRequest:
        now = self._clock.now()
        start, job = attempt.start, attempt.job
        loop_time = asyncio.get_running_loop().time()
        left_s = self._loan_expiry(now, start.token) - now
        return AttemptRequest(
            server=attempt.server.address,
            method=job.method,
            target=job.target,
            attempt_id=start.attempt_id,
            deadline=loop_time + job.work.deadline - now,
            headers=job.headers,
            body=job.body,
            start_by_unix_ms=int((self._clock.unix() + left_s) * 1000),
            use_new_connection=start.use_new_connection,
            guard=lambda: self._may_write(attempt),
            head_timeout_s=self._head_timeout_s(attempt),
            tenant=job.work.tenant,
        )

    def _head_timeout_s(self, attempt: _Attempt) -> float:
        """Return how long to wait for the first byte, in seconds.

        A connection that was open before may be silent. A request that may be sent again
        waits on it for several times what its class took of late, and for all of its time
        on a new connection.
        """
        work = attempt.job.work
        left_s = work.deadline - self._clock.now()
        slowest = self._slowest_heads.get(work.request_class.name)
        if attempt.start.use_new_connection or not work.is_idempotent or slowest is None:
            return left_s
        return min(left_s, max(_LEAST_SILENCE_S, _SILENCE_FACTOR * slowest.value))

    def _note_head(self, attempt: _Attempt, seconds: float) -> None:
        """Note a time to the first byte, or a time without one."""
        name = attempt.job.work.request_class.name
        slowest = self._slowest_heads.setdefault(name, DecayingMaximum(_HEAD_MEMORY_S))
        slowest.update(self._clock.now(), seconds)

    def _may_write(self, attempt: _Attempt) -> bool:
        """Ask the dispatcher again, now that there is a connection."""
        own_id = attempt.start.attempt_id
        actions = self._dispatcher.attempt_connected(self._clock.now(), own_id)
        others = [
            item
            for item in actions
            if not (isinstance(item, CancelAttempt) and item.attempt_id == own_id)
        ]
        attempt.is_sent = len(others) == len(actions)
        self._carry_out(others)
        return attempt.is_sent

    def _spawn(self, work) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task
