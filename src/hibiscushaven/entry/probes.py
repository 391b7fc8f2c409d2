"""Polls the load endpoints of the backend servers in owned shards."""

import asyncio
import json

from hibiscushaven.delivery import BackendClient
from hibiscushaven.documents import Server

from .owners import ShardOwners

__all__ = ["ServerProbes"]


class ServerProbes:
    """Polls backend servers in owned shards for their load, as a hint for the dispatcher.

    Load reports can be late or wrong, so they never raise the number of requests of a backend
    server above its slots.
    """

    def __init__(self, owners: ShardOwners, client: BackendClient) -> None:
        self._owners = owners
        self._client = client

    async def probe_all(self) -> None:
        """Poll every backend server in the owned shards once."""
        pairs = [
            (runner, server)
            for runner in self._owners.runners.values()
            for server in runner.servers
        ]
        await asyncio.gather(*(self._probe(runner, server) for runner, server in pairs))

    async def _probe(self, runner, server: Server) -> None:
        response = await self._client.call_control(server.address, "GET", "/-/load")
        if response is None or response[0] != 200:
            return
        try:
            report = json.loads(response[1])
            in_progress = int(report["in_progress"])
        except (ValueError, KeyError, TypeError):
            return
        runner.report_load(server.name, in_progress, 0.0)
