"""Keep-alives that detect a dead or silent peer of a relayed request."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from hibiscushaven.peers import Message, PeerClosedError, PeerConnection, PeerHub

__all__ = ["KeepAlive", "MonitoredExchange"]

# Time between two ticks.
INTERVAL_S = 0.75
# The first tick follows the last received message by at most one interval, so silence is detected
# after 2.25 to 3 s.
MAX_MISSED_TICKS = 4


class MonitoredExchange:
    """An exchange over a connection, with the ticks since the peer last confirmed it.

    Ticks are counted instead of elapsed time. After a pause of this VM, messages that the peer
    sent meanwhile are read before the next tick, so the pause is not mistaken for silence of
    the peer.
    """

    def __init__(self, connection: PeerConnection, number: int) -> None:
        self.connection = connection
        self.number = number
        self.missed_ticks = 0


ExchangeT = TypeVar("ExchangeT", bound=MonitoredExchange)


class _MakeMessage(Protocol):
    def __call__(self, exchanges: tuple[int, ...]) -> Message: ...


class KeepAlive(Generic[ExchangeT]):
    """Reports the exchanges in progress to the peers, and drops silent connections.

    Explanation
    ===========

    Silence is counted per exchange, which detects an exchange that the peer does not know even
    if other exchanges on the connection are active. It is also counted per connection, which
    detects silence even if every exchange ends at a deadline shorter than the detection time.

    :param list_exchanges: returns the exchanges in progress.
    :param make_message: makes the keep-alive message that lists exchange numbers.
    :param on_silent: called with each exchange of a connection that was dropped.
    :param interval_s: time between two ticks.
    """

    def __init__(
        self,
        hub: PeerHub,
        list_exchanges: Callable[[], Iterable[ExchangeT]],
        make_message: _MakeMessage,
        on_silent: Callable[[ExchangeT], None],
        interval_s: float = INTERVAL_S,
    ) -> None:
        self._hub = hub
        self._list_exchanges = list_exchanges
        self._make_message = make_message
        self._on_silent = on_silent
        self._interval_s = interval_s
        # A dict keeps the order of use, so equal runs drop connections in the same order.
        self._used_connections: dict[PeerConnection, None] = {}
        self._ticks_without_receipt: dict[PeerConnection, int] = {}
        self._task: asyncio.Task[None] | None = None

    def mark_used(self, connection: PeerConnection) -> None:
        """Record that an exchange began on a connection."""
        self._used_connections[connection] = None
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def mark_received(self, connection: PeerConnection) -> None:
        """Record that a message arrived on a connection."""
        self._ticks_without_receipt.pop(connection, None)

    def remove_connection(self, connection: PeerConnection) -> None:
        """Discard the state of a connection that ended."""
        self._used_connections.pop(connection, None)
        self._ticks_without_receipt.pop(connection, None)

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def tick(self) -> bool:
        """Process one interval; return whether any connection was in use."""
        by_connection: dict[PeerConnection, list[ExchangeT]] = {
            connection: [] for connection in self._used_connections
        }
        self._used_connections.clear()
        for exchange in self._list_exchanges():
            by_connection.setdefault(exchange.connection, []).append(exchange)
        for connection, exchanges in by_connection.items():
            self._count_tick(connection, exchanges)
        return bool(by_connection)

    async def _run(self) -> None:
        await asyncio.sleep(self._interval_s)
        while self.tick():
            await asyncio.sleep(self._interval_s)

    def _count_tick(self, connection: PeerConnection, exchanges: list[ExchangeT]) -> None:
        """Send a keep-alive, or drop the connection after too many silent ticks."""
        ticks_without_receipt = self._ticks_without_receipt[connection] = (
            self._ticks_without_receipt.get(connection, 0) + 1
        )
        for exchange in exchanges:
            exchange.missed_ticks += 1
        if (
            max([ticks_without_receipt, *(exchange.missed_ticks for exchange in exchanges)])
            < MAX_MISSED_TICKS
        ):
            self._send(connection, tuple(exchange.number for exchange in exchanges))
            return
        self.remove_connection(connection)
        self._hub.abort_connection(connection)
        for exchange in exchanges:
            self._on_silent(exchange)

    def _send(self, connection: PeerConnection, numbers: tuple[int, ...]) -> None:
        try:
            connection.stream.send_nowait(self._make_message(numbers))
        except PeerClosedError:
            # The hub reports the end of the connection to its listeners.
            connection.stream.close()
