"""Files that describe a whole deployment."""

import ipaddress
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from hibiscushaven.documents import ServiceDocument, parse_document
from hibiscushaven.ini import Field, IniProblem, Section, integer, number, text
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
from .reader import (
    LIMIT_FIELDS,
    LOG_FIELDS,
    PLATFORM_FIELDS,
    PORT_FIELDS,
    in_file,
    ip_number,
    read_file,
    single_sections,
)

__all__ = [
    "Delays",
    "Deployment",
    "FailureDomain",
    "UnknownVmError",
    "load_deployment",
    "settings_for",
]

# Peers of its own failure domain that a VM asks first, beside one of each other domain.
_OWN_SEEDS = 2

_DELAY = number(0, 10_000)

_LAYOUT = {
    "deployment": (Field("name", text()), *PORT_FIELDS),
    "failure_domain": (
        Field("region", text()),
        Field("entry_vms", integer(1, 1000)),
        Field("addresses", ip_number()),
    ),
    "platform": PLATFORM_FIELDS,
    "delays": (
        Field("failure_domains_ms", _DELAY, 0.0, False),
        Field("regions_ms", _DELAY, 0.0, False),
        Field("clients_ms", _DELAY, 0.0, False),
    ),
    "service": (Field("document", text(r"\S+", "a path relative to this file")),),
    "log": LOG_FIELDS,
    "limits": LIMIT_FIELDS,
}
_SINGLE = ("deployment", "platform", "delays", "log", "limits")
_NAMED = ("failure_domain", "service")


class UnknownVmError(Exception):
    """A VM that the deployment does not have."""


