"""The ``gateway`` command, which runs the gateway of an entry VM on the users' platform."""

import asyncio
import signal

import click

from hibiscushaven.platform import SETTINGS_VARIABLE

from .machine import machine_options
from .output import EXIT_USAGE, exit_on_os_error, exit_with_problems

__all__ = ["gateway"]


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    envvar=SETTINGS_VARIABLE,
    type=click.Path(dir_okay=False),
    help="Settings file of the VM.",
)
@machine_options
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def gateway(path: str, memory_mb: float | None, max_descriptors: int | None, check: bool) -> None:
    """Run the gateway of an entry VM until SIGTERM.

    Backend servers and the operator state are read from the platform's store. On SIGTERM the VM
    gets no new callers and finishes the requests in progress.

    Exit code 2 means that the settings are invalid, 1 that an address cannot be used.
    """
    if not check:
        # A change that is signalled during the start is read below, or later by the gateway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported here so that listing the commands stays fast.
    from hibiscushaven.gateway.settings import load_gateway_settings

    result = load_gateway_settings(path)
    if result.is_error():
        exit_with_problems(path, result.error, EXIT_USAGE)
    if check:
        click.echo(f"{path}: ok")
        return
    from hibiscushaven.platform.program import run_gateway
    from hibiscushaven.process import MachineLimits

    with exit_on_os_error():
        asyncio.run(run_gateway(result.ok, path, MachineLimits.detect(memory_mb, max_descriptors)))
