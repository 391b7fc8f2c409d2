"""What a request needs, and how long it may wait for it."""

from dataclasses import dataclass

from hibiscushaven.routing import Route

__all__ = ["Demand", "has_room"]

# Requests that may wait at a backend server, as a multiple of its slots.
QUEUE_PART = 2.0

# The same for requests of callers that come back after a refusal, and their predicted time as a
# multiple of the objective. A longer queue of them would make all others late.
RETURN_QUEUE_PART = 2.5
RETURN_OBJECTIVE_PART = 1.25


@dataclass(frozen=True, slots=True)
class Demand:
    """A request that looks for a backend server.

    :ivar key: object that it is about, if any.
    :ivar objective_left_s: time left within its objective.
    :ivar time_left_s: time left in all.
    :ivar excluded: backend servers that it was already sent to.
    :ivar is_return: whether its caller was refused before and has come back.
    """

    route: Route
    service: str
    key: str | None
    objective_left_s: float
    time_left_s: float
    excluded: frozenset[str] = frozenset()
    is_return: bool = False


def has_room(busy: int, slots: int, predicted_s: float, demand: Demand) -> bool:
    """Return whether a request should go to a server with so many in progress.

    A caller that was refused before goes first: it may wait where others are refused, since it
    would not come back again.
    """
    if busy < slots:
        return predicted_s <= demand.time_left_s
    if demand.is_return:
        longest_s = min(RETURN_OBJECTIVE_PART * demand.route.objective_s, demand.time_left_s)
        return busy < slots * (1.0 + RETURN_QUEUE_PART) and predicted_s <= longest_s
    return busy < slots * (1.0 + QUEUE_PART) and predicted_s <= demand.objective_left_s
