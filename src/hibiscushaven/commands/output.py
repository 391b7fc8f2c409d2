"""Output and exit codes of the commands."""

import contextlib
import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NoReturn

import click

__all__ = [
    "EXIT_REFUSED",
    "EXIT_USAGE",
    "exit_on_os_error",
    "exit_with_error",
    "exit_with_problems",
    "print_json",
    "print_table",
]

EXIT_REFUSED = 1
EXIT_USAGE = 2


def print_json(value: Any) -> None:
    """Print a value as indented JSON with sorted keys."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(titles: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print a table with aligned columns."""
    lines = [tuple(map(str, row)) for row in (titles, *rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(titles))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def exit_with_error(message: str, code: int = EXIT_REFUSED) -> NoReturn:
    """Print an error and exit."""
    click.echo(f"error: {message}", err=True)
    sys.exit(code)


@contextlib.contextmanager
def exit_on_os_error() -> Iterator[None]:
    """Exit with a one-line error on an ``OSError``, such as an address that is in use."""
    try:
        yield
    except OSError as error:
        exit_with_error(error.strerror or str(error))


def exit_with_problems(path: str, problems: Iterable[Any], code: int = EXIT_REFUSED) -> NoReturn:
    """Print all problems of a file and exit."""
    for problem in problems:
        click.echo(f"{path}: {problem}", err=True)
    sys.exit(code)
