"""Exceptions of the entry layer."""

from hibiscushaven.delivery import Outcome

from .problems import Problem

__all__ = ["EntryError", "RequestError", "RouteError"]


class EntryError(Exception):
    """Base class of the exceptions of the entry layer."""


class RequestError(EntryError):
    """A request that is answered with a problem response."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.status} {problem.title}: {problem.detail}")
        self.problem = problem


class RouteError(EntryError):
    """A request got no response over the route that was chosen for it.

    :ivar outcome: whether the request may have been executed.
    :ivar retry_after_s: time after which a retry can help, in seconds.
    :ivar is_route_failure: whether the route itself failed, so that another route may work. A
        request that the shard refused is not rerouted.
    """

    def __init__(
        self,
        outcome: Outcome,
        reason: str,
        retry_after_s: float | None,
        is_route_failure: bool = False,
    ) -> None:
        super().__init__(f"{outcome.value}: {reason}")
        self.outcome = outcome
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.is_route_failure = is_route_failure
