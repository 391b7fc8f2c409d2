"""Reading of a VM's settings file; every problem is found at once."""

import ipaddress
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from hibiscushaven.ini import (
    Field,
    IniProblem,
    Kind,
    Section,
    choice,
    endpoint,
    integer,
    number,
    read_sections,
    text,
)
from hibiscushaven.ini.fields import Endpoint

from .model import (
    Limits,
    LogFormat,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)

__all__ = [
    "LIMIT_FIELDS",
    "LOG_FIELDS",
    "PLATFORM_FIELDS",
    "PORT_FIELDS",
    "FileProblem",
    "in_file",
    "ip_number",
    "load_settings",
    "read_file",
    "single_sections",
]

# Request bodies are buffered until their backend server has answered.
_MAX_BODY_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class FileProblem(IniProblem):
    """A problem of an INI file, with the file's path.

    Examples
    ========

    >>> str(FileProblem("vm", "http_port", "0", "an integer from 1 to 65535", "vm.ini"))
    "vm.ini: [vm] http_port = '0': expected an integer from 1 to 65535"

    """

    file: str = ""

    def __str__(self) -> str:
        return f"{self.file}: {IniProblem.__str__(self)}"


def ip_number() -> Kind:
    """Return the kind of IP numbers."""

    def parse(value: str) -> str:
        return str(ipaddress.ip_address(value))

    return Kind(parse, "an IP number, such as 127.0.0.1")


def _endpoints() -> Kind:
    """Return the kind of lists of different endpoints, divided by spaces."""
    one = endpoint()

    def parse(value: str) -> tuple[Endpoint, ...]:
        items = tuple(one.parse(word) for word in value.split())
        if len(set(items)) < len(items):
            raise ValueError(value)
        return items

    return Kind(parse, "different IP numbers with ports, divided by spaces")


def _url() -> Kind:
    """Return the kind of HTTP URLs whose host is an IP number or a name, with a valid port."""

    def parse(value: str) -> str:
        match = re.fullmatch(r"https?://(?:[A-Za-z0-9.-]+|\[[0-9a-fA-F:.]+\])(?::(\d+))?/?", value)
        if match is None or not 1 <= int(match[1] or 80) <= 65535:
            raise ValueError(value)
        return value.rstrip("/")

    return Kind(parse, "an HTTP URL without a path, such as http://127.0.0.1:8500")


PORT_FIELDS = (
    Field("http_port", integer(1, 65535), 8080, False),
    Field("peer_port", integer(1, 65535), 8081, False),
)
PLATFORM_FIELDS = (
    Field("url", _url()),
    Field("timeout_s", number(0.05, 60), 2.0, False),
)
LOG_FIELDS = (
    Field("level", choice("debug", "info", "warning", "error"), "info", False),
    Field("format", choice(*LogFormat), LogFormat.JSON, False),
)
LIMIT_FIELDS = (
    Field("max_body_bytes", integer(1024, _MAX_BODY_BYTES), _MAX_BODY_BYTES, False),
    Field("max_callers", integer(1, 100_000), 2000, False),
)

_LAYOUT = {
    "vm": (
        Field("name", text()),
        Field("region", text()),
        Field("failure_domain", text()),
        Field("host", ip_number(), "127.0.0.1", False),
        *PORT_FIELDS,
    ),
    "platform": PLATFORM_FIELDS,
    "peers": (Field("seeds", _endpoints(), (), False),),
    "log": LOG_FIELDS,
    "limits": LIMIT_FIELDS,
}


def load_settings(path: Path | str) -> Result[Settings, tuple[IniProblem, ...]]:
    """Read the settings of one VM.

    :returns: the settings, or all problems of the file, each of which names the file.

    Examples
    ========

    >>> load_settings("no-such-file.ini").error[0].file
    'no-such-file.ini'

    """
    sections, problems = read_file(path, _LAYOUT)
    values, missing = single_sections(sections, _LAYOUT, tuple(_LAYOUT))
    problems = (*problems, *missing)
    if not problems:
        problems = tuple(_check_ports(values["vm"]))
    if problems:
        return Error(in_file(path, problems))
    return Ok(
        Settings(
            VmSettings(**values["vm"]),
            PlatformSettings(**values["platform"]),
            PeerSettings(**values["peers"]),
            LogSettings(values["log"]["level"], LogFormat(values["log"]["format"])),
            Limits(**values["limits"]),
        )
    )


def in_file(path: Path | str, problems: tuple[IniProblem, ...]) -> tuple[FileProblem, ...]:
    """Return the problems with the file that they are in."""
    return tuple(
        FileProblem(item.section, item.key, item.value, item.allowed, str(path))
        for item in problems
    )


def read_file(
    path: Path | str, layout: Mapping[str, tuple[Field, ...]]
) -> tuple[tuple[Section, ...], tuple[IniProblem, ...]]:
    """Read the sections of a file; a file that cannot be read is a problem of its own."""
    try:
        source = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return (), (IniProblem("file", "", str(error), "a readable file in UTF-8"),)
    return read_sections(source, layout)


def single_sections(
    sections: tuple[Section, ...],
    layout: Mapping[str, tuple[Field, ...]],
    kinds: tuple[str, ...],
) -> tuple[dict[str, dict[str, Any]], tuple[IniProblem, ...]]:
    """Return the values of the sections that occur once, with defaults where one is missing."""
    values: dict[str, dict[str, Any]] = {}
    problems: list[IniProblem] = []
    for section in sections:
        if section.kind not in kinds:
            continue
        if section.name:
            problems.append(
                IniProblem(section.title, "", section.title, f"the title [{section.kind}]")
            )
        values[section.kind] = dict(section.values)
    for kind in kinds:
        if kind not in values:
            values[kind] = {field.key: field.default for field in layout[kind]}
            problems.extend(
                IniProblem(kind, field.key, None, field.kind.allowed)
                for field in layout[kind]
                if field.is_required
            )
    return values, tuple(problems)


def _check_ports(vm: Mapping[str, Any]) -> Iterator[IniProblem]:
    if vm["http_port"] == vm["peer_port"]:
        allowed = "a port other than http_port"
        yield IniProblem("vm", "peer_port", str(vm["peer_port"]), allowed)
