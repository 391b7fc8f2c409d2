"""Commands that call an entry VM: look-up, request, status and metrics."""

import secrets
import sys

import click

from hibiscushaven.ini.fields import Endpoint

from .client import call, entry_options, is_json_option
from .output import EXIT_REFUSED, EXIT_USAGE, fail, print_json, print_table

__all__ = ["lookup", "metrics", "request", "status"]


@click.command()
@click.argument("service")
@entry_options
@is_json_option
def lookup(service: str, entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Ask which entry VMs to use for a service."""
    answer = call(entry_url, token_file, "GET", f"/v1/lookup/{service}")
    if not answer.is_ok:
        fail(answer.explain())
    found = answer.json()
    if is_json:
        print_json(found)
        return
    click.echo(f"revision {found['revision']}, keep for {found['keep_s']:g} s")
    rows = (
        (str(Endpoint(item["address"], item["port"])), item["region"], item["failure_domain"])
        for item in found["entries"]
    )
    print_table(("ENTRY VM", "REGION", "FAILURE DOMAIN"), rows)


@click.command()
@click.argument("service")
@click.argument("path")
@click.option("--method", default="GET", show_default=True, help="HTTP method.")
@click.option("--data", help="Request body; @FILE reads a file.")
@click.option("--key", help="Idempotency key; 'new' makes one and prints it.")
@click.option("--timeout-ms", type=click.IntRange(1), help="Time that the request may take.")
@click.option("--include", is_flag=True, help="Print the headers too.")
@entry_options
def request(
    service: str,
    path: str,
    method: str,
    data: str | None,
    key: str | None,
    timeout_ms: int | None,
    include: bool,
    entry_url: str,
    token_file: str | None,
) -> None:
    """Send a request to a service and print the answer.

    A request that is not idempotent needs --key; sending it again with the same key returns
    the result of the first run. Exit code 1 means a refusal or an error status; the outcome
    (run, not-run or unknown) goes to standard error.
    """
    headers = {}
    if key is not None:
        headers["Idempotency-Key"] = secrets.token_hex(16) if key == "new" else key
        click.echo(f"Idempotency-Key: {headers['Idempotency-Key']}", err=True)
    if timeout_ms is not None:
        headers["Request-Timeout"] = str(timeout_ms)
    target = f"/v1/services/{service}/{path.lstrip('/')}"
    answer = call(entry_url, token_file, method.upper(), target, _body(data), headers)
    if include:
        click.echo(f"status: {answer.status}", err=True)
        for name, value in answer.headers.items():
            click.echo(f"{name}: {value}", err=True)
    if not answer.is_ok and answer.headers.get("content-type") == "application/problem+json":
        outcome = answer.headers.get("request-outcome", "unknown")
        fail(f"{answer.explain()}\noutcome: {outcome}")
    _print_body(answer.body)
    if not answer.is_ok:
        sys.exit(EXIT_REFUSED)


def _print_body(body: bytes) -> None:
    """Print a body; a terminal gets the size of one that is not text."""
    is_text = all(byte >= 0x20 or byte in b"\t\r\n" for byte in body) and _is_utf8(body)
    if sys.stdout.isatty() and not is_text:
        click.echo(f"{len(body)} bytes that are not text; redirect them to a file")
        return
    click.echo(body, nl=False)


def _is_utf8(body: bytes) -> bool:
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True


def _body(data: str | None) -> bytes | None:
    if data is None:
        return None
    if not data.startswith("@"):
        return data.encode()
    try:
        with open(data[1:], "rb") as file:
            return file.read()
    except OSError as error:
        fail(f"--data {data}: {error.strerror}", EXIT_USAGE)


@click.command()
@entry_options
@is_json_option
def status(entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Show what an entry VM knows of itself and its peers."""
    answer = call(entry_url, token_file, "GET", "/v1/status")
    if not answer.is_ok:
        fail(answer.explain())
    found = answer.json()
    if is_json:
        print_json(found)
        return
    click.echo(f"{found['vm']} ({found['region']}, {found['failure_domain']}): {found['state']}")
    for service, revision in sorted(found["revisions"].items()):
        click.echo(f"  {service}: revision {revision}")
    for alarm in found["alarms"]:
        click.echo(f"  alarm: {alarm}")
    rows = ((item["vm"], item["state"], item["incarnation"]) for item in found["peers"])
    print_table(("PEER", "STATE", "INCARNATION"), rows)


@click.command()
@entry_options
@is_json_option
def metrics(entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Print the histograms and counters of an entry VM."""
    path = "/v1/metrics?format=json" if is_json else "/v1/metrics"
    answer = call(entry_url, token_file, "GET", path)
    if not answer.is_ok:
        fail(answer.explain())
    click.echo(answer.body, nl=False)
