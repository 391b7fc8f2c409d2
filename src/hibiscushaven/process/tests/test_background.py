"""Background tasks that fail."""

import asyncio
import logging

from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.process import keep_running, spawn


def test_loop_runs_again_after_an_error(caplog):
    """Guards against a loop that ends unseen, so that its VM keeps old data for good."""
    runs = []

    async def loop():
        runs.append(len(runs))
        if len(runs) < 3:
            raise OverflowError("cannot convert float infinity to integer")

    run_virtual(keep_running("reads", loop))
    assert runs == [0, 1, 2]
    assert [record.task for record in caplog.records] == ["reads", "reads"]


def test_cancelled_loop_is_not_started_again():
    """Guards against a process that cannot stop its loops."""

    async def main():
        task = spawn("waits", keep_running("waits", lambda: asyncio.sleep(3600)))
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.wait([task])
        return task.cancelled()

    assert run_virtual(main())


def test_error_of_a_single_task_is_logged(caplog):
    """Guards against an error that asyncio reports only when the task is discarded."""

    async def fail():
        raise KeyError("missing")

    async def main():
        task = spawn("pull", fail())
        await asyncio.wait([task])
        return task

    task = run_virtual(main())
    (record,) = caplog.records
    assert (record.levelno, record.task) == (logging.ERROR, "pull")
    assert isinstance(task.exception(), KeyError)
