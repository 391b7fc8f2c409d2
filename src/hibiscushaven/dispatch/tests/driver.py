"""A dispatcher driven step by step, for tests of single rules."""

import random
from dataclasses import replace

from hibiscushaven.bench.queueing import LocalSlots
from hibiscushaven.bench.shards import LOOKUP, make_document
from hibiscushaven.dispatch import (
    AttemptResult,
    CancelAttempt,
    DispatchConfig,
    Dispatcher,
    Finish,
    Refuse,
    ResultKind,
    StartAttempt,
    WorkItem,
)


class Driver:
    """Passes events to a dispatcher and collects its actions; the test advances the clock."""

    def __init__(self, servers=3, slots=2, config=None, document=None):
        self.now = 100.0
        self.document = document or make_document(servers, slots)
        totals = {server.name: server.slots for server in self.document.servers}
        self.slots = LocalSlots(totals)
        self.dispatcher = Dispatcher(config or DispatchConfig(), self.slots, random.Random(5))
        self.actions = []
        self._count = 0
        self.call("set_document", self.document, self.document.servers)

    def call(self, event, *args, **options):
        """Call an event method of the dispatcher and return its actions."""
        actions = getattr(self.dispatcher, event)(self.now, *args, **options)
        self.actions += actions
        return actions

    def work(self, request_class=LOOKUP, deadline_s=None, **values):
        self._count += 1
        seconds = request_class.deadline_ms / 1000 if deadline_s is None else deadline_s
        defaults = {
            "id": f"w{self._count}",
            "service": self.document.name,
            "tenant": "tenant",
            "caller": "caller",
            "caller_share": 1.0,
            "fingerprint": f"f{self._count}",
        }
        return WorkItem(
            request_class=request_class, deadline=self.now + seconds, **(defaults | values)
        )

    def submit(self, request_class=LOOKUP, **values):
        """Submit a work item and return its first action, or ``None`` if it waits."""
        return self.submit_work(self.work(request_class, **values))

    def submit_work(self, work):
        actions = self.call("submit", work)
        return next((action for action in actions if action.work_id == work.id), None)

    def send(self, start):
        return self.call("attempt_connected", start.attempt_id)

    def end(self, start, kind=ResultKind.SUCCESS, after_s=0.0, **options):
        self.now += after_s
        return self.call("attempt_ended", start.attempt_id, AttemptResult(kind, **options))

    def run(self, start, seconds):
        """Run an attempt until it succeeds."""
        self.send(start)
        return self.end(start, after_s=seconds)

    def warm_up(self, count=40, seconds=0.02, request_class=LOOKUP):
        """Run requests one after another, so that the dispatcher learns their service time."""
        for _ in range(count):
            self.run(self.submit(request_class), seconds)

    def advance_clock(self, seconds, step=0.02):
        actions = []
        for _ in range(round(seconds / step)):
            self.now += step
            actions += self.call("tick")
        return actions


def starts(actions):
    return [action for action in actions if isinstance(action, StartAttempt)]


def refusals(actions):
    return [action for action in actions if isinstance(action, Refuse)]


def cancels(actions):
    return [action.attempt_id for action in actions if isinstance(action, CancelAttempt)]


def finishes(actions):
    return [action for action in actions if isinstance(action, Finish)]


def with_priority(request_class, priority):
    return replace(request_class, name=f"{request_class.name}{priority}", priority=priority)
