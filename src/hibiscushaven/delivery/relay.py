"""Client side of relaying requests between VMs."""

import asyncio
import itertools
from collections import deque
from collections.abc import AsyncGenerator
from dataclasses import replace
from typing import Self

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Channel, Message, PeerClosedError, PeerConnection, PeerHub

from .headers import Headers
from .outcome import Outcome
from .relay_keepalive import INTERVAL_S, KeepAlive, MonitoredExchange
from .relay_messages import (
    MAX_HOPS,
    MAX_REQUEST_BODY_BYTES,
    WINDOW_BYTES,
    RelayCancel,
    RelayChunk,
    RelayCredit,
    RelayEnd,
    RelayFailure,
    RelayHead,
    RelayPending,
    RelayRequest,
    RelayWaiting,
)
from .response_limits import is_http_status

__all__ = ["RelayClient", "RelayError", "RelayResponse"]

# Credit is returned in amounts of at least this size, to reduce the number of messages.
_CREDIT_STEP_BYTES = WINDOW_BYTES // 4


class RelayError(Exception):
    """A relayed request ended without a complete response.

    :ivar outcome: ``not-run`` only if nothing was sent or the peer reported it.
    :ivar reason: description of the failure.
    :ivar retry_after_s: delay before a retry as suggested by the peer, or ``None``.
    """

    def __init__(self, outcome: Outcome, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(f"{outcome.value}: {reason}")
        self.outcome = outcome
        self.reason = reason
        self.retry_after_s = retry_after_s


class _Exchange(MonitoredExchange):
    """A request in progress and the part of its response that has arrived.

    :ivar uncredited_bytes: bytes read since credit was last returned to the peer.
    """

    def __init__(self, connection: PeerConnection, number: int) -> None:
        super().__init__(connection, number)
        self.head: RelayHead | None = None
        self.chunks: deque[bytes] = deque()
        self.received_bytes = 0
        self.buffered_bytes = 0
        self.uncredited_bytes = 0
        self.is_complete = False
        self.error: RelayError | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._has_arrivals = asyncio.Event()

    @property
    def is_ended(self) -> bool:
        return self.is_complete or self.error is not None

    def append_chunk(self, data: bytes) -> None:
        self.chunks.append(data)
        self.received_bytes += len(data)
        self.buffered_bytes += len(data)

    def pop_chunk(self) -> bytes:
        data = self.chunks.popleft()
        self.buffered_bytes -= len(data)
        self.uncredited_bytes += len(data)
        return data

    def fail(self, error: RelayError) -> None:
        if not self.is_ended:
            self.error = error
        self.notify()

    def notify(self) -> None:
        self._has_arrivals.set()

    async def wait_for_arrival(self) -> None:
        """Wait until a message of this exchange arrives or the exchange fails."""
        await self._has_arrivals.wait()
        self._has_arrivals.clear()


class RelayResponse:
    """The response to a relayed request.

    The body can be iterated once. A response whose body is not read to its end must be
    closed, which cancels the request at the peer.
    """

    def __init__(self, client: "RelayClient", exchange: _Exchange, head: RelayHead) -> None:
        self.status = head.status
        self.headers: Headers = head.headers
        self._client = client
        self._exchange = exchange

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of the body that have arrived but were not read."""
        return self._exchange.buffered_bytes

    async def close(self) -> None:
        """Cancel the request at the peer unless the response is complete."""
        self._client._end_exchange(self._exchange)

    async def __aiter__(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; iteration ends normally only if the body is complete.

        :raises RelayError: when the body is incomplete.
        """
        exchange = self._exchange
        try:
            while True:
                while exchange.chunks:
                    data = exchange.pop_chunk()
                    self._client._send_credit(exchange)
                    yield data
                if exchange.error is not None:
                    raise exchange.error
                if exchange.is_complete:
                    return
                await exchange.wait_for_arrival()
        finally:
            self._client._end_exchange(exchange)

    async def read(self) -> bytes:
        """Return the complete body."""
        return b"".join([chunk async for chunk in self])


class RelayClient:
    """Sends requests to other VMs and delivers the responses to the waiting callers.

    :param interval_s: time between keep-alives; a connection is dropped after four silent ones.
    """

    def __init__(self, hub: PeerHub, interval_s: float = INTERVAL_S) -> None:
        self._hub = hub
        self._exchange_numbers = itertools.count(1)
        self._exchanges: dict[int, _Exchange] = {}
        self._keep_alive = KeepAlive(
            hub, self._pending_exchanges, RelayWaiting, self._fail_silent_exchange, interval_s
        )
        kinds = (RelayHead, RelayChunk, RelayEnd, RelayFailure, RelayPending)
        hub.subscribe(kinds, self._receive)
        hub.add_close_listener(self._on_connection_closed)

    @property
    def in_progress(self) -> int:
        return len(self._exchanges)

    def close(self) -> None:
        self._keep_alive.stop()
        for exchange in tuple(self._exchanges.values()):
            self._end_exchange(exchange)

    async def request(
        self, endpoint: Endpoint, channel: Channel, request: RelayRequest, deadline: float
    ) -> RelayResponse:
        """Send a request to a peer; return its response once status and headers have arrived.

        :param deadline: end of the exchange including the body, on the event loop's clock.
        :raises RelayError: when no response arrives.
        """
        exchange = await self._send(endpoint, channel, request, deadline)
        is_returned = False
        try:
            while exchange.head is None:
                if exchange.error is not None:
                    raise exchange.error
                await exchange.wait_for_arrival()
            is_returned = True
            return RelayResponse(self, exchange, exchange.head)
        finally:
            if not is_returned:
                self._end_exchange(exchange)

    async def _send(
        self, endpoint: Endpoint, channel: Channel, request: RelayRequest, deadline: float
    ) -> _Exchange:
        if request.hops >= MAX_HOPS:
            raise RelayError(Outcome.NOT_RUN, f"relayed {request.hops} times already")
        if len(request.body) > MAX_REQUEST_BODY_BYTES:
            raise RelayError(Outcome.NOT_RUN, f"a body of {len(request.body)} bytes")
        try:
            async with asyncio.timeout_at(deadline):
                connection = await self._hub.connection(endpoint, channel)
        except (PeerClosedError, TimeoutError) as error:
            raise RelayError(Outcome.NOT_RUN, f"no connection to {endpoint}") from error
        loop = asyncio.get_running_loop()
        remaining_ms = int((deadline - loop.time()) * 1000)
        if remaining_ms <= 0:
            raise RelayError(Outcome.NOT_RUN, "the deadline passed before sending")
        exchange = _Exchange(connection, next(self._exchange_numbers))
        message = replace(
            request, exchange=exchange.number, remaining_ms=remaining_ms, hops=request.hops + 1
        )
        try:
            connection.stream.send_nowait(message)
        except PeerClosedError as error:
            raise RelayError(Outcome.NOT_RUN, f"connection to {endpoint} closed") from error
        self._exchanges[exchange.number] = exchange
        exchange.timer = loop.call_at(
            deadline, self._end_exchange, exchange, "no response by the deadline"
        )
        self._keep_alive.mark_used(connection)
        return exchange

    async def _receive(self, connection: PeerConnection, message: Message) -> None:
        """Handle a message without waiting, since all bodies of a connection arrive here."""
        self._keep_alive.mark_received(connection)
        if isinstance(message, RelayPending):
            for number in message.exchanges:
                self._find_and_mark_alive(connection, number)
            return
        exchange = self._find_and_mark_alive(connection, message.exchange)
        if exchange is None:
            # Late messages of a request that was cancelled or failed are discarded.
            return
        match message:
            case RelayHead() if is_http_status(message.status):
                exchange.head = message
            case RelayHead():
                exchange.fail(RelayError(Outcome.UNKNOWN, f"status {message.status}"))
            case RelayChunk():
                self._add_chunk(exchange, message.data)
            case RelayEnd():
                self._complete(exchange, message)
            case RelayFailure():
                exchange.fail(_to_relay_error(message))
        exchange.notify()

    def _pending_exchanges(self) -> list[_Exchange]:
        # The peer no longer lists an exchange that it completed, even if the body is unread here.
        return [exchange for exchange in self._exchanges.values() if not exchange.is_ended]

    def _find_and_mark_alive(self, connection: PeerConnection, number: int) -> _Exchange | None:
        exchange = self._exchanges.get(number)
        if exchange is None or exchange.connection is not connection:
            return None
        exchange.missed_ticks = 0
        return exchange

    def _add_chunk(self, exchange: _Exchange, data: bytes) -> None:
        if exchange.buffered_bytes + len(data) > WINDOW_BYTES:
            self._hub.abort_connection(exchange.connection)
            exchange.fail(RelayError(Outcome.UNKNOWN, "the peer sent more than it may"))
            return
        exchange.append_chunk(data)

    def _complete(self, exchange: _Exchange, message: RelayEnd) -> None:
        if exchange.head is None or exchange.received_bytes != message.length:
            detail = f"{exchange.received_bytes} of {message.length} bytes arrived"
            exchange.fail(RelayError(Outcome.UNKNOWN, detail))
            return
        exchange.is_complete = True

    def _send_credit(self, exchange: _Exchange) -> None:
        if exchange.is_ended or exchange.uncredited_bytes < _CREDIT_STEP_BYTES:
            return
        amount, exchange.uncredited_bytes = exchange.uncredited_bytes, 0
        self._send_if_open(exchange.connection, RelayCredit(exchange.number, amount))

    def _end_exchange(self, exchange: _Exchange, reason: str = "closed by the caller") -> None:
        """Remove an exchange; cancel it at the peer unless it has ended there."""
        if self._exchanges.pop(exchange.number, None) is None:
            return
        if exchange.timer is not None:
            exchange.timer.cancel()
        if not exchange.is_ended:
            exchange.fail(RelayError(Outcome.UNKNOWN, reason))
            self._send_if_open(exchange.connection, RelayCancel(exchange.number))

    def _send_if_open(self, connection: PeerConnection, message: Message) -> None:
        try:
            connection.stream.send_nowait(message)
        except PeerClosedError:
            self._on_connection_closed(connection)

    def _fail_silent_exchange(self, exchange: _Exchange) -> None:
        exchange.fail(RelayError(Outcome.UNKNOWN, "the connection was silent"))

    def _on_connection_closed(self, connection: PeerConnection) -> None:
        self._keep_alive.remove_connection(connection)
        for exchange in self._exchanges.values():
            if exchange.connection is connection:
                exchange.fail(RelayError(Outcome.UNKNOWN, "the connection ended"))


def _to_relay_error(message: RelayFailure) -> RelayError:
    is_not_run = message.outcome == Outcome.NOT_RUN
    outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
    return RelayError(outcome, message.reason, message.retry_after_s)
