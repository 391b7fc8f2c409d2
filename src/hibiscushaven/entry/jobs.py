"""Jobs of a shard and the responses of backend servers to them."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from hibiscushaven.delivery import AttemptError, AttemptResponse, FailureKind, Headers, Outcome
from hibiscushaven.dispatch import AttemptResult, ResultKind, WorkItem

from .errors import EntryError

__all__ = ["RESULT_BY_FAILURE", "BackendResponse", "Job", "WorkRefusedError"]

# Result that is reported to the dispatcher for each failure of an attempt.
RESULT_BY_FAILURE = {
    FailureKind.INVALID: ResultKind.NOT_SENT,
    FailureKind.NOT_CONNECTED: ResultKind.NOT_SENT,
    FailureKind.NO_FREE_CONNECTION: ResultKind.NOT_SENT,
    FailureKind.DEADLINE_BEFORE_SENDING: ResultKind.NOT_SENT,
    FailureKind.GUARD_REFUSED: ResultKind.CANCELLED,
    FailureKind.REFUSED: ResultKind.REFUSED,
    FailureKind.MISDIRECTED: ResultKind.REFUSED,
    FailureKind.UNNAMED_REFUSAL: ResultKind.FAILED,
    FailureKind.DEADLINE: ResultKind.TIMED_OUT,
    FailureKind.SILENT: ResultKind.TIMED_OUT,
    FailureKind.CONNECTION_LOST: ResultKind.CRASHED,
    FailureKind.MALFORMED: ResultKind.FAILED,
    FailureKind.WRONG_ATTEMPT_ID: ResultKind.WRONG_ID,
    FailureKind.TRUNCATED: ResultKind.TRUNCATED,
}


class WorkRefusedError(EntryError):
    """The shard refused a request or gave it up."""

    def __init__(self, outcome: Outcome, reason: str, retry_after_s: float) -> None:
        super().__init__(f"{outcome.value}: {reason}")
        self.outcome = outcome
        self.reason = reason
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class Job:
    """A request to be run on one of the shard's backend servers.

    :ivar response: future that is resolved with the response or a :exc:`WorkRefusedError`.
    """

    work: WorkItem
    method: str
    target: str
    headers: Headers
    body: bytes
    response: asyncio.Future["BackendResponse"] = field(init=False)

    def __post_init__(self) -> None:
        self.response = asyncio.get_running_loop().create_future()


class BackendResponse:
    """A response of a backend server.

    The body can be iterated once. The consumer must call :meth:`close`.

    :param buffered: the whole body if it has arrived, else ``None``.
    :param on_end: called with the result when a streamed body ends.
    :param on_close: called when the response is closed.
    """

    def __init__(
        self,
        response: AttemptResponse,
        buffered: bytes | None,
        on_end: Callable[[AttemptResult], None],
        on_close: Callable[[], None],
    ) -> None:
        self.status = response.status
        self.headers = response.headers
        self._response = response
        self._buffered = buffered
        self._on_end = on_end
        self._on_close = on_close

    @property
    def is_buffered(self) -> bool:
        """Whether the whole body has arrived already."""
        return self._buffered is not None

    @property
    def content_length(self) -> int | None:
        return self._response.content_length

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body; end normally only if it is complete.

        :raises AttemptError: when the body is truncated.
        """
        if self._buffered is not None:
            yield self._buffered
            return
        try:
            async for chunk in self._response:
                yield chunk
        except AttemptError as error:
            self._on_end(AttemptResult(RESULT_BY_FAILURE[error.kind]))
            raise
        self._on_end(AttemptResult(ResultKind.SUCCESS, self._response.bytes_received))

    async def close(self) -> None:
        """Release the attempt; the rest of the body is discarded."""
        if self._buffered is None:
            await self._response.close()
        self._on_close()
