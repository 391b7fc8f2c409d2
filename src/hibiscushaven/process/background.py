"""Background tasks whose errors are logged and do not end them unseen."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

__all__ = ["RESTART_DELAY_S", "keep_running", "spawn"]

_LOG = logging.getLogger(__name__)

# Time until a loop that failed runs again, so that one that fails at once does not occupy the VM.
RESTART_DELAY_S = 0.5


async def keep_running(name: str, loop: Callable[[], Awaitable[None]]) -> None:
    """Run a loop until it is cancelled, again after an unexpected error.

    Explanation
    ===========

    The loops of a VM keep its data up to date. One that ended with an error would leave the VM with
    old data for good, and asyncio reports the error of a task only when the task is discarded.

    :param name: names the loop in the log.
    :param loop: starts the loop; a loop that returns is not started again.
    """
    while True:
        try:
            await loop()
            return
        except Exception:
            _LOG.exception("background task failed, will start again", extra={"task": name})
        await asyncio.sleep(RESTART_DELAY_S)


def spawn(name: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task that runs once, and log an unexpected error at its end.

    :param name: names the task in the log.
    """
    task = asyncio.create_task(work)
    task.add_done_callback(lambda ended: _log_error(name, ended))
    return task


def _log_error(name: str, task: asyncio.Task[None]) -> None:
    if task.cancelled() or task.exception() is None:
        return
    _LOG.error("background task failed", extra={"task": name}, exc_info=task.exception())
