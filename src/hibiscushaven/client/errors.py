"""Errors of calls that end without a response of the service."""

__all__ = ["AlreadyRunError", "CallError", "NoEntryError", "OutcomeUnknownError", "RefusedError"]


class CallError(Exception):
    """Base class of the errors of calls."""


class NoEntryError(CallError):
    """No entry VM could be reached."""


class RefusedError(CallError):
    """The request was not run.

    :ivar status: HTTP status of the last refusal.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"{status}: {detail}")
        self.status = status


class AlreadyRunError(CallError):
    """An earlier request with the same key ran; its response was too large to store."""


class OutcomeUnknownError(CallError):
    """The request may have run."""
