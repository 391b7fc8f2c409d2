"""Outcomes of requests, and what each stop of an attempt says about them."""

from enum import StrEnum

from hibiscushaven.outcomes import Outcome

__all__ = ["AttemptError", "Outcome", "Stop", "outcome_of"]


class Stop(StrEnum):
    """The point where an attempt on a backend server stopped without a complete response."""

    INVALID = "invalid"
    NOT_CONNECTED = "not-connected"
    NO_FREE_CONNECTION = "no-free-connection"
    GUARD_REFUSED = "guard-refused"
    DEADLINE_BEFORE_SENDING = "deadline-before-sending"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
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
        Stop.INVALID,
        Stop.NOT_CONNECTED,
        Stop.NO_FREE_CONNECTION,
        Stop.GUARD_REFUSED,
        Stop.DEADLINE_BEFORE_SENDING,
    }
)


def outcome_of(stop: Stop) -> Outcome:
    """Return what a stop says about whether the request ran.

    Explanation
    ===========

    ``not-run`` needs proof: either no byte of the request was written, or the backend server
    itself said that it did not run it. Everything else is ``unknown``.

    Examples
    ========

    >>> outcome_of(Stop.GUARD_REFUSED).value
    'not-run'
    >>> outcome_of(Stop.CONNECTION_LOST).value
    'unknown'

    """
    if stop.is_before_sending or stop in (Stop.REFUSED, Stop.MISDIRECTED):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


class AttemptError(Exception):
    """An attempt ended without a complete response.

    :ivar stop: where the attempt stopped.
    :ivar retry_after_s: the backend server's ``Retry-After``, in seconds.
    """

    def __init__(self, stop: Stop, detail: str, retry_after_s: float | None = None) -> None:
        super().__init__(f"{stop.value}: {detail}")
        self.stop = stop
        self.retry_after_s = retry_after_s

    @property
    def outcome(self) -> Outcome:
        return outcome_of(self.stop)
