"""Rows of the platform's store, decoded into the product's types."""

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
    SplitPart,
)

__all__ = ["DecodeError", "decode_configuration", "decode_server", "seconds"]

_TIME = re.compile(r"(-?[0-9]+(?:\.[0-9]+)?)(ms|s)")
_VERSION = re.compile(r"r([0-9]+)")
_ENDPOINT = endpoint()

# Errors of Python for fields that are missing or of another type.
_WRONG = (KeyError, TypeError, ValueError, AttributeError)


class DecodeError(Exception):
    """A row that cannot be read."""


def seconds(text: str) -> float:
    """Return a time with its unit in seconds.

    Examples
    ========

    >>> seconds("1500ms"), seconds("2.5s")
    (1.5, 2.5)

    """
    matched = _TIME.fullmatch(text)
    if matched is None:
        raise ValueError(f"{text!r} is no time with a unit, ms or s")
    return float(matched[1]) / (1000 if matched[2] == "ms" else 1)


def decode_configuration(body: Any) -> Configuration:
    """Return the configuration of the operator's document.

    :raises DecodeError: when it cannot be read; nothing of it is used then.
    """
    try:
        version = _VERSION.fullmatch(body["Version"])
        if version is None:
            raise ValueError(f"version {body['Version']!r}")
        resources = body["Resources"]
        services = [_service(item) for item in _of_kind(resources, "Services")]
        limits = [_limits(item["Spec"]) for item in _of_kind(resources, "Limits")]
        return Configuration(
            int(version[1]),
            tuple(_route(item) for item in _of_kind(resources, "Routes")),
            {service.name: service for service in services},
            limits[0] if limits else CallerLimits(),
        )
    except _WRONG as error:
        raise DecodeError(f"configuration: {error!r}") from error


def _of_kind(resources: Iterable[Mapping[str, Any]], kind: str) -> Iterable[Mapping[str, Any]]:
    return (item for item in resources if item["EntryKind"] == kind)


def _route(item: Mapping[str, Any]) -> Route:
    spec = item["Spec"]
    split = spec.get("TrafficSplit")
    parts = [(part["Service"], part["Weight"]) for part in split] if split else None
    return Route(
        name=item["Metadata"]["Name"],
        host=spec["Host"],
        prefix=spec["Prefix"],
        kind=RequestKind(spec["Kind"]),
        parts=tuple(SplitPart(*part) for part in parts or [(spec["Service"], 1.0)]),
        timeout_s=seconds(spec["Timeout"]),
        # The objective of a route, named after service level objectives.
        objective_s=seconds(spec["Slo"]),
        max_attempts=int(spec.get("MaxAttempts", 1)),
        priority=int(spec.get("Priority", 0)),
        is_sticky=bool(spec.get("Sticky", False)),
        home_regions=frozenset(spec.get("HomeRegions") or ()),
    )


def _service(item: Mapping[str, Any]) -> ServiceOptions:
    spec = item["Spec"]
    return ServiceOptions(
        name=item["Metadata"]["Name"],
        health_path=spec["HealthPath"],
        max_connections=int(spec["MaxConns"]),
        warmup_s=seconds(spec["Warmup"]) if "Warmup" in spec else 0.0,
        warmup_per_s=float(spec.get("WarmupPerS", 0.0)),
    )


def _limits(spec: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=int(spec["MaxHeaderBytes"]),
        max_body_bytes=int(spec["MaxBodyBytes"]),
        header_timeout_s=seconds(spec["HeaderTimeout"]),
        idle_timeout_s=seconds(spec["IdleTimeout"]),
    )


def decode_server(server_id: str, body: Any) -> ServerRecord:
    """Return the record of a backend server.

    :raises DecodeError: when it cannot be read, or its state is unknown.
    """
    try:
        info, status = body["Info"], body["Status"]
        state = status["State"]
        if state not in ("ready", "draining"):
            raise ValueError(f"state {state!r}")
        return ServerRecord(
            server_id=server_id,
            service=_text(info["Service"]),
            address=_address(body["Address"]),
            failure_domain=_text(info["Zone"]),
            # Requests that the server runs at the same time.
            slots=_count(info["Concurrency"]),
            is_leaving=state == "draining",
            cold_left_s=max(0.0, seconds(status.get("WarmupLeft", "0ms"))),
            started_unix_ms=int(body.get("born", 0)),
        )
    except _WRONG as error:
        raise DecodeError(f"backend server {server_id!r}: {error!r}") from error


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is no name")
    return value


def _count(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise ValueError(f"{value!r} is no count")
    return value


def _address(value: Any) -> Endpoint:
    return _ENDPOINT.parse(_text(value))
