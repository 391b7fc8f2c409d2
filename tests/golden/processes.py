"""Simulated processes on one event loop: they can be paused and killed."""

import asyncio
import contextvars

from hibiscushaven.bench.virtual_time import VirtualLoop

__all__ = ["NO_PROCESS", "Process", "SessionLoop", "in_background"]

_PROCESS: contextvars.ContextVar["Process | None"] = contextvars.ContextVar("process", default=None)
# Context of what belongs to the world outside the simulated processes.
NO_PROCESS = contextvars.Context()


class Process:
    """Callbacks of tasks that were started in a process wait while it is paused."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_running = True
        self.is_dead = False
        self._parked: list[tuple] = []

    def context(self) -> contextvars.Context:
        context = contextvars.Context()
        context.run(_PROCESS.set, self)
        return context

    def pause(self) -> None:
        self.is_running = False

    def kill(self) -> None:
        self.is_running, self.is_dead = False, True

    def release(self) -> None:
        """Let the tasks of a dead process be cancelled once the session is over."""
        self.resume()

    def resume(self) -> None:
        """Run what became due during the pause, in the order in which it did."""
        self.is_running = True
        parked, self._parked = self._parked, []
        loop = asyncio.get_running_loop()
        for handle, callback, args, context in parked:
            loop.call_soon(_run_unless_cancelled, handle, callback, args, context=context)

    def park(self, *item) -> None:
        self._parked.append(item)


class SessionLoop(VirtualLoop):
    """Event loop on virtual time that knows the process of each callback."""

    def call_soon(self, callback, *args, context=None):
        return self._gated(super().call_soon, (), callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        return self._gated(super().call_at, (when,), callback, args, context)

    @staticmethod
    def _gated(schedule, first, callback, args, context):
        if context is None:  # an empty context is false
            context = contextvars.copy_context()
        process = context.get(_PROCESS)
        if process is None:
            return schedule(*first, callback, *args, context=context)

        def run(*args) -> None:
            if process.is_running:
                callback(*args)
            else:
                process.park(handle, callback, args, context)

        handle = schedule(*first, run, *args, context=context)
        return handle


def _run_unless_cancelled(handle, callback, args) -> None:
    if not handle.cancelled():
        callback(*args)


def in_background(work) -> asyncio.Task:
    """Start a task that belongs to no simulated process."""
    return asyncio.get_running_loop().create_task(work, context=NO_PROCESS.copy())
