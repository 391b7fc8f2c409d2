"""Pauses in reading from connections."""

import asyncio
from collections import deque

from uvicorn.protocols.http.flow_control import FlowControl

__all__ = ["ReadFlow", "ReadTurns"]


class ReadFlow(FlowControl):
    """Flow control that pauses reading while there is any reason to."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_paused_by_app = False
        self._holds: set[str] = set()

    def pause_reading(self) -> None:
        self._is_paused_by_app = True
        self._apply()

    def resume_reading(self) -> None:
        self._is_paused_by_app = False
        self._apply()

    def hold_reading(self, reason: str) -> None:
        """Pause reading until the same reason is released."""
        self._holds.add(reason)
        self._apply()

    def release_reading(self, reason: str) -> None:
        """Resume reading unless there is another reason to pause it."""
        self._holds.discard(reason)
        self._apply()

    def _apply(self) -> None:
        if self._is_paused_by_app or self._holds:
            super().pause_reading()
        else:
            super().resume_reading()


class ReadTurns:
    """Lets connections whose data is expensive to parse read one after the other.

    Explanation
    ===========

    The event loop reads from all connections that have data before it does anything else. Here it
    reads from one of the expensive ones in each of its iterations, so that the other connections
    wait for one of them instead of all. An expensive connection alone is not slowed down.
    """

    def __init__(self) -> None:
        self._waiting: deque[ReadFlow] = deque()

    def wait(self, flow: ReadFlow) -> None:
        """Pause reading until it is the turn of a connection."""
        flow.hold_reading("turn")
        self._waiting.append(flow)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        self._waiting.popleft().release_reading("turn")
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._run_next)
