"""Sockets with options, for clients that open connections by themselves."""

import socket
from collections.abc import Callable
from typing import Any

__all__ = ["SocketOption", "socket_factory"]

# Level, name and value of an option.
SocketOption = tuple[int, int, int | bytes]


def socket_factory(*options: SocketOption) -> Callable[[Any], socket.socket]:
    """Return a function that makes a socket with these options for an ``getaddrinfo`` entry."""

    def make(address: Any) -> socket.socket:
        family, kind, protocol, _, _ = address
        made = socket.socket(family, kind, protocol)
        made.setblocking(False)
        for level, name, value in options:
            made.setsockopt(level, name, value)
        return made

    return make
