"""Outcome of a request with regard to whether it ran, as used by all layers."""

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """Whether a request was run.

    Explanation
    ===========

    ``RUN`` requires a response. ``NOT_RUN`` requires proof: either nothing was sent, or the
    backend server refused the request before running it. Everything else is ``UNKNOWN``.

    Examples
    ========

    >>> Outcome("not-run") is Outcome.NOT_RUN
    True

    """

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
