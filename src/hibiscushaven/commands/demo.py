"""The quick demo: one deployment in one process, with the platform in memory."""

import asyncio
import sys

import click

from hibiscushaven.entry import EntryDaemon
from hibiscushaven.logs import configure_logs
from hibiscushaven.process import on_stop
from hibiscushaven.settings import Deployment
from hibiscushaven.tablestore import MemoryPlatform

from .backends import close_backends, start_backends
from .loading import load_documents
from .output import EXIT_REFUSED, listen_errors
from .standin import open_deployment, parse_files, preloaded_platform

__all__ = ["demo"]

_DEFAULT = "examples/retalho_sul.ini"


@click.command()
@click.option(
    "--deployment",
    "path",
    default=_DEFAULT,
    show_default=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Deployment file.",
)
def demo(path: str) -> None:
    """Run a deployment in one process, until Ctrl-C or SIGTERM.

    Entry VMs, backend servers and the platform share the process, and stop at once. For one
    process each, and for a stop that hands over, run scripts/demo.sh (make demo).
    """
    deployment = open_deployment(path)
    documents = parse_files(tuple(map(str, deployment.documents.values())))
    configure_logs("warning", "text", "demo")
    with listen_errors():
        is_started = asyncio.run(_run(deployment, documents, preloaded_platform(deployment)))
    if not is_started:
        sys.exit(EXIT_REFUSED)


async def _run(deployment: Deployment, documents: tuple, platform: MemoryPlatform) -> bool:
    """Run until a signal; return whether the deployment started."""
    stop = asyncio.Event()
    on_stop(stop.set)
    daemons: list[EntryDaemon] = []
    backends = await start_backends(documents)
    try:
        for settings in deployment.vms:
            daemon = EntryDaemon(settings, platform)
            daemons.append(daemon)
            await daemon.start()
        return await _serve(deployment, stop)
    finally:
        await asyncio.gather(*(daemon.stop(is_forced=True) for daemon in daemons))
        await close_backends(backends)


async def _serve(deployment: Deployment, stop: asyncio.Event) -> bool:
    loading = asyncio.create_task(load_documents(deployment))
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((loading, stopping), return_when=asyncio.FIRST_COMPLETED)
    is_loaded = loading.done() and loading.result()
    if is_loaded:
        click.echo("Press Ctrl-C to stop.")
        await stopping
    stopping.cancel()
    loading.cancel()
    return is_loaded or stop.is_set()