@dataclass(frozen=True, slots=True)
class Delays:
    """One-way delays in milliseconds.

    :ivar failure_domains_ms: between failure domains of one region.
    :ivar regions_ms: between regions.
    :ivar clients_ms: between callers and entry VMs.
    """

    failure_domains_ms: float
    regions_ms: float
    clients_ms: float


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain and its entry VMs, which have consecutive addresses.

    :ivar addresses: address of the first entry VM.
    """

    name: str
    region: str
    entry_vms: int
    addresses: str

    @property
    def hosts(self) -> tuple[str, ...]:
        first = ipaddress.ip_address(self.addresses)
        return tuple(str(first + number) for number in range(self.entry_vms))


@dataclass(frozen=True)
class Deployment:
    """Entry VMs, platform, delays and service documents of a deployment."""

    name: str
    http_port: int
    peer_port: int
    failure_domains: tuple[FailureDomain, ...]
    platform: PlatformSettings
    delays: Delays
    documents: Mapping[str, Path]
    log: LogSettings
    limits: Limits

    @cached_property
    def vms(self) -> dict[str, VmSettings]:
        """Every entry VM by name: the failure domain and a number from 1."""
        return {
            f"{domain.name}-{number}": VmSettings(
                f"{domain.name}-{number}",
                domain.region,
                domain.name,
                host,
                self.http_port,
                self.peer_port,
            )
            for domain in self.failure_domains
            for number, host in enumerate(domain.hosts, 1)
        }


def settings_for(deployment: Deployment, vm_name: str) -> Settings:
    """Return the settings of one VM.

    :raises UnknownVmError: when the deployment has no such VM.
    """
    vm = deployment.vms.get(vm_name)
    if vm is None:
        names = ", ".join(deployment.vms)
        raise UnknownVmError(f"{vm_name!r} is not in {deployment.name}; expected one of {names}")
    seeds = PeerSettings(tuple(_seeds(deployment, vm)))
    return Settings(vm, deployment.platform, seeds, deployment.log, deployment.limits)


def _seeds(deployment: Deployment, vm: VmSettings) -> Iterator[Endpoint]:
    for domain in deployment.failure_domains:
        is_own = domain.name == vm.failure_domain
        hosts = [host for host in domain.hosts if host != vm.host]
        for host in hosts[: _OWN_SEEDS if is_own else 1]:
            yield Endpoint(host, deployment.peer_port)


def load_deployment(path: Path | str) -> Result[Deployment, tuple[IniProblem, ...]]:
    """Read a deployment and check its service documents against it.

    :returns: the deployment, or all problems of the file or else of the documents.
    """
    sections, problems = read_file(path, _LAYOUT)
    values, missing = single_sections(sections, _LAYOUT, _SINGLE)
    problems = (*problems, *missing, *_check_titles(sections))
    if not problems:
        problems = (*_check_ports(values["deployment"]), *_check_hosts(sections))
    if problems:
        return Error(in_file(path, problems))
    deployment = _build(Path(path), sections, values)
    found = tuple(
        problem
        for service, document in deployment.documents.items()
        for problem in in_file(document, tuple(_check_document(deployment, service, document)))
    )
    return Error(found) if found else Ok(deployment)


def _build(
    path: Path, sections: tuple[Section, ...], values: Mapping[str, dict[str, Any]]
) -> Deployment:
    return Deployment(
        **values["deployment"],
        failure_domains=tuple(
            FailureDomain(item.name, **item.values) for item in _of(sections, "failure_domain")
        ),
        platform=PlatformSettings(**values["platform"]),
        delays=Delays(**values["delays"]),
        documents={
            item.name: path.parent / item.values["document"] for item in _of(sections, "service")
        },
        log=LogSettings(values["log"]["level"], LogFormat(values["log"]["format"])),
        limits=Limits(**values["limits"]),
    )


def _of(sections: tuple[Section, ...], kind: str) -> Iterator[Section]:
    return (section for section in sections if section.kind == kind)


def _check_titles(sections: tuple[Section, ...]) -> Iterator[IniProblem]:
    for kind in _NAMED:
        if not any(_of(sections, kind)):
            yield IniProblem(kind, "", None, f"at least one [{kind} NAME] section")
        for section in _of(sections, kind):
            if len(section.name.split()) != 1:
                yield IniProblem(section.title, "", section.title, f"a title [{kind} NAME]")


def _check_ports(values: Mapping[str, Any]) -> Iterator[IniProblem]:
    if values["http_port"] == values["peer_port"]:
        allowed = "a port other than http_port"
        yield IniProblem("deployment", "peer_port", str(values["peer_port"]), allowed)


def _check_hosts(sections: tuple[Section, ...]) -> Iterator[IniProblem]:
    """Check that the entry VMs' addresses exist and belong to one failure domain each."""
    taken: set[str] = set()
    for section in _of(sections, "failure_domain"):
        base = section.values["addresses"]
        try:
            hosts = FailureDomain(section.name, **section.values).hosts
        except ipaddress.AddressValueError:
            yield IniProblem(section.title, "addresses", base, "a base with room for entry_vms")
            continue
        if taken.intersection(hosts):
            allowed = "addresses that no other failure domain's entry VMs have"
            yield IniProblem(section.title, "addresses", base, allowed)
        taken.update(hosts)


def _check_document(deployment: Deployment, service: str, path: Path) -> Iterator[IniProblem]:
    try:
        result = parse_document(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        yield IniProblem("file", "", str(error), "a readable file in UTF-8")
        return
    if result.is_error():
        yield from result.error
        return
    document = result.ok
    if document.name != service:
        yield IniProblem("service", "name", document.name, f"{service}, as in the deployment")
    yield from _check_places(deployment, document)


def _check_places(deployment: Deployment, document: ServiceDocument) -> Iterator[IniProblem]:
    regions = {domain.name: domain.region for domain in deployment.failure_domains}
    for place in document.places:
        title = f"place {place.name}"
        if place.failure_domain not in regions:
            allowed = "one of " + ", ".join(sorted(regions))
            yield IniProblem(title, "failure_domain", place.failure_domain, allowed)
        elif place.region != regions[place.failure_domain]:
            yield IniProblem(title, "region", place.region, regions[place.failure_domain])
    hosts = {vm.host for vm in deployment.vms.values()}
    for server in document.servers:
        if server.address.host in hosts:
            allowed = "an address that no entry VM has"
            yield IniProblem(f"server {server.name}", "address", str(server.address), allowed)
