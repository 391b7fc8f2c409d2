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
from .source import check_missing, describe_read_error, read_source

__all__ = [
    "Field",
    "IniProblem",
    "Kind",
    "Section",
    "boolean",
    "check_missing",
    "choice",
    "describe_read_error",
    "digest",
    "duration",
    "endpoint",
    "integer",
    "number",
    "read_sections",
    "read_source",
    "text",
]
