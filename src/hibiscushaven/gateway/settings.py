"""Settings of a gateway, read from an INI file."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from hibiscushaven.discovery import RENEWAL_INTERVAL_S
from hibiscushaven.forwarding import RetryBudgetOptions
from hibiscushaven.ini import (
    Field,
    IniProblem,
    check_required_sections,
    choice,
    duration,
    endpoint,
    integer,
    number,
    read_sections,
    read_source,
    text,
)
from hibiscushaven.ini.fields import Endpoint, host

from .options import RELAY_PORT_OFFSET, GatewayOptions

__all__ = ["GatewaySettings", "load_gateway_settings", "parse_gateway_settings"]

_NAME = text()
_DOMAIN_REGION_PAIRS = text(
    r"[^:,\s]+:[^:,\s]+(,[^:,\s]+:[^:,\s]+)*", "pairs such as serra-a:serra,vale-a:vale"
)
_SEEDS = text(r"[0-9.:,\s]*", "IP numbers, with commas between them")

_LAYOUT = {
    "vm": (
        Field("name", _NAME),
        Field("region", _NAME),
        Field("failure_domain", _NAME),
        Field("host", host()),
        Field("failure_domains", _DOMAIN_REGION_PAIRS),
        Field("cpu_share", number(0.001, 1000), 1.0, False),
        Field("core_speed", number(0.001, 1000), 1.0, False),
        Field("link_mbps", number(0.1, 1e6), 1000.0, False),
    ),
    "listen": (
        Field("callers", endpoint()),
        Field("readiness", endpoint()),
        Field("directory", endpoint()),
        Field("status", endpoint(), None, False),
        Field("metrics_port", integer(1, 65535), None, False),
        Field("peer_port", integer(1, 65535 - RELAY_PORT_OFFSET)),
    ),
    "peers": (Field("seeds", _SEEDS, "", False),),
    "store": (Field("address", endpoint()),),
    "bounds": (
        Field("answer_ttl", duration(0.1, 60), 2.0, False),
        Field("grace", duration(0.5, 600), 6.0, False),
        Field("record_renewal", duration(0.1, 60), RENEWAL_INTERVAL_S, False),
        Field("shift_cap", number(0.001, 1), 0.15, False),
        Field("retry_window", duration(1, 600), 10.0, False),
        Field("retry_ratio", number(0, 10), 0.1, False),
        Field("retry_fixed", number(0, 1e6), 10.0, False),
    ),
    "log": (
        Field("level", choice("debug", "info", "warning", "error"), "info", False),
        Field("lines_per_s", integer(1, 100_000), 100, False),
    ),
}

# Bandwidth that the traffic of one core needs, in Mbit/s. The link limits the capacity of a VM
# that has less.
LINK_MBPS_PER_CORE = 50.0

_REQUIRED = ("vm", "listen", "store")


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process.

    :ivar store_at: address of the platform's store.
    :ivar log_level: lowest level of the log lines that are written.
    :ivar log_lines_per_s: upper limit of the log lines per second, warnings not counted.
    """

    options: GatewayOptions
    store_at: Endpoint
    log_level: str = "info"
    log_lines_per_s: int = 100


def load_gateway_settings(path: str) -> Result[GatewaySettings, tuple[IniProblem, ...]]:
    """Read and parse a settings file."""
    return read_source(path).bind(parse_gateway_settings)


def parse_gateway_settings(source: str) -> Result[GatewaySettings, tuple[IniProblem, ...]]:
    """Parse settings and report all problems together.

    Examples
    ========

    >>> [str(problem) for problem in parse_gateway_settings("[vm]\\nname = a b").error][0]
    "[vm] name = 'a b': expected letters, digits, '.', '_' and '-'"

    """
    sections, problems = read_sections(source, _LAYOUT)
    values_by_section = {section.kind: section.values for section in sections}
    problems += (
        *check_required_sections(sections, _REQUIRED),
        *_check_failure_domain(values_by_section.get("vm", {})),
    )
    if problems:
        return Error(problems)
    return Ok(_settings(values_by_section))


def _check_failure_domain(vm: Mapping[str, Any]) -> Iterator[IniProblem]:
    """Report a failure domain that does not belong to the VM's region."""
    pairs, domain, region = (vm.get(key) for key in ("failure_domains", "failure_domain", "region"))
    if pairs and domain and region and _parse_regions(pairs).get(domain) != region:
        allowed = f"a failure domain of region {region!r} in failure_domains"
        yield IniProblem("vm", "failure_domain", domain, allowed)


def _parse_regions(pairs: str) -> dict[str, str]:
    return dict(pair.split(":") for pair in pairs.split(","))


def _settings(sections: Mapping[str, Mapping[str, Any]]) -> GatewaySettings:
    vm, listen = _with_defaults(sections, "vm"), sections["listen"]
    bounds = _with_defaults(sections, "bounds")
    log = _with_defaults(sections, "log")
    peer_port, metrics_port = listen["peer_port"], listen["metrics_port"]
    # All VMs of a deployment use the same port for messages, so that a seed's port is ignored.
    seeds = _with_defaults(sections, "peers")["seeds"].replace(",", " ").split()
    options = GatewayOptions(
        name=vm["name"],
        region=vm["region"],
        failure_domain=vm["failure_domain"],
        regions=_parse_regions(vm["failure_domains"]),
        callers_at=listen["callers"],
        readiness_at=listen["readiness"],
        directory_at=listen["directory"],
        status_at=listen["status"],
        metrics_at=Endpoint(vm["host"], metrics_port) if metrics_port else None,
        peers_at=Endpoint(vm["host"], peer_port),
        seeds=tuple(f"{seed.partition(':')[0]}:{peer_port}" for seed in seeds),
        capacity=min(vm["cpu_share"] * vm["core_speed"], vm["link_mbps"] / LINK_MBPS_PER_CORE),
        link_mbps=vm["link_mbps"],
        answer_ttl_s=bounds["answer_ttl"],
        grace_s=bounds["grace"],
        renewal_interval_s=bounds["record_renewal"],
        shift_cap=bounds["shift_cap"],
        budget=RetryBudgetOptions(
            bounds["retry_window"], bounds["retry_ratio"], bounds["retry_fixed"]
        ),
    )
    return GatewaySettings(options, sections["store"]["address"], log["level"], log["lines_per_s"])


def _with_defaults(sections: Mapping[str, Mapping[str, Any]], kind: str) -> Mapping[str, Any]:
    defaults = {field.key: field.default for field in _LAYOUT[kind]}
    return {**defaults, **sections.get(kind, {})}
