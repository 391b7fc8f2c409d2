"""Losses of backend servers that VMs report, until it shows whether a server or a link failed."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from math import inf

from hibiscushaven.fleet import MIN_RESTART_S

__all__ = ["LostServers"]

# Time for the report of a response to arrive.
ARRIVAL_DELAY_S = 0.2

# Time after a failed connection until it counts as the loss of its server.
CONFIRMATION_DELAY_S = MIN_RESTART_S + ARRIVAL_DELAY_S


@dataclass(slots=True)
class _Loss:
    first_at: float
    last_at: float


class LostServers:
    """Failed connections to backend servers, as any VM of the region reports them.

    Explanation
    ===========

    A failed connection is evidence about the path from one VM to the server. It counts as a loss
    of the server unless the server responds to any VM before it could have restarted.

    :param has_responded: returns whether a server, given by its token, responded between two times.

    Examples
    ========

    >>> lost = LostServers(lambda token, start, end: token == 7)
    >>> lost.report(10.0, {7: 0.1, 8: 0.1})
    >>> lost.is_suspected(7), lost.is_suspected(8)
    (False, True)
    >>> list(lost.pop_confirmed(10.5)), list(lost.pop_confirmed(11.5))
    ([], [(8, 9.9)])

    """

    def __init__(self, has_responded: Callable[[int, float, float], bool]) -> None:
        self._has_responded = has_responded
        self._losses: dict[int, _Loss] = {}

    def report(self, now: float, ages_s: Mapping[int, float]) -> None:
        """Record failed connections, with the seconds since each, by token of the server."""
        for token, age_s in ages_s.items():
            lost_at = now - age_s
            loss = self._losses.setdefault(token, _Loss(lost_at, lost_at))
            loss.first_at = min(loss.first_at, lost_at)
            loss.last_at = max(loss.last_at, lost_at)

    def is_suspected(self, token: int) -> bool:
        """Return whether a connection to a server failed and it has not responded since."""
        loss = self._losses.get(token)
        return loss is not None and not self._has_responded(token, loss.first_at, inf)

    def pop_confirmed(self, now: float) -> Iterator[tuple[int, float]]:
        """Yield the servers that count as lost, with the time of the latest failed connection."""
        due = [
            (token, loss)
            for token, loss in self._losses.items()
            if now - loss.first_at >= CONFIRMATION_DELAY_S
        ]
        for token, loss in due:
            del self._losses[token]
            if not self._has_responded(token, loss.first_at, loss.first_at + MIN_RESTART_S):
                yield token, loss.last_at
