"""Typed fields of INI sections and the types of their values."""

import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

__all__ = [
    "Endpoint",
    "Field",
    "IniProblem",
    "ValueType",
    "boolean",
    "choice",
    "digest",
    "duration",
    "endpoint",
    "host",
    "integer",
    "number",
    "text",
    "url",
]

# Stricter than int(), which also accepts plus signs, spaces, underscores and non-ASCII digits.
_INTEGER = re.compile(r"-?[0-9]{1,18}")
_BOOLEANS = {"yes": True, "true": True, "on": True, "no": False, "false": False, "off": False}


@dataclass(frozen=True, slots=True)
class IniProblem:
    """An invalid section, key or value of an INI file.

    :ivar section: title of the section.
    :ivar key: key in the section; empty if the problem concerns the whole section.
    :ivar value: the invalid value; ``None`` if the section or the key is missing.
    :ivar allowed: description of what is allowed instead.

    Examples
    ========

    >>> str(IniProblem("vm", "port", "99999", "an integer from 1 to 65535"))
    "[vm] port = '99999': expected an integer from 1 to 65535"

    """

    section: str
    key: str
    value: str | None
    allowed: str

    def __str__(self) -> str:
        where = f"[{self.section}]" + (f" {self.key}" if self.key else "")
        if self.value is None:
            return f"{where}: missing; expected {self.allowed}"
        return f"{where} = {self.value!r}: expected {self.allowed}"


@dataclass(frozen=True, slots=True)
class ValueType:
    """Parser of the values of a field.

    :ivar parse: converts the text to a value; raises ``ValueError`` if it is not allowed.
    :ivar allowed: description of the allowed values for problem reports.
    """

    parse: Callable[[str], Any]
    allowed: str


@dataclass(frozen=True, slots=True)
class Field:
    """A key of a section and the type of its value.

    :ivar default: value if the key is missing; it is not parsed.
    :ivar is_required: whether a missing key is a problem.
    """

    key: str
    value_type: ValueType
    default: Any = None
    is_required: bool = True


@dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def integer(low: int, high: int) -> ValueType:
    """Return the type of integers from ``low`` to ``high``."""

    def parse(value: str) -> int:
        if not _INTEGER.fullmatch(value):
            raise ValueError(value)
        result = int(value)
        if not low <= result <= high:
            raise ValueError(value)
        return result

    return ValueType(parse, f"an integer from {low} to {high}")


def number(low: float, high: float) -> ValueType:
    """Return the type of numbers from ``low`` to ``high``."""

    def parse(value: str) -> float:
        result = float(value)
        if not low <= result <= high:
            raise ValueError(value)
        return result

    return ValueType(parse, f"a number from {low:g} to {high:g}")


def duration(low_s: float, high_s: float) -> ValueType:
    """Return the type of durations with the unit ``ms`` or ``s``; values are in seconds.

    Examples
    ========

    >>> duration(0, 10).parse("250ms"), duration(0, 10).parse("2.5s")
    (0.25, 2.5)

    """

    def parse(value: str) -> float:
        matched = re.fullmatch(r"([0-9]{1,9}(?:\.[0-9]{1,9})?)(ms|s)", value)
        if matched is None:
            raise ValueError(value)
        seconds = float(matched[1]) / (1000 if matched[2] == "ms" else 1)
        if not low_s <= seconds <= high_s:
            raise ValueError(value)
        return seconds

    return ValueType(parse, f"a time from {low_s:g}s to {high_s:g}s, such as 250ms or 2.5s")


def text(pattern: str = r"[A-Za-z0-9][A-Za-z0-9._-]*", allowed: str = "") -> ValueType:
    """Return the type of strings that match ``pattern`` as a whole.

    :param allowed: description of the allowed values; the default describes the default pattern.
    """

    def parse(value: str) -> str:
        if not re.fullmatch(pattern, value):
            raise ValueError(value)
        return value

    return ValueType(parse, allowed or "letters, digits, '.', '_' and '-'")


def choice(*options: str) -> ValueType:
    """Return the type of strings that are one of ``options``."""

    def parse(value: str) -> str:
        if value not in options:
            raise ValueError(value)
        return value

    return ValueType(parse, "one of " + ", ".join(options))


def boolean() -> ValueType:
    """Return the type of boolean values, such as ``yes`` and ``off``, in any case."""

    def parse(value: str) -> bool:
        if value.lower() not in _BOOLEANS:
            raise ValueError(value)
        return _BOOLEANS[value.lower()]

    return ValueType(parse, "yes or no")


def endpoint() -> ValueType:
    """Return the type of an IP address with a port, such as ``127.0.0.1:8000``.

    An IPv6 address has to be in brackets.

    Examples
    ========

    >>> str(endpoint().parse("127.0.0.1:8000"))
    '127.0.0.1:8000'

    """

    ports = integer(1, 65535)

    def parse(value: str) -> Endpoint:
        address_text, _, port = value.rpartition(":")
        is_bracketed = address_text.startswith("[") and address_text.endswith("]")
        address = ipaddress.ip_address(address_text[1:-1] if is_bracketed else address_text)
        if is_bracketed != (address.version == 6):
            raise ValueError(value)
        return Endpoint(str(address), ports.parse(port))

    return ValueType(parse, "an IP number and a port, such as 127.0.0.1:8000")


def host() -> ValueType:
    """Return the type of IP addresses; values are in canonical form."""
    return ValueType(lambda value: str(ipaddress.ip_address(value)), "an IP number")


def url() -> ValueType:
    """Return the type of HTTP URLs that consist of a scheme, a host and an optional port.

    Examples
    ========

    >>> url().parse("http://127.0.0.1:7000/")
    'http://127.0.0.1:7000'

    """

    def parse(value: str) -> str:
        address = urlsplit(value)
        is_bare = address.path in ("", "/") and not address.query and not address.fragment
        if address.scheme not in ("http", "https") or not address.hostname or not is_bare:
            raise ValueError(value)
        # Accessing ``port`` raises ValueError if it is not a number or out of range.
        if address.port == 0 or address.username is not None or re.search(r"\s", value):
            raise ValueError(value)
        return value.rstrip("/")

    return ValueType(parse, "an address such as http://127.0.0.1:7000")


def digest() -> ValueType:
    """Return the type of SHA-256 digests in hexadecimal."""
    return text(r"[0-9a-f]{64}", "a SHA-256 digest of 64 hexadecimal digits")
