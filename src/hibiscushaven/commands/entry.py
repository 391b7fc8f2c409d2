"""The command that runs the daemon of an entry VM."""

import asyncio

import click

from hibiscushaven.entry import run_entry
from hibiscushaven.settings import load_settings

from .output import EXIT_USAGE, fail_with_problems, listen_errors

__all__ = ["entry"]


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False),
    help="Settings of the VM, or a deployment file with --vm.",
)
@click.option("--vm", help="Name of the VM in a deployment file.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def entry(path: str, vm: str | None, check: bool) -> None:
    """Run the daemon of one entry VM until SIGTERM.

    At the first SIGTERM or Ctrl-C the VM leaves: it gets no new callers, finishes the work in
    progress and hands over its slots, which takes some seconds. A second one ends it at once.

    Exit code 2 means that the settings are wrong, 1 that an address cannot be used.
    """
    result = load_settings(path, vm)
    if result.is_error():
        fail_with_problems(path, result.error, EXIT_USAGE)
    if check:
        click.echo(f"{path}: ok")
        return
    with listen_errors():
        asyncio.run(run_entry(result.ok))
