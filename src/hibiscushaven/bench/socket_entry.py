"""One entry VM on a real socket.

Imports only modules that a daemon imports too, so that its memory can be measured.
"""

import asyncio

import click

from hibiscushaven.documents.rows import (
    HEADS_KEY,
    DocumentRow,
    Operator,
    document_key,
    encode_heads,
)
from hibiscushaven.entry import EntryDaemon
from hibiscushaven.settings import Settings
from hibiscushaven.tablestore import MemoryPlatform, VmRecord, VmState, Write

__all__ = ["HOST", "SERVER_HOSTS", "SERVICE", "SLOTS", "bench_document", "main"]

HOST = "127.133.1.1"
SERVER_HOSTS = tuple(f"127.143.1.{number}" for number in (1, 2, 3, 4))
SLOTS = 16
SERVICE = "stock"


def bench_document(server_port: int) -> str:
    """Return a document with one place that contains the backend stand-ins."""
    lines = ["[service]", f"name = {SERVICE}", "tenant = bench", "team = bench"]
    lines += ["[class check]", "path = /items/*", "methods = GET", "idempotent = yes"]
    lines += ["size = short", "deadline_ms = 5000", "priority = 5"]
    lines += ["[place p]", "region = r", "failure_domain = d", "capacity = 64", "weight = 1"]
    for number, host in enumerate(SERVER_HOSTS):
        lines += [f"[server s{number}]", "place = p", f"address = {host}:{server_port}"]
        lines += [f"slots = {SLOTS}", "connections = 800"]
    return "\n".join(lines) + "\n"


async def _preload_platform(document: str, settings: Settings) -> MemoryPlatform:
    platform = MemoryPlatform()
    entry = VmRecord(
        settings.name, "d", "r", settings.host, settings.peer_port, VmState.LIVE, settings.http_port
    )
    platform.set_vms((entry,))
    row = DocumentRow(SERVICE, "bench", document, 1, "op", Operator("bench", "bench"), 0.0)
    heads = encode_heads({SERVICE: 1})
    await platform.transact(
        (Write(document_key(SERVICE), row.encode(), 0), Write(HEADS_KEY, heads, 0))
    )
    return platform


@click.command()
@click.argument("http_port", type=int)
@click.argument("peer_port", type=int)
@click.argument("server_port", type=int)
def main(http_port: int, peer_port: int, server_port: int) -> None:
    """Run one entry VM with an in-memory platform."""
    asyncio.run(_serve(http_port, peer_port, server_port))


async def _serve(http_port: int, peer_port: int, server_port: int) -> None:
    settings = Settings("vm", "r", "d", HOST, http_port, peer_port, "http://127.0.0.1:1")
    daemon = EntryDaemon(settings, await _preload_platform(bench_document(server_port), settings))
    await daemon.start()
    await asyncio.get_running_loop().create_future()


if __name__ == "__main__":
    main()
