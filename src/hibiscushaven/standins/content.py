"""Response bodies of the backend stand-in.

Each byte depends on its position, so that a comparison finds gaps and repeated parts.
"""

import hashlib
import re
from dataclasses import dataclass

__all__ = ["ByteRange", "content", "etag", "parse_range"]

_PATTERN = bytes(index * 31 % 251 for index in range(251 * 256))
_RANGE = re.compile(r"bytes=(\d+)-(\d*)")


@dataclass(frozen=True, slots=True)
class ByteRange:
    """Half-open range of byte positions in a body: ``start`` is included, ``end`` is not."""

    start: int
    end: int


def content(start: int, end: int) -> bytes:
    """Return the bytes of a body at the positions from ``start`` to before ``end``.

    Examples
    ========

    >>> content(0, 100)[40:60] == content(40, 60)
    True

    """
    offset = start % len(_PATTERN)
    repeats = (offset + end - start) // len(_PATTERN) + 1
    return (_PATTERN * repeats)[offset : offset + end - start]


def etag(path: str, size: int, version: int) -> str:
    """Return the entity tag of a body, which changes with any of the arguments."""
    digest = hashlib.sha256(f"{path} {size} {version}".encode()).hexdigest()
    return f'"{digest[:16]}"'


def parse_range(value: str | None, size: int) -> ByteRange | None:
    """Return the range that a ``Range`` header requests, or ``None`` for the whole body.

    Examples
    ========

    >>> parse_range("bytes=2-", 10)
    ByteRange(start=2, end=10)
    >>> parse_range("bytes=2-4", 10)
    ByteRange(start=2, end=5)
    >>> parse_range("bytes=10-", 10) is None
    True

    """
    match = _RANGE.fullmatch(value or "")
    if match is None:
        return None
    start = int(match[1])
    end = min(int(match[2]) + 1, size) if match[2] else size
    return ByteRange(start, end) if start < end else None
