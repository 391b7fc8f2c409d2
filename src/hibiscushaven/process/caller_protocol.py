"""HTTP protocol for connections of callers, with limits on sizes and times."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from .connection_budget import IN_PROGRESS_BYTES, OVERLOAD_RETRY_S, ConnectionBudget, Part
from .message_size import MessageSize
from .read_flow import ReadFlow
from .request_protocol import RequestProtocol

__all__ = ["CallerProtocol", "ConnectionLimits"]

# Time for a caller to read the response to a rejected request before its connection is closed.
# Closing a connection with unread bytes resets it, which can lose the response.
# It is closed once nothing arrives for a while, or after a longer time in any case.
LINGER_S = 1.0
MAX_LINGER_S = 10.0

# Bytes that are read at once. The memory that they take once parsed is known only afterwards.
READ_BYTES = 16 * 1024

# Bytes that the kernel holds for a connection from which is not read, or to which is not written.
KERNEL_BUFFER_BYTES = 64 * 1024

# Queued requests of a connection above which no more are read from it.
MAX_QUEUED_REQUESTS = 4

_REASON_PHRASES = {
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection of a caller.

    :ivar max_head_bytes: maximum size of the request line and header fields.
    :ivar head_timeout_s: maximum time from the first to the last byte of the head.
    :ivar idle_timeout_s: maximum time without a byte between requests, or within a body.
    :ivar max_body_bytes: maximum size of a body; infinite if the application checks it.
    """

    max_head_bytes: int
    head_timeout_s: float
    idle_timeout_s: float
    max_body_bytes: float = inf


