"""Parser of requests that does not change the protocol of a connection."""

from typing import Any

import httptools

__all__ = ["RequestParser"]

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class RequestParser:
    """Parses requests as HTTP/1.1, whatever other protocol they offer.

    Explanation
    ===========

    A server may ignore an offer of another protocol (RFC 9110, section 7.8). The parser of
    httptools takes the bytes behind a head with an offer for those of the other protocol, also
    the body of the request. Another parser then continues with the body, since the first one
    cannot be told to. ``CONNECT`` is refused, since the bytes behind its head are no HTTP.

    The interface is that of ``httptools.HttpRequestParser``.

    :param protocol: receives the calls of the parser; its ``headers`` are those of the request.
    """

    def __init__(self, protocol: Any) -> None:
        self._protocol = protocol
        self._events = _Events(protocol, self._on_head)
        self._parser = _make_parser(self._events)

    def feed_data(self, data: bytes) -> None:
        """Parse the next bytes.

        :raises httptools.HttpParserError: when they are no request.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = data[offer.args[0] :]
            if self._events.is_end_ignored:
                self._begin_body()
            if not data:
                return

    def get_method(self) -> bytes:
        return self._parser.get_method()

    def get_http_version(self) -> str:
        return self._parser.get_http_version()

    def should_keep_alive(self) -> bool:
        return self._parser.should_keep_alive()

    def should_upgrade(self) -> bool:
        """Return false, since no offer is accepted."""
        return False

    def _on_head(self) -> None:
        """Decide what follows the head of a request."""
        if self._parser.get_method() == b"CONNECT":
            raise httptools.HttpParserError("CONNECT is not supported")
        self._events.is_end_ignored = self._parser.should_upgrade() and bool(self._framing())

    def _framing(self) -> list[tuple[bytes, bytes]]:
        return [item for item in self._protocol.headers if item[0] in _FRAMING_HEADERS]

    def _begin_body(self) -> None:
        """Continue with a parser that has read the framing of the body, but no offer."""
        fields = b"".join(b"%b: %b\r\n" % item for item in self._framing())
        self._events = _Events(self._protocol, self._on_head, is_head_ignored=True)
        self._parser = _make_parser(self._events)
        self._parser.feed_data(b"POST / HTTP/1.1\r\n" + fields + b"\r\n")


class _Events:
    """Calls of one parser, which are passed on unless they are to be ignored.

    :ivar is_head_ignored: whether the next head is known already.
    :ivar is_end_ignored: whether the end of the current request is that of its head only.
    """

    def __init__(self, protocol: Any, on_head: Any, is_head_ignored: bool = False) -> None:
        self._protocol = protocol
        self._on_head = on_head
        self.is_head_ignored = is_head_ignored
        self.is_end_ignored = False
        self.on_body = protocol.on_body

    def on_message_begin(self) -> None:
        if not self.is_head_ignored:
            self._protocol.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if not self.is_head_ignored:
            self._protocol.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.is_head_ignored:
            self._protocol.on_header(name, value)

    def on_headers_complete(self) -> None:
        if self.is_head_ignored:
            self.is_head_ignored = False
            return
        self._on_head()
        self._protocol.on_headers_complete()

    def on_message_complete(self) -> None:
        if not self.is_end_ignored:
            self._protocol.on_message_complete()


def _make_parser(events: _Events) -> httptools.HttpRequestParser:
    parser = httptools.HttpRequestParser(events)
    # A response can then be sent to the first one of several requests on a connection.
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    return parser
