"""Starts of attempts: first ones, retries and hedges."""

from .actions import Action
from .admission import Admission
from .attempts import AttemptBook
from .hedging import HedgePlanner
from .items import Item
from .lanes import Lane
from .placement import Placement
from .servers import ServerBook, ServerState
from .statistics import StatisticsBook

__all__ = ["Starter"]

# A slow server takes work once the wait is this part (1 / 2) of the time that it costs extra.
# With 1, a shard at its limit had a median of 126 ms in place of 93 ms; with 4, a shard with room
# used slow servers so often that its p99 rose from 76 to 117 ms.
_RELIEF_FACTOR = 2.0
# A backend server whose tokens cannot be had although they are offered is left out for a tick,
# by work that ends as late or later; otherwise it could be chosen again and again while others
# are free. Work that ends earlier may find a token for short work.
_TOKEN_PAUSE_S = 0.02


class Starter:
    """Starts an attempt where there is room for it.

    :param actions: list to which the starts are appended.
    """

    def __init__(
        self,
        servers: ServerBook,
        attempts: AttemptBook,
        admission: Admission,
        placement: Placement,
        hedges: HedgePlanner,
        statistics: StatisticsBook,
        actions: list[Action],
    ) -> None:
        self._servers = servers
        self._attempts = attempts
        self._admission = admission
        self._placement = placement
        self._hedges = hedges
        self._statistics = statistics
        self._actions = actions

    def start(self, now: float, item: Item, lane: Lane | None) -> bool:
        """Start an item if a backend server is free for it; return whether it started.

        :param lane: the lane whose head the item is; ``None`` for a parked item.
        """
        if not self._has_room(now, item):
            return False
        is_suspect = self._admission.is_suspect(now, item)
        tolerated_factor = 1.0
        if lane is not None and self._placement.has_held:
            tolerated_factor = self._tolerated_factor(now, item, lane)
        while state := self._placement.pick(now, item, is_suspect, tolerated_factor):
            if self._start_on(now, item, state, is_suspect=is_suspect):
                return True
        return False

    def hedge(self, now: float) -> None:
        """Start the hedges that are due, within their budget."""
        for attempt, statistics in self._hedges.due(now):
            if not self._start_hedge(now, attempt.item):
                self._hedges.defer(now, attempt, statistics)

    def _start_hedge(self, now: float, item: Item) -> bool:
        is_suspect = self._admission.is_suspect(now, item)
        if is_suspect or self._hedges.is_exhausted or not self._has_room(now, item):
            return False
        state = self._placement.pick_hedge(now, item)
        if state is None or not self._start_on(now, item, state, is_hedge=True):
            return False
        self._hedges.spend()
        return True

    def _tolerated_factor(self, now: float, item: Item, lane: Lane) -> float:
        """Return how much slower than usual still beats waiting for an ordinary slot."""
        capacity = self._admission.capacity(now)
        wait_s = self._admission.lane_wait_s(capacity, lane, item.is_long)
        return 1 + _RELIEF_FACTOR * wait_s / self._statistics.of_item(item).typical_s

    def _has_room(self, now: float, item: Item) -> bool:
        if self._servers.in_progress >= self._admission.place_capacity:
            return False
        if not item.is_long or not self._admission.queues.is_limiting_long:
            return True
        capacity = self._admission.capacity(now)
        return capacity.long_in_progress < capacity.long_limit

    def _start_on(
        self,
        now: float,
        item: Item,
        state: ServerState,
        is_hedge: bool = False,
        is_suspect: bool = False,
    ) -> bool:
        token = self._attempts.take_token(now, item, state)
        if token is None:
            state.note_no_token(now, item.work.deadline, _TOKEN_PAUSE_S)
            return False
        attempt, action = self._attempts.start(now, item, state, token, is_hedge, is_suspect)
        self._actions.append(action)
        if not is_hedge:
            self._hedges.watch(now, attempt, self._statistics.of_item(item))
        return True
