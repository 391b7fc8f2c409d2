"""Configurations as plain lists, for messages between VMs."""

from collections.abc import Sequence
from dataclasses import astuple
from typing import Any

from .model import CallerLimits, Configuration, RequestKind, Route, ServiceOptions, SplitPart

__all__ = ["from_plain", "to_plain"]


def to_plain(configuration: Configuration) -> list[Any]:
    """Return a configuration as lists of numbers and texts.

    Examples
    ========

    >>> from_plain(to_plain(Configuration(3))) == Configuration(3)
    True

    """
    return [
        configuration.version,
        [_plain_route(route) for route in configuration.routes],
        [list(astuple(options)) for options in configuration.services.values()],
        list(astuple(configuration.limits)),
    ]


def from_plain(items: Sequence[Any]) -> Configuration:
    """Return the configuration that ``to_plain`` made lists of."""
    version, routes, services, limits = items
    options = [ServiceOptions(*service) for service in services]
    return Configuration(
        version,
        tuple(_route(route) for route in routes),
        {service.name: service for service in options},
        CallerLimits(*limits),
    )


def _plain_route(route: Route) -> list[Any]:
    return [
        route.name,
        route.host,
        route.prefix,
        route.kind.value,
        [[part.service, part.weight] for part in route.parts],
        route.timeout_s,
        route.objective_s,
        route.max_attempts,
        route.priority,
        route.is_sticky,
        sorted(route.home_regions),
    ]


def _route(items: Sequence[Any]) -> Route:
    name, host, prefix, kind, parts, *rest, homes = items
    split = tuple(SplitPart(*part) for part in parts)
    return Route(name, host, prefix, RequestKind(kind), split, *rest, frozenset(homes))
