"""Jobs of a shard, and the answers of backend servers to them."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from hibiscushaven.delivery import AttemptError, AttemptResponse, FailureKind, Headers, Outcome
from hibiscushaven.dispatch import AttemptResult, ResultKind, WorkItem

from .errors import EntryError

__all__ = ["RESULTS", "BackendAnswer", "Job", "WorkRefusedError"]

# What each stop of an attempt is to the dispatcher.
RESULTS = {
    FailureKind.INVALID: ResultKind.NOT_SENT,
    FailureKind.NOT_CONNECTED: ResultKind.NOT_SENT,
    FailureKind.NO_FREE_CONNECTION: ResultKind.NOT_SENT,
    FailureKind.DEADLINE_BEFORE_SENDING: ResultKind.NOT_SENT,
    FailureKind.GUARD_REFUSED: ResultKind.CANCELLED,
    FailureKind.REFUSED: ResultKind.REFUSED,
    FailureKind.MISDIRECTED: ResultKind.REFUSED,
    FailureKind.DEADLINE: ResultKind.TIMED_OUT,
    FailureKind.SILENT: ResultKind.TIMED_OUT,
    FailureKind.CONNECTION_LOST: ResultKind.CRASHED,
    FailureKind.MALFORMED: ResultKind.FAILED,
    FailureKind.WRONG_ATTEMPT_ID: ResultKind.WRONG_ID,
    FailureKind.TRUNCATED: ResultKind.TRUNCATED,
}


class WorkRefusedError(EntryError):
    """The shard gave up a request."""

    def __init__(self, outcome: Outcome, reason: str, retry_after_s: float) -> None:
        super().__init__(f"{outcome.value}: {reason}")
        self.outcome = outcome
        self.reason = reason
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class Job:
    """A request to be run on one of the shard's backend servers."""

    work: WorkItem
    method: str
    target: str
    headers: Headers
    body: bytes
    answer: asyncio.Future["BackendAnswer"] = field(init=False)

    def __post_init__(self) -> None:
        self.answer = asyncio.get_running_loop().create_future()


class BackendAnswer:
    """A response whose body is read once, by iteration, and has to be closed."""

    def __init__(
        self,
        head: AttemptResponse,
        buffered: bytes | None,
        on_end: Callable[[AttemptResult], None],
        on_close: Callable[[], None],
    ) -> None:
        self.status = head.status
        self.headers = head.headers
        self._head = head
        self._buffered = buffered
        self._on_end = on_end
        self._on_close = on_close

    @property
    def is_buffered(self) -> bool:
        """Whether the whole body has arrived."""
        return self._buffered is not None

    @property
    def content_length(self) -> int | None:
        return self._head.content_length

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body; return only if it was complete.

        :raises AttemptError: when it was not.
        """
        if self._buffered is not None:
            yield self._buffered
            return
        try:
            async for chunk in self._head:
                yield chunk
        except AttemptError as error:
            self._on_end(AttemptResult(RESULTS[error.kind]))
            raise
        self._on_end(AttemptResult(ResultKind.SUCCESS, self._head.bytes_received))

    async def close(self) -> None:
        """Give up the rest of the body, if there is one."""
        if self._buffered is None:
            await self._head.close()
        self._on_close()
