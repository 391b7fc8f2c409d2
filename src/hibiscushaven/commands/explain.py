"""The ``explain`` command, which shows the log lines of a request."""

import fileinput

import click

from hibiscushaven.logs.explain import explain as explain_lines

from .output import exit_with_error

__all__ = ["explain"]


@click.command()
@click.argument("request_id")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
def explain(request_id: str, logs: tuple[str, ...]) -> None:
    """Show how a request was processed and what its VM knew of the system at that time.

    LOGS are files with the log output of the VMs' gateways, in any order.
    """
    with fileinput.input(logs, encoding="utf-8", errors="replace") as lines:
        entries = explain_lines(request_id, lines)
    if not entries:
        exit_with_error(f"no line of the logs names request {request_id!r}")
    for entry in entries:
        click.echo(str(entry))
