"""Simulated processes on one event loop, which can be paused and killed."""

import asyncio
import contextvars

from hibiscushaven.bench.virtual_time import VirtualLoop

__all__ = ["NO_PROCESS", "Process", "SimulationLoop", "create_external_task"]

_CURRENT_PROCESS: contextvars.ContextVar["Process | None"] = contextvars.ContextVar(
    "process", default=None
)
# Context of callbacks that belong to no simulated process.
NO_PROCESS = contextvars.Context()


class Process:
    """A simulated process: the callbacks of its tasks are deferred while it is paused."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_running = True
        self.is_dead = False
        self._deferred: list[tuple] = []

    def context(self) -> contextvars.Context:
        context = contextvars.Context()
        context.run(_CURRENT_PROCESS.set, self)
        return context

    def pause(self) -> None:
        self.is_running = False

    def kill(self) -> None:
        self.is_running, self.is_dead = False, True

    def release(self) -> None:
        """Resume a dead process at the end of a run, so that its tasks can be cancelled."""
        self.resume()

    def resume(self) -> None:
        """Run the callbacks that became due during the pause, in their order."""
        self.is_running = True
        deferred, self._deferred = self._deferred, []
        loop = asyncio.get_running_loop()
        for handle, callback, args, context in deferred:
            loop.call_soon(_run_unless_cancelled, handle, callback, args, context=context)

    def defer(self, *item) -> None:
        self._deferred.append(item)


class SimulationLoop(VirtualLoop):
    """Event loop on virtual time that defers the callbacks of paused processes."""

    def call_soon(self, callback, *args, context=None):
        return self._schedule_in_process(super().call_soon, (), callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        return self._schedule_in_process(super().call_at, (when,), callback, args, context)

    @staticmethod
    def _schedule_in_process(schedule, leading_args, callback, args, context):
        if context is None:  # not "if not context": an empty context is false
            context = contextvars.copy_context()
        process = context.get(_CURRENT_PROCESS)
        if process is None:
            return schedule(*leading_args, callback, *args, context=context)

        def run(*args) -> None:
            if process.is_running:
                callback(*args)
            else:
                process.defer(handle, callback, args, context)

        handle = schedule(*leading_args, run, *args, context=context)
        return handle


def _run_unless_cancelled(handle, callback, args) -> None:
    if not handle.cancelled():
        callback(*args)


def create_external_task(coroutine) -> asyncio.Task:
    """Start a task that belongs to no simulated process."""
    return asyncio.get_running_loop().create_task(coroutine, context=NO_PROCESS.copy())
