"""What is known about whether a request ran; all layers speak of it alike."""

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """Whether a request was run.

    ``NOT_RUN`` is said only with proof: nothing was sent, or the backend server refused it
    before running. ``RUN`` comes with a response, everything else is ``UNKNOWN``.

    Examples
    ========

    >>> Outcome("not-run") is Outcome.NOT_RUN
    True

    """

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
