"""The command that runs the daemon of an entry VM."""

import asyncio

import click

from hibiscushaven.entry import run_entry
from hibiscushaven.settings import load_settings

from .output import EXIT_USAGE, fail_with_problems

__all__ = ["entry"]


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Settings of the VM, or a deployment file with --vm.",
)
@click.option("--vm", help="Name of the VM in a deployment file.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def entry(path: str, vm: str | None, check: bool) -> None:
    """Run the daemon of one entry VM."""
    result = load_settings(path, vm)
    if result.is_error():
        fail_with_problems(path, result.error, EXIT_USAGE)
    if check:
        click.echo(f"{path}: ok")
        return
    asyncio.run(run_entry(result.ok))
