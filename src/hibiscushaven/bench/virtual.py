"""An event loop whose clock jumps to the next timer in place of waiting for it."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualLoop", "run_virtual"]

T = TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, for work that uses no sockets."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on virtual time.

    Examples
    ========

    >>> run_virtual(asyncio.sleep(3600, "an hour later"))
    'an hour later'

    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
