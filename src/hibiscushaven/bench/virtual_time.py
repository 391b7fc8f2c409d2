"""Event loop on virtual time: the clock advances to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualLoop", "run_virtual"]

T = TypeVar("T")


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is scheduled")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, for coroutines that use no sockets."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion on virtual time.

    Examples
    ========

    >>> run_virtual(asyncio.sleep(3600, "an hour later"))
    'an hour later'

    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
