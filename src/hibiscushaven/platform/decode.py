"""Decoding of rows of the platform's metadata store into the product's types."""

import json
import math
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

__all__ = [
    "FIELD_ERRORS",
    "DecodeError",
    "decode_configuration",
    "decode_server",
    "describe",
    "parse_address",
    "parse_duration_s",
    "parse_json",
]

_DURATION = re.compile(r"(-?[0-9]+(?:\.[0-9]+)?)(ms|s)")
_VERSION = re.compile(r"r([0-9]+)")
_ENDPOINT = endpoint()

# Requests name a server's id in a header field.
_SERVER_ID = re.compile(r"[!-~]{1,200}")

# Largest integer that messages between VMs can carry.
_MAX_INTEGER = 2**63 - 1

# Largest number of slots of a server. One with many more than the others would get nearly all
# requests, and hide that the others of its region are busy.
_MAX_SLOTS = 10_000

# Raised by Python for fields that are missing, of another type or out of range.
FIELD_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


# Longest description of an error, which may quote a whole row.
_MAX_DESCRIPTION = 200


class DecodeError(Exception):
    """A row is malformed."""


def describe(error: Exception) -> str:
    """Return the type and the start of the text of an error, for log lines.

    Examples
    ========

    >>> describe(ValueError("no number")), len(describe(ValueError(10_000 * "9")))
    ("ValueError('no number')", 203)

    """
    text = repr(error)
    return text if len(text) <= _MAX_DESCRIPTION else f"{text[:_MAX_DESCRIPTION]}..."


def parse_json(content: bytes) -> Any:
    """Return the value of a JSON text.

    :raises DecodeError: when it is malformed, or nested too deeply.
    """
    try:
        return json.loads(content)
    except FIELD_ERRORS as error:
        raise DecodeError(f"{describe(error)} in JSON {content[:80]!r}") from error


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
    return _checked_finite(float(matched[1])) / (1000 if matched[2] == "ms" else 1)


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
            _checked_integer(int(version[1]), 0),
            tuple(_decode_route(item) for item in _of_kind(resources, "Routes")),
            {service.name: service for service in services},
            limits[0] if limits else CallerLimits(),
        )
    except FIELD_ERRORS as error:
        raise DecodeError(f"malformed configuration: {describe(error)}") from error


def _of_kind(resources: Iterable[Mapping[str, Any]], kind: str) -> Iterable[Mapping[str, Any]]:
    return (item for item in resources if item["EntryKind"] == kind)


def _decode_route(item: Mapping[str, Any]) -> Route:
    spec = item["Spec"]
    split = spec.get("TrafficSplit")
    weights = [(entry["Service"], entry["Weight"]) for entry in split or ()]
    return Route(
        name=_checked_text(item["Metadata"]["Name"]),
        host=_checked_text(spec["Host"]),
        prefix=_checked_text(spec["Prefix"]),
        kind=RequestKind(spec["Kind"]),
        weighted_services=tuple(
            WeightedService(_checked_text(service), _checked_weight(weight))
            for service, weight in weights or [(spec["Service"], 1.0)]
        ),
        timeout_s=parse_duration_s(spec["Timeout"]),
        # Slo stands for service level objective.
        objective_s=parse_duration_s(spec["Slo"]),
        max_attempts=_checked_integer(int(spec.get("MaxAttempts", 1)), 0),
        priority=_checked_integer(int(spec.get("Priority", 0)), -_MAX_INTEGER),
        is_sticky=bool(spec.get("Sticky", False)),
        home_regions=frozenset(map(_checked_text, spec.get("HomeRegions") or ())),
    )


def _decode_service(item: Mapping[str, Any]) -> ServiceOptions:
    spec = item["Spec"]
    return ServiceOptions(
        name=_checked_text(item["Metadata"]["Name"]),
        health_path=_checked_text(spec["HealthPath"]),
        max_connections=_checked_integer(int(spec["MaxConns"]), 0),
        warmup_s=parse_duration_s(spec["Warmup"]) if "Warmup" in spec else 0.0,
        warmup_per_s=_checked_finite(float(spec.get("WarmupPerS", 0.0))),
    )


def _decode_limits(spec: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=_checked_integer(int(spec["MaxHeaderBytes"]), 0),
        max_body_bytes=_checked_integer(int(spec["MaxBodyBytes"]), 0),
        header_timeout_s=parse_duration_s(spec["HeaderTimeout"]),
        idle_timeout_s=parse_duration_s(spec["IdleTimeout"]),
    )


def decode_server(server_id: str, body: Any) -> ServerRecord:
    """Return the registration record of a backend server.

    :raises DecodeError: when it is malformed or its state is unknown.
    """
    try:
        if _SERVER_ID.fullmatch(server_id) is None:
            raise ValueError("the id is not printable ASCII")
        info, status = body["Info"], body["Status"]
        state = status["State"]
        if state not in ("ready", "draining"):
            raise ValueError(f"unknown state {state!r}")
        # They decide nothing, but an entry without them is of another writer.
        _checked_text(info["Version"])
        _checked_whole(status["Sequence"])
        return ServerRecord(
            server_id=server_id,
            service=_checked_name(info["Service"]),
            address=parse_address(body["Address"]),
            failure_domain=_checked_name(info["Zone"]),
            slots=_checked_count(info["Concurrency"]),
            is_leaving=state == "draining",
            cold_left_s=max(0.0, parse_duration_s(status["WarmupLeft"])),
            started_unix_ms=_checked_whole(body["born"]),
        )
    except FIELD_ERRORS as error:
        text = f"malformed backend server {server_id[:80]!r}: {describe(error)}"
        raise DecodeError(text) from error


def _checked_name(value: Any) -> str:
    if not value:
        raise ValueError(f"{value!r} is empty")
    return _checked_text(value)


def _checked_text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    # Lone surrogates, which JSON allows, cannot be sent to other VMs.
    value.encode()
    return value


def _checked_count(value: Any) -> int:
    return _checked_integer(value, 1, _MAX_SLOTS)


def _checked_whole(value: Any) -> int:
    # JSON encoders may write a whole number with an exponent or a fraction of zero.
    is_whole = isinstance(value, float) and value.is_integer()
    return _checked_integer(int(value) if is_whole else value, 0)


def _checked_integer(value: Any, minimum: int, maximum: int = _MAX_INTEGER) -> int:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not minimum <= value <= maximum:
        raise ValueError(f"{value!r} is not an integer from {minimum} to {maximum}")
    return value


def _checked_weight(value: Any) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= _MAX_INTEGER:
        raise ValueError(f"{value!r} is not a number from 0 to {_MAX_INTEGER}")
    return value


def _checked_finite(value: float) -> float:
    if not math.isfinite(value):
        raise ValueError(f"{value} is not finite")
    return value


def parse_address(value: Any) -> Endpoint:
    """Return the address in a text such as ``10.0.0.9:8080``.

    :raises ValueError: when it is malformed, or has a zone as in ``[fe80::1%eth0]:80``.
    """
    address = _ENDPOINT.parse(_checked_name(value))
    # Any text may be a zone. Names of hosts are resolved by other rules, and by other errors.
    if "%" in address.host:
        raise ValueError(f"{address} has a zone")
    return address
