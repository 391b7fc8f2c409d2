"""An HTTP server whose life cycle belongs to the daemon."""

import asyncio
import contextlib

import uvicorn
from starlette.applications import Starlette

__all__ = ["HttpServer"]


class _QuietServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpServer:
    """Serves a Starlette application.

    :param keep_alive_s: time that an idle connection of a caller is kept.
    """

    def __init__(self, app: Starlette, host: str, port: int, keep_alive_s: int = 15) -> None:
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            log_config=None,
            access_log=False,
            lifespan="off",
            loop="asyncio",
            http="httptools",
            ws="none",
            timeout_keep_alive=keep_alive_s,
            server_header=False,
        )
        self._server = _QuietServer(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening.

        :raises OSError: when the address cannot be used.
        """
        self._task = asyncio.create_task(self._serve())
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
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit as error:
            config = self._server.config
            raise OSError(f"cannot listen on {config.host}:{config.port}") from error
