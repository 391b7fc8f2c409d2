"""Commands that check, read and publish service documents."""

from datetime import UTC, datetime
from pathlib import Path

import click

from hibiscushaven.documents import parse_document
from hibiscushaven.documents.diff import diff_documents

from .client import EntryResponse, call_entry_vm, entry_vm_options, json_option
from .output import EXIT_USAGE, exit_with_error, exit_with_problems, print_json, print_table

__all__ = ["document"]

_FILE_TYPE = click.Path(exists=True, dir_okay=False)


@click.group()
def document() -> None:
    """Check, read and publish the documents of services."""


@document.command()
@click.argument("paths", nargs=-1, required=True, type=_FILE_TYPE)
def check(paths: tuple[str, ...]) -> None:
    """Check documents without calling an entry VM."""
    problems = [(path, problem) for path in paths for problem in _document_problems(path)]
    for path, problem in problems:
        click.echo(f"{path}: {problem}", err=True)
    if problems:
        exit_with_error(f"{len(problems)} problems")
    click.echo("ok")


@document.command()
@click.argument("service")
@entry_vm_options
@json_option
def get(service: str, entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Print the current document of a service; the revision goes to standard error."""
    response = _exit_if_refused(
        call_entry_vm(entry_url, token_file, "GET", f"/v1/documents/{service}")
    )
    revision = _parse_revision(response)
    if is_json:
        print_json({"revision": revision, "text": response.body.decode()})
        return
    click.echo(f"revision {revision}", err=True)
    click.echo(response.body, nl=False)


@document.command()
@click.argument("service")
@click.argument("path", type=_FILE_TYPE)
@click.option("--if-revision", type=click.IntRange(1), help="Revision that the edit is based on.")
@entry_vm_options
@json_option
def put(
    service: str,
    path: str,
    if_revision: int | None,
    entry_url: str,
    token_file: str | None,
    is_json: bool,
) -> None:
    """Publish a document; --if-revision is required if the service already has one."""
    problems = _document_problems(path)
    if problems:
        exit_with_problems(path, problems)
    headers = {"If-Match": f'"{if_revision}"'} if if_revision else {}
    body = Path(path).read_bytes()
    response = call_entry_vm(
        entry_url, token_file, "PUT", f"/v1/documents/{service}", body, headers
    )
    revision = _parse_revision(_exit_if_refused(response))
    if is_json:
        print_json({"revision": revision})
    else:
        click.echo(f"accepted as revision {revision}")


@document.command()
@click.argument("service")
@click.argument("path", type=_FILE_TYPE)
@entry_vm_options
def diff(service: str, path: str, entry_url: str, token_file: str | None) -> None:
    """Show how a file differs from the current document."""
    problems = _document_problems(path)
    if problems:
        exit_with_problems(path, problems)
    response = _exit_if_refused(
        call_entry_vm(entry_url, token_file, "GET", f"/v1/documents/{service}")
    )
    current = parse_document(response.body.decode())
    if current.is_error():
        exit_with_error(f"the document in force of {service!r} cannot be read by this version")
    changed = parse_document(Path(path).read_text(encoding="utf-8")).ok
    for item in diff_documents(current.ok, changed):
        click.echo(str(item))


@document.command()
@click.argument("service")
@entry_vm_options
@json_option
def history(service: str, entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Show when and by whom a document was changed."""
    response = _exit_if_refused(
        call_entry_vm(entry_url, token_file, "GET", f"/v1/documents/{service}/history")
    )
    payload = response.json()
    if is_json:
        print_json(payload)
        return
    rows = (
        (item["revision"], _format_time(item["accepted_at"]), f"{item['team']}/{item['operator']}")
        for item in payload["entries"]
    )
    print_table(("REVISION", "ACCEPTED", "BY"), rows)


@document.command()
@click.argument("service")
@entry_vm_options
@json_option
def status(service: str, entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Show the revision on each VM, and how long the last change took to arrive."""
    response = _exit_if_refused(
        call_entry_vm(entry_url, token_file, "GET", f"/v1/documents/{service}/status")
    )
    payload = response.json()
    if is_json:
        print_json(payload)
        return
    click.echo(f"revision {payload['revision']}, accepted {_format_time(payload['accepted_at'])}")
    if payload["alarm"]:
        click.echo(f"alarm: {payload['alarm']}")
    rows = (
        (item["vm"], item["revision"], _format_delay(item["delay_s"])) for item in payload["vms"]
    )
    print_table(("VM", "REVISION", "SECONDS AFTER ACCEPTANCE"), rows)


def _format_time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="milliseconds")


def _format_delay(value: float | None) -> str:
    return "pending" if value is None else f"{value:.2f}"


def _document_problems(path: str) -> tuple:
    try:
        source = Path(path).read_text(encoding="utf-8")
    except UnicodeDecodeError:
        exit_with_error(f"{path}: not a text in UTF-8", EXIT_USAGE)
    except OSError as error:
        exit_with_error(f"{path}: {error.strerror}", EXIT_USAGE)
    result = parse_document(source)
    return result.error if result.is_error() else ()


def _parse_revision(response: EntryResponse) -> int:
    """Return the revision in the ETag, which is weak if the document is redacted."""
    tag = response.headers.get("etag", "")
    digits = tag.removeprefix("W/").strip('"')
    if not digits.isdecimal():
        exit_with_error(f"ETag {tag!r}: expected the revision of a document")
    return int(digits)


def _exit_if_refused(response: EntryResponse) -> EntryResponse:
    if not response.is_ok:
        exit_with_error(response.describe_refusal())
    return response
