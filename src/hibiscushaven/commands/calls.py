"""Commands that call an entry VM: ``lookup``, ``request``, ``status`` and ``metrics``."""

import secrets
import sys

import click

from hibiscushaven.ini.fields import Endpoint

from .client import call_entry_vm, entry_vm_options, json_option
from .output import EXIT_REFUSED, EXIT_USAGE, exit_with_error, print_json, print_table

__all__ = ["lookup", "metrics", "request", "status"]


@click.command()
@click.argument("service")
@entry_vm_options
@json_option
def lookup(service: str, entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Look up the entry VMs of a service."""
    response = call_entry_vm(entry_url, token_file, "GET", f"/v1/lookup/{service}")
    if not response.is_ok:
        exit_with_error(response.describe_refusal())
    payload = response.json()
    if is_json:
        print_json(payload)
        return
    click.echo(f"revision {payload['revision']}, keep for {payload['keep_s']:g} s")
    rows = (
        (str(Endpoint(item["address"], item["port"])), item["region"], item["failure_domain"])
        for item in payload["entries"]
    )
    print_table(("ENTRY VM", "REGION", "FAILURE DOMAIN"), rows)


@click.command()
@click.argument("service")
@click.argument("path")
@click.option("--method", default="GET", show_default=True, help="HTTP method.")
@click.option("--data", help="Request body; @FILE reads a file.")
@click.option("--key", help="Idempotency key; 'new' generates one and prints it.")
@click.option("--timeout-ms", type=click.IntRange(1), help="Time limit of the request in ms.")
@click.option("--include", is_flag=True, help="Print the status and the headers to standard error.")
@entry_vm_options
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
    """Send a request to a service and print the response body.

    A request that is not idempotent needs --key; sending it again with the same key returns
    the result of the first execution. Exit code 1 means that the request was refused or has an
    error status; the outcome of a refused request (run, not-run or unknown) is printed to
    standard error.
    """
    headers = {}
    if key is not None:
        headers["Idempotency-Key"] = secrets.token_hex(16) if key == "new" else key
        click.echo(f"Idempotency-Key: {headers['Idempotency-Key']}", err=True)
    if timeout_ms is not None:
        headers["Request-Timeout"] = str(timeout_ms)
    target = f"/v1/services/{service}/{path.lstrip('/')}"
    response = call_entry_vm(
        entry_url, token_file, method.upper(), target, _read_body(data), headers
    )
    if include:
        click.echo(f"status: {response.status}", err=True)
        for name, value in response.headers.items():
            click.echo(f"{name}: {value}", err=True)
    if not response.is_ok and response.headers.get("content-type") == "application/problem+json":
        outcome = response.headers.get("request-outcome", "unknown")
        exit_with_error(f"{response.describe_refusal()}\noutcome: {outcome}")
    _print_body(response.body)
    if not response.is_ok:
        sys.exit(EXIT_REFUSED)


def _print_body(body: bytes) -> None:
    """Print a response body; for a binary body, a terminal shows only its size."""
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


def _read_body(data: str | None) -> bytes | None:
    if data is None:
        return None
    if not data.startswith("@"):
        return data.encode()
    try:
        with open(data[1:], "rb") as file:
            return file.read()
    except OSError as error:
        exit_with_error(f"--data {data}: {error.strerror}", EXIT_USAGE)


@click.command()
@entry_vm_options
@json_option
def status(entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Show the state of an entry VM, its document revisions, alarms and peers."""
    response = call_entry_vm(entry_url, token_file, "GET", "/v1/status")
    if not response.is_ok:
        exit_with_error(response.describe_refusal())
    payload = response.json()
    if is_json:
        print_json(payload)
        return
    click.echo(
        f"{payload['vm']} ({payload['region']}, {payload['failure_domain']}): {payload['state']}"
    )
    for service, revision in sorted(payload["revisions"].items()):
        click.echo(f"  {service}: revision {revision}")
    for alarm in payload["alarms"]:
        click.echo(f"  alarm: {alarm}")
    rows = ((item["vm"], item["state"], item["incarnation"]) for item in payload["peers"])
    print_table(("PEER", "STATE", "INCARNATION"), rows)


@click.command()
@entry_vm_options
@json_option
def metrics(entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Print the metrics of an entry VM."""
    path = "/v1/metrics?format=json" if is_json else "/v1/metrics"
    response = call_entry_vm(entry_url, token_file, "GET", path)
    if not response.is_ok:
        exit_with_error(response.describe_refusal())
    click.echo(response.body, nl=False)
