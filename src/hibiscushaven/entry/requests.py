"""Requests of callers and their responses, independent of the HTTP server."""

from collections.abc import AsyncIterable, Awaitable, Callable
from dataclasses import dataclass

from hibiscushaven.delivery import Outcome
from hibiscushaven.documents import Caller, CatalogEntry, RequestClass

__all__ = ["CallerRequest", "CallerResponse", "ClassifiedRequest"]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as it was received.

    :ivar path: decoded path below the service.
    :ivar target: path and query as the caller encoded them.
    :ivar token: bearer token, if any.
    :ivar key: value of ``Idempotency-Key``, if any.
    :ivar timeout_ms: timeout that the caller asked for, if any.
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
    """A request with its caller, class and deadline according to the service's document.

    :ivar caller: ``None`` if the document lists no callers.
    :ivar deadline: time on the daemon's monotonic clock, in seconds.
    """

    request: CallerRequest
    entry: CatalogEntry
    caller: Caller | None
    request_class: RequestClass
    deadline: float

    @property
    def caller_name(self) -> str:
        return self.caller.name if self.caller is not None else "anonymous"


async def _no_op() -> None:
    return None


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """The response of a backend server; its body may still be arriving.

    :ivar close: releases the resources of the response, such as a slot. The consumer must call
        it, even if the body was never read.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterable[bytes]
    outcome: Outcome = Outcome.RUN
    close: Callable[[], Awaitable[None]] = _no_op
