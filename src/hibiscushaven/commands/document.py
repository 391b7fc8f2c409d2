"""Commands that work on service documents."""

from datetime import UTC, datetime
from pathlib import Path

import click

from hibiscushaven.documents import parse_document
from hibiscushaven.documents.diff import diff_documents

from .client import Answer, call, entry_options, is_json_option
from .output import EXIT_USAGE, fail, fail_with_problems, print_json, print_table

__all__ = ["document"]

_FILE = click.Path(exists=True, dir_okay=False)


@click.group()
def document() -> None:
    """Check, read and edit the documents of services."""


@document.command()
@click.argument("paths", nargs=-1, required=True, type=_FILE)
def check(paths: tuple[str, ...]) -> None:
    """Check documents without calling an entry VM."""
    problems = [(path, problem) for path in paths for problem in _problems(path)]
    for path, problem in problems:
        click.echo(f"{path}: {problem}", err=True)
    if problems:
        fail(f"{len(problems)} problems")
    click.echo("ok")


@document.command()
@click.argument("service")
@entry_options
@is_json_option
def get(service: str, entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Print the document of a service; its revision goes to standard error."""
    answer = _checked(call(entry_url, token_file, "GET", f"/v1/documents/{service}"))
    revision = _revision(answer)
    if is_json:
        print_json({"revision": revision, "text": answer.body.decode()})
        return
    click.echo(f"revision {revision}", err=True)
    click.echo(answer.body, nl=False)


@document.command()
@click.argument("service")
@click.argument("path", type=_FILE)
@click.option("--if-revision", type=click.IntRange(1), help="Revision that the edit is based on.")
@entry_options
@is_json_option
def put(
    service: str,
    path: str,
    if_revision: int | None,
    entry_url: str,
    token_file: str | None,
    is_json: bool,
) -> None:
    """Put a document in force; without --if-revision it has to be new."""
    problems = _problems(path)
    if problems:
        fail_with_problems(path, problems)
    headers = {"If-Match": f'"{if_revision}"'} if if_revision else {}
    body = Path(path).read_bytes()
    answer = call(entry_url, token_file, "PUT", f"/v1/documents/{service}", body, headers)
    revision = _revision(_checked(answer))
    if is_json:
        print_json({"revision": revision})
    else:
        click.echo(f"accepted as revision {revision}")


@document.command()
@click.argument("service")
@click.argument("path", type=_FILE)
@entry_options
def diff(service: str, path: str, entry_url: str, token_file: str | None) -> None:
    """Show how a file differs from the document in force."""
    problems = _problems(path)
    if problems:
        fail_with_problems(path, problems)
    answer = _checked(call(entry_url, token_file, "GET", f"/v1/documents/{service}"))
    current = parse_document(answer.body.decode())
    if current.is_error():
        fail(f"the document in force of {service!r} cannot be read by this version")
    changed = parse_document(Path(path).read_text(encoding="utf-8")).ok
    for item in diff_documents(current.ok, changed):
        click.echo(str(item))


@document.command()
@click.argument("service")
@entry_options
@is_json_option
def history(service: str, entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Show who changed a document, and when."""
    answer = _checked(call(entry_url, token_file, "GET", f"/v1/documents/{service}/history"))
    found = answer.json()
    if is_json:
        print_json(found)
        return
    rows = (
        (item["revision"], _time(item["accepted_at"]), f"{item['team']}/{item['operator']}")
        for item in found["entries"]
    )
    print_table(("REVISION", "ACCEPTED", "BY"), rows)


@document.command()
@click.argument("service")
@entry_options
@is_json_option
def status(service: str, entry_url: str, token_file: str | None, is_json: bool) -> None:
    """Show which VMs hold which revision, and how long the last change took."""
    answer = _checked(call(entry_url, token_file, "GET", f"/v1/documents/{service}/status"))
    found = answer.json()
    if is_json:
        print_json(found)
        return
    click.echo(f"revision {found['revision']}, accepted {_time(found['accepted_at'])}")
    if found["alarm"]:
        click.echo(f"alarm: {found['alarm']}")
    rows = ((item["vm"], item["revision"], _seconds(item["delay_s"])) for item in found["vms"])
    print_table(("VM", "REVISION", "SECONDS AFTER ACCEPTANCE"), rows)


def _time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="milliseconds")


def _seconds(value: float | None) -> str:
    return "pending" if value is None else f"{value:.2f}"


def _problems(path: str) -> tuple:
    try:
        source = Path(path).read_text(encoding="utf-8")
    except UnicodeDecodeError:
        fail(f"{path}: not a text in UTF-8", EXIT_USAGE)
    except OSError as error:
        fail(f"{path}: {error.strerror}", EXIT_USAGE)
    result = parse_document(source)
    return result.error if result.is_error() else ()


def _revision(answer: Answer) -> int:
    """Return the revision in the ETag, which is a weak one for a redacted document."""
    tag = answer.headers.get("etag", "")
    digits = tag.removeprefix("W/").strip('"')
    if not digits.isdecimal():
        fail(f"ETag {tag!r}: expected the revision of a document")
    return int(digits)


def _checked(answer: Answer) -> Answer:
    if not answer.is_ok:
        fail(answer.explain())
    return answer
