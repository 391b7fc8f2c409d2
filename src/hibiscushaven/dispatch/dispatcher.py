"""Dispatcher of a shard: decides on queueing, attempts, retries, hedges and refusals."""

import random
from collections import Counter
from dataclasses import replace
from heapq import heapify, heappop, heappush

from hibiscushaven.documents import AdminState, RequestSize, Server, ServiceDocument
from hibiscushaven.quarantine import CrashLedger

from .actions import (
    Action,
    CancelAttempt,
    CancelReason,
    Finish,
    Outcome,
    RefusalReason,
    Refuse,
)
from .admission import AdmissionController
from .attempts import AttemptTracker
from .config import DispatchConfig
from .hedging import HedgePlanner
from .items import Attempt, ItemState
from .outliers import OutlierDetector
from .ports import SlotSource
from .prediction import Capacity
from .results import ResultObserver
from .retries import RetryPolicy
from .selection import ServerSelector
from .servers import LoadReport, ServerPool
from .sizes import SizePredictor
from .snapshot import Snapshot
from .starter import AttemptStarter
from .statistics import StatisticsRegistry
from .wait_queues import WaitQueue
from .work import AttemptResult, ResultKind, WorkItem

__all__ = ["DispatchError", "Dispatcher", "DuplicateWorkError"]

# Interval of ticks while there is work; bounds the delay until a slow server is detected.
_TICK_INTERVAL_S = 0.02
# Entries of finished items that the deadline heap may hold before it is rebuilt.
_DEADLINE_SLACK = 1024


class DispatchError(Exception):
    """Base class of the errors of dispatchers."""


class DuplicateWorkError(DispatchError):
    """A work item was submitted while another one with the same id is active."""


