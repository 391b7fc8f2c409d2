"""Checked reading of INI files, shared by settings and documents."""

from .fields import (
    Field,
    IniProblem,
    Kind,
    boolean,
    choice,
    digest,
    duration,
    endpoint,
    integer,
    number,
    text,
)
from .sections import Section, read_sections

__all__ = [
    "Field",
    "IniProblem",
    "Kind",
    "Section",
    "boolean",
    "choice",
    "digest",
    "duration",
    "endpoint",
    "integer",
    "number",
    "read_sections",
    "text",
]
