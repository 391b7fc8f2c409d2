"""Calls of the HTTP interfaces of an entry VM."""

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

from .output import EXIT_REFUSED, EXIT_USAGE, fail

__all__ = ["Answer", "call", "entry_options", "is_json_option"]

_TIMEOUT_S = 60.0
_PROGRESS_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer of an entry VM."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def is_ok(self) -> bool:
        return self.status < 400

    def json(self) -> Any:
        """Return the JSON value of the body; end the command if it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            fail("the answer is no JSON; is the address that of an entry VM?")

    def explain(self) -> str:
        """Return the reason of a refused call in one or more lines."""
        try:
            problem = json.loads(self.body)
        except ValueError:
            return f"status {self.status}"
        if not isinstance(problem, dict):
            return f"status {self.status}"
        lines = [f"{problem.get('title', 'refused')} (status {self.status})"]
        lines += [problem["detail"]] if problem.get("detail") else []
        lines += [f"  {_problem_line(item)}" for item in problem.get("problems", ())]
        lines += [f"  {_difference_line(item)}" for item in problem.get("differences", ())]
        return "\n".join(lines)


def _problem_line(item: dict[str, Any]) -> str:
    return str(IniProblem(item["section"], item["key"], item["value"], item["allowed"]))


def _difference_line(item: dict[str, Any]) -> str:
    return str(Difference(item["section"], item["key"], item["before"], item["after"]))


def entry_options(function):
    """Add the options that name an entry VM and a credential."""
    function = click.option(
        "--token-file",
        type=click.Path(exists=True, dir_okay=False),
        help="File with a bearer token; otherwise HIBISCUSHAVEN_TOKEN is used.",
    )(function)
    return click.option(
        "--entry",
        "entry_url",
        envvar="HIBISCUSHAVEN_ENTRY",
        required=True,
        help="Address of any entry VM, such as http://127.0.0.1:8080.",
    )(function)


def is_json_option(function):
    """Add ``--json``."""
    return click.option("--json", "is_json", is_flag=True, help="Print JSON.")(function)


def call(
    entry_url: str,
    token_file: str | None,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Call an entry VM; end the command if it cannot be reached."""
    if not entry_url.startswith(("http://", "https://")):
        fail(
            f"--entry {entry_url!r}: expected an address such as http://127.0.0.1:8080", EXIT_USAGE
        )
    token = _token(token_file)
    all_headers = dict(headers or {})
    if token:
        all_headers["Authorization"] = f"Bearer {token}"
    try:
        return asyncio.run(_call(entry_url.rstrip("/") + path, method, body, all_headers))
    except TimeoutError:
        fail(f"{entry_url}: no answer within {_TIMEOUT_S:g} s", EXIT_REFUSED)
    except (aiohttp.ClientError, OSError) as error:
        fail(f"{entry_url}: {error}", EXIT_REFUSED)


def _token(token_file: str | None) -> str:
    if token_file is not None:
        try:
            token = Path(token_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError):
            fail(f"--token-file {token_file}: expected a text file", EXIT_USAGE)
    else:
        token = os.environ.get("HIBISCUSHAVEN_TOKEN", "")
    if not token.isascii() or not token.isprintable():
        fail("the token: expected printable ASCII characters in one line", EXIT_USAGE)
    return token


async def _call(url: str, method: str, body: bytes | None, headers: dict[str, str]) -> Answer:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    progress = asyncio.create_task(_show_progress(url))
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, auto_decompress=False) as session,
            session.request(
                method, url, data=body, headers=headers, allow_redirects=False
            ) as response,
        ):
            lowered = {key.lower(): value for key, value in response.headers.items()}
            return Answer(response.status, lowered, await response.read())
    finally:
        progress.cancel()


async def _show_progress(url: str) -> None:
    await asyncio.sleep(_PROGRESS_AFTER_S)
    click.echo(f"waiting for {url} ...", err=True)