class Dispatcher:
    """Decides which backend server runs which request, and when.

    Explanation
    ===========

    The dispatcher does no I/O. A driver passes events to it, and every event method returns
    the actions to carry out, in order. The driver calls :meth:`attempt_connected` when it has
    a connection, just before it writes the request; if the returned actions cancel that
    attempt, it must not write. It reports the end of each attempt exactly once, including
    cancelled attempts, and calls :meth:`tick` no later than :meth:`next_due`. Each work item
    gets exactly one :class:`Refuse` or :class:`Finish`.

    See Also
    ========

    hibiscushaven.dispatch.ports.SlotSource

    :param config: policies and parameters.
    :param slots: source of the slot tokens that this VM may use.
    :param rng: source of random numbers.
    """

    def __init__(self, config: DispatchConfig, slots: SlotSource, rng: random.Random) -> None:
        self._document: ServiceDocument | None = None
        self._servers = ServerPool(slots, config.ramp_s)
        self._crashes = CrashLedger()
        self._statistics = StatisticsRegistry()
        self._sizes = SizePredictor()
        self._attempts = AttemptTracker(slots, rng)
        self._outliers = OutlierDetector(self._servers, config.is_ejecting_outliers)
        self._hedges = HedgePlanner(config.is_hedging)
        self._retries = RetryPolicy(config)
        self._admission = AdmissionController(
            config,
            self._servers,
            self._attempts,
            self._crashes,
            self._statistics,
            rng,
            self._refuse,
        )
        self._selector = ServerSelector(
            config,
            self._servers,
            self._outliers,
            self._admission.long_work_limits,
            self._admission.queue_policy.is_limiting_long,
            rng,
        )
        self._actions: list[Action] = []
        self._starter = AttemptStarter(
            self._servers,
            self._attempts,
            self._admission,
            self._selector,
            self._hedges,
            self._statistics,
            self._actions,
        )
        self._observer = ResultObserver(
            self._attempts, self._crashes, self._outliers, self._sizes, self._statistics
        )
        self._items: dict[str, ItemState] = {}
        self._deadlines: list[tuple[float, int, ItemState]] = []
        self._count = 0
        self._foreign_count = 0
        self._foreign_limit: int | None = None

    @property
    def crashes(self) -> CrashLedger:
        """The crash ledger, whose quarantines are exchanged between failure domains."""
        return self._crashes

    def set_document(
        self,
        now: float,
        document: ServiceDocument,
        servers: tuple[Server, ...],
        place_capacity: int | None = None,
    ) -> list[Action]:
        """Apply a service document.

        :param servers: the backend servers of this shard; others get no new work.
        :param place_capacity: maximum of requests in progress in the shard; by default the capacity
            of the place of the first backend server.
        """
        self._document = document
        places = document.places_by_name
        servers = tuple(
            replace(server, state=AdminState.LEAVING) if places[server.place].is_leaving else server
            for server in servers
        )
        self._servers.replace(now, document.name, servers)
        self._statistics.retain_only({item.name for item in document.classes})
        self._outliers.drop_removed_servers()
        self._admission.long_work_limits.set_document(document)
        if place_capacity is None:
            place = places[servers[0].place] if servers else None
            place_capacity = place.capacity if place else 0
        self._admission.place_capacity = place_capacity
        self._admission.sweep(now, is_forced=True)
        return self._advance(now)

    def set_foreign_limit(self, now: float, limit: int | None) -> list[Action]:
        """Limit the work items relayed by other failure domains; ``None`` removes the limit."""
        self._foreign_limit = limit
        return self._advance(now)

    def submit(self, now: float, work: WorkItem) -> list[Action]:
        """Accept a work item: start, queue or refuse it.

        :raises DuplicateWorkError: when a work item with this id is active.
        """
        if work.id in self._items:
            raise DuplicateWorkError(f"work {work.id!r} was submitted twice")
        size = self._sizes.predict(work)
        item = ItemState(
            work, size, self._statistics.for_class(work.request_class, size).mean_slot_time_s, now
        )
        self._items[work.id] = item
        self._foreign_count += work.is_foreign
        reason = self._early_refusal(now, work)
        if reason is not None:
            self._refuse(item, reason, item.cost_s)
            return self._advance(now)
        self._add_deadline(item)
        self._record_arrival(now, item)
        self._admission.admit(now, item)
        self._dispatch(now)
        self._admission.refuse_if_late(now, item)
        return self._advance(now)

    def attempt_connected(self, now: float, attempt_id: str) -> list[Action]:
        """Confirm or cancel an attempt whose connection is ready, before its request is written."""
        self._expire_items(now)
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            self._actions.append(CancelAttempt(attempt_id, CancelReason.UNKNOWN_ATTEMPT))
        elif attempt.cancel_reason is not None:
            self._actions.append(CancelAttempt(attempt_id, attempt.cancel_reason))
        elif not self._attempts.has_usable_token(now, attempt):
            self._cancel(attempt, CancelReason.TOKEN_LOST)
        else:
            attempt.sent_at = now
        return self._advance(now)

    def attempt_response_started(
        self, now: float, attempt_id: str, is_resumable: bool = False
    ) -> list[Action]:
        """Handle the first byte of a response.

        :param is_resumable: whether another attempt may replace this one if its body is
            truncated; if not, the work item is finished now.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.is_cancelled or attempt.first_byte_at is not None:
            return self._advance(now)
        attempt.first_byte_at = now
        self._observer.record_first_byte(now, attempt)
        item = attempt.item
        if not item.is_final and is_resumable:
            item.streaming_attempt = attempt_id
            self._cancel_others(item, attempt)
        elif not item.is_final:
            self._finish(item, attempt)
        return self._advance(now)

    def attempt_ended(self, now: float, attempt_id: str, result: AttemptResult) -> list[Action]:
        """Handle the end of an attempt: finish, retry or refuse its work item.

        Unknown attempt ids are ignored.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return self._advance(now)
        if self._observer.record_end(now, attempt, result):
            self._admission.sweep(now, is_forced=True)
        self._attempts.end(now, attempt, result.is_stopped)
        item = attempt.item
        if not item.is_final:
            self._retry_or_finish(now, attempt, result.kind)
        elif not item.attempts:
            self._items.pop(item.work.id, None)
        return self._advance(now)

    def cancel(self, now: float, work_id: str) -> list[Action]:
        """Cancel a work item whose caller has disconnected."""
        item = self._items.get(work_id)
        if item is None:
            return self._advance(now)
        for attempt in item.attempts.values():
            self._cancel(attempt, CancelReason.CALLER_GONE)
        if not item.is_final:
            self._refuse(item, RefusalReason.CALLER_GONE, 0.0)
        return self._advance(now)

    def load_report(self, now: float, server: str, in_progress: int, age_s: float) -> list[Action]:
        """Store the load reported by a backend server; unknown backend servers are ignored."""
        state = self._servers.get(server)
        if state is not None:
            state.report = LoadReport(in_progress, now - age_s)
        return self._advance(now)

    def tick(self, now: float) -> list[Action]:
        """Handle expired timers."""
        return self._advance(now)

    def next_due(self, now: float) -> float:
        """Return the time by which to call :meth:`tick` next; infinite when idle."""
        due_at = min(self._attempts.next_release_at, self._hedges.next_at)
        if self._deadlines:
            due_at = min(due_at, self._deadlines[0][0])
        if self._attempts or self._admission.queue_policy or self._admission.deferred:
            due_at = min(due_at, now + _TICK_INTERVAL_S)
        return max(now, due_at)

    def snapshot(self, now: float) -> Snapshot:
        """Return the current state for metrics and for digests sent to other VMs."""
        capacity = self._admission.capacity(now)
        queued = Counter(item.size for item in self._admission.waiting())
        return Snapshot(
            queued={size: queued[size] for size in RequestSize},
            in_progress={state.name: state.in_progress for state in self._servers},
            free_slots=capacity.free,
            predicted_wait_s={size: self._queue_wait_s(capacity, size) for size in RequestSize},
            ejected_servers=tuple(state.name for state in self._servers if state.is_ejected),
            quarantined=len(self._crashes.export(now)),
        )

    def _queue_wait_s(self, capacity: Capacity, size: RequestSize) -> float:
        queues = self._admission.queue_policy.queues
        queue = queues[-1] if size is RequestSize.LONG else queues[0]
        return self._admission.queue_wait_s(capacity, queue, size is RequestSize.LONG)

    def _early_refusal(self, now: float, work: WorkItem) -> RefusalReason | None:
        if self._document is None or work.service != self._document.name:
            return RefusalReason.NO_SERVER
        if work.deadline <= now:
            return RefusalReason.EXPIRED
        limit = self._foreign_limit
        if work.is_foreign and limit is not None and self._foreign_count > limit:
            return RefusalReason.FOREIGN_LIMIT
        return None

    def _record_arrival(self, now: float, item: ItemState) -> None:
        document = self._document
        self._retries.deposit(item.work.tenant, document.retry_budget)
        if item.is_long:
            return
        self._admission.long_work_limits.record_short(now, item.cost_s)
        self._outliers.deposit_probe_share()
        if item.work.is_idempotent:
            self._hedges.deposit(document.hedge_budget)

    def _advance(self, now: float) -> list[Action]:
        """Handle expired timers, start what can start, and return the pending actions."""
        self._attempts.release_expired(now)
        self._servers.purge()
        self._expire_items(now)
        self._observer.evaluate(now)
        self._admission.sweep(now)
        self._dispatch(now)
        self._starter.start_hedges(now)
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def _dispatch(self, now: float) -> None:
        for item in self._admission.deferred:
            self._dispatch_deferred(now, item)
        for queue in self._admission.queue_policy.queues:
            while len(queue) and self._dispatch_head(now, queue):
                pass

    def _dispatch_deferred(self, now: float, item: ItemState) -> None:
        if not self._selector.has_untried_server(item):
            reason = RefusalReason.ATTEMPT_FAILED if item.is_retry else RefusalReason.NO_SERVER
            self._refuse(item, reason, item.cost_s)
        elif self._admission.is_quarantined(now, item):
            self._admission.refuse_quarantined(now, item)
        elif self._admission.is_blocked_suspect(now, item):
            return
        elif self._starter.start(now, item, None):
            self._admission.remove_deferred(item)

    def _dispatch_head(self, now: float, queue: WaitQueue) -> bool:
        """Start, defer or refuse the head of a queue; return whether it was removed."""
        item = queue.head()
        if self._admission.is_too_late(now, item):
            self._refuse(item, RefusalReason.QUEUE_TOO_LONG, item.cost_s)
            return True
        if self._admission.is_quarantined(now, item):
            self._admission.refuse_quarantined(now, item)
            return True
        if self._admission.is_suspect(now, item):
            queue.discard(item)
            self._admission.defer(item)
            self._dispatch_deferred(now, item)
            return True
        if not self._starter.start(now, item, queue):
            return False
        queue.remove_served(item)
        return True

    def _retry_or_finish(self, now: float, attempt: Attempt, kind: ResultKind) -> None:
        item = attempt.item
        if kind is ResultKind.SUCCESS and not attempt.is_cancelled:
            self._finish(item, attempt)
            return
        if item.streaming_attempt == attempt.id:
            item.streaming_attempt = None
        is_unwritten = kind is ResultKind.CANCELLED and attempt.sent_at is None
        if not kind.is_not_run and not is_unwritten:
            item.may_have_run = True
        if item.attempts:
            return
        if attempt.is_cancelled and (is_unwritten or kind.is_not_run):
            # The work item has no final action, so the attempt was cancelled because its token was
            # lost. It does not count as an attempt.
            item.tried_servers.discard(attempt.server.name)
            item.attempts_made -= not attempt.is_hedge
            self._admission.defer(item)
            return
        reason = self._retries.refusal(item)
        if reason is None and self._admission.is_too_late(now, item):
            reason = RefusalReason.EXPIRED
        if reason is not None:
            self._refuse(item, reason, item.cost_s)
            return
        if self._admission.is_quarantined(now, item):
            self._admission.refuse_quarantined(now, item)
            return
        self._admission.defer(item)

    def _expire_items(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            item = heappop(self._deadlines)[2]
            for attempt in item.attempts.values():
                self._cancel(attempt, CancelReason.DEADLINE)
            if not item.is_final:
                self._refuse(item, RefusalReason.EXPIRED, item.cost_s)

    def _add_deadline(self, item: ItemState) -> None:
        self._count += 1
        heappush(self._deadlines, (item.work.deadline, self._count, item))
        if len(self._deadlines) > 2 * len(self._items) + _DEADLINE_SLACK:
            # Finished items would otherwise remain until their deadlines, possibly many minutes.
            self._deadlines = [
                entry for entry in self._deadlines if entry[2].attempts or not entry[2].is_final
            ]
            heapify(self._deadlines)

    def _finish(self, item: ItemState, attempt: Attempt) -> None:
        self._finalize(item)
        self._cancel_others(item, attempt)
        self._actions.append(Finish(item.work.id, attempt.id))

    def _refuse(self, item: ItemState, reason: RefusalReason, wait_s: float) -> None:
        self._admission.remove(item)
        may_have_run = item.may_have_run or any(
            attempt.sent_at is not None for attempt in item.attempts.values()
        )
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        self._finalize(item)
        retry_after_s = self._admission.wait_model.retry_after_s(wait_s)
        self._actions.append(Refuse(item.work.id, outcome, reason, retry_after_s))

    def _finalize(self, item: ItemState) -> None:
        item.is_final = True
        self._foreign_count -= item.work.is_foreign
        if not item.attempts:
            del self._items[item.work.id]

    def _cancel_others(self, item: ItemState, winner: Attempt) -> None:
        for attempt in item.attempts.values():
            if attempt is not winner:
                self._cancel(attempt, CancelReason.LOST_HEDGE)

    def _cancel(self, attempt: Attempt, reason: CancelReason) -> None:
        if not attempt.is_cancelled:
            attempt.cancel_reason = reason
            self._actions.append(CancelAttempt(attempt.id, reason))
