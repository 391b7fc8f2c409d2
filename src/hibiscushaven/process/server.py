"""HTTP server that a daemon starts and stops."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from functools import partial

import uvicorn
from starlette.types import ASGIApp

from .caller_protocol import CallerProtocol, ConnectionLimits
from .connection_budget import ConnectionBudget
from .request_protocol import RequestProtocol
from .sockets import ACCEPTS_PER_TURN, listen

__all__ = ["HttpServer"]


class _SignalFreeServer(uvicorn.Server):
    """Server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class _TicklessServer(_SignalFreeServer):
    """Server without the periodic tick, whose only purpose is to renew the ``Date`` header."""

    async def main_loop(self) -> None:
        while not self.should_exit:
            self._wake_up = asyncio.Event()
            await self._wake_up.wait()

    def wake(self) -> None:
        """Wake the main loop to check whether it should exit."""
        self._wake_up.set()


class HttpServer:
    """Serves an ASGI application.

    :param keep_alive_s: time after which an idle connection of a caller is closed.
    :param adds_date_header: whether to add a ``Date`` header to responses without one.
    :param limits: returns the limits of each connection, which may change while the server
        runs; ``None`` for none.
    :param budget: budget that the connections share with those of other servers.
    :param id_header: name of the header field with a request's id, for the log.
    :param echoed_headers: further header fields that responses to rejected requests return.
    """

    def __init__(
        self,
        app: ASGIApp,
        host: str,
        port: int,
        keep_alive_s: int = 15,
        adds_date_header: bool = True,
        limits: Callable[[], ConnectionLimits] | None = None,
        budget: ConnectionBudget | None = None,
        id_header: str = "",
        echoed_headers: tuple[str, ...] = (),
    ) -> None:
        protocol = RequestProtocol
        if limits is not None:
            protocol = partial(
                CallerProtocol,
                limits=limits,
                budget=budget,
                id_header=id_header.lower(),
                echoed_headers=tuple(name.lower() for name in echoed_headers),
            )
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            backlog=ACCEPTS_PER_TURN,
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
        self._server = _SignalFreeServer(config) if adds_date_header else _TicklessServer(config)
        self._socket: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """The port; a configured port of 0 is replaced on start by the one assigned."""
        return self._socket.getsockname()[1] if self._socket else self._server.config.port

    async def start(self) -> None:
        """Start listening.

        :raises OSError: when the server cannot listen on the address.
        """
        config = self._server.config
        # Binding here raises an error; uvicorn would log it and exit the process.
        self._socket = listen(config.host, config.port)
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0)

    async def stop(self, is_forced: bool = False) -> None:
        """Stop listening and finish the requests in progress, if the server was started.

        :param is_forced: whether to abort the requests in progress instead.
        """
        if self._task is None:
            return
        self._server.should_exit = True
        self._server.force_exit = is_forced
        if isinstance(self._server, _TicklessServer):
            self._server.wake()
        await self._task
