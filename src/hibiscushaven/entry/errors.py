"""Errors of the entry layer."""

from hibiscushaven.delivery import Outcome

from .problems import Problem

__all__ = ["EntryError", "RequestError", "RouteError"]


class EntryError(Exception):
    """Base of the errors of the entry layer."""


class RequestError(EntryError):
    """A request that ends with a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.status} {problem.title}: {problem.detail}")
        self.problem = problem


class RouteError(EntryError):
    """A request found no answer on the way that it was sent.

    :ivar is_route_lost: whether the way itself failed, so that another may work; a refusal
        of the shard is not sent another way.
    """

    def __init__(
        self,
        outcome: Outcome,
        reason: str,
        retry_after_s: float | None,
        is_route_lost: bool = False,
    ) -> None:
        super().__init__(f"{outcome.value}: {reason}")
        self.outcome = outcome
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.is_route_lost = is_route_lost
