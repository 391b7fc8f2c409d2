"""Settings of an entry VM, read from an INI file."""

from collections.abc import Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result

from hibiscushaven.ini import (
    Field,
    IniProblem,
    check_required_sections,
    choice,
    integer,
    number,
    read_sections,
    text,
)
from hibiscushaven.ini.fields import Endpoint, endpoint, host, url

from .checks import check_ports, check_section_titles

__all__ = ["COMMON_LAYOUT", "LogSettings", "Settings", "common_settings", "parse_settings"]

_NAME = text()

COMMON_LAYOUT = {
    "platform": (
        Field("url", url()),
        Field("timeout_s", number(0.05, 60), 2.0, False),
    ),
    "log": (
        Field("level", choice("debug", "info", "warning", "error"), "info", False),
        Field("format", choice("json", "text"), "json", False),
    ),
    "limits": (
        Field("max_body_bytes", integer(1, 1024 * 1024), 1024 * 1024, False),
        Field("max_requests", integer(1, 100_000), 2000, False),
    ),
}

_LAYOUT = {
    "vm": (
        Field("name", _NAME),
        Field("region", _NAME),
        Field("failure_domain", _NAME),
        Field("host", host()),
        Field("http_port", integer(1, 65535), 8080, False),
        Field("peer_port", integer(1, 65535), 7070, False),
    ),
    "peers": (Field("seeds", text(r"(?s).*", "IP numbers and ports"), "", False),),
    **COMMON_LAYOUT,
}


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Log level and format.

    :ivar level: lowest level that is logged.
    :ivar format: ``json`` or ``text``.
    """

    level: str = "info"
    format: str = "json"


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of an entry VM.

    :ivar seeds: peers to contact until the platform's list of VMs is available.
    :ivar max_body_bytes: largest body of a caller's request.
    :ivar max_requests: maximum number of callers' requests in progress on this VM.
    """

    name: str
    region: str
    failure_domain: str
    host: str
    http_port: int
    peer_port: int
    platform_url: str
    platform_timeout_s: float = 2.0
    seeds: tuple[Endpoint, ...] = ()
    log: LogSettings = LogSettings()
    max_body_bytes: int = 1024 * 1024
    max_requests: int = 2000


def parse_settings(source: str) -> Result[Settings, tuple[IniProblem, ...]]:
    """Parse the settings of a VM and report all problems together.

    Examples
    ========

    >>> [str(problem) for problem in parse_settings("[vm]\\nname = a b").error][0]
    "[vm] name = 'a b': expected letters, digits, '.', '_' and '-'"

    """
    sections, problems = read_sections(source, _LAYOUT)
    values_by_section = {section.kind: section.values for section in sections}
    seeds = values_by_section.get("peers", {}).get("seeds", "").split()
    problems += (
        *check_section_titles(sections, ()),
        *check_required_sections(sections, ("vm", "platform")),
        *check_ports("vm", values_by_section.get("vm", {})),
        *_check_seeds(seeds),
    )
    if problems:
        return Error(problems)
    return Ok(
        Settings(
            **values_by_section["vm"],
            seeds=tuple(endpoint().parse(seed) for seed in seeds),
            **common_settings(values_by_section),
        )
    )


def common_settings(values_by_section: dict) -> dict:
    """Return the fields of ``Settings`` that both kinds of settings file contain.

    :param values_by_section: values by section kind.
    """
    platform, limits = values_by_section["platform"], values_by_section.get("limits", {})
    return {
        "platform_url": platform["url"],
        "platform_timeout_s": platform["timeout_s"],
        "log": LogSettings(**values_by_section.get("log", {})),
        **limits,
    }


def _check_seeds(seeds: list[str]) -> Iterator[IniProblem]:
    seed_type = endpoint()
    parsed_seeds = set()
    for seed in seeds:
        try:
            parsed = seed_type.parse(seed)
        except ValueError:
            yield IniProblem("peers", "seeds", seed, seed_type.allowed)
            continue
        if parsed in parsed_seeds:
            yield IniProblem("peers", "seeds", seed, "each address once")
        parsed_seeds.add(parsed)
