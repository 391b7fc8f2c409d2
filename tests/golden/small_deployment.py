"""A small deployment for simulations with faults: three failure domains in two regions."""

from pathlib import Path

from .simulation import Simulation

__all__ = ["DOMAINS", "VMS_PER_DOMAIN", "document", "small_simulation"]

VMS_PER_DOMAIN = 2
DOMAINS = {"norte-1": "norte", "norte-2": "norte", "sul-1": "sul"}

_DEPLOYMENT = """
[deployment]
name = small
platform_region = norte
[platform]
url = http://127.0.0.1:7000
[delay failure_domains]
one_way_ms = 1
[delay regions]
one_way_ms = 20
[delay clients]
one_way_ms = 8
"""

_DOMAIN = """
[failure_domain {domain}]
region = {region}
entry_vms = {vms}
first_host = 127.9.{number}.1
"""

_SERVICE = """
[service]
name = stock
tenant = example
team = stock-team
lookup_ttl_s = {ttl_s}
shift_cap = {shift_cap}
shift_interval_s = 5
[class pull]
path = /long*
methods = GET
idempotent = yes
size = long
deadline_ms = {long_ms}
[class order]
path = /orders
methods = POST
idempotent = no
size = short
deadline_ms = {order_ms}
[class read]
path = /*
methods = GET
idempotent = yes
size = short
deadline_ms = {read_ms}
"""

_PLACE = """
[place {domain}]
region = {region}
failure_domain = {domain}
capacity = {capacity}
weight = 1
state = {state}
"""

_SERVER = """
[server stock-{domain}-{index}]
place = {domain}
address = 127.9.{number}.{host}:9000
slots = {slots}
connections = 50
"""


def small_simulation(seed: int = 1, vms: int = VMS_PER_DOMAIN, domains: int = 3) -> Simulation:
    """Return a simulation of the first ``domains`` failure domains of ``DOMAINS``."""
    numbered = list(enumerate(DOMAINS.items(), 1))[:domains]
    parts = (
        _DOMAIN.format(domain=name, region=region, vms=vms, number=number)
        for number, (name, region) in numbered
    )
    return Simulation(_DEPLOYMENT + "".join(parts), Path("."), seed)


def document(
    leaving: tuple[str, ...] = (),
    domains: int = 3,
    servers: int = 2,
    slots: int = 2,
    shift_cap: float = 1.0,
    read_ms: int = 2000,
    order_ms: int = 5000,
    long_ms: int = 20000,
    ttl_s: float = 1.0,
) -> str:
    """Return the document of service ``stock``."""
    parts = [
        _SERVICE.format(
            shift_cap=shift_cap, read_ms=read_ms, order_ms=order_ms, long_ms=long_ms, ttl_s=ttl_s
        )
    ]
    for number, (name, region) in list(enumerate(DOMAINS.items(), 1))[:domains]:
        state = "leaving" if name in leaving else "active"
        capacity = servers * slots
        parts.append(_PLACE.format(domain=name, region=region, state=state, capacity=capacity))
        for index in range(1, servers + 1):
            parts.append(
                _SERVER.format(
                    domain=name, index=index, number=number, host=100 + index, slots=slots
                )
            )
    return "".join(parts)
