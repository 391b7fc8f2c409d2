"""Commands that run stand-ins for external systems and set up a deployment with them."""

import asyncio
import contextlib
import hashlib
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click

from hibiscushaven.documents import ServiceDocument, parse_document
from hibiscushaven.documents.rows import TeamRow, TeamToken
from hibiscushaven.process import on_stop
from hibiscushaven.settings import Deployment, load_deployment
from hibiscushaven.standins import run_platform
from hibiscushaven.tablestore import MemoryPlatform, Write

from .backends import run_document_backends
from .output import EXIT_USAGE, exit_on_os_error, exit_with_error, exit_with_problems
from .publishing import publish_documents

__all__ = [
    "deployment_option",
    "open_deployment",
    "parse_documents",
    "preloaded_platform",
    "standin",
]

_DEPLOYMENT_OPTION = {
    "type": click.Path(exists=True, dir_okay=False),
    "help": "Deployment file, such as examples/retalho_sul.ini.",
}
deployment_option = click.option("--deployment", "deployment_path", **_DEPLOYMENT_OPTION)
required_deployment_option = click.option(
    "--deployment", "deployment_path", required=True, **_DEPLOYMENT_OPTION
)


@click.group()
def standin() -> None:
    """Run simulated substitutes for the platform and for backend servers."""


@standin.command()
@click.option("--host", default="127.0.0.1", show_default=True, help="IP address to listen on.")
@click.option(
    "--port",
    type=click.IntRange(1, 65535),
    default=7000,
    show_default=True,
    help="Port to listen on.",
)
@deployment_option
def platform(host: str, port: int, deployment_path: str | None) -> None:
    """Run an in-memory platform, with the VMs and teams of a deployment if one is given."""
    memory_platform = MemoryPlatform()
    if deployment_path is not None:
        deployment = open_deployment(deployment_path)
        memory_platform = preloaded_platform(deployment)
        host, port = deployment.platform_endpoint
    with exit_on_os_error():
        asyncio.run(run_until_stopped(run_platform(host, port, memory_platform)))


@standin.command()
@click.option(
    "--document",
    "paths",
    multiple=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Document whose backend servers are run; can be repeated.",
)
@deployment_option
@click.option("--failure-domain", help="Run only the backend servers in this failure domain.")
def backend(
    paths: tuple[str, ...], deployment_path: str | None, failure_domain: str | None
) -> None:
    """Run the backend servers of documents in one process."""
    if deployment_path is not None:
        paths += tuple(map(str, open_deployment(deployment_path).documents.values()))
    if not paths:
        raise click.UsageError("give --document or --deployment")
    documents = parse_documents(paths)
    domains = {place.failure_domain for item in documents for place in item.places}
    if failure_domain is not None and failure_domain not in domains:
        allowed = "one of " + ", ".join(sorted(domains))
        raise click.UsageError(f"--failure-domain {failure_domain!r}: expected {allowed}")
    with exit_on_os_error():
        asyncio.run(run_until_stopped(run_document_backends(documents, failure_domain)))


@standin.command()
@required_deployment_option
def describe(deployment_path: str) -> None:
    """Print the failure domains and VMs of a deployment, one per line."""
    deployment = open_deployment(deployment_path)
    for domain in deployment.failure_domains:
        click.echo(f"failure_domain {domain.name}")
    for vm in deployment.vms:
        click.echo(f"vm {vm.name} {vm.host}:{vm.http_port}")


@standin.command()
@required_deployment_option
def load(deployment_path: str) -> None:
    """Wait for a deployment to start, publish its documents and print how to use it."""
    deployment = open_deployment(deployment_path)
    if not asyncio.run(publish_documents(deployment)):
        sys.exit(1)


async def run_until_stopped(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine until it ends, or until SIGTERM or Ctrl-C."""
    task = asyncio.create_task(coroutine)
    on_stop(task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await task


def open_deployment(path: str) -> Deployment:
    """Load a deployment; exit with an error if its file or a document is invalid."""
    result = load_deployment(path)
    if result.is_error():
        exit_with_problems(path, result.error, EXIT_USAGE)
    parse_documents(tuple(map(str, result.ok.documents.values())))
    return result.ok


def parse_documents(paths: tuple[str, ...]) -> tuple[ServiceDocument, ...]:
    """Load documents; exit with an error at the first invalid file."""
    documents = []
    for path in paths:
        try:
            source = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            exit_with_error(f"{path}: {error}", EXIT_USAGE)
        parsed = parse_document(source)
        if parsed.is_error():
            exit_with_problems(path, parsed.error, EXIT_USAGE)
        documents.append(parsed.ok)
    return tuple(documents)


def preloaded_platform(deployment: Deployment) -> MemoryPlatform:
    """Return an in-memory platform with the list of VMs and the teams of a deployment."""
    memory_platform = MemoryPlatform()
    memory_platform.set_vms(deployment.vm_records)
    writes = tuple(
        Write(f"teams/{team}", _team_row(team, token).encode())
        for team, token in deployment.team_tokens.items()
    )
    asyncio.run(memory_platform.transact(writes))
    return memory_platform


def _team_row(team: str, token: str) -> TeamRow:
    return TeamRow(team, (TeamToken("demo", hashlib.sha256(token.encode()).hexdigest()),))
