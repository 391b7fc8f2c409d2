"""Listening sockets, and factories of sockets with options for client libraries."""

import os
import socket
from collections.abc import Callable
from typing import Any

from hibiscushaven.ini.fields import Endpoint

__all__ = ["ACCEPTS_PER_TURN", "SocketOption", "listen", "socket_factory"]

# Connections that wait in the kernel to be accepted.
_BACKLOG = 2048

# Connections that one listening socket accepts in an iteration of the event loop. They are closed
# in a later one if there are too many.
ACCEPTS_PER_TURN = 16

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


class _ListeningSocket(socket.socket):
    """Listening socket that keeps its backlog.

    asyncio takes one number for the backlog and for the connections that it accepts at once.
    """

    def listen(self, backlog: int = _BACKLOG) -> None:
        super().listen(_BACKLOG)


def listen(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address.

    :raises OSError: when it cannot.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        bound = socket.create_server((host, port), family=family, backlog=_BACKLOG)
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else str(error)
        raise OSError(error.errno, f"cannot listen on {Endpoint(host, port)}: {reason}") from error
    return _ListeningSocket(fileno=bound.detach())
