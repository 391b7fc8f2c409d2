"""Conversion of configurations to nested lists, for messages between VMs."""

from collections.abc import Sequence
from dataclasses import astuple
from typing import Any

from .model import CallerLimits, Configuration, RequestKind, Route, ServiceOptions, WeightedService

__all__ = ["configuration_from_list", "configuration_to_list"]


def configuration_to_list(configuration: Configuration) -> list[Any]:
    """Return a configuration as nested lists of numbers and strings.

    Explanation
    ===========

    Fields are written by position, so that VMs can read each other's configurations only while
    the order of the fields stays the same.

    Examples
    ========

    >>> configuration_from_list(configuration_to_list(Configuration(3))) == Configuration(3)
    True

    """
    return [
        configuration.version,
        [_route_to_list(route) for route in configuration.routes],
        [list(astuple(options)) for options in configuration.services.values()],
        list(astuple(configuration.limits)),
    ]


def configuration_from_list(items: Sequence[Any]) -> Configuration:
    """Return the configuration that ``configuration_to_list`` converted."""
    version, routes, services, limits = items
    options = [ServiceOptions(*service) for service in services]
    return Configuration(
        version,
        tuple(_route_from_list(route) for route in routes),
        {service.name: service for service in options},
        CallerLimits(*limits),
    )


def _route_to_list(route: Route) -> list[Any]:
    return [
        route.name,
        route.host,
        route.prefix,
        route.kind.value,
        [[weighted.service, weighted.weight] for weighted in route.weighted_services],
        route.timeout_s,
        route.objective_s,
        route.max_attempts,
        route.priority,
        route.is_sticky,
        sorted(route.home_regions),
    ]


def _route_from_list(items: Sequence[Any]) -> Route:
    name, host, prefix, kind, pairs, *other_fields, home_regions = items
    weighted_services = tuple(WeightedService(*pair) for pair in pairs)
    return Route(
        name,
        host,
        prefix,
        RequestKind(kind),
        weighted_services,
        *other_fields,
        frozenset(home_regions),
    )
