"""HTTP connections of callers, within limits on what they send and how long they take."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["CallerProtocol", "ConnectionLimits"]

# Time in which a caller may read the answer to a request that was cut short, before its
# connection is closed; a close with unread bytes would reset it and lose the answer.
LINGER_S = 1.0

# Bytes between the name and the value of a header field, and after it.
_FIELD_OVERHEAD = 4

_REASONS = {
    408: b"Request Timeout",
    431: b"Request Header Fields Too Large",
}


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What one connection of a caller may use.

    :ivar head_bytes: most bytes from the request line to the end of the header fields.
    :ivar head_timeout_s: longest time from the first of these bytes to the last one.
    :ivar idle_timeout_s: longest silence between requests, or within a body.
    """

    head_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class CallerProtocol(HttpToolsProtocol):
    """Parses requests; ends connections that break the limits.

    Explanation
    ===========

    A head that is too long gets 431, one that does not arrive in time 408, and so does a body
    that stops arriving. The request has not been handed on then. A request that is answered on
    the same connection meanwhile gets its whole answer first.

    A connection keeps the limit on silence that held when it fell silent, since its caller
    cannot know a shorter one before the next answer.

    :param limits: the limits in force.
    """

    def __init__(self, *args: Any, limits: Callable[[], ConnectionLimits], **options: Any) -> None:
        super().__init__(*args, **options)
        self._limits = limits
        self._is_in_head = False
        self._fed_bytes = 0
        self._field_bytes = 0
        self._is_refused = False
        self._arrival_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        idle_s = self._limits().idle_timeout_s
        self.timeout_keep_alive_task = self.loop.call_later(idle_s, self.timeout_keep_alive_handler)

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_arrival_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._is_refused:
            return
        self._stop_arrival_timer()
        self._fed_bytes = len(data) + (self._fed_bytes if self._is_in_head else 0)
        super().data_received(data)
        if self._is_refused or self.transport.is_closing():
            return
        limits = self._limits()
        if not self._is_in_head:
            if self.cycle is not None and self.cycle.more_body:
                self._watch(limits.idle_timeout_s, self._on_silent_body)
        elif self._fed_bytes > limits.head_bytes:
            self._refuse(431)
        else:
            left_s = self._head_since + limits.head_timeout_s - self.loop.time()
            self._watch(left_s, lambda: self._refuse(408))

    def on_message_begin(self) -> None:
        self._is_in_head = True
        self._head_since = self.loop.time()
        self._field_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        self._field_bytes += len(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._field_bytes += len(name) + len(value) + _FIELD_OVERHEAD
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._field_bytes > self._limits().head_bytes:
            self._refuse(431)
        self._is_in_head = False
        if not self._is_refused:
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        if not self._is_refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        if not self._is_refused:
            super().on_message_complete()

    def on_response_complete(self) -> None:
        self.timeout_keep_alive = self._limits().idle_timeout_s
        super().on_response_complete()

    def _watch(self, limit_s: float, action: Callable[[], None]) -> None:
        self._arrival_timer = self.loop.call_later(max(0.0, limit_s), action)

    def _stop_arrival_timer(self) -> None:
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
            self._arrival_timer = None

    def _on_silent_body(self) -> None:
        cycle = self.cycle
        if self.flow.read_paused:
            # The silence is this side's own.
            self._watch(self._limits().idle_timeout_s, self._on_silent_body)
        elif cycle.response_complete:
            self.transport.close()
        elif not cycle.response_started:
            cycle.disconnected = True
            cycle.message_event.set()
            self._refuse(408)

    def _refuse(self, status: int) -> None:
        """End the connection with the answer to a request that has not arrived whole."""
        self._is_refused = True
        self.logger.warning("request of a caller refused", extra={"status": status})
        if self._is_in_head and self.cycle is not None and not self.cycle.response_complete:
            # The request before this one gets its answer, which ends the connection.
            self.cycle.keep_alive = False
            return
        self.transport.write(
            b"HTTP/1.1 %d %b\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            % (status, _REASONS[status])
        )
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)
