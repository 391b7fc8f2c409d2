"""Reading of a whole INI file, with its problems."""

from collections.abc import Iterable, Iterator
from pathlib import Path

from expression import Error, Ok, Result

from .fields import IniProblem
from .sections import Section

__all__ = ["check_missing", "describe_read_error", "read_source"]


def read_source(path: str) -> Result[str, tuple[IniProblem, ...]]:
    """Return the text of a file."""
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        allowed = f"a text in UTF-8 that can be read ({describe_read_error(error)})"
        return Error((IniProblem("file", "", path, allowed),))


def describe_read_error(error: OSError | ValueError) -> str:
    """Return in a few words why a file cannot be read."""
    if isinstance(error, UnicodeDecodeError):
        return f"not UTF-8 at byte {error.start}"
    return getattr(error, "strerror", None) or str(error)


def check_missing(sections: Iterable[Section], wanted: Iterable[str]) -> Iterator[IniProblem]:
    """Report kinds of sections that are missing."""
    found = {section.kind for section in sections}
    for kind in wanted:
        if kind not in found:
            yield IniProblem(kind, "", None, "this section")
