"""HTTP client for the interfaces of an entry VM."""

import asyncio
import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import click

from hibiscushaven.documents import Difference
from hibiscushaven.ini import IniProblem

from .output import EXIT_REFUSED, EXIT_USAGE, exit_with_error

__all__ = ["EntryResponse", "call_entry_vm", "entry_vm_options", "json_option"]

_TIMEOUT_S = 60.0
_PROGRESS_DELAY_S = 2.0


@dataclass(frozen=True, slots=True)
class EntryResponse:
    """Response of an entry VM.

    :ivar headers: values by lower-case header name.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def is_ok(self) -> bool:
        return self.status < 400

    def json(self) -> Any:
        """Parse the body as JSON; exit with an error if it is not."""
        try:
            return json.loads(self.body)
        except ValueError:
            exit_with_error("the answer is no JSON; is the address that of an entry VM?")

    def describe_refusal(self) -> str:
        """Return the reason of an error response in one or more lines."""
        try:
            problem = json.loads(self.body)
        except ValueError:
            return f"status {self.status}"
        if not isinstance(problem, dict):
            return f"status {self.status}"
        lines = [f"{problem.get('title', 'refused')} (status {self.status})"]
        lines += [problem["detail"]] if problem.get("detail") else []
        lines += [f"  {_format_problem(item)}" for item in problem.get("problems", ())]
        lines += [f"  {_format_difference(item)}" for item in problem.get("differences", ())]
        return "\n".join(lines)


def _format_problem(item: dict[str, Any]) -> str:
    return str(IniProblem(item["section"], item["key"], item["value"], item["allowed"]))


def _format_difference(item: dict[str, Any]) -> str:
    return str(Difference(item["section"], item["key"], item["before"], item["after"]))


def entry_vm_options(function):
    """Add the options ``--entry`` and ``--token-file``."""
    function = click.option(
        "--token-file",
        type=click.Path(exists=True, dir_okay=False),
        help="File with a bearer token; the default is the value of HIBISCUSHAVEN_TOKEN.",
    )(function)
    return click.option(
        "--entry",
        "entry_url",
        envvar="HIBISCUSHAVEN_ENTRY",
        required=True,
        help="Address of any entry VM, such as http://127.0.0.1:8080.",
    )(function)


def json_option(function):
    """Add the option ``--json``."""
    return click.option("--json", "is_json", is_flag=True, help="Print JSON.")(function)


def call_entry_vm(
    entry_url: str,
    token_file: str | None,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> EntryResponse:
    """Send a request to an entry VM; exit with an error if there is no response."""
    if not entry_url.startswith(("http://", "https://")):
        exit_with_error(
            f"--entry {entry_url!r}: expected an address such as http://127.0.0.1:8080", EXIT_USAGE
        )
    token = _read_token(token_file)
    all_headers = dict(headers or {})
    if token:
        all_headers["Authorization"] = f"Bearer {token}"
    try:
        return asyncio.run(_send_request(entry_url.rstrip("/") + path, method, body, all_headers))
    except TimeoutError:
        exit_with_error(f"{entry_url}: no answer within {_TIMEOUT_S:g} s", EXIT_REFUSED)
    except (aiohttp.ClientError, OSError) as error:
        exit_with_error(f"{entry_url}: {error}", EXIT_REFUSED)


def _read_token(token_file: str | None) -> str:
    if token_file is not None:
        try:
            token = Path(token_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError):
            exit_with_error(f"--token-file {token_file}: expected a text file", EXIT_USAGE)
    else:
        token = os.environ.get("HIBISCUSHAVEN_TOKEN", "")
    if not token.isascii() or not token.isprintable():
        exit_with_error("the token: expected printable ASCII characters in one line", EXIT_USAGE)
    return token


async def _send_request(
    url: str, method: str, body: bytes | None, headers: dict[str, str]
) -> EntryResponse:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    progress = asyncio.create_task(_show_progress(url))
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, auto_decompress=False) as session,
            session.request(
                method, url, data=body, headers=headers, allow_redirects=False
            ) as response,
        ):
            lower_case_headers = {key.lower(): value for key, value in response.headers.items()}
            return EntryResponse(response.status, lower_case_headers, await response.read())
    finally:
        progress.cancel()


async def _show_progress(url: str) -> None:
    await asyncio.sleep(_PROGRESS_DELAY_S)
    click.echo(f"waiting for {url} ...", err=True)
