"""The ``demo`` command: a deployment in a single process, with an in-memory platform."""

import asyncio
import sys

import click

from hibiscushaven.entry import EntryDaemon
from hibiscushaven.logs import configure_logging
from hibiscushaven.process import on_stop
from hibiscushaven.settings import Deployment
from hibiscushaven.tablestore import MemoryPlatform

from .backends import close_backends, start_backends
from .output import EXIT_REFUSED, exit_on_os_error
from .publishing import publish_documents
from .standin import open_deployment, parse_documents, preloaded_platform

__all__ = ["demo"]

_DEFAULT_DEPLOYMENT = "examples/retalho_sul.ini"


@click.command()
@click.option(
    "--deployment",
    "path",
    default=_DEFAULT_DEPLOYMENT,
    show_default=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Deployment file.",
)
def demo(path: str) -> None:
    """Run a deployment in a single process until Ctrl-C or SIGTERM.

    Entry VMs, backend servers and the platform share the process and stop immediately. To run
    each in a process of its own, with a graceful stop, use scripts/demo.sh (make demo).
    """
    deployment = open_deployment(path)
    documents = parse_documents(tuple(map(str, deployment.documents.values())))
    configure_logging("warning", "text", "demo")
    with exit_on_os_error():
        is_started = asyncio.run(_run(deployment, documents, preloaded_platform(deployment)))
    if not is_started:
        sys.exit(EXIT_REFUSED)


async def _run(deployment: Deployment, documents: tuple, platform: MemoryPlatform) -> bool:
    """Run until a signal; return whether the deployment started or a signal stopped it."""
    stop = asyncio.Event()
    on_stop(stop.set)
    daemons: list[EntryDaemon] = []
    backends = await start_backends(documents)
    try:
        for settings in deployment.vms:
            daemon = EntryDaemon(settings, platform)
            daemons.append(daemon)
            await daemon.start()
        return await _publish_and_wait(deployment, stop)
    finally:
        await asyncio.gather(*(daemon.stop(is_forced=True) for daemon in daemons))
        await close_backends(backends)


async def _publish_and_wait(deployment: Deployment, stop: asyncio.Event) -> bool:
    publishing = asyncio.create_task(publish_documents(deployment))
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((publishing, stopping), return_when=asyncio.FIRST_COMPLETED)
    is_published = publishing.done() and publishing.result()
    if is_published:
        click.echo("Press Ctrl-C to stop.")
        await stopping
    stopping.cancel()
    publishing.cancel()
    return is_published or stop.is_set()
