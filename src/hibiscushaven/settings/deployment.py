"""Deployment files, which describe all VMs and services on one machine for demos and tests."""

import ipaddress
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from hibiscushaven.documents import parse_document
from hibiscushaven.ini import (
    Field,
    IniProblem,
    Section,
    check_required_sections,
    describe_read_error,
    integer,
    number,
    read_sections,
    text,
)
from hibiscushaven.ini.fields import host
from hibiscushaven.tablestore import VmRecord, VmState

from .checks import check_ports, check_section_titles
from .vm import COMMON_LAYOUT, Settings, common_settings

__all__ = ["Deployment", "FailureDomain", "is_deployment", "parse_deployment", "settings_for"]

_NAME = text()
_ONE_WAY_DELAY = Field("one_way_ms", number(0, 10_000))

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
    "delay": (_ONE_WAY_DELAY,),
    "service": (Field("document", text(r"\S+", "a path relative to this file")),),
    "team": (Field("token", text(r"\S+", "a token for the demo")),),
    **COMMON_LAYOUT,
}


_NAMED_KINDS = frozenset({"failure_domain", "delay", "service", "team"})
_DELAY_NAMES = ("failure_domains", "regions", "clients")


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain and its entry VMs.

    :ivar entry_vms: number of entry VMs.
    :ivar first_host: IP address of the first entry VM; the others have the addresses after it.
    """

    name: str
    region: str
    entry_vms: int
    first_host: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment of entry VMs, services and teams.

    :ivar platform_region: region that the platform runs in.
    :ivar vms: settings of all entry VMs.
    :ivar delays_ms: one-way network delays, by ``failure_domains``, ``regions`` and ``clients``.
    :ivar documents: path of the document of each service.
    :ivar team_tokens: bearer token of each team, in plain text; only for demos and tests.
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
        url = urlsplit(self.vms[0].platform_url)
        return url.hostname or "127.0.0.1", url.port or 80

    @property
    def vm_records(self) -> tuple[VmRecord, ...]:
        """Records of the entry VMs for the platform's list of VMs."""
        return tuple(
            VmRecord(
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
    """Return whether a settings file describes a deployment and not a single VM."""
    return any(line.strip() == "[deployment]" for line in source.splitlines())


def parse_deployment(source: str, folder: Path) -> Result[Deployment, tuple[IniProblem, ...]]:
    """Parse a deployment file and report all problems together.

    :param folder: folder that the paths of the documents are relative to.
    """
    sections, problems = read_sections(source, _LAYOUT)
    values_by_section = {section.kind: section.values for section in sections}
    problems += (
        *check_section_titles(sections, _NAMED_KINDS),
        *check_required_sections(sections, ("deployment", "platform", "failure_domain")),
        *check_ports("deployment", values_by_section.get("deployment", {})),
        *_check_delays(sections),
        *_check_regions(sections),
        *_check_addresses(sections),
        *_check_documents(sections, folder),
    )
    if problems:
        return Error(problems)
    deployment_values = values_by_section["deployment"]
    domains = tuple(
        FailureDomain(section.name, **section.values)
        for section in sections
        if section.kind == "failure_domain"
    )
    common = common_settings(values_by_section)
    ports = {
        "http_port": deployment_values["http_port"],
        "peer_port": deployment_values["peer_port"],
    }
    vms = tuple(vm for domain in domains for vm in _vm_settings(domain, ports, common))
    return Ok(
        Deployment(
            name=deployment_values["name"],
            platform_region=deployment_values["platform_region"],
            failure_domains=domains,
            vms=vms,
            delays_ms=_values_by_name(sections, "delay", "one_way_ms"),
            documents={
                name: folder / path
                for name, path in _values_by_name(sections, "service", "document").items()
            },
            team_tokens=_values_by_name(sections, "team", "token"),
        )
    )


def settings_for(deployment: Deployment, vm: str) -> Result[Settings, tuple[IniProblem, ...]]:
    """Return the settings of a VM of a deployment, or a problem if there is no such VM."""
    for settings in deployment.vms:
        if settings.name == vm:
            return Ok(settings)
    allowed = "one of " + ", ".join(item.name for item in deployment.vms)
    return Error((IniProblem("vm", "name", vm, allowed),))


def _check_delays(sections: Iterable[Section]) -> Iterator[IniProblem]:
    for section in sections:
        if section.kind == "delay" and section.name not in _DELAY_NAMES:
            allowed = "one of " + ", ".join(f"[delay {name}]" for name in _DELAY_NAMES)
            yield IniProblem(section.title, "", section.title, allowed)


def _check_regions(sections: Iterable[Section]) -> Iterator[IniProblem]:
    regions = {item.values["region"] for item in sections if item.kind == "failure_domain"}
    for section in sections:
        if section.kind != "deployment":
            continue
        region = section.values["platform_region"]
        if region is not None and region not in regions:
            allowed = "a region of a failure domain"
            yield IniProblem(section.title, "platform_region", region, allowed)


def _check_addresses(sections: Iterable[Section]) -> Iterator[IniProblem]:
    """Report failure domains whose addresses overlap or exceed the address space."""
    title_by_address: dict[tuple[int, int], str] = {}
    for section in sections:
        count, first = section.values.get("entry_vms"), section.values.get("first_host")
        if section.kind != "failure_domain" or count is None or first is None:
            continue
        address = ipaddress.ip_address(first)
        if int(address) + count - 1 >= 1 << address.max_prefixlen:
            allowed = f"an IP number with {count - 1} more after it"
            yield IniProblem(section.title, "first_host", first, allowed)
            continue
        keys = [(address.version, int(address) + offset) for offset in range(count)]
        others = sorted({title_by_address[key] for key in keys if key in title_by_address})
        if others:
            allowed = f"{count} addresses that [{others[0]}] does not use"
            yield IniProblem(section.title, "first_host", first, allowed)
        title_by_address.update((key, section.title) for key in keys)


def _check_documents(sections: Iterable[Section], folder: Path) -> Iterator[IniProblem]:
    """Report documents that are unreadable, invalid or belong to another service."""
    for section in sections:
        path = section.values.get("document") if section.kind == "service" else None
        if path is None:
            continue
        try:
            source = (folder / path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError, ValueError) as error:
            allowed = f"a document that can be read ({describe_read_error(error)})"
            yield IniProblem(section.title, "document", path, allowed)
            continue
        parsed = parse_document(source)
        if parsed.is_error():
            for problem in parsed.error:
                allowed = f"a document without problems ({problem})"
                yield IniProblem(section.title, "document", path, allowed)
        elif parsed.ok.name != section.name:
            allowed = f"a document of {section.name!r}, not of {parsed.ok.name!r}"
            yield IniProblem(section.title, "document", path, allowed)


def _vm_settings(domain: FailureDomain, ports: dict[str, int], common: dict) -> Iterator[Settings]:
    first = ipaddress.ip_address(domain.first_host)
    for offset in range(domain.entry_vms):
        yield Settings(
            name=f"{domain.name}-vm{offset + 1}",
            region=domain.region,
            failure_domain=domain.name,
            host=str(first + offset),
            **ports,
            **common,
        )


def _values_by_name(sections, kind: str, key: str) -> dict:
    return {item.name: item.values[key] for item in sections if item.kind == kind}
