"""Typed fields of an INI section, with the values that each allows."""

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
    "Kind",
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

# int() also takes signs, spaces, underscores and digits of other scripts.
_INTEGER = re.compile(r"-?[0-9]{1,18}")
_BOOLEANS = {"yes": True, "true": True, "on": True, "no": False, "false": False, "off": False}


@dataclass(frozen=True, slots=True)
class IniProblem:
    """One wrong section, key or value of an INI file.

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
class Kind:
    """How a value is parsed, and a description of the values allowed.

    :ivar parse: turns the text into a value; raises ``ValueError`` if it is not allowed.
    """

    parse: Callable[[str], Any]
    allowed: str


@dataclass(frozen=True, slots=True)
class Field:
    """A key of a section; it is required unless it has a default."""

    key: str
    kind: Kind
    default: Any = None
    is_required: bool = True


@dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def integer(low: int, high: int) -> Kind:
    """Return the kind of integers from ``low`` to ``high``."""

    def parse(value: str) -> int:
        if not _INTEGER.fullmatch(value):
            raise ValueError(value)
        number_ = int(value)
        if not low <= number_ <= high:
            raise ValueError(value)
        return number_

    return Kind(parse, f"an integer from {low} to {high}")


def number(low: float, high: float) -> Kind:
    """Return the kind of numbers from ``low`` to ``high``."""

    def parse(value: str) -> float:
        number_ = float(value)
        if not low <= number_ <= high:
            raise ValueError(value)
        return number_

    return Kind(parse, f"a number from {low:g} to {high:g}")


def duration(low_s: float, high_s: float) -> Kind:
    """Return the kind of times with a unit, ``ms`` or ``s``, in seconds.

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

    return Kind(parse, f"a time from {low_s:g}s to {high_s:g}s, such as 250ms or 2.5s")


def text(pattern: str = r"[A-Za-z0-9][A-Za-z0-9._-]*", allowed: str = "") -> Kind:
    """Return the kind of texts that match ``pattern`` as a whole."""

    def parse(value: str) -> str:
        if not re.fullmatch(pattern, value):
            raise ValueError(value)
        return value

    return Kind(parse, allowed or "letters, digits, '.', '_' and '-'")


def choice(*options: str) -> Kind:
    """Return the kind of texts that are one of ``options``."""

    def parse(value: str) -> str:
        if value not in options:
            raise ValueError(value)
        return value

    return Kind(parse, "one of " + ", ".join(options))


def boolean() -> Kind:
    """Return the kind of yes and no."""

    def parse(value: str) -> bool:
        if value.lower() not in _BOOLEANS:
            raise ValueError(value)
        return _BOOLEANS[value.lower()]

    return Kind(parse, "yes or no")


def endpoint() -> Kind:
    """Return the kind of IP number and port, such as ``127.0.0.1:8000``.

    Examples
    ========

    >>> str(endpoint().parse("127.0.0.1:8000"))
    '127.0.0.1:8000'

    """

    ports = integer(1, 65535)

    def parse(value: str) -> Endpoint:
        host_, _, port = value.rpartition(":")
        is_bracketed = host_.startswith("[") and host_.endswith("]")
        address = ipaddress.ip_address(host_[1:-1] if is_bracketed else host_)
        if is_bracketed != (address.version == 6):
            raise ValueError(value)
        return Endpoint(str(address), ports.parse(port))

    return Kind(parse, "an IP number and a port, such as 127.0.0.1:8000")


def host() -> Kind:
    """Return the kind of IP numbers."""
    return Kind(lambda value: str(ipaddress.ip_address(value)), "an IP number")


def url() -> Kind:
    """Return the kind of HTTP addresses that consist of a scheme, a host and a port.

    Examples
    ========

    >>> url().parse("http://127.0.0.1:7000/")
    'http://127.0.0.1:7000'

    """

    def parse(value: str) -> str:
        parts = urlsplit(value)
        is_bare = parts.path in ("", "/") and not parts.query and not parts.fragment
        if parts.scheme not in ("http", "https") or not parts.hostname or not is_bare:
            raise ValueError(value)
        # Reading the port raises ValueError if it is no number or too large.
        if parts.port == 0 or parts.username is not None or re.search(r"\s", value):
            raise ValueError(value)
        return value.rstrip("/")

    return Kind(parse, "an address such as http://127.0.0.1:7000")


def digest() -> Kind:
    """Return the kind of SHA-256 digests in hexadecimal."""
    return text(r"[0-9a-f]{64}", "a SHA-256 digest of 64 hexadecimal digits")
