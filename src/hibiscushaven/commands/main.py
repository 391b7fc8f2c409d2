"""The ``hibiscushaven`` command."""

import asyncio
import sys
from pathlib import Path

import click

from hibiscushaven.documents import parse_document
from hibiscushaven.entry import run_entry
from hibiscushaven.settings import load_settings
from hibiscushaven.standins.backend import run_backends
from hibiscushaven.standins.platform import run_platform

__all__ = ["main"]


@click.group()
def main() -> None:
    """Steer traffic between callers and backend servers."""


@main.command()
@click.option("--settings", "path", required=True, type=click.Path(exists=True))
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def entry(path: str, check: bool) -> None:
    """Run the daemon of one entry VM."""
    result = load_settings(path)
    if result.is_error():
        for problem in result.error:
            click.echo(f"{path}: {problem}", err=True)
        sys.exit(2)
    if not check:
        asyncio.run(run_entry(result.ok))


@main.group()
def standin() -> None:
    """Run stand-ins for tests and the demo."""


@standin.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True)
def platform(host: str, port: int) -> None:
    """Run a platform in memory."""
    asyncio.run(run_platform(host, port))


@standin.command()
@click.option("--document", required=True, type=click.Path(exists=True))
@click.option("--failure-domain", default=None, help="Only the servers of this failure domain.")
def backend(document: str, failure_domain: str | None) -> None:
    """Run the backend servers of a document."""
    parsed = parse_document(Path(document).read_text(encoding="utf-8"))
    if parsed.is_error():
        for problem in parsed.error:
            click.echo(f"{document}: {problem}", err=True)
        sys.exit(2)
    places = parsed.ok.places_by_name
    servers = tuple(
        (item.name, item.address, item.slots)
        for item in parsed.ok.servers
        if failure_domain in (None, places[item.place].failure_domain)
    )
    asyncio.run(run_backends(servers))
