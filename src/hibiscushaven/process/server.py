"""An HTTP server whose life cycle belongs to the daemon."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from functools import partial

import uvicorn
from starlette.types import ASGIApp

from hibiscushaven.ini.fields import Endpoint

from .caller_protocol import CallerProtocol, ConnectionLimits

__all__ = ["HttpServer"]

_BACKLOG = 2048


class _QuietServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class _EventServer(_QuietServer):
    """A server without the ticks that only renew the ``Date`` header."""

    async def main_loop(self) -> None:
        while not self.should_exit:
            self._wake = asyncio.Event()
            await self._wake.wait()

    def wake(self) -> None:
        """Let the server notice that it should exit."""
        self._wake.set()


class HttpServer:
    """Serves an ASGI application.

    :param keep_alive_s: time that an idle connection of a caller is kept.
    :param adds_date_header: whether answers without a ``Date`` header get one.
    :param limits: limits of each connection, if they may change while the server runs.
    """

    def __init__(
        self,
        app: ASGIApp,
        host: str,
        port: int,
        keep_alive_s: int = 15,
        adds_date_header: bool = True,
        limits: Callable[[], ConnectionLimits] | None = None,
    ) -> None:
        protocol = "httptools" if limits is None else partial(CallerProtocol, limits=limits)
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            log_config=None,
            access_log=False,
            lifespan="off",
            loop="asyncio",
            http=protocol,
            ws="none",
            timeout_keep_alive=keep_alive_s,
            server_header=False,
            date_header=adds_date_header,
        )
        self._server = _QuietServer(config) if adds_date_header else _EventServer(config)
        self._socket: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """The port, which is chosen at the start if it was given as 0."""
        return self._socket.getsockname()[1] if self._socket else self._server.config.port

    async def start(self) -> None:
        """Start listening.

        :raises OSError: when the address cannot be used.
        """
        config = self._server.config
        # uvicorn logs an address that it cannot use and ends the process.
        self._socket = _bind(config.host, config.port)
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0)

    async def stop(self, is_forced: bool = False) -> None:
        """Stop listening and finish the requests in progress.

        :param is_forced: whether to abort them instead.
        """
        self._server.should_exit = True
        self._server.force_exit = is_forced
        if isinstance(self._server, _EventServer):
            self._server.wake()
        if self._task is not None:
            await self._task


def _bind(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.create_server((host, port), family=family, backlog=_BACKLOG)
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else str(error)
        raise OSError(error.errno, f"cannot listen on {Endpoint(host, port)}: {reason}") from error
