"""HTTP protocol that parses requests and answers each of them once and in order."""

from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from .request_parser import RequestParser

__all__ = ["RequestProtocol"]


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
        if self._is_rejected:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.logger.warning("bytes of a caller that are no request")
            self.send_400_response("Invalid HTTP request received.")

    def on_message_begin(self) -> None:
        # Blank lines between requests do not end the idle time.
        self._unset_keepalive_if_required()
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
        if self._is_rejected:
            return
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
