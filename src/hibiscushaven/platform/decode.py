"""Decoding of rows of the platform's metadata store into the product's types."""

import re
from collections.abc import Iterable, Mapping
from typing import Any

from hibiscushaven.discovery import ServerRecord
from hibiscushaven.ini.fields import Endpoint, endpoint
from hibiscushaven.routing import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    ServiceOptions,
    WeightedService,
)

__all__ = ["DecodeError", "decode_configuration", "decode_server", "parse_duration_s"]

_DURATION = re.compile(r"(-?[0-9]+(?:\.[0-9]+)?)(ms|s)")
_VERSION = re.compile(r"r([0-9]+)")
_ENDPOINT = endpoint()

# Raised by Python for fields that are missing or of another type.
_FIELD_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class DecodeError(Exception):
    """A row is malformed."""


def parse_duration_s(text: str) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds.

    Examples
    ========

    >>> parse_duration_s("1500ms"), parse_duration_s("2.5s")
    (1.5, 2.5)

    """
    matched = _DURATION.fullmatch(text)
    if matched is None:
        raise ValueError(f"{text!r} is not a duration in ms or s")
    return float(matched[1]) / (1000 if matched[2] == "ms" else 1)


def decode_configuration(body: Any) -> Configuration:
    """Return the configuration in the operator's document.

    :raises DecodeError: when any part of it is malformed.
    """
    try:
        version = _VERSION.fullmatch(body["Version"])
        if version is None:
            raise ValueError(f"invalid version {body['Version']!r}")
        resources = body["Resources"]
        services = [_decode_service(item) for item in _of_kind(resources, "Services")]
        limits = [_decode_limits(item["Spec"]) for item in _of_kind(resources, "Limits")]
        return Configuration(
            int(version[1]),
            tuple(_decode_route(item) for item in _of_kind(resources, "Routes")),
            {service.name: service for service in services},
            limits[0] if limits else CallerLimits(),
        )
    except _FIELD_ERRORS as error:
        raise DecodeError(f"malformed configuration: {error!r}") from error


def _of_kind(resources: Iterable[Mapping[str, Any]], kind: str) -> Iterable[Mapping[str, Any]]:
    return (item for item in resources if item["EntryKind"] == kind)


def _decode_route(item: Mapping[str, Any]) -> Route:
    spec = item["Spec"]
    split = spec.get("TrafficSplit")
    weights = [(entry["Service"], entry["Weight"]) for entry in split] if split else None
    return Route(
        name=item["Metadata"]["Name"],
        host=spec["Host"],
        prefix=spec["Prefix"],
        kind=RequestKind(spec["Kind"]),
        weighted_services=tuple(
            WeightedService(*pair) for pair in weights or [(spec["Service"], 1.0)]
        ),
        timeout_s=parse_duration_s(spec["Timeout"]),
        # Slo stands for service level objective.
        objective_s=parse_duration_s(spec["Slo"]),
        max_attempts=int(spec.get("MaxAttempts", 1)),
        priority=int(spec.get("Priority", 0)),
        is_sticky=bool(spec.get("Sticky", False)),
        home_regions=frozenset(spec.get("HomeRegions") or ()),
    )


def _decode_service(item: Mapping[str, Any]) -> ServiceOptions:
    spec = item["Spec"]
    return ServiceOptions(
        name=item["Metadata"]["Name"],
        health_path=spec["HealthPath"],
        max_connections=int(spec["MaxConns"]),
        warmup_s=parse_duration_s(spec["Warmup"]) if "Warmup" in spec else 0.0,
        warmup_per_s=float(spec.get("WarmupPerS", 0.0)),
    )


def _decode_limits(spec: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=int(spec["MaxHeaderBytes"]),
        max_body_bytes=int(spec["MaxBodyBytes"]),
        header_timeout_s=parse_duration_s(spec["HeaderTimeout"]),
        idle_timeout_s=parse_duration_s(spec["IdleTimeout"]),
    )


def decode_server(server_id: str, body: Any) -> ServerRecord:
    """Return the registration record of a backend server.

    :raises DecodeError: when it is malformed or its state is unknown.
    """
    try:
        info, status = body["Info"], body["Status"]
        state = status["State"]
        if state not in ("ready", "draining"):
            raise ValueError(f"unknown state {state!r}")
        return ServerRecord(
            server_id=server_id,
            service=_checked_name(info["Service"]),
            address=_parse_address(body["Address"]),
            failure_domain=_checked_name(info["Zone"]),
            slots=_checked_count(info["Concurrency"]),
            is_leaving=state == "draining",
            cold_left_s=max(0.0, parse_duration_s(status.get("WarmupLeft", "0ms"))),
            started_unix_ms=int(body.get("born", 0)),
        )
    except _FIELD_ERRORS as error:
        raise DecodeError(f"malformed backend server {server_id!r}: {error!r}") from error


def _checked_name(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _checked_count(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise ValueError(f"{value!r} is not a positive integer")
    return value


def _parse_address(value: Any) -> Endpoint:
    return _ENDPOINT.parse(_checked_name(value))
