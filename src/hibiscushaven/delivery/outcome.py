"""Kinds of failed attempts, and the outcome of a request that follows from each."""

from enum import StrEnum

from hibiscushaven.outcomes import Outcome

from .headers import Headers

__all__ = ["AttemptError", "FailureKind", "Outcome", "outcome_of"]


class FailureKind(StrEnum):
    """How an attempt on a backend server ended without a complete response."""

    INVALID = "invalid"
    NOT_CONNECTED = "not-connected"
    NO_FREE_CONNECTION = "no-free-connection"
    GUARD_REFUSED = "guard-refused"
    DEADLINE_BEFORE_SENDING = "deadline-before-sending"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    UNNAMED_REFUSAL = "unnamed-refusal"
    DEADLINE = "deadline"
    CONNECTION_LOST = "connection-lost"
    SILENT = "silent"
    MALFORMED = "malformed"
    WRONG_ATTEMPT_ID = "wrong-attempt-id"
    TRUNCATED = "truncated"

    @property
    def is_before_sending(self) -> bool:
        return self in _BEFORE_SENDING


_BEFORE_SENDING = frozenset(
    {
        FailureKind.INVALID,
        FailureKind.NOT_CONNECTED,
        FailureKind.NO_FREE_CONNECTION,
        FailureKind.GUARD_REFUSED,
        FailureKind.DEADLINE_BEFORE_SENDING,
    }
)


def outcome_of(kind: FailureKind) -> Outcome:
    """Return whether the request ran, as far as the kind of failure shows.

    Explanation
    ===========

    The outcome is ``not-run`` only if no byte of the request was written, or if the backend
    server reported that it did not run the request. Otherwise the outcome is ``unknown``, also
    after a refusal that names no request, since it may belong to another one.

    Examples
    ========

    >>> outcome_of(FailureKind.GUARD_REFUSED).value
    'not-run'
    >>> outcome_of(FailureKind.UNNAMED_REFUSAL).value
    'unknown'

    """
    if kind.is_before_sending or kind in (FailureKind.REFUSED, FailureKind.MISDIRECTED):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


class AttemptError(Exception):
    """An attempt ended without a complete response.

    :ivar kind: how the attempt failed.
    :ivar retry_after_s: the backend server's ``Retry-After``, in seconds.
    :ivar headers: headers of the server's own response that refused the request, if there is one.
    :ivar status: status of that response.
    :ivar names_request: whether a response that refused the request names it.
    """

    def __init__(
        self,
        kind: FailureKind,
        detail: str,
        retry_after_s: float | None = None,
        headers: Headers | None = None,
        status: int = 0,
        names_request: bool = False,
    ) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.names_request = names_request
        self.status = status
        self.kind = kind
        self.retry_after_s = retry_after_s
        self.headers = headers

    @property
    def outcome(self) -> Outcome:
        return outcome_of(self.kind)
