"""Reading of INI files, and the check for required sections."""

from collections.abc import Iterable, Iterator
from pathlib import Path

from expression import Error, Ok, Result

from .fields import IniProblem
from .sections import Section

__all__ = ["check_required_sections", "describe_read_error", "read_source"]


def read_source(path: str) -> Result[str, tuple[IniProblem, ...]]:
    """Return the contents of a UTF-8 file, or a problem if it cannot be read."""
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        allowed = f"a text in UTF-8 that can be read ({describe_read_error(error)})"
        return Error((IniProblem("file", "", path, allowed),))


def describe_read_error(error: OSError | ValueError) -> str:
    """Return a short reason why a file cannot be read."""
    if isinstance(error, UnicodeDecodeError):
        return f"not UTF-8 at byte {error.start}"
    return getattr(error, "strerror", None) or str(error)


def check_required_sections(
    sections: Iterable[Section], required: Iterable[str]
) -> Iterator[IniProblem]:
    """Report each required kind of section that is missing."""
    present_kinds = {section.kind for section in sections}
    for kind in required:
        if kind not in present_kinds:
            yield IniProblem(kind, "", None, "this section")
