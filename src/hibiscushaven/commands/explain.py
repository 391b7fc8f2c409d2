"""The command that explains a request by the logs."""

import fileinput

import click

from hibiscushaven.logs.explain import explain as explain_lines

from .output import fail

__all__ = ["explain"]


@click.command()
@click.argument("request_id")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
def explain(request_id: str, logs: tuple[str, ...]) -> None:
    """Show what was done with a request, and what its VM believed then.

    LOGS are files with the output of the VMs' gateways, in any order.
    """
    with fileinput.input(logs, encoding="utf-8", errors="replace") as lines:
        found = explain_lines(request_id, lines)
    if not found:
        fail(f"no line of the logs names request {request_id!r}")
    for finding in found:
        click.echo(str(finding))
