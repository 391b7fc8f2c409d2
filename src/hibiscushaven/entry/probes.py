"""Reading of the load and health endpoints of owned backend servers."""

import asyncio
import json

from hibiscushaven.delivery import BackendClient
from hibiscushaven.documents import Server

from .owners import ShardOwners

__all__ = ["ServerProbes"]


class ServerProbes:
    """Asks owned backend servers for their load, as a hint for the dispatcher.

    The reports lag and mislead, so they never give a backend server more work than its slots.
    """

    def __init__(self, owners: ShardOwners, client: BackendClient) -> None:
        self._owners = owners
        self._client = client

    async def step(self) -> None:
        """Ask every owned backend server once."""
        pairs = [
            (runner, server)
            for runner in self._owners.runners.values()
            for server in runner.servers
        ]
        await asyncio.gather(*(self._ask(runner, server) for runner, server in pairs))

    async def _ask(self, runner, server: Server) -> None:
        answer = await self._client.call_control(server.address, "GET", "/-/load")
        if answer is None or answer[0] != 200:
            return
        try:
            report = json.loads(answer[1])
            in_progress = int(report["in_progress"])
        except (ValueError, KeyError, TypeError):
            return
        runner.report_load(server.name, in_progress, 0.0)
