"""Typed messages between VMs and their msgpack form."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, TypeVar

import msgpack

__all__ = ["MESSAGES", "DecodeError", "Message", "decode", "encode", "message"]

T = TypeVar("T", bound=type)


class DecodeError(Exception):
    """Bytes that are not a message of this version."""


@dataclass(frozen=True, slots=True)
class Message:
    """Base of the messages between VMs."""


MESSAGES: dict[str, type[Message]] = {}


def message(kind: str) -> Callable[[T], T]:
    """Register a frozen data class as the message of a kind.

    Examples
    ========

    >>> from dataclasses import dataclass
    >>> @message("example-ping")
    ... @dataclass(frozen=True, slots=True)
    ... class Ping(Message):
    ...     number: int
    >>> decode(encode(Ping(3)))
    Ping(number=3)

    """

    def register(cls: T) -> T:
        if MESSAGES.setdefault(kind, cls) is not cls:
            raise ValueError(f"message kind {kind!r} is already registered")
        cls.kind = kind  # a class attribute, not a field of the message
        return cls

    return register


def encode(item: Message) -> bytes:
    """Return the msgpack form: the kind, then the fields in order."""
    values: list[Any] = [getattr(item, field.name) for field in fields(item)]
    return msgpack.packb([item.kind, *values])


def decode(data: bytes) -> Message:
    """Return the message of some bytes.

    Fields that a newer version appended are ignored, so that VMs of two versions can talk.

    :raises DecodeError: when the bytes are not a known message.
    """
    try:
        kind, *values = msgpack.unpackb(data, use_list=False, strict_map_key=False)
        cls = MESSAGES[kind]
        return cls(*values[: len(fields(cls))])
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise DecodeError(f"not a message: {data[:40]!r}") from error
