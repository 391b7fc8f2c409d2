"""Starting of attempts: first attempts, retries and hedges."""

from .actions import Action
from .admission import AdmissionController
from .attempts import AttemptTracker
from .hedging import HedgePlanner
from .items import ItemState
from .selection import ServerSelector
from .servers import ServerPool, ServerState
from .statistics import StatisticsRegistry
from .wait_queues import WaitQueue

__all__ = ["AttemptStarter"]

# A slow server gets work once the predicted wait is half of the extra latency of that server.
# With a factor of 1, the median of a saturated shard was 126 ms instead of 93 ms. With 4, a shard
# with spare capacity used slow servers so often that its p99 rose from 76 to 117 ms.
_SLOW_SERVER_WAIT_FACTOR = 2.0
# If acquiring a token fails although one was reported available, the backend server is skipped
# for a tick by work with the same or a later deadline; otherwise it could be selected repeatedly
# while others are free. Work with an earlier deadline may still get a token for short work.
_TOKEN_PAUSE_S = 0.02


class AttemptStarter:
    """Starts attempts within the limits of the place, the shard and the backend servers.

    :param actions: list to which the start actions are appended.
    """

    def __init__(
        self,
        servers: ServerPool,
        attempts: AttemptTracker,
        admission: AdmissionController,
        selector: ServerSelector,
        hedges: HedgePlanner,
        statistics: StatisticsRegistry,
        actions: list[Action],
    ) -> None:
        self._servers = servers
        self._attempts = attempts
        self._admission = admission
        self._selector = selector
        self._hedges = hedges
        self._statistics = statistics
        self._actions = actions

    def start(self, now: float, item: ItemState, queue: WaitQueue | None) -> bool:
        """Start an attempt of an item if a slot is free for it; return whether it started.

        :param queue: the queue with this item at its head; ``None`` for a deferred item.
        """
        if not self._has_capacity(now, item):
            return False
        is_suspect = self._admission.is_suspect(now, item)
        max_slowness = 1.0
        if queue is not None and self._selector.has_avoided_servers:
            max_slowness = self._max_slowness(now, item, queue)
        while state := self._selector.select(now, item, is_suspect, max_slowness):
            if self._start_on(now, item, state, is_suspect=is_suspect):
                return True
        return False

    def start_hedges(self, now: float) -> None:
        """Start the hedges that are due, as far as the budget and the slots allow."""
        for attempt, statistics in self._hedges.due(now):
            if not self._start_hedge(now, attempt.item):
                self._hedges.reschedule(now, attempt, statistics)

    def _start_hedge(self, now: float, item: ItemState) -> bool:
        is_suspect = self._admission.is_suspect(now, item)
        if is_suspect or self._hedges.is_exhausted or not self._has_capacity(now, item):
            return False
        state = self._selector.select_for_hedge(now, item)
        if state is None or not self._start_on(now, item, state, is_hedge=True):
            return False
        self._hedges.spend_budget()
        return True

    def _max_slowness(self, now: float, item: ItemState, queue: WaitQueue) -> float:
        """Return up to which slowness a slow server is preferable to waiting for another one."""
        capacity = self._admission.capacity(now)
        wait_s = self._admission.queue_wait_s(capacity, queue, item.is_long)
        return (
            1
            + _SLOW_SERVER_WAIT_FACTOR
            * wait_s
            / self._statistics.for_item(item).median_first_byte_s
        )

    def _has_capacity(self, now: float, item: ItemState) -> bool:
        if self._servers.in_progress >= self._admission.place_capacity:
            return False
        if not item.is_long or not self._admission.queue_policy.is_limiting_long:
            return True
        capacity = self._admission.capacity(now)
        return capacity.long_in_progress < capacity.long_limit

    def _start_on(
        self,
        now: float,
        item: ItemState,
        state: ServerState,
        is_hedge: bool = False,
        is_suspect: bool = False,
    ) -> bool:
        token = self._attempts.acquire_token(now, item, state)
        if token is None:
            state.record_token_failure(now, item.work.deadline, _TOKEN_PAUSE_S)
            return False
        attempt, action = self._attempts.start(now, item, state, token, is_hedge, is_suspect)
        self._actions.append(action)
        if not is_hedge:
            self._hedges.schedule(now, attempt, self._statistics.for_item(item))
        return True
