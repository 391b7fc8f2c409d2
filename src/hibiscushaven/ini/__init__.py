"""Parsing and validation of INI files, shared by settings and service documents."""

from .fields import (
    Field,
    IniProblem,
    ValueType,
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
from .source import check_required_sections, describe_read_error, read_source

__all__ = [
    "Field",
    "IniProblem",
    "Section",
    "ValueType",
    "boolean",
    "check_required_sections",
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
