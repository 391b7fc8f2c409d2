"""Size of the request that is being received on a connection, in transit and in memory."""

from collections.abc import Iterable

__all__ = ["BODY_FACTOR", "MESSAGE_BYTES", "MessageSize", "request_memory_bytes"]

# Colon behind the name of a header field, and the line break after its value.
_FIELD_OVERHEAD_BYTES = 3

# Memory of a header field beside its name and value, which exist as bytes and as text.
FIELD_BYTES = 320

# Memory of a request beside its head and body.
MESSAGE_BYTES = 3 * 1024

# Bodies grow in steps while they arrive. In progress they exist twice, the second time in the
# buffer of the connection to a backend server.
ARRIVING_BODY_FACTOR = 1.25
BODY_FACTOR = 2

# Bytes of framing of a body, such as extensions of chunks: a fixed number, and some for each byte
# of the body, since a chunk of one byte has five of them, and more if its size has leading zeros.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_RATIO = 32

# Parsed fields and pieces of a body above which a read counts as expensive.
EXPENSIVE_EVENTS = 256


def request_memory_bytes(fields: Iterable[tuple[str, str]], body_bytes: int) -> int:
    """Return the memory of a whole request until it is answered.

    Examples
    ========

    >>> request_memory_bytes([("name", "value")], 1000) == MESSAGE_BYTES + FIELD_BYTES + 18 + 2000
    True

    """
    field_bytes = sum(FIELD_BYTES + 2 * (len(name) + len(value)) for name, value in fields)
    return MESSAGE_BYTES + field_bytes + BODY_FACTOR * body_bytes


class MessageSize:
    """Counts the bytes of the request that is being received.

    Explanation
    ===========

    A read of the connection can have the end of one request and the beginning of another. The
    bytes of a head are counted as far as they are surely its own, so that a head within the limit
    is never rejected.

    :ivar is_receiving: whether a request has begun and has not ended.
    :ivar body_bytes: length of its body so far.
    """

    def __init__(self) -> None:
        self.is_receiving = False
        self.body_bytes = 0
        self._head_memory_bytes = 0
        # Parsed bytes of the head or of the trailers, and bytes of all reads within the head.
        self._parsed_bytes = 0
        self._head_bytes = 0
        self._framed_body_bytes = 0
        # Bytes since anything was parsed, and what was parsed of the current read.
        self._unparsed_bytes = 0
        self._events = 0
        self._begun_messages = 0
        self._was_receiving = False

    @property
    def head_bytes(self) -> int:
        """Length of the head so far."""
        return max(self._head_bytes, self._parsed_bytes)

    @property
    def parsed_bytes(self) -> int:
        """Length of what was parsed of the head or of the trailers."""
        return self._parsed_bytes

    @property
    def unparsed_bytes(self) -> int:
        """Bytes since anything was parsed."""
        return self._unparsed_bytes

    @property
    def has_excessive_framing(self) -> bool:
        """Whether the bytes behind the head are too many for the body that they contain."""
        framing_bytes = self._framed_body_bytes - MAX_FRAMING_RATIO * self.body_bytes
        return framing_bytes > MAX_FRAMING_BYTES

    @property
    def is_expensive(self) -> bool:
        """Whether the current read took long to parse."""
        return self._events > EXPENSIVE_EVENTS

    @property
    def head_memory_bytes(self) -> int:
        """Memory of the head while the request arrives."""
        return MESSAGE_BYTES + self._head_memory_bytes + self._unparsed_bytes

    @property
    def body_memory_bytes(self) -> int:
        """Memory of the body while it arrives."""
        return int(ARRIVING_BODY_FACTOR * self.body_bytes)

    @property
    def complete_memory_bytes(self) -> int:
        """Memory of the whole request, until it is answered."""
        return MESSAGE_BYTES + self._head_memory_bytes + BODY_FACTOR * self.body_bytes

    def begin_read(self, size: int, is_in_head: bool) -> None:
        """Count the bytes of a read before they are parsed."""
        if is_in_head:
            self._head_bytes += size
        else:
            self._framed_body_bytes += size
        self._was_receiving = self.is_receiving
        self._events = self._begun_messages = 0

    def end_read(self, size: int, is_in_head: bool) -> None:
        """Count the bytes of a read after they are parsed."""
        self._unparsed_bytes = 0 if self._events else self._unparsed_bytes + size
        if is_in_head and self._begun_messages == 1 and not self._was_receiving:
            self._head_bytes = size

    def begin_message(self) -> None:
        """Begin another request."""
        self.is_receiving = True
        self.body_bytes = self._head_memory_bytes = 0
        self._parsed_bytes = self._head_bytes = self._framed_body_bytes = 0
        self._begun_messages += 1
        self._events += 1

    def add_target(self, size: int) -> None:
        """Count a part of the target."""
        self._parsed_bytes += size
        self._head_memory_bytes += 3 * size

    def add_field(self, name: bytes, value: bytes, is_in_head: bool) -> None:
        """Count a header field or a trailer, which is not kept."""
        self._events += 1
        self._parsed_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        if is_in_head:
            self._head_memory_bytes += FIELD_BYTES + 2 * (len(name) + len(value))

    def end_head(self) -> None:
        """Begin the body."""
        self._parsed_bytes = self._head_bytes = 0

    def add_body(self, size: int) -> None:
        """Count a piece of the body."""
        self._events += 1
        self.body_bytes += size
