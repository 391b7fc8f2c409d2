"""Jobs of a shard, and the answers of backend servers to them."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from hibiscushaven.delivery import AttemptError, AttemptHead, Headers, Outcome, Stop
from hibiscushaven.dispatch import AttemptResult, ResultKind, WorkItem

from .errors import EntryError

__all__ = ["RESULTS", "BackendAnswer", "Job", "WorkRefusedError"]

# What each stop of an attempt is to the dispatcher.
RESULTS = {
    Stop.INVALID: ResultKind.NOT_SENT,
    Stop.NOT_CONNECTED: ResultKind.NOT_SENT,
    Stop.NO_FREE_CONNECTION: ResultKind.NOT_SENT,
    Stop.DEADLINE_BEFORE_SENDING: ResultKind.NOT_SENT,
    Stop.GUARD_REFUSED: ResultKind.CANCELLED,
    Stop.REFUSED: ResultKind.REFUSED,
    Stop.MISDIRECTED: ResultKind.REFUSED,
    Stop.DEADLINE: ResultKind.TIMED_OUT,
    Stop.SILENT: ResultKind.TIMED_OUT,
    Stop.CONNECTION_LOST: ResultKind.CRASHED,
    Stop.MALFORMED: ResultKind.FAILED,
    Stop.WRONG_ATTEMPT_ID: ResultKind.WRONG_ID,
    Stop.TRUNCATED: ResultKind.TRUNCATED,
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
        head: AttemptHead,
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
            self._on_end(AttemptResult(RESULTS[error.stop]))
            raise
        self._on_end(AttemptResult(ResultKind.SUCCESS, self._head.bytes_received))

    async def close(self) -> None:
        """Give up the rest of the body, if there is one."""
        if self._buffered is None:
            await self._head.close()
        self._on_close()
