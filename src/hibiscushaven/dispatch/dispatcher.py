"""Decisions of the owner of a shard: queues, attempts, retries, hedges and refusals."""

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
from .admission import Admission
from .attempts import AttemptBook
from .config import DispatchConfig
from .health import HealthBook
from .hedging import HedgePlanner
from .items import Attempt, Item
from .lanes import Lane
from .placement import Placement
from .ports import SlotSource
from .prediction import Capacity
from .results import ResultObserver
from .retries import RetryPolicy
from .servers import LoadReport, ServerBook
from .sizes import SizeBook
from .snapshot import Snapshot
from .starter import Starter
from .statistics import StatisticsBook
from .work import AttemptResult, ResultKind, Work

__all__ = ["DispatchError", "Dispatcher", "DuplicateWorkError"]

# Latest time until the next tick while work is in progress; bounds how late slowness is seen.
_TICK_S = 0.02
_DEADLINE_SLACK = 1024


class DispatchError(Exception):
    """Base of the errors of dispatching."""


class DuplicateWorkError(DispatchError):
    """A work id was submitted while the same id is being worked on."""


class Dispatcher:
    """Decides which backend server runs which request, and when.

    Explanation
    ===========

    Every method that takes an event returns the actions to carry out, in order. The driver
    calls :meth:`attempt_started` after it has a connection and just before it writes the
    request; if the returned actions cancel that attempt, it must not write. It reports the
    end of each attempt once, a cancelled one included, and calls :meth:`tick` by
    :meth:`next_due`. Each work item gets exactly one :class:`Refuse` or :class:`Finish`.

    See Also
    ========

    hibiscushaven.dispatch.ports.SlotSource

    :param config: policies and parameters.
    :param slots: tokens that this VM may use.
    :param rng: source of random numbers.
    """

    def __init__(self, config: DispatchConfig, slots: SlotSource, rng: random.Random) -> None:
        self._document: ServiceDocument | None = None
        self._servers = ServerBook(slots, config.ramp_s)
        self._crashes = CrashLedger()
        self._statistics = StatisticsBook()
        self._sizes = SizeBook()
        self._attempts = AttemptBook(slots, rng)
        self._health = HealthBook(self._servers, config.is_setting_aside)
        self._hedges = HedgePlanner(config.is_hedging)
        self._retries = RetryPolicy(config)
        self._admission = Admission(
            config,
            self._servers,
            self._attempts,
            self._crashes,
            self._statistics,
            rng,
            self._refuse,
        )
        self._placement = Placement(
            config,
            self._servers,
            self._health,
            self._admission.limits,
            self._admission.queues.is_limiting_long,
            rng,
        )
        self._actions: list[Action] = []
        self._starter = Starter(
            self._servers,
            self._attempts,
            self._admission,
            self._placement,
            self._hedges,
            self._statistics,
            self._actions,
        )
        self._observer = ResultObserver(
            self._attempts, self._crashes, self._health, self._sizes, self._statistics
        )
        self._items: dict[str, Item] = {}
        self._deadlines: list[tuple[float, int, Item]] = []
        self._count = 0
        self._foreign = 0
        self._foreign_limit: int | None = None

    @property
    def crashes(self) -> CrashLedger:
        """The crash ledger, for digests."""
        return self._crashes

    def set_document(
        self,
        now: float,
        document: ServiceDocument,
        servers: tuple[Server, ...],
        place_capacity: int | None = None,
    ) -> list[Action]:
        """Put a document in force.

        :param servers: the backend servers of this shard; others get no new work.
        :param place_capacity: most requests in progress in the shard; by default the capacity
            of the place of the first backend server.
        """
        self._document = document
        places = document.places_by_name
        servers = tuple(
            replace(server, state=AdminState.LEAVING) if places[server.place].is_leaving else server
            for server in servers
        )
        self._servers.replace(now, document.name, servers)
        self._statistics.keep_only({item.name for item in document.classes})
        self._health.forget_removed()
        self._admission.limits.set_document(document)
        if place_capacity is None:
            place = places[servers[0].place] if servers else None
            place_capacity = place.capacity if place else 0
        self._admission.place_capacity = place_capacity
        self._admission.sweep(now, is_forced=True)
        return self._settle(now)

    def set_foreign_limit(self, now: float, limit: int | None) -> list[Action]:
        """Limit the work items of other failure domains; ``None`` is no limit."""
        self._foreign_limit = limit
        return self._settle(now)

    def submit(self, now: float, work: Work) -> list[Action]:
        """Take a work item: start, queue or refuse it.

        :raises DuplicateWorkError: when the id is already worked on.
        """
        if work.id in self._items:
            raise DuplicateWorkError(f"work {work.id!r} was submitted twice")
        size = self._sizes.predict(work)
        item = Item(work, size, self._statistics.of(work.request_class, size).mean_s, now)
        self._items[work.id] = item
        self._foreign += work.is_foreign
        reason = self._early_refusal(now, work)
        if reason is not None:
            self._refuse(item, reason, item.cost_s)
            return self._settle(now)
        self._push_deadline(item)
        self._note_arrival(now, item)
        self._admission.admit(now, item)
        self._dispatch(now)
        self._admission.confirm(now, item)
        return self._settle(now)

    def attempt_started(self, now: float, attempt_id: str) -> list[Action]:
        """Check an attempt just before its request is written."""
        self._expire(now)
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            self._actions.append(CancelAttempt(attempt_id, CancelReason.UNKNOWN_ATTEMPT))
        elif attempt.cancel_reason is not None:
            self._actions.append(CancelAttempt(attempt_id, attempt.cancel_reason))
        elif not self._attempts.is_usable(now, attempt):
            self._cancel(attempt, CancelReason.TOKEN_LOST)
        else:
            attempt.sent_at = now
        return self._settle(now)

    def attempt_head(self, now: float, attempt_id: str, is_resumable: bool = False) -> list[Action]:
        """Note the first byte of an answer.

        :param is_resumable: whether a broken body can be continued by another attempt; if not,
            the work item is finished now.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.is_cancelled or attempt.head_at is not None:
            return self._settle(now)
        attempt.head_at = now
        self._observer.note_head(now, attempt)
        item = attempt.item
        if not item.is_final and is_resumable:
            item.head_attempt = attempt_id
            self._cancel_others(item, attempt)
        elif not item.is_final:
            self._finish(item, attempt)
        return self._settle(now)

    def attempt_ended(self, now: float, attempt_id: str, result: AttemptResult) -> list[Action]:
        """Note the end of an attempt and decide what follows; unknown ids are ignored."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return self._settle(now)
        if self._observer.note_end(now, attempt, result):
            self._admission.sweep(now, is_forced=True)
        self._attempts.end(now, attempt, result.is_stopped)
        item = attempt.item
        if not item.is_final:
            self._after_attempt(now, attempt, result.kind)
        elif not item.attempts:
            self._items.pop(item.work.id, None)
        return self._settle(now)

    def cancel(self, now: float, work_id: str) -> list[Action]:
        """Drop a work item whose caller is gone."""
        item = self._items.get(work_id)
        if item is None:
            return self._settle(now)
        for attempt in item.attempts.values():
            self._cancel(attempt, CancelReason.CALLER_GONE)
        if not item.is_final:
            self._refuse(item, RefusalReason.CALLER_GONE, 0.0)
        return self._settle(now)

    def load_report(self, now: float, server: str, in_progress: int, age_s: float) -> list[Action]:
        """Note a backend server's own report; unknown backend servers are ignored."""
        state = self._servers.get(server)
        if state is not None:
            state.report = LoadReport(in_progress, now - age_s)
        return self._settle(now)

    def tick(self, now: float) -> list[Action]:
        """Do what the passing of time brings."""
        return self._settle(now)

    def next_due(self, now: float) -> float:
        """Return the latest time for the next :meth:`tick`; infinite when idle."""
        at = min(self._attempts.next_release_at, self._hedges.next_at)
        if self._deadlines:
            at = min(at, self._deadlines[0][0])
        if self._attempts or self._admission.queues or self._admission.parked:
            at = min(at, now + _TICK_S)
        return max(now, at)

    def snapshot(self, now: float) -> Snapshot:
        """Return the state for metrics and digests."""
        capacity = self._admission.capacity(now)
        queued = Counter(item.size for item in self._admission.waiting())
        return Snapshot(
            queued={size: queued[size] for size in RequestSize},
            in_progress={state.name: state.in_progress for state in self._servers},
            free_slots=capacity.free,
            predicted_wait_s={size: self._wait_s(capacity, size) for size in RequestSize},
            set_aside=tuple(state.name for state in self._servers if state.is_set_aside),
            quarantined=len(self._crashes.export(now)),
        )

    def _wait_s(self, capacity: Capacity, size: RequestSize) -> float:
        lanes = self._admission.queues.lanes
        lane = lanes[-1] if size is RequestSize.LONG else lanes[0]
        return self._admission.lane_wait_s(capacity, lane, size is RequestSize.LONG)

    def _early_refusal(self, now: float, work: Work) -> RefusalReason | None:
        if self._document is None or work.service != self._document.name:
            return RefusalReason.NO_SERVER
        if work.deadline <= now:
            return RefusalReason.EXPIRED
        limit = self._foreign_limit
        if work.is_foreign and limit is not None and self._foreign > limit:
            return RefusalReason.FOREIGN_LIMIT
        return None

    def _note_arrival(self, now: float, item: Item) -> None:
        document = self._document
        self._retries.earn(item.work.tenant, document.retry_budget)
        if item.is_long:
            return
        self._admission.limits.note_short(now, item.cost_s)
        self._health.earn_probe()
        if item.work.is_idempotent:
            self._hedges.earn(document.hedge_budget)

    def _settle(self, now: float) -> list[Action]:
        """Do what has become due or possible, and hand out the collected actions."""
        self._attempts.release_held(now)
        self._servers.purge()
        self._expire(now)
        self._observer.judge(now)
        self._admission.sweep(now)
        self._dispatch(now)
        self._starter.hedge(now)
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def _dispatch(self, now: float) -> None:
        for item in self._admission.parked:
            self._dispatch_parked(now, item)
        for lane in self._admission.queues.lanes:
            while len(lane) and self._dispatch_head(now, lane):
                pass

    def _dispatch_parked(self, now: float, item: Item) -> None:
        if not self._placement.has_server(item):
            reason = RefusalReason.ATTEMPT_FAILED if item.is_retry else RefusalReason.NO_SERVER
            self._refuse(item, reason, item.cost_s)
        elif self._admission.is_quarantined(now, item):
            self._admission.refuse_quarantined(now, item)
        elif self._admission.is_blocked_suspect(now, item):
            return
        elif self._starter.start(now, item, None):
            self._admission.unpark(item)

    def _dispatch_head(self, now: float, lane: Lane) -> bool:
        """Start, park or refuse the head of a lane; return whether to go on with the next."""
        item = lane.head()
        if self._admission.is_too_late(now, item):
            self._refuse(item, RefusalReason.QUEUE_TOO_LONG, item.cost_s)
            return True
        if self._admission.is_quarantined(now, item):
            self._admission.refuse_quarantined(now, item)
            return True
        if self._admission.is_suspect(now, item):
            lane.discard(item)
            self._admission.park(item)
            self._dispatch_parked(now, item)
            return True
        if not self._starter.start(now, item, lane):
            return False
        lane.take(item)
        return True

    def _after_attempt(self, now: float, attempt: Attempt, kind: ResultKind) -> None:
        item = attempt.item
        if kind is ResultKind.SUCCESS and not attempt.is_cancelled:
            self._finish(item, attempt)
            return
        if item.head_attempt == attempt.id:
            item.head_attempt = None
        is_unwritten = kind is ResultKind.CANCELLED and attempt.sent_at is None
        if not kind.is_not_run and not is_unwritten:
            item.maybe_ran = True
        if item.attempts:
            return
        if attempt.is_cancelled and (is_unwritten or kind.is_not_run):
            # Only a lost token cancels the last attempt of an unfinished item.
            item.tried.discard(attempt.server.name)
            item.attempts_made -= not attempt.is_hedge
            self._admission.park(item)
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
        self._admission.park(item)

    def _expire(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            item = heappop(self._deadlines)[2]
            for attempt in item.attempts.values():
                self._cancel(attempt, CancelReason.DEADLINE)
            if not item.is_final:
                self._refuse(item, RefusalReason.EXPIRED, item.cost_s)

    def _push_deadline(self, item: Item) -> None:
        self._count += 1
        heappush(self._deadlines, (item.work.deadline, self._count, item))
        if len(self._deadlines) > 2 * len(self._items) + _DEADLINE_SLACK:
            # Finished items stay until their deadlines, which may be many minutes away.
            self._deadlines = [
                entry for entry in self._deadlines if entry[2].attempts or not entry[2].is_final
            ]
            heapify(self._deadlines)

    def _finish(self, item: Item, attempt: Attempt) -> None:
        self._conclude(item)
        self._cancel_others(item, attempt)
        self._actions.append(Finish(item.work.id, attempt.id))

    def _refuse(self, item: Item, reason: RefusalReason, wait_s: float) -> None:
        self._admission.remove(item)
        may_run = item.maybe_ran or any(
            attempt.sent_at is not None for attempt in item.attempts.values()
        )
        outcome = Outcome.UNKNOWN if may_run else Outcome.NOT_RUN
        self._conclude(item)
        retry_after_s = self._admission.waits.retry_after_s(wait_s)
        self._actions.append(Refuse(item.work.id, outcome, reason, retry_after_s))

    def _conclude(self, item: Item) -> None:
        item.is_final = True
        self._foreign -= item.work.is_foreign
        if not item.attempts:
            del self._items[item.work.id]

    def _cancel_others(self, item: Item, winner: Attempt) -> None:
        for attempt in item.attempts.values():
            if attempt is not winner:
                self._cancel(attempt, CancelReason.LOST_HEDGE)

    def _cancel(self, attempt: Attempt, reason: CancelReason) -> None:
        if not attempt.is_cancelled:
            attempt.cancel_reason = reason
            self._actions.append(CancelAttempt(attempt.id, reason))
