"""Placement requests and their admission to the queue of a backend server."""

from dataclasses import dataclass

from hibiscushaven.routing import Route

__all__ = ["PlacementRequest", "is_admissible"]

# Longest queue at a backend server, as a multiple of its slots.
MAX_QUEUE_FACTOR = 2.0

# Longest queue for requests of callers that retry after a refusal, as a multiple of the slots.
# Admitting more of them would delay all other requests beyond their objective.
CALLER_RETRY_QUEUE_FACTOR = 2.5

# Longest predicted time at which a retry of a caller is queued, as a multiple of its objective.
CALLER_RETRY_OBJECTIVE_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Requirements of a request for which a backend server is to be chosen.

    :ivar key: key of the object that the request is about, if any.
    :ivar objective_left_s: time left until the objective of its route is missed.
    :ivar time_left_s: time left until its deadline.
    :ivar excluded: backend servers that must not receive it, since it was already sent to them.
    :ivar is_caller_retry: whether its caller retries after a refusal.
    :ivar can_bear_rejection: whether it can go to another server if this one rejects it.
    """

    route: Route
    service: str
    key: str | None
    objective_left_s: float
    time_left_s: float
    excluded: frozenset[str] = frozenset()
    is_caller_retry: bool = False
    can_bear_rejection: bool = True


def is_admissible(
    in_progress: int, slots: int, predicted_s: float, request: PlacementRequest
) -> bool:
    """Return whether a server with this many requests in progress may receive another one.

    Callers that retry after a refusal have precedence: their requests may queue where others are
    refused, since these callers would not retry again.
    """
    if in_progress < slots:
        return predicted_s <= request.time_left_s
    if request.is_caller_retry:
        max_predicted_s = min(
            CALLER_RETRY_OBJECTIVE_FACTOR * request.route.objective_s, request.time_left_s
        )
        return (
            in_progress < slots * (1.0 + CALLER_RETRY_QUEUE_FACTOR)
            and predicted_s <= max_predicted_s
        )
    max_predicted_s = min(request.objective_left_s, request.time_left_s)
    return in_progress < slots * (1.0 + MAX_QUEUE_FACTOR) and predicted_s <= max_predicted_s
