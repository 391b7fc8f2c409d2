"""Typed messages between VMs and their msgpack encoding."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, TypeVar

import msgpack

__all__ = ["MESSAGES", "DecodeError", "Message", "decode", "encode", "message"]

T = TypeVar("T", bound=type)


class DecodeError(Exception):
    """The bytes are not a message that this version can decode."""


@dataclass(frozen=True, slots=True)
class Message:
    """Base class of the messages between VMs."""


MESSAGES: dict[str, type[Message]] = {}


def message(kind: str) -> Callable[[T], T]:
    """Return a decorator that registers a frozen data class for a message kind.

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
    """Return the msgpack encoding: an array of the kind and the field values in order."""
    values: list[Any] = [getattr(item, field.name) for field in fields(item)]
    return msgpack.packb([item.kind, *values])


def decode(data: bytes) -> Message:
    """Decode a message.

    Fields that a newer version appended are ignored, so that VMs of two versions can
    communicate.

    :raises DecodeError: when the bytes are not a message of a registered kind.
    """
    try:
        kind, *values = msgpack.unpackb(data, use_list=False, strict_map_key=False)
        cls = MESSAGES[kind]
        return cls(*values[: len(fields(cls))])
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise DecodeError(f"not a message: {data[:40]!r}") from error
