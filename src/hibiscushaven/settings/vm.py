"""Settings of one VM, read from an INI file."""

from dataclasses import dataclass
from pathlib import Path

from expression import Error, Ok, Result

from hibiscushaven.ini import Field, IniProblem, choice, integer, number, read_sections, text
from hibiscushaven.ini.fields import Endpoint, endpoint

__all__ = ["Settings", "load_settings", "parse_settings"]

_LAYOUT = {
    "vm": (
        Field("name", text()),
        Field("region", text()),
        Field("failure_domain", text()),
        Field("host", text(r"[0-9a-fA-F.:]+", "an IP number")),
        Field("http_port", integer(1, 65535)),
        Field("peer_port", integer(1, 65535)),
    ),
    "platform": (
        Field("url", text(r"https?://\S+", "an HTTP address")),
        Field("timeout_s", number(0.05, 60), 2.0, False),
    ),
    "peers": (Field("seeds", text(r"[0-9a-fA-F.:\[\] ]*", "IP numbers and ports"), "", False),),
    "log": (
        Field("level", choice("debug", "info", "warning", "error"), "info", False),
        Field("format", choice("json", "text"), "json", False),
    ),
}


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one VM."""

    name: str
    region: str
    failure_domain: str
    host: str
    http_port: int
    peer_port: int
    platform_url: str
    platform_timeout_s: float
    seeds: tuple[Endpoint, ...]
    log_level: str
    log_format: str


def load_settings(path: str) -> Result[Settings, tuple[IniProblem, ...]]:
    """Read the settings of a file."""
    return parse_settings(Path(path).read_text(encoding="utf-8"))


def parse_settings(source: str) -> Result[Settings, tuple[IniProblem, ...]]:
    """Parse settings, reporting every problem at once."""
    sections, problems = read_sections(source, _LAYOUT)
    found = {section.kind: section.values for section in sections}
    missing = [kind for kind in ("vm", "platform") if kind not in found]
    problems += tuple(IniProblem(kind, "", None, "this section") for kind in missing)
    if problems:
        return Error(problems)
    seeds = found.get("peers", {}).get("seeds", "").split()
    log = found.get("log", {"level": "info", "format": "json"})
    return Ok(
        Settings(
            **found["vm"],
            platform_url=found["platform"]["url"],
            platform_timeout_s=found["platform"]["timeout_s"],
            seeds=tuple(endpoint().parse(seed) for seed in seeds),
            log_level=log["level"],
            log_format=log["format"],
        )
    )
