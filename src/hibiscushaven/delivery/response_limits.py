"""Bytes that a backend server sends beside its responses."""

from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

__all__ = ["BoundedResponseHandler", "is_http_status"]

# Bytes that are read at once. A response that is passed on slowly holds some of them.
READ_BYTES = 64 * 1024

# Bytes of a response that are not part of its body, such as heads, interim responses and trailers.
MAX_OVERHEAD_BYTES = 64 * 1024

# Bytes of framing for each byte of a body; a chunk of one byte has five, and some may have
# extensions.
MAX_FRAMING_RATIO = 16


def is_http_status(status: int) -> bool:
    """Return whether a status belongs to one of the five classes of HTTP.

    Examples
    ========

    >>> is_http_status(204), is_http_status(0), is_http_status(600)
    (True, False, False)

    """
    return 100 <= status <= 599


class BoundedResponseHandler(ResponseHandler):
    """Protocol that closes a connection whose bytes do not add up to a response.

    Explanation
    ===========

    aiohttp limits the lines of a head, but accepts blank lines, interim responses and extensions of
    chunks without end. They arrive as fast as the network allows and occupy the event loop until
    the deadline of the request. It also keeps bytes that arrive on an idle connection as the
    response to the next request.

    :param id_header: header field by which each response names its request. After a response
        without it the connection is not used again, since a repetition of that response could be
        taken for the response to the next request. ``None`` if there is no such field.
    """

    def __init__(self, *args: Any, id_header: str | None = None, **options: Any) -> None:
        super().__init__(*args, **options)
        self._id_header = id_header
        self._received_bytes = 0
        self._has_head = False

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        transport.max_size = READ_BYTES

    def set_response_params(self, **params: Any) -> None:
        """Begin a response."""
        self._received_bytes = 0
        self._has_head = False
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue a message that was parsed."""
        message = data[0]
        if not is_http_status(message.code):
            self._reject(f"status {message.code:03}")
            return
        if message.code >= 200:
            self._has_head = True
            if self._id_header is not None and self._id_header not in message.headers:
                self.force_close()
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        if data and self._is_response_complete():
            # They belong to no request; the next one would take them for its response.
            self.force_close()
            if self.transport is not None:
                self.transport.abort()
            return
        self._received_bytes += len(data)
        super().data_received(data)
        payload = self._payload
        is_complete = payload is None and self._has_head
        # While reading is paused, the parser holds bytes of the body back.
        if is_complete or self._reading_paused:
            return
        body_bytes = payload.total_bytes if payload is not None else 0
        if self._received_bytes > MAX_OVERHEAD_BYTES + MAX_FRAMING_RATIO * body_bytes:
            self._reject(f"{self._received_bytes} bytes that are no response")

    def _is_response_complete(self) -> bool:
        return self._has_head and (self._payload is None or self._payload.is_eof())

    def _reject(self, detail: str) -> None:
        if self._payload is not None:
            self._payload.set_exception(aiohttp.ClientPayloadError(detail))
        self.set_exception(HttpProcessingError(code=400, message=detail))
        if self.transport is not None:
            self.transport.abort()
