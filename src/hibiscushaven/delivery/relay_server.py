"""The serving side of relaying between VMs."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from hibiscushaven.peers import Message, PeerClosedError, PeerConnection, PeerHub

from .headers import Headers
from .outcome import Outcome
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
from .relay_watch import INTERVAL_S, KeepAlive, Watched

__all__ = ["RelayHandler", "RelayServer", "Responder"]

_LOG = logging.getLogger(__name__)


class Responder(Watched):
    """Sends the response to one relayed request.

    :ivar deadline: end of the request, on the event loop's clock.
    """

    def __init__(self, link: PeerConnection, number: int, deadline: float) -> None:
        super().__init__(link, number)
        self.deadline = deadline
        self.is_ended = False
        self._sent = 0
        self._credit = WINDOW_BYTES
        self._has_credit = asyncio.Event()

    @property
    def remaining_s(self) -> float:
        return self.deadline - asyncio.get_running_loop().time()

    async def head(self, status: int, headers: Headers) -> None:
        """Send status and headers.

        :raises PeerClosedError: when the connection ended.
        """
        await self.link.stream.send(RelayHead(self.number, status, headers))

    async def chunk(self, data: bytes) -> None:
        """Send a part of the body, waiting while the reader is slow.

        :raises PeerClosedError: when the connection ended.
        """
        start = 0
        while start < len(data):
            size = min(len(data) - start, CHUNK_BYTES, await self._wait_for_credit())
            self._credit -= size
            self._sent += size
            await self.link.stream.send(RelayChunk(self.number, data[start : start + size]))
            start += size

    async def end(self) -> None:
        """Say that the body is complete.

        :raises PeerClosedError: when the connection ended.
        """
        self._end(RelayEnd(self.number, self._sent))

    async def fail(self, outcome: Outcome, reason: str, retry_after_s: float | None = None) -> None:
        """Say that there is no complete response.

        :raises PeerClosedError: when the connection ended.
        """
        self._end(RelayFailure(self.number, outcome.value, reason, retry_after_s))

    def add_credit(self, amount: int) -> None:
        self._credit += amount
        self._has_credit.set()

    async def _wait_for_credit(self) -> int:
        while self._credit <= 0:
            self._has_credit.clear()
            await self._has_credit.wait()
        return self._credit

    def _end(self, item: Message) -> None:
        if not self.is_ended:
            self.is_ended = True
            self.link.stream.send_nowait(item)


RelayHandler = Callable[[PeerConnection, RelayRequest, Responder], Awaitable[None]]


class RelayServer:
    """Runs a handler for each request that a peer relays.

    The handler's task is cancelled when the requesting side went away; work that must go on
    (such as the completion of a claim) has to be shielded by the handler. A handler that
    returns or raises without having ended its response gives the outcome ``unknown``.

    :param interval_s: time between keep-alives; silence is noticed after four of them.
    """

    def __init__(self, hub: PeerHub, handler: RelayHandler, interval_s: float = INTERVAL_S) -> None:
        self._handler = handler
        self._tasks: dict[tuple[PeerConnection, int], tuple[Responder, asyncio.Task[None]]] = {}
        self._keep_alive = KeepAlive(
            hub, self._responders, RelayPending, self._cancel_silent, interval_s
        )
        kinds = (RelayRequest, RelayCancel, RelayCredit, RelayWaiting)
        hub.subscribe(kinds, self._receive)
        hub.add_close_listener(self._end_link)

    @property
    def in_progress(self) -> int:
        return len(self._tasks)

    async def close(self) -> None:
        """Cancel the requests in progress."""
        self._keep_alive.stop()
        tasks = [task for _, task in self._tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _responders(self) -> list[Responder]:
        return [responder for responder, _ in self._tasks.values()]

    async def _receive(self, link: PeerConnection, item: Message) -> None:
        self._keep_alive.hear(link)
        match item:
            case RelayRequest():
                self._start(link, item)
            case RelayCancel():
                self._cancel(link, item.exchange)
            case RelayCredit():
                self._add_credit(link, item)
            case RelayWaiting():
                for number in item.exchanges:
                    self._find(link, number)

    def _start(self, link: PeerConnection, request: RelayRequest) -> None:
        deadline = asyncio.get_running_loop().time() + request.remaining_ms / 1000
        responder = Responder(link, request.exchange, deadline)
        task = asyncio.create_task(self._serve(link, request, responder))
        key = (link, request.exchange)
        self._tasks[key] = (responder, task)
        task.add_done_callback(lambda _: self._tasks.pop(key, None))
        self._keep_alive.use(link)

    async def _serve(
        self, link: PeerConnection, request: RelayRequest, responder: Responder
    ) -> None:
        try:
            if request.hops > MAX_HOPS:
                reason = f"relayed {request.hops} times"
                await responder.fail(Outcome.NOT_RUN, reason)
                return
            await self._handler(link, request, responder)
            await responder.fail(Outcome.UNKNOWN, "no response")
        except PeerClosedError:
            _LOG.debug("relaying peer went away", extra={"request_id": request.request_id})
        except Exception:
            _LOG.exception("relayed request failed", extra={"request_id": request.request_id})
            self._fail_quietly(responder)

    def _fail_quietly(self, responder: Responder) -> None:
        try:
            responder._end(
                RelayFailure(responder.number, Outcome.UNKNOWN.value, "internal error", None)
            )
        except PeerClosedError:
            _LOG.debug("relaying peer went away", extra={"exchange": responder.number})

    def _find(self, link: PeerConnection, number: int) -> Responder | None:
        entry = self._tasks.get((link, number))
        if entry is None:
            return None
        entry[0].missed = 0
        return entry[0]

    def _add_credit(self, link: PeerConnection, item: RelayCredit) -> None:
        responder = self._find(link, item.exchange)
        if responder is not None:
            responder.add_credit(item.amount)

    def _cancel(self, link: PeerConnection, number: int) -> None:
        entry = self._tasks.get((link, number))
        if entry is not None:
            responder, task = entry
            responder.is_ended = True
            task.cancel()

    def _cancel_silent(self, responder: Responder) -> None:
        self._cancel(responder.link, responder.number)

    def _end_link(self, link: PeerConnection) -> None:
        self._keep_alive.forget(link)
        for at, number in tuple(self._tasks):
            if at is link:
                self._cancel(link, number)