class CallerProtocol(RequestProtocol):
    """Parses requests, and closes connections that exceed the limits.

    Explanation
    ===========

    A head or trailers that are too long are rejected with status 431, a body that is too long with
    status 413. A head that does not arrive in time or a body that stalls is rejected with status
    408. Rejected requests are not forwarded. If the response to an earlier request on the
    connection is in progress, it is completed first.

    The idle timeout of a connection is the one in force when its idle time began, since the
    caller cannot learn of a shorter one before the next response.

    What the connection holds is part of the budget of all connections. Once that is used up,
    requests that have arrived or are arriving are rejected with status 503.

    The ``state`` of each request's scope has two functions for the application:
    ``try_hold_response`` returns whether there is memory for a beginning of the response of the
    given size, and ``drop_queued_requests`` ends the connection after the response if requests
    are queued behind it.

    :param limits: returns the limits in force.
    :param budget: budget of all connections; by default one for this connection.
    :param id_header: lower-case name of the header field with a request's id, for the log and
        for responses.
    :param echoed_headers: lower-case names of further header fields that responses return.
    """

    def __init__(
        self,
        *args: Any,
        limits: Callable[[], ConnectionLimits],
        budget: ConnectionBudget | None = None,
        id_header: str = "",
        echoed_headers: tuple[str, ...] = (),
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._limits = limits
        self._budget = budget or ConnectionBudget()
        self._id_header = id_header.encode()
        self._echoed_headers = {name.encode() for name in (id_header, *echoed_headers) if name}
        self._arrival_timer: asyncio.TimerHandle | None = None
        self._lingers_until: float | None = None
        self._size = MessageSize()
        # Memory of queued requests that are complete, the latest first as in ``pipeline``.
        self._queued_memory_bytes: deque[int] = deque()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self.flow = ReadFlow(transport)
        idle_s = self._limits().idle_timeout_s
        self.timeout_keep_alive_task = self.loop.call_later(idle_s, self.timeout_keep_alive_handler)
        self._account = self._budget.open(self)
        self._budget.relieve()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_arrival_timer()
        self._account.close()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._is_rejected:
            self._linger()
            return
        self._stop_arrival_timer()
        self._size.begin_read(len(data), self._is_in_head)
        super().data_received(data)
        self._size.end_read(len(data), self._is_in_head)
        if not self._is_rejected and not self.transport.is_closing():
            self._check_arrival()
        self._record_memory()
        self._budget.relieve()
        if self._size.is_expensive:
            self._budget.turns.wait(self.flow)

    def on_message_begin(self) -> None:
        if self._is_rejected:
            return
        self._size.begin_message()
        self._head_started_at = self.loop.time()
        if not self._has_request_in_progress():
            self._account.since = self._budget.now()
        super().on_message_begin()
        self.scope["state"]["try_hold_response"] = self._try_hold_response
        self.scope["state"]["drop_queued_requests"] = self._drop_queued_requests_if_any

    def on_url(self, url: bytes) -> None:
        if self._is_rejected:
            return
        self._size.add_target(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_rejected:
            return
        self._size.add_field(name, value, self._is_in_head)
        super().on_header(name, value)
        if not self._is_in_head and self._size.parsed_bytes > self._limits().max_head_bytes:
            self._reject(431)

    def on_headers_complete(self) -> None:
        if self._is_rejected:
            return
        limits = self._limits()
        if self._size.parsed_bytes > limits.max_head_bytes:
            self._reject(431)
        elif self._announced_body_bytes() > limits.max_body_bytes:
            self._reject(413)
        else:
            self._size.end_head()
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        if self._is_rejected:
            return
        self._size.add_body(len(body))
        super().on_body(body)
        if self._size.body_bytes > self._limits().max_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        if self._is_rejected:
            return
        self._size.is_receiving = False
        super().on_message_complete()
        if self.cycle.response_complete:
            return
        if self.cycle is self._running_cycle:
            self._admit(self._size.complete_memory_bytes)
        else:
            self._queued_memory_bytes.appendleft(self._size.complete_memory_bytes)

    def on_response_complete(self) -> None:
        self.timeout_keep_alive = self._limits().idle_timeout_s
        self._account.hold(Part.IN_PROGRESS, 0)
        self._account.hold(Part.RESPONSES, 0)
        self._account.has_served = True
        self._account.since = self._budget.now()
        super().on_response_complete()
        if self._size.is_receiving:
            self._unset_keepalive_if_required()
        self._record_memory()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._account.since = self._budget.now()
        self._account.block(True)
        unread_bytes = self.transport.get_write_buffer_size() + KERNEL_BUFFER_BYTES
        self._account.hold(Part.UNREAD, unread_bytes)
        self._budget.relieve()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._account.block(False)
        self._account.hold(Part.UNREAD, 0)

    def evict(self, is_descriptor_needed: bool) -> None:
        """Free what the connection holds, beside a request that may have been sent to a server."""
        if not self.flow.write_paused and self._has_request_in_progress():
            self._drop_queued_requests()
            self._record_memory()
        elif not self.flow.write_paused and self._size.is_receiving and not self._is_rejected:
            self._reject(503)
            self._record_memory()
            if is_descriptor_needed:
                self.transport.close()
        else:
            self._is_rejected = True
            self._account.close()
            self.transport.abort()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        super()._start_asgi_task(cycle, app)
        if not cycle.more_body:
            self._admit(self._queued_memory_bytes.pop())

    def _admit(self, memory_bytes: int) -> None:
        """Let the running request proceed, which has arrived completely, if there is room."""
        cycle = self._running_cycle
        amount = memory_bytes + IN_PROGRESS_BYTES
        if cycle.response_started:
            self._account.hold(Part.IN_PROGRESS, amount)
        elif not self._account.try_hold(Part.IN_PROGRESS, amount):
            self._budget.count("room")
            self._drop_queued_requests()
            self._disconnect_app(cycle)
            self._log_rejection(503, cycle.scope["headers"])
            self._respond(503, cycle.scope["headers"])

    def _try_hold_response(self, size: int) -> bool:
        """Return whether there is room for a part of the response until it is written."""
        has_room = self._account.try_hold(Part.RESPONSES, size)
        self._budget.relieve()
        return has_room

    def _has_request_in_progress(self) -> bool:
        """Return whether a complete request may have been sent to a backend server."""
        cycle = self._running_cycle
        return (
            cycle is not None
            and not cycle.more_body
            and not cycle.response_complete
            and not cycle.disconnected
        )

    def _announced_body_bytes(self) -> int:
        length = next((value for name, value in self.headers if name == b"content-length"), b"0")
        return int(length)

    def _check_arrival(self) -> None:
        """Reject a message that exceeds the limits, or start the timer for its next bytes."""
        limits = self._limits()
        if self._is_in_head:
            if self._size.head_bytes > limits.max_head_bytes:
                self._reject(431)
                return
            remaining_s = self._head_started_at + limits.head_timeout_s - self.loop.time()
            self._start_arrival_timer(remaining_s, lambda: self._reject(408))
        elif self._size.has_excessive_framing or self._size.unparsed_bytes > limits.max_head_bytes:
            self.logger.warning("bytes of a caller that are no request")
            self.send_400_response("Invalid HTTP request received.")
        elif self._size.is_receiving:
            self._start_arrival_timer(limits.idle_timeout_s, self._on_body_timeout)

    def _record_memory(self) -> None:
        """Record what the connection holds, beside the request in progress."""
        head_bytes = body_bytes = queued_bytes = 0
        if self._size.is_receiving and not self._is_rejected:
            head_bytes = self._size.head_memory_bytes
            if self._is_in_head or not self.cycle.response_complete:
                body_bytes = self._size.body_memory_bytes
            if self._size.is_expensive:
                # More of it waits in the kernel while others are read.
                body_bytes += KERNEL_BUFFER_BYTES
        if self._queued_memory_bytes:
            queued_bytes = sum(self._queued_memory_bytes) + KERNEL_BUFFER_BYTES
        self._account.hold(Part.HEADS, head_bytes)
        self._account.hold(Part.BODIES, body_bytes)
        self._account.hold(Part.QUEUED, queued_bytes)
        if len(self._queued_memory_bytes) >= MAX_QUEUED_REQUESTS:
            self.flow.hold_reading("queue")
        else:
            self.flow.release_reading("queue")

    def _start_arrival_timer(self, limit_s: float, action: Callable[[], None]) -> None:
        self._arrival_timer = self.loop.call_later(max(0.0, limit_s), action)

    def _stop_arrival_timer(self) -> None:
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
            self._arrival_timer = None

    def _on_body_timeout(self) -> None:
        if self.flow.read_paused:
            # No data arrives because this side has paused reading.
            self._start_arrival_timer(self._limits().idle_timeout_s, self._on_body_timeout)
        else:
            self._reject(408)

    def _reject(self, status: int) -> None:
        """Respond to a request that has not arrived completely, and end the connection."""
        self._is_rejected = True
        self._stop_arrival_timer()
        cycle = self.cycle
        if not self._is_in_head and cycle.response_started:
            # The response did not wait for the whole request.
            cycle.keep_alive = False
            if cycle.response_complete:
                self.transport.close()
            return
        headers = self.headers or []
        self._log_rejection(status, headers)
        if self._is_in_head:
            if cycle is not None and not cycle.response_complete:
                # The previous request is still being answered; its response ends the connection.
                cycle.keep_alive = False
                headers.clear()
                return
        elif self._drop_queued_request():
            headers.clear()
            return
        else:
            self._disconnect_app(cycle)
        self._respond(status, headers)

    def _disconnect_app(self, cycle: RequestResponseCycle) -> None:
        """End a request that the application has not received completely."""
        cycle.disconnected = True
        cycle.body = bytearray()
        cycle.message_event.set()

    def _drop_queued_requests(self) -> None:
        """Drop all requests behind the running one, and let its response end the connection."""
        self._is_rejected = True
        self._stop_arrival_timer()
        self.pipeline.clear()
        self._queued_memory_bytes.clear()
        self.headers = []
        self.cycle = self._running_cycle
        self.cycle.keep_alive = False

    def _drop_queued_requests_if_any(self) -> None:
        if self.pipeline:
            self._drop_queued_requests()
            self._record_memory()

    def _log_rejection(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        fields = (value for name, value in headers if name == self._id_header)
        self.logger.warning(
            "request of a caller refused",
            extra={
                "request_id": next(fields, b"").decode("latin-1"),
                "status": status,
                "not_run_by": "vm",
            },
        )

    def _respond(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the response to a rejected request, and close the connection after it.

        :param headers: header fields of the request, which are freed.
        """
        fields = [item for item in headers if item[0] in self._echoed_headers]
        headers.clear()
        fields.append((b"request-outcome", b"not-run"))
        if status == 503:
            fields.append((b"retry-after", b"%.3g" % OVERLOAD_RETRY_S))
        lines = b"".join(b"%b: %b\r\n" % item for item in fields)
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n%bcontent-length: 0\r\nconnection: close\r\n\r\n"
            % (status, _REASON_PHRASES[status], lines)
        )
        try:
            self.transport.write_eof()
        except OSError:
            # The client has reset the connection.
            self.transport.abort()
            return
        self._lingers_until = self.loop.time() + MAX_LINGER_S
        self.flow.resume_reading()
        self._linger()

    def _linger(self) -> None:
        """Close the connection of a rejected request once its client stops sending."""
        if self._lingers_until is not None:
            self._stop_arrival_timer()
            left_s = self._lingers_until - self.loop.time()
            self._start_arrival_timer(min(LINGER_S, left_s), self.transport.close)
