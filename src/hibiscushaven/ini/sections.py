"""Parsing of the sections of an INI file."""

import configparser
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from .fields import Field, IniProblem

__all__ = ["Section", "read_sections"]


@dataclass(frozen=True, slots=True)
class Section:
    """A section with its parsed values.

    :ivar kind: first word of the title, such as ``failure_domain``.
    :ivar name: rest of the title; empty if the title is a single word.
    :ivar values: parsed values by key; missing and invalid ones are the field's default.
    """

    kind: str
    name: str
    values: Mapping[str, Any]

    @property
    def title(self) -> str:
        return f"{self.kind} {self.name}".strip()


def read_sections(
    text: str, layout: Mapping[str, tuple[Field, ...]]
) -> tuple[tuple[Section, ...], tuple[IniProblem, ...]]:
    """Parse all sections of ``text`` and report all problems together.

    :param layout: fields by section kind (the first word of the title).
    :returns: the sections, with the field's default for each invalid value, and the problems.

    Examples
    ========

    >>> from hibiscushaven.ini import integer
    >>> layout = {"vm": (Field("port", integer(1, 9)),)}
    >>> sections, problems = read_sections("[vm]\\nport = x", layout)
    >>> [str(problem) for problem in problems]
    ["[vm] port = 'x': expected an integer from 1 to 9"]

    """
    problems: list[IniProblem] = []
    try:
        _make_parser(is_strict=True).read_string(text)
    except (configparser.DuplicateSectionError, configparser.DuplicateOptionError) as error:
        # Parsed again below without strict mode, to report the other problems as well.
        problems.append(_describe_duplicate(error))
    except configparser.Error as error:
        return (), (IniProblem("file", "", " ".join(str(error).split()), "an INI file"),)
    parser = _make_parser(is_strict=False)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return (), (*problems, IniProblem("file", "", " ".join(str(error).split()), "an INI file"))
    sections = []
    titles: set[str] = set()
    for title in parser.sections():
        kind, _, name = title.partition(" ")
        if kind not in layout:
            kinds = "a section of kind " + ", ".join(sorted(layout))
            problems.append(IniProblem(title, "", title, kinds))
            continue
        normalized = " ".join(title.split())
        if normalized in titles:
            problems.append(IniProblem(title, "", title, "each section once"))
        titles.add(normalized)
        values = parser[title]
        problems.extend(_check_values(title, values, layout[kind]))
        sections.append(Section(kind, name.strip(), dict(_parse_values(values, layout[kind]))))
    return tuple(sections), tuple(problems)


def _make_parser(is_strict: bool) -> configparser.ConfigParser:
    # A title cannot be a line break, so that no section of the file, not even [DEFAULT], provides
    # defaults for the others.
    parser = configparser.ConfigParser(interpolation=None, default_section="\n", strict=is_strict)
    parser.optionxform = str
    return parser


def _describe_duplicate(
    error: configparser.DuplicateSectionError | configparser.DuplicateOptionError,
) -> IniProblem:
    if isinstance(error, configparser.DuplicateSectionError):
        return IniProblem(error.section, "", f"line {error.lineno}", "each section once")
    return IniProblem(error.section, error.option, f"line {error.lineno}", "each key once")


def _check_values(
    title: str, values: Mapping[str, str], fields: tuple[Field, ...]
) -> Iterator[IniProblem]:
    known = {field.key for field in fields}
    for key in values:
        if key not in known:
            yield IniProblem(title, key, values[key], "one of the keys " + ", ".join(sorted(known)))
    for field in fields:
        if field.key not in values:
            if field.is_required:
                yield IniProblem(title, field.key, None, field.value_type.allowed)
            continue
        try:
            field.value_type.parse(values[field.key])
        except ValueError:
            yield IniProblem(title, field.key, values[field.key], field.value_type.allowed)


def _parse_values(
    values: Mapping[str, str], fields: tuple[Field, ...]
) -> Iterator[tuple[str, Any]]:
    for field in fields:
        if field.key not in values:
            yield field.key, field.default
            continue
        try:
            yield field.key, field.value_type.parse(values[field.key])
        except ValueError:
            yield field.key, field.default
