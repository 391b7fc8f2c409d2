"""The requesting side of relaying between VMs."""

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
from .relay_watch import INTERVAL_S, KeepAlive, Watched

__all__ = ["RelayClient", "RelayError", "RelayResponse"]

# Credit is given back in amounts of this size, to save messages.
_CREDIT_STEP_BYTES = WINDOW_BYTES // 4


class RelayError(Exception):
    """A relayed request ended without a complete response.

    :ivar outcome: ``not-run`` only if nothing was sent or the peer said so.
    :ivar retry_after_s: the peer's hint when to try again, in seconds.
    """

    def __init__(self, outcome: Outcome, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(f"{outcome.value}: {reason}")
        self.outcome = outcome
        self.reason = reason
        self.retry_after_s = retry_after_s


class _Exchange(Watched):
    """A request in progress, and what has arrived of its response."""

    def __init__(self, link: PeerConnection, number: int) -> None:
        super().__init__(link, number)
        self.head: RelayHead | None = None
        self.chunks: deque[bytes] = deque()
        self.received = 0
        self.buffered = 0
        self.taken = 0
        self.is_complete = False
        self.error: RelayError | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._arrival = asyncio.Event()

    @property
    def is_ended(self) -> bool:
        return self.is_complete or self.error is not None

    def add(self, data: bytes) -> None:
        self.chunks.append(data)
        self.received += len(data)
        self.buffered += len(data)

    def take(self) -> bytes:
        data = self.chunks.popleft()
        self.buffered -= len(data)
        self.taken += len(data)
        return data

    def fail(self, error: RelayError) -> None:
        if not self.is_ended:
            self.error = error
        self.wake()

    def wake(self) -> None:
        self._arrival.set()

    async def wait(self) -> None:
        """Wait for something to arrive."""
        await self._arrival.wait()
        self._arrival.clear()


class RelayResponse:
    """The response to a relayed request.

    The body is read once, by iteration. A response whose body is not read to its end must be
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
        """Bytes of the body that have arrived and were not read."""
        return self._exchange.buffered

    async def close(self) -> None:
        """Cancel the request at the peer unless the response is complete."""
        self._client._forget(self._exchange)

    async def __aiter__(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; return only if it was complete.

        :raises RelayError: when it was not.
        """
        exchange = self._exchange
        try:
            while True:
                while exchange.chunks:
                    data = exchange.take()
                    self._client._give_credit(exchange)
                    yield data
                if exchange.error is not None:
                    raise exchange.error
                if exchange.is_complete:
                    return
                await exchange.wait()
        finally:
            self._client._forget(exchange)

    async def read(self) -> bytes:
        """Return the complete body."""
        return b"".join([chunk async for chunk in self])


class RelayClient:
    """Sends requests to other VMs and hands their responses to the callers that wait.

    :param interval_s: time between keep-alives; silence is noticed after four of them.
    """

    def __init__(self, hub: PeerHub, interval_s: float = INTERVAL_S) -> None:
        self._hub = hub
        self._numbers = itertools.count(1)
        self._exchanges: dict[int, _Exchange] = {}
        self._keep_alive = KeepAlive(hub, self._waiting, RelayWaiting, self._end_silent, interval_s)
        kinds = (RelayHead, RelayChunk, RelayEnd, RelayFailure, RelayPending)
        hub.subscribe(kinds, self._receive)
        hub.add_close_listener(self._end_link)

    @property
    def in_progress(self) -> int:
        return len(self._exchanges)

    def close(self) -> None:
        self._keep_alive.stop()
        for exchange in tuple(self._exchanges.values()):
            self._forget(exchange)

    async def request(
        self, endpoint: Endpoint, lane: Channel, request: RelayRequest, deadline: float
    ) -> RelayResponse:
        """Send a request to a peer and return the head of its response.

        :param deadline: end of the exchange with its body, on the event loop's clock.
        :raises RelayError: when there is no response.
        """
        exchange = await self._send(endpoint, lane, request, deadline)
        is_handed_over = False
        try:
            while exchange.head is None:
                if exchange.error is not None:
                    raise exchange.error
                await exchange.wait()
            is_handed_over = True
            return RelayResponse(self, exchange, exchange.head)
        finally:
            if not is_handed_over:
                self._forget(exchange)

    async def _send(
        self, endpoint: Endpoint, lane: Channel, request: RelayRequest, deadline: float
    ) -> _Exchange:
        if request.hops >= MAX_HOPS:
            raise RelayError(Outcome.NOT_RUN, f"relayed {request.hops} times already")
        if len(request.body) > MAX_REQUEST_BODY_BYTES:
            raise RelayError(Outcome.NOT_RUN, f"a body of {len(request.body)} bytes")
        try:
            async with asyncio.timeout_at(deadline):
                link = await self._hub.connection(endpoint, lane)
        except (PeerClosedError, TimeoutError) as error:
            raise RelayError(Outcome.NOT_RUN, f"no connection to {endpoint}") from error
        loop = asyncio.get_running_loop()
        remaining_ms = int((deadline - loop.time()) * 1000)
        if remaining_ms <= 0:
            raise RelayError(Outcome.NOT_RUN, "the deadline passed before sending")
        exchange = _Exchange(link, next(self._numbers))
        item = replace(
            request, exchange=exchange.number, remaining_ms=remaining_ms, hops=request.hops + 1
        )
        try:
            link.stream.send_nowait(item)
        except PeerClosedError as error:
            raise RelayError(Outcome.NOT_RUN, f"connection to {endpoint} closed") from error
        self._exchanges[exchange.number] = exchange
        exchange.timer = loop.call_at(
            deadline, self._forget, exchange, "no response by the deadline"
        )
        self._keep_alive.use(link)
        return exchange

    async def _receive(self, link: PeerConnection, item: Message) -> None:
        """Note what arrived; it never waits, since it serves all bodies of a connection."""
        self._keep_alive.hear(link)
        if isinstance(item, RelayPending):
            for number in item.exchanges:
                self._find(link, number)
            return
        exchange = self._find(link, item.exchange)
        if exchange is None:
            # The answer to a request that was cancelled or that failed reaches nobody.
            return
        match item:
            case RelayHead():
                exchange.head = item
            case RelayChunk():
                self._add(exchange, item.data)
            case RelayEnd():
                self._complete(exchange, item)
            case RelayFailure():
                exchange.fail(_error_of(item))
        exchange.wake()

    def _waiting(self) -> list[_Exchange]:
        # The peer no longer names an exchange that ended, although its body may be unread.
        return [exchange for exchange in self._exchanges.values() if not exchange.is_ended]

    def _find(self, link: PeerConnection, number: int) -> _Exchange | None:
        exchange = self._exchanges.get(number)
        if exchange is None or exchange.link is not link:
            return None
        exchange.missed = 0
        return exchange

    def _add(self, exchange: _Exchange, data: bytes) -> None:
        if exchange.buffered + len(data) > WINDOW_BYTES:
            self._hub.abort_connection(exchange.link)
            exchange.fail(RelayError(Outcome.UNKNOWN, "the peer sent more than it may"))
            return
        exchange.add(data)

    def _complete(self, exchange: _Exchange, item: RelayEnd) -> None:
        if exchange.head is None or exchange.received != item.length:
            detail = f"{exchange.received} of {item.length} bytes arrived"
            exchange.fail(RelayError(Outcome.UNKNOWN, detail))
            return
        exchange.is_complete = True

    def _give_credit(self, exchange: _Exchange) -> None:
        if exchange.is_ended or exchange.taken < _CREDIT_STEP_BYTES:
            return
        amount, exchange.taken = exchange.taken, 0
        self._send_quietly(exchange.link, RelayCredit(exchange.number, amount))

    def _forget(self, exchange: _Exchange, reason: str = "closed by the caller") -> None:
        """End an exchange; cancel it at the peer if it had not ended there."""
        if self._exchanges.pop(exchange.number, None) is None:
            return
        if exchange.timer is not None:
            exchange.timer.cancel()
        if not exchange.is_ended:
            exchange.fail(RelayError(Outcome.UNKNOWN, reason))
            self._send_quietly(exchange.link, RelayCancel(exchange.number))

    def _send_quietly(self, link: PeerConnection, item: Message) -> None:
        try:
            link.stream.send_nowait(item)
        except PeerClosedError:
            self._end_link(link)

    def _end_silent(self, exchange: _Exchange) -> None:
        exchange.fail(RelayError(Outcome.UNKNOWN, "the connection was silent"))

    def _end_link(self, link: PeerConnection) -> None:
        self._keep_alive.forget(link)
        for exchange in self._exchanges.values():
            if exchange.link is link:
                exchange.fail(RelayError(Outcome.UNKNOWN, "the connection ended"))


def _error_of(item: RelayFailure) -> RelayError:
    is_not_run = item.outcome == Outcome.NOT_RUN
    outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
    return RelayError(outcome, item.reason, item.retry_after_s)
