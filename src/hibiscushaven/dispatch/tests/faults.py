"""Simulation of a shard under mixed faults, with checks of the actions of its dispatcher."""

import random
from collections import Counter, defaultdict
from dataclasses import replace

from hibiscushaven.bench.queueing import (
    EventLoop,
    FakeServer,
    FakeShard,
    LocalSlots,
    Observer,
    SimulatedAttempt,
)
from hibiscushaven.bench.shards import LOOKUP, MANIFEST, ORDER, make_document
from hibiscushaven.dispatch import (
    AttemptResult,
    DispatchConfig,
    Dispatcher,
    Finish,
    Outcome,
    Refuse,
    ResultKind,
    StartAttempt,
    WorkItem,
)

# Deadlines are short enough that all work ends within the few virtual seconds of a run.
CLASSES = tuple(
    replace(item, deadline_ms=ms) for item, ms in ((LOOKUP, 400), (ORDER, 800), (MANIFEST, 3000))
)
MEANS_S = {"lookup": 0.02, "order": 0.03, "manifest": 0.4}
WORK_COUNT = 75
ARRIVAL_PERIOD_S = 1.0
END_S = 8.0


class Checker(Observer):
    """Checks the rules of dispatch; ``problems`` lists the violations."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.final_actions: Counter[str] = Counter()
        self.submitted: dict[str, WorkItem] = {}
        self.kinds: Counter[ResultKind] = Counter()
        self.hedges = 0
        self.hedgeable = 0
        self._sent_attempts: dict[str, set[str]] = defaultdict(set)
        self._may_have_run: set[str] = set()
        self._succeeded: set[str] = set()
        self._failed_on: dict[str, set[str]] = defaultdict(set)

    def on_submit(self, now: float, work: WorkItem) -> None:
        self.submitted[work.id] = work
        self.hedgeable += work.request_class.name == "lookup"

    def on_start(self, now: float, work: WorkItem, start: StartAttempt) -> None:
        self.hedges += start.is_hedge
        self._check(now < work.deadline, f"{work.id} started after its deadline")
        self._check(not self.final_actions[work.id], f"{work.id} started after its last action")
        is_other_server = start.server not in self._failed_on[work.id]
        self._check(is_other_server, f"{work.id} retried on the server that failed it")
        if start.is_hedge:
            self._check(work.is_idempotent, f"{work.id} hedged although not idempotent")
        elif self._failed_on[work.id]:
            self._check(start.use_new_connection, f"{work.id} retried on an old connection")

    def on_sent(self, now: float, work: WorkItem, start: StartAttempt) -> None:
        is_first = not self._sent_attempts[work.id] and work.id not in self._may_have_run
        self._check(work.is_idempotent or is_first, f"{work.id} was sent twice")
        self._sent_attempts[work.id].add(start.attempt_id)

    def on_response_start(self, now: float, work: WorkItem, start: StartAttempt) -> None:
        self._succeeded.add(start.attempt_id)

    def on_end(self, now: float, work: WorkItem, start: StartAttempt, kind: ResultKind) -> None:
        self.kinds[kind] += 1
        is_sent = start.attempt_id in self._sent_attempts[work.id]
        self._sent_attempts[work.id].discard(start.attempt_id)
        if is_sent and not kind.is_not_run:
            self._may_have_run.add(work.id)
        if kind is ResultKind.SUCCESS:
            self._succeeded.add(start.attempt_id)
        elif kind is not ResultKind.CANCELLED:
            self._failed_on[work.id].add(start.server)

    def on_refuse(self, now: float, work: WorkItem, refuse: Refuse) -> None:
        self.final_actions[work.id] += 1
        may_have_run = bool(self._sent_attempts[work.id]) or work.id in self._may_have_run
        is_outcome_correct = refuse.outcome is Outcome.UNKNOWN or not may_have_run
        self._check(is_outcome_correct, f"{work.id} reported as not run after it was sent")
        self._check(refuse.retry_after_s > 0, f"{work.id} refused without a time to retry")

    def on_finish(self, now: float, work: WorkItem, finish: Finish) -> None:
        self.final_actions[work.id] += 1
        has_response = finish.attempt_id in self._succeeded
        self._check(has_response, f"{work.id} finished by an attempt without an answer")

    def check_end(self, shard: FakeShard) -> None:
        """Check the rules for the end of a run, when no work is left."""
        for work_id in self.submitted:
            count = self.final_actions[work_id]
            self._check(count == 1, f"{work_id} got {count} last actions")
        for name, server in shard.servers.items():
            is_within_slots = server.max_running <= server.server.slots
            self._check(is_within_slots, f"{name} ran {server.max_running}")
            self._check(not shard.slots.in_use[name], f"a token of {name} was not returned")
        self._check(self.hedges <= 0.05 * self.hedgeable, f"{self.hedges} hedges")

    def _check(self, is_satisfied: bool, problem: str) -> None:
        if not is_satisfied:
            self.problems.append(problem)


class _LossySlots(LocalSlots):
    """Slots whose tokens sometimes cannot be acquired or are revoked before the request is sent."""

    rng: random.Random

    def acquire(self, now, service, server, deadline):
        if self.rng.random() < 0.02:
            return None
        return super().acquire(now, service, server, deadline)

    def is_usable(self, now, token):
        token.is_revoked = token.is_revoked or self.rng.random() < 0.02
        return not token.is_revoked


class FaultyRun:
    """One run with a seed; most runs contain every kind of fault."""

    def __init__(self, seed: int, config: DispatchConfig) -> None:
        self.rng = random.Random(seed)
        self.loop = EventLoop()
        self.checker = Checker()
        self.document = make_document(self.rng.randint(2, 5), self.rng.randint(1, 3), CLASSES)
        slots = _LossySlots({server.name: server.slots for server in self.document.servers})
        slots.rng = self.rng
        servers = [FakeServer(server) for server in self.document.servers]
        dispatcher = Dispatcher(config, slots, random.Random(seed + 1))
        self.shard = FakeShard(
            self.loop,
            dispatcher,
            slots,
            servers,
            self._simulate_attempt,
            self.checker,
            connect_s=0.001,
        )

    def run(self) -> Checker:
        self.shard.set_document(self.document, self.document.servers)
        names = list(self.shard.servers)
        for number in range(WORK_COUNT):
            self._schedule_work(number)
        for name in self.rng.sample(names, len(names) // 2):
            self._call_at_random_time(
                lambda name=name: setattr(self.shard.servers[name], "slowdown", 10.0)
            )
        for _ in range(2):
            self._call_at_random_time(lambda: self.shard.crash(self.rng.choice(names), 0.3))
        self._call_at_random_time(lambda: self.shard.slots.lent.update({names[0]: 1}))
        leaving = self.document.servers[1:]
        self._call_at_random_time(lambda: self.shard.set_document(self.document, leaving))
        self.shard.report_loads()
        self.loop.run(END_S)
        self.checker.check_end(self.shard)
        return self.checker

    def _call_at_random_time(self, callback) -> None:
        self.loop.call_at(self.rng.uniform(0, ARRIVAL_PERIOD_S), callback)

    def _schedule_work(self, number: int) -> None:
        at = self.rng.uniform(0, ARRIVAL_PERIOD_S)
        request_class = self.rng.choices(CLASSES, (7, 2, 1))[0]
        is_poison = self.rng.random() < 0.02
        work = WorkItem(
            id=f"w{number}",
            service=self.document.name,
            tenant=self.rng.choice(("north", "south")),
            caller=self.rng.choice(("a", "b")),
            caller_share=self.rng.choice((1.0, 3.0)),
            request_class=request_class,
            deadline=at + request_class.deadline_ms / 1000,
            fingerprint="poison" if is_poison else f"f{self.rng.randrange(60)}",
            is_foreign=self.rng.random() < 0.2,
        )
        self.loop.call_at(at, lambda: self.shard.submit(work))
        if self.rng.random() < 0.08:
            self.loop.call_at(at + self.rng.uniform(0, 0.2), lambda: self.shard.cancel(work.id))

    def _simulate_attempt(self, now: float, work: WorkItem, server: FakeServer) -> SimulatedAttempt:
        mean_s = MEANS_S[work.request_class.name] * server.slowdown
        service = mean_s * self.rng.lognormvariate(-0.125, 0.5)
        if work.fingerprint == "poison":
            name = server.server.name
            self.loop.call_at(now + 0.004, lambda: self.shard.crash(name, 0.2))
        kind = self.rng.choices((*ResultKind,), (80, 4, 0, 2, 0, 2, 1, 2, 0))[0]
        if kind in (ResultKind.SUCCESS, ResultKind.TRUNCATED):
            response_start_after_s = service / 2 if self.rng.random() < 0.5 else None
            return SimulatedAttempt(service, AttemptResult(kind), response_start_after_s)
        if kind in (ResultKind.FAILED, ResultKind.TIMED_OUT, ResultKind.WRONG_ID):
            # The backend server continues until the deadline, after the driver has given up.
            slot_free_after_s = min(3 * service, work.deadline - now)
            return SimulatedAttempt(
                service, AttemptResult(kind), slot_free_after_s=slot_free_after_s
            )
        return SimulatedAttempt(0.001, AttemptResult(kind))
