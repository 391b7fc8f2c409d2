"""Noticing that the other end of a relayed request is dead or silent."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from hibiscushaven.peers import Message, PeerClosedError, PeerConnection, PeerHub

__all__ = ["KeepAlive", "Watched"]

INTERVAL_S = 0.75
# The first tick comes at most one interval after the last sign of life, so that silence is
# noticed between 2.25 and 3 s.
MAX_MISSED = 4


class Watched:
    """An exchange over a connection, with the number of ticks since its last sign of life.

    Ticks are counted in place of time: after a pause of this VM, what the peer sent meanwhile
    is read before the next tick, so that the pause is not taken for the peer's silence.
    """

    def __init__(self, link: PeerConnection, number: int) -> None:
        self.link = link
        self.number = number
        self.missed = 0


W = TypeVar("W", bound=Watched)


class _MakeMessage(Protocol):
    def __call__(self, exchanges: tuple[int, ...]) -> Message: ...


class KeepAlive(Generic[W]):
    """Tells the peers which exchanges are alive here, and drops silent connections.

    Silence is counted per exchange, so that one which only this side knows is noticed beside
    others, and per connection, so that it is noticed although each exchange ends at a deadline
    shorter than the time that takes.

    :param watched: the exchanges in progress.
    :param make_message: makes the message that names them.
    :param on_silent: called with each exchange of a connection that was dropped.
    :param interval_s: time between two ticks.
    """

    def __init__(
        self,
        hub: PeerHub,
        watched: Callable[[], Iterable[W]],
        make_message: _MakeMessage,
        on_silent: Callable[[W], None],
        interval_s: float = INTERVAL_S,
    ) -> None:
        self._hub = hub
        self._watched = watched
        self._make_message = make_message
        self._on_silent = on_silent
        self._interval_s = interval_s
        # In order of use, so that equal runs drop connections in the same order.
        self._used: dict[PeerConnection, None] = {}
        self._unheard: dict[PeerConnection, int] = {}
        self._task: asyncio.Task[None] | None = None

    def use(self, link: PeerConnection) -> None:
        """Note that an exchange began on a connection."""
        self._used[link] = None
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def hear(self, link: PeerConnection) -> None:
        """Note that something arrived on a connection."""
        self._unheard.pop(link, None)

    def forget(self, link: PeerConnection) -> None:
        """Note that a connection ended."""
        self._used.pop(link, None)
        self._unheard.pop(link, None)

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def tick(self) -> bool:
        """Count one interval; return whether any connection was in use."""
        by_link: dict[PeerConnection, list[W]] = {link: [] for link in self._used}
        self._used.clear()
        for item in self._watched():
            by_link.setdefault(item.link, []).append(item)
        for link, items in by_link.items():
            self._count(link, items)
        return bool(by_link)

    async def _run(self) -> None:
        await asyncio.sleep(self._interval_s)
        while self.tick():
            await asyncio.sleep(self._interval_s)

    def _count(self, link: PeerConnection, items: list[W]) -> None:
        """Send a keep-alive, or drop the connection if too many were missed."""
        unheard = self._unheard[link] = self._unheard.get(link, 0) + 1
        for item in items:
            item.missed += 1
        if max([unheard, *(item.missed for item in items)]) < MAX_MISSED:
            self._send(link, tuple(item.number for item in items))
            return
        self.forget(link)
        self._hub.abort_connection(link)
        for item in items:
            self._on_silent(item)

    def _send(self, link: PeerConnection, numbers: tuple[int, ...]) -> None:
        try:
            link.stream.send_nowait(self._make_message(numbers))
        except PeerClosedError:
            # The hub reports the end of the connection to its listeners.
            link.stream.close()
