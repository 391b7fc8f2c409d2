"""Socket factories with options, for client libraries that open their own connections."""

import socket
from collections.abc import Callable
from typing import Any

__all__ = ["SocketOption", "socket_factory"]

# Level, name and value of an option.
SocketOption = tuple[int, int, int | bytes]


def socket_factory(*options: SocketOption) -> Callable[[Any], socket.socket]:
    """Return a function that creates a socket with options for a ``getaddrinfo`` entry."""

    def make_socket(address: Any) -> socket.socket:
        family, kind, protocol, _, _ = address
        new_socket = socket.socket(family, kind, protocol)
        new_socket.setblocking(False)
        for level, name, value in options:
            new_socket.setsockopt(level, name, value)
        return new_socket

    return make_socket
