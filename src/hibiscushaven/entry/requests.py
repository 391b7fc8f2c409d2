"""A caller's request and its answer, apart from HTTP."""

from collections.abc import AsyncIterable, Awaitable, Callable
from dataclasses import dataclass

from hibiscushaven.delivery import Outcome
from hibiscushaven.documents import Caller, CatalogEntry, RequestClass

__all__ = ["CallerAnswer", "CallerRequest", "ClassifiedRequest"]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as it arrived.

    :ivar target: path and query as the caller wrote them.
    :ivar timeout_ms: time that the caller gives it, if it says so.
    """

    id: str
    service: str
    method: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    token: str | None = None
    key: str | None = None
    timeout_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ClassifiedRequest:
    """A request with what the document says of it.

    :ivar deadline: on the daemon's clock, in seconds.
    """

    request: CallerRequest
    entry: CatalogEntry
    caller: Caller | None
    request_class: RequestClass
    deadline: float

    @property
    def caller_name(self) -> str:
        return self.caller.name if self.caller is not None else "anonymous"


async def _close_nothing() -> None:
    return None


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """The answer of a backend server; the body may still be arriving.

    :ivar close: frees what the answer holds, such as a slot; whoever has the answer calls it,
        also when the body was never read.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterable[bytes]
    outcome: Outcome = Outcome.RUN
    close: Callable[[], Awaitable[None]] = _close_nothing
