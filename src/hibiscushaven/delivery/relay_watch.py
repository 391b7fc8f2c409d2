"""Noticing that the other end of a relayed request is dead or silent."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from hibiscushaven.peers import Message, PeerClosedError, PeerHub, PeerLink

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

    def __init__(self, link: PeerLink, number: int) -> None:
        self.link = link
        self.number = number
        self.missed = 0


W = TypeVar("W", bound=Watched)


class _MakeMessage(Protocol):
    def __call__(self, exchanges: tuple[int, ...]) -> Message: ...


class KeepAlive(Generic[W]):
    """Tells the peers which exchanges are alive here, and drops silent connections.

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
        self._task: asyncio.Task[None] | None = None

    def ensure_running(self) -> None:
        """Run while there are exchanges."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            items = tuple(self._watched())
            if not items:
                return
            self.tick(items)

    def tick(self, items: tuple[W, ...]) -> None:
        """Send one keep-alive per connection and drop those that missed too many."""
        by_link: dict[PeerLink, list[W]] = {}
        for item in items:
            item.missed += 1
            by_link.setdefault(item.link, []).append(item)
        for link, members in by_link.items():
            if any(item.missed >= MAX_MISSED for item in members):
                self._hub.drop_link(link)
                for item in members:
                    self._on_silent(item)
                continue
            self._send(link, tuple(item.number for item in members))

    def _send(self, link: PeerLink, numbers: tuple[int, ...]) -> None:
        try:
            link.stream.send_nowait(self._make_message(numbers))
        except PeerClosedError:
            # The hub reports the end of the connection to its listeners.
            link.stream.close()
