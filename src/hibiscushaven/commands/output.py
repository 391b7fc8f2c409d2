"""What commands print, and how they end."""

import contextlib
import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NoReturn

import click

__all__ = [
    "EXIT_REFUSED",
    "EXIT_USAGE",
    "fail",
    "fail_with_problems",
    "listen_errors",
    "print_json",
    "print_table",
]

EXIT_REFUSED = 1
EXIT_USAGE = 2


def print_json(value: Any) -> None:
    """Print a value for programs."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(titles: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print aligned columns."""
    lines = [tuple(map(str, row)) for row in (titles, *rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(titles))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def fail(message: str, code: int = EXIT_REFUSED) -> NoReturn:
    """Print an error and exit."""
    click.echo(f"error: {message}", err=True)
    sys.exit(code)


@contextlib.contextmanager
def listen_errors() -> Iterator[None]:
    """End the command with one line if an address cannot be used."""
    try:
        yield
    except OSError as error:
        fail(error.strerror or str(error))


def fail_with_problems(path: str, problems: Iterable[Any], code: int = EXIT_REFUSED) -> NoReturn:
    """Print every problem of a file and exit."""
    for problem in problems:
        click.echo(f"{path}: {problem}", err=True)
    sys.exit(code)
