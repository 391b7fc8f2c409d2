"""The quick demo: one deployment in one process, with the platform in memory."""

import asyncio
import signal

import click

from hibiscushaven.entry import EntryDaemon
from hibiscushaven.logs import configure_logs
from hibiscushaven.platform import MemoryPlatform
from hibiscushaven.settings import Deployment

from .backends import close_backends, start_backends
from .loading import load_documents
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
)
def demo(path: str) -> None:
    """Run a deployment in one process, until Ctrl-C or SIGTERM."""
    deployment = open_deployment(path)
    documents = parse_files(tuple(map(str, deployment.documents.values())))
    configure_logs("warning", "text", "demo")
    asyncio.run(_run(deployment, documents, preloaded_platform(deployment)))


async def _run(deployment: Deployment, documents: tuple, platform: MemoryPlatform) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    backends = await start_backends(documents)
    daemons = [EntryDaemon(settings, platform) for settings in deployment.vms]
    try:
        for daemon in daemons:
            await daemon.start()
        if await load_documents(deployment):
            click.echo("Press Ctrl-C to stop.")
            await stop.wait()
    finally:
        await asyncio.gather(*(daemon.stop(is_forced=True) for daemon in daemons))
        await close_backends(backends)
