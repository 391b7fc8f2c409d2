"""HTTP protocol for connections of callers, with limits on sizes and times."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from .request_parser import RequestParser

__all__ = ["CallerProtocol", "ConnectionLimits", "RequestProtocol"]

# Time for a caller to read the response to a rejected request before its connection is closed.
# Closing a connection with unread bytes resets it, which can lose the response.
LINGER_S = 1.0

# Colon behind the name of a header field, and the line break after its value.
_FIELD_OVERHEAD_BYTES = 3

_REASON_PHRASES = {
    408: b"Request Timeout",
    431: b"Request Header Fields Too Large",
}


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection of a caller.

    :ivar max_head_bytes: maximum size of the request line and header fields.
    :ivar head_timeout_s: maximum time from the first to the last byte of the head.
    :ivar idle_timeout_s: maximum time without a byte between requests, or within a body.
    """

    max_head_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class RequestProtocol(HttpToolsProtocol):
    """Parses requests, ignoring offers of other protocols.

    Explanation
    ===========

    The response to a request that is in progress precedes the one to bytes that are no request,
    since callers take each response for that to their earliest request without one.

    Trailers are no header fields: what a request is and who sent it is decided by its head.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.parser = RequestParser(self)
        self._is_in_head = False
        self._is_rejected = False
        self._running_cycle: RequestResponseCycle | None = None

    def data_received(self, data: bytes) -> None:
        if not self._is_rejected:
            super().data_received(data)

    def on_message_begin(self) -> None:
        self._is_in_head = True
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._is_in_head = False
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Respond to bytes that are no request, after the response in progress if there is one."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            if not cycle.more_body:
                self._is_rejected = True
                cycle.keep_alive = False
                return
            if self._drop_queued_request():
                return
            # The bytes are those of the body, so that the request has not been forwarded.
            cycle.disconnected = True
            cycle.message_event.set()
        super().send_400_response(msg)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._running_cycle = cycle
        super()._start_asgi_task(cycle, app)

    def _drop_queued_request(self) -> bool:
        """Drop the request that is being received if an earlier one is in progress.

        :returns: whether there is one. The connection ends after the earlier requests.
        """
        if not self.pipeline:
            return False
        self.pipeline.popleft()
        self.cycle = self.pipeline[0][0] if self.pipeline else self._running_cycle
        self.cycle.keep_alive = False
        self._is_rejected = True
        return True


class CallerProtocol(RequestProtocol):
    """Parses requests, and closes connections that exceed the limits.

    Explanation
    ===========

    A head or trailers that are too long are rejected with status 431. A head that does not arrive
    in time or a body that stalls is rejected with status 408. Rejected requests are not forwarded.
    If the response to an earlier request on the connection is in progress, it is completed first.

    The idle timeout of a connection is the one in force when its idle time began, since the
    caller cannot learn of a shorter one before the next response.

    :param limits: returns the limits in force.
    :param id_header: lower-case name of the header field with a request's id, for the log and
        for responses.
    """

    def __init__(
        self,
        *args: Any,
        limits: Callable[[], ConnectionLimits],
        id_header: str = "",
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._limits = limits
        self._id_header = id_header.encode()
        self._received_bytes = 0
        self._parsed_bytes = 0
        self._arrival_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        idle_s = self._limits().idle_timeout_s
        self.timeout_keep_alive_task = self.loop.call_later(idle_s, self.timeout_keep_alive_handler)

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_arrival_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._is_rejected:
            return
        self._stop_arrival_timer()
        self._received_bytes = len(data) + (self._received_bytes if self._is_in_head else 0)
        super().data_received(data)
        if self._is_rejected or self.transport.is_closing():
            return
        limits = self._limits()
        if not self._is_in_head:
            if self.cycle is not None and self.cycle.more_body:
                self._start_arrival_timer(limits.idle_timeout_s, self._on_body_timeout)
        elif self._received_bytes > limits.max_head_bytes:
            self._reject(431)
        else:
            remaining_s = self._head_started_at + limits.head_timeout_s - self.loop.time()
            self._start_arrival_timer(remaining_s, lambda: self._reject(408))

    def on_message_begin(self) -> None:
        self._head_started_at = self.loop.time()
        self._parsed_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        self._parsed_bytes += len(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_rejected:
            return
        self._parsed_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        super().on_header(name, value)
        if self._parsed_bytes > self._limits().max_head_bytes and not self._is_in_head:
            self._reject(431)

    def on_headers_complete(self) -> None:
        if self._parsed_bytes > self._limits().max_head_bytes:
            self._reject(431)
        self._parsed_bytes = 0
        if not self._is_rejected:
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        if not self._is_rejected:
            super().on_body(body)

    def on_message_complete(self) -> None:
        if not self._is_rejected:
            super().on_message_complete()

    def on_response_complete(self) -> None:
        self.timeout_keep_alive = self._limits().idle_timeout_s
        super().on_response_complete()

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

    def _request_id(self) -> bytes:
        """Return the id in the head of the request that is being received, if it has arrived."""
        fields = (value for name, value in self.headers or () if name == self._id_header)
        return next(fields, b"")

    def _reject(self, status: int) -> None:
        """Respond to a request that has not arrived completely, and end the connection."""
        self._is_rejected = True
        cycle = self.cycle
        if not self._is_in_head and cycle.response_started:
            # The response did not wait for the whole request.
            cycle.keep_alive = False
            if cycle.response_complete:
                self.transport.close()
            return
        request_id = self._request_id()
        self.logger.warning(
            "request of a caller refused",
            extra={
                "request_id": request_id.decode("latin-1"),
                "status": status,
                "not_run_by": "vm",
            },
        )
        if self._is_in_head:
            if cycle is not None and not cycle.response_complete:
                # The previous request is still being answered; its response ends the connection.
                cycle.keep_alive = False
                return
        elif self._drop_queued_request():
            return
        else:
            cycle.disconnected = True
            cycle.message_event.set()
        id_field = b"%b: %b\r\n" % (self._id_header, request_id) if request_id else b""
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n%bcontent-length: 0\r\nconnection: close\r\n\r\n"
            % (status, _REASON_PHRASES[status], id_field)
        )
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)
