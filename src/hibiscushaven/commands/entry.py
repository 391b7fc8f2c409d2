"""The ``entry`` command, which runs the daemon of an entry VM."""

import asyncio

import click

from hibiscushaven.entry import run_entry
from hibiscushaven.process import MachineLimits
from hibiscushaven.settings import load_settings

from .machine import machine_options
from .output import EXIT_USAGE, exit_on_os_error, exit_with_problems

__all__ = ["entry"]


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False),
    help="Settings file of the VM, or a deployment file together with --vm.",
)
@click.option("--vm", help="Name of the VM in the deployment file.")
@machine_options
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def entry(
    path: str,
    vm: str | None,
    memory_mb: float | None,
    max_descriptors: int | None,
    check: bool,
) -> None:
    """Run the daemon of an entry VM until SIGTERM.

    On the first SIGTERM or Ctrl-C the VM leaves: it gets no new callers, finishes the requests
    in progress and hands over its slots, which takes a few seconds. The second one stops it
    immediately.

    Exit code 2 means that the settings are invalid, 1 that an address cannot be used.
    """
    result = load_settings(path, vm)
    if result.is_error():
        exit_with_problems(path, result.error, EXIT_USAGE)
    if check:
        click.echo(f"{path}: ok")
        return
    with exit_on_os_error():
        asyncio.run(run_entry(result.ok, MachineLimits.detect(memory_mb, max_descriptors)))
