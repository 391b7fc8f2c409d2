"""One file that describes a whole deployment on one machine, for the demo and tests."""

import ipaddress
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from hibiscushaven.ini import Field, IniProblem, integer, number, read_sections, text
from hibiscushaven.ini.fields import host
from hibiscushaven.platform import VmEntry, VmState

from .vm import COMMON_LAYOUT, Settings, common_settings

__all__ = ["Deployment", "FailureDomain", "is_deployment", "parse_deployment", "settings_for"]

_NAME = text()
_DELAY = Field("one_way_ms", number(0, 10_000))

_LAYOUT = {
    "deployment": (
        Field("name", _NAME),
        Field("http_port", integer(1, 65535), 8080, False),
        Field("peer_port", integer(1, 65535), 7070, False),
        Field("platform_region", _NAME),
    ),
    "failure_domain": (
        Field("region", _NAME),
        Field("entry_vms", integer(1, 200)),
        Field("first_host", host()),
    ),
    "delay": (_DELAY,),
    "service": (Field("document", text(r"\S+", "a path relative to this file")),),
    "team": (Field("token", text(r"\S+", "a token for the demo")),),
    **COMMON_LAYOUT,
}


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain and its entry VMs.

    :ivar first_host: address of the first entry VM; the others follow.
    """

    name: str
    region: str
    entry_vms: int
    first_host: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment of entry VMs, services and teams.

    :ivar delays_ms: one-way delays: ``failure_domains``, ``regions`` and ``clients``.
    :ivar documents: path of each service's document.
    :ivar team_tokens: bearer tokens of the teams; only for demos and tests.
    """

    name: str
    platform_region: str
    failure_domains: tuple[FailureDomain, ...]
    vms: tuple[Settings, ...]
    delays_ms: dict[str, float]
    documents: dict[str, Path]
    team_tokens: dict[str, str]

    @property
    def platform_endpoint(self) -> tuple[str, int]:
        """Host and port of the platform."""
        parts = urlsplit(self.vms[0].platform_url)
        return parts.hostname or "127.0.0.1", parts.port or 80

    @property
    def vm_entries(self) -> tuple[VmEntry, ...]:
        """The list of VMs, as the platform has it."""
        return tuple(
            VmEntry(
                vm.name,
                vm.failure_domain,
                vm.region,
                vm.host,
                vm.peer_port,
                VmState.LIVE,
                vm.http_port,
            )
            for vm in self.vms
        )


def is_deployment(source: str) -> bool:
    """Return whether a text describes a deployment and not one VM."""
    return any(line.strip() == "[deployment]" for line in source.splitlines())


def parse_deployment(source: str, folder: Path) -> Result[Deployment, tuple[IniProblem, ...]]:
    """Parse a deployment, reporting every problem at once.

    :param folder: folder that the documents' paths are relative to.
    """
    sections, problems = read_sections(source, _LAYOUT)
    found = {section.title: section.values for section in sections}
    missing = [kind for kind in ("deployment", "platform") if kind not in found]
    problems += tuple(IniProblem(kind, "", None, "this section") for kind in missing)
    if not any(section.kind == "failure_domain" for section in sections):
        problems += (IniProblem("failure_domain", "", None, "a [failure_domain NAME] section"),)
    if problems:
        return Error(problems)
    general = found["deployment"]
    domains = tuple(
        FailureDomain(section.name, **section.values)
        for section in sections
        if section.kind == "failure_domain"
    )
    common = common_settings(found)
    ports = {"http_port": general["http_port"], "peer_port": general["peer_port"]}
    vms = tuple(vm for domain in domains for vm in _vms(domain, ports, common))
    return Ok(
        Deployment(
            name=general["name"],
            platform_region=general["platform_region"],
            failure_domains=domains,
            vms=vms,
            delays_ms=_named(sections, "delay", "one_way_ms"),
            documents={
                name: folder / path
                for name, path in _named(sections, "service", "document").items()
            },
            team_tokens=_named(sections, "team", "token"),
        )
    )


def settings_for(deployment: Deployment, vm: str) -> Result[Settings, tuple[IniProblem, ...]]:
    """Return the settings of one VM of a deployment."""
    for settings in deployment.vms:
        if settings.name == vm:
            return Ok(settings)
    names = "one of " + ", ".join(item.name for item in deployment.vms)
    return Error((IniProblem("vm", "name", vm, names),))


def _vms(domain: FailureDomain, ports: dict[str, int], common: dict):
    first = ipaddress.ip_address(domain.first_host)
    for number_ in range(domain.entry_vms):
        yield Settings(
            name=f"{domain.name}-vm{number_ + 1}",
            region=domain.region,
            failure_domain=domain.name,
            host=str(first + number_),
            **ports,
            **common,
        )


def _named(sections, kind: str, key: str) -> dict:
    return {item.name: item.values[key] for item in sections if item.kind == kind}
