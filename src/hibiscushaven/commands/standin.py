"""Commands that run stand-ins of outside systems, and load a deployment of them."""

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
from .loading import load_documents
from .output import EXIT_USAGE, fail, fail_with_problems, listen_errors

__all__ = ["deployment_option", "open_deployment", "parse_files", "preloaded_platform", "standin"]

_DEPLOYMENT = {
    "type": click.Path(exists=True, dir_okay=False),
    "help": "Deployment file, such as examples/retalho_sul.ini.",
}
deployment_option = click.option("--deployment", "deployment_path", **_DEPLOYMENT)
required_deployment_option = click.option(
    "--deployment", "deployment_path", required=True, **_DEPLOYMENT
)


@click.group()
def standin() -> None:
    """Run stand-ins of the platform and of backend servers."""


@standin.command()
@click.option("--host", default="127.0.0.1", show_default=True, help="IP number to listen on.")
@click.option(
    "--port", type=click.IntRange(1, 65535), default=7000, show_default=True, help="Port."
)
@deployment_option
def platform(host: str, port: int, deployment_path: str | None) -> None:
    """Run a platform in memory, with the VMs and teams of a deployment if one is given."""
    memory = MemoryPlatform()
    if deployment_path is not None:
        deployment = open_deployment(deployment_path)
        memory = preloaded_platform(deployment)
        host, port = deployment.platform_endpoint
    with listen_errors():
        asyncio.run(run_until_stopped(run_platform(host, port, memory)))


@standin.command()
@click.option(
    "--document",
    "paths",
    multiple=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Document whose backend servers are run; may be repeated.",
)
@deployment_option
@click.option("--failure-domain", help="Only the backend servers of this failure domain.")
def backend(
    paths: tuple[str, ...], deployment_path: str | None, failure_domain: str | None
) -> None:
    """Run the backend servers of documents in one process."""
    if deployment_path is not None:
        paths += tuple(map(str, open_deployment(deployment_path).documents.values()))
    if not paths:
        raise click.UsageError("give --document or --deployment")
    documents = parse_files(paths)
    domains = {place.failure_domain for item in documents for place in item.places}
    if failure_domain is not None and failure_domain not in domains:
        allowed = "one of " + ", ".join(sorted(domains))
        raise click.UsageError(f"--failure-domain {failure_domain!r}: expected {allowed}")
    with listen_errors():
        asyncio.run(run_until_stopped(run_document_backends(documents, failure_domain)))


@standin.command()
@required_deployment_option
def describe(deployment_path: str) -> None:
    """Print the failure domains and VMs of a deployment, one a line."""
    deployment = open_deployment(deployment_path)
    for domain in deployment.failure_domains:
        click.echo(f"failure_domain {domain.name}")
    for vm in deployment.vms:
        click.echo(f"vm {vm.name} {vm.host}:{vm.http_port}")


@standin.command()
@required_deployment_option
def load(deployment_path: str) -> None:
    """Wait for a deployment to start, put its documents in force and print how to use it."""
    deployment = open_deployment(deployment_path)
    if not asyncio.run(load_documents(deployment)):
        sys.exit(1)


async def run_until_stopped(work: Coroutine[Any, Any, None]) -> None:
    """Run work until it ends, or until SIGTERM or Ctrl-C."""
    task = asyncio.create_task(work)
    on_stop(task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await task


def open_deployment(path: str) -> Deployment:
    """Return a deployment; end the command if its file or a document is wrong."""
    result = load_deployment(path)
    if result.is_error():
        fail_with_problems(path, result.error, EXIT_USAGE)
    parse_files(tuple(map(str, result.ok.documents.values())))
    return result.ok


def parse_files(paths: tuple[str, ...]) -> tuple[ServiceDocument, ...]:
    """Return documents; end the command at the first file with problems."""
    documents = []
    for path in paths:
        try:
            source = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            fail(f"{path}: {error}", EXIT_USAGE)
        parsed = parse_document(source)
        if parsed.is_error():
            fail_with_problems(path, parsed.error, EXIT_USAGE)
        documents.append(parsed.ok)
    return tuple(documents)


def preloaded_platform(deployment: Deployment) -> MemoryPlatform:
    """Return a platform in memory with the list of VMs and the teams of a deployment."""
    memory = MemoryPlatform()
    memory.set_vms(deployment.vm_entries)
    writes = tuple(
        Write(f"teams/{team}", _team_row(team, token).encode())
        for team, token in deployment.team_tokens.items()
    )
    asyncio.run(memory.transact(writes))
    return memory


def _team_row(team: str, token: str) -> TeamRow:
    return TeamRow(team, (TeamToken("demo", hashlib.sha256(token.encode()).hexdigest()),))
