"""Tests of attempts that are cancelled before they begin."""

import asyncio

from hibiscushaven.bench.shards import LOOKUP
from hibiscushaven.dispatch import CancelAttempt, StartAttempt, WorkItem
from hibiscushaven.dispatch.actions import CancelReason
from hibiscushaven.documents import AdminState, Server
from hibiscushaven.entry.jobs import Job
from hibiscushaven.entry.shard_runner import ShardRunner
from hibiscushaven.ini.fields import Endpoint


class _Clock:
    def now(self) -> float:
        return 0.0

    def unix(self) -> float:
        return 0.0


class _Dispatcher:
    """Starts an attempt and cancels it in the same step, as if another attempt had finished."""

    def __init__(self) -> None:
        self.ended = []

    def set_document(self, now, document, servers):
        return []

    def submit(self, now, work):
        start = StartAttempt("a1", work.id, "s0", object(), True, False)
        return [start, CancelAttempt("a1", next(iter(CancelReason)))]

    def attempt_ended(self, now, attempt_id, result):
        self.ended.append((attempt_id, result.kind.name, result.is_stopped))
        return []

    def cancel(self, now, work_id):
        return []

    def next_due(self, now):
        return float("inf")


def test_attempt_cancelled_before_its_first_step_releases_its_slot():
    """Guards against hedged attempts that never release their slot.

    A task that is cancelled before its first step never enters its coroutine.
    """

    async def run() -> list:
        dispatcher = _Dispatcher()
        runner = ShardRunner(dispatcher, None, lambda now, token: 1.0, _Clock())
        server = Server("s0", "p", Endpoint("127.0.0.1", 1), 1, 1, AdminState.ACTIVE)
        runner.set_document(None, (server,))
        work = WorkItem("w1", "stock", "t", "c", 1.0, LOOKUP, 1.0, "f")
        task = asyncio.create_task(runner.run(Job(work, "GET", "/", (), b"")))
        while not dispatcher.ended:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert runner.is_idle
        return dispatcher.ended

    assert asyncio.run(asyncio.wait_for(run(), 5)) == [("a1", "CANCELLED", True)]
