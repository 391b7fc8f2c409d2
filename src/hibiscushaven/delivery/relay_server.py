"""Server side of relaying requests between VMs."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from hibiscushaven.peers import Message, PeerClosedError, PeerConnection, PeerHub
from hibiscushaven.process import IN_PROGRESS_BYTES, OVERLOAD_RETRY_S, request_memory_bytes

from .headers import Headers
from .outcome import Outcome
from .relay_keepalive import INTERVAL_S, KeepAlive, MonitoredExchange
from .relay_messages import (
    CHUNK_BYTES,
    MAX_HOPS,
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

__all__ = ["RelayHandler", "RelayServer", "Responder"]

_LOG = logging.getLogger(__name__)

# Memory of a relayed request beside itself, with the part of its response that is being written.
RELAYED_BYTES = IN_PROGRESS_BYTES + CHUNK_BYTES


class Responder(MonitoredExchange):
    """Sends the response to one relayed request.

    :ivar deadline: end of the request, on the event loop's clock.
    """

    def __init__(self, connection: PeerConnection, number: int, deadline: float) -> None:
        super().__init__(connection, number)
        self.deadline = deadline
        self.is_ended = False
        self._sent_bytes = 0
        self._credit_bytes = WINDOW_BYTES
        self._has_credit = asyncio.Event()

    @property
    def remaining_s(self) -> float:
        return self.deadline - asyncio.get_running_loop().time()

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send status and headers.

        :raises PeerClosedError: when the connection ended.
        """
        await self.connection.stream.send(RelayHead(self.number, status, headers))

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body; wait while the peer's window is full.

        :raises PeerClosedError: when the connection ended.
        """
        start = 0
        while start < len(data):
            size = min(len(data) - start, CHUNK_BYTES, await self._wait_for_credit())
            self._credit_bytes -= size
            self._sent_bytes += size
            await self.connection.stream.send(RelayChunk(self.number, data[start : start + size]))
            start += size

    async def send_end(self) -> None:
        """Report that the body is complete.

        :raises PeerClosedError: when the connection ended.
        """
        self._end(RelayEnd(self.number, self._sent_bytes))

    async def send_failure(
        self, outcome: Outcome, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Report that there is no complete response.

        :raises PeerClosedError: when the connection ended.
        """
        self._end(RelayFailure(self.number, outcome.value, reason, retry_after_s))

    def add_credit(self, amount: int) -> None:
        self._credit_bytes += amount
        self._has_credit.set()

    async def _wait_for_credit(self) -> int:
        while self._credit_bytes <= 0:
            self._has_credit.clear()
            await self._has_credit.wait()
        return self._credit_bytes

    def _end(self, message: Message) -> None:
        if not self.is_ended:
            self.is_ended = True
            self.connection.stream.send_nowait(message)


RelayHandler = Callable[[PeerConnection, RelayRequest, Responder], Awaitable[None]]


class RelayServer:
    """Runs a handler for each request that a peer relays.

    The handler's task is cancelled when the requesting peer cancels or disconnects. The handler
    must shield work that has to continue, such as the completion of a claim. The outcome is
    ``unknown`` if the handler returns or raises without having ended its response.

    :param interval_s: time between keep-alives; a connection is dropped after four silent ones.
    """

    def __init__(self, hub: PeerHub, handler: RelayHandler, interval_s: float = INTERVAL_S) -> None:
        self._handler = handler
        self._requests: dict[tuple[PeerConnection, int], tuple[Responder, asyncio.Task[None]]] = {}
        self._keep_alive = KeepAlive(
            hub, self._active_responders, RelayPending, self._cancel_silent, interval_s
        )
        kinds = (RelayRequest, RelayCancel, RelayCredit, RelayWaiting)
        hub.subscribe(kinds, self._receive)
        hub.add_close_listener(self._on_connection_closed)

    @property
    def in_progress(self) -> int:
        return len(self._requests)

    async def close(self) -> None:
        """Cancel the requests in progress."""
        self._keep_alive.stop()
        tasks = [task for _, task in self._requests.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _active_responders(self) -> list[Responder]:
        return [responder for responder, _ in self._requests.values()]

    async def _receive(self, connection: PeerConnection, message: Message) -> None:
        self._keep_alive.mark_received(connection)
        match message:
            case RelayRequest():
                self._start(connection, message)
            case RelayCancel():
                self._cancel(connection, message.exchange)
            case RelayCredit():
                self._add_credit(connection, message)
            case RelayWaiting():
                for number in message.exchanges:
                    self._find_and_mark_alive(connection, number)

    def _start(self, connection: PeerConnection, request: RelayRequest) -> None:
        deadline = asyncio.get_running_loop().time() + request.remaining_ms / 1000
        responder = Responder(connection, request.exchange, deadline)
        amount = RELAYED_BYTES + request_memory_bytes(
            (*request.headers, *request.attributes), len(request.body)
        )
        if not connection.stream.try_reserve(amount):
            failure = Outcome.NOT_RUN, "no memory for the request", OVERLOAD_RETRY_S
            self._send_failure_if_open(responder, *failure)
            return
        task = asyncio.create_task(self._serve(connection, request, responder))
        key = (connection, request.exchange)
        self._requests[key] = (responder, task)
        task.add_done_callback(lambda _: self._requests.pop(key, None))
        task.add_done_callback(lambda _: connection.stream.release(amount))
        self._keep_alive.mark_used(connection)

    async def _serve(
        self, connection: PeerConnection, request: RelayRequest, responder: Responder
    ) -> None:
        try:
            if request.hops > MAX_HOPS:
                reason = f"relayed {request.hops} times"
                await responder.send_failure(Outcome.NOT_RUN, reason)
                return
            await self._handler(connection, request, responder)
            await responder.send_failure(Outcome.UNKNOWN, "no response")
        except PeerClosedError:
            _LOG.debug(
                "connection to relaying peer closed", extra={"request_id": request.request_id}
            )
        except Exception:
            _LOG.exception("relayed request failed", extra={"request_id": request.request_id})
            self._send_failure_if_open(responder, Outcome.UNKNOWN, "internal error")

    def _send_failure_if_open(
        self,
        responder: Responder,
        outcome: Outcome,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        try:
            responder._end(RelayFailure(responder.number, outcome.value, reason, retry_after_s))
        except PeerClosedError:
            _LOG.debug("connection to relaying peer closed", extra={"exchange": responder.number})

    def _find_and_mark_alive(self, connection: PeerConnection, number: int) -> Responder | None:
        entry = self._requests.get((connection, number))
        if entry is None:
            return None
        entry[0].missed_ticks = 0
        return entry[0]

    def _add_credit(self, connection: PeerConnection, message: RelayCredit) -> None:
        responder = self._find_and_mark_alive(connection, message.exchange)
        if responder is not None:
            responder.add_credit(message.amount)

    def _cancel(self, connection: PeerConnection, number: int) -> None:
        entry = self._requests.get((connection, number))
        if entry is not None:
            responder, task = entry
            responder.is_ended = True
            task.cancel()

    def _cancel_silent(self, responder: Responder) -> None:
        self._cancel(responder.connection, responder.number)

    def _on_connection_closed(self, connection: PeerConnection) -> None:
        self._keep_alive.remove_connection(connection)
        for request_connection, number in tuple(self._requests):
            if request_connection is connection:
                self._cancel(connection, number)
