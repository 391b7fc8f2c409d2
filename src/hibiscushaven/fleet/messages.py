"""Datagrams that VMs exchange: states of single VMs, and digests of whole regions."""

import random
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, fields
from functools import lru_cache
from typing import Any

import msgpack
import xxhash

from hibiscushaven.ini.fields import endpoint

__all__ = [
    "CrashReport",
    "DomainBroadcast",
    "ForwarderReport",
    "LeavingReport",
    "LinkReport",
    "Message",
    "MessageError",
    "RateLimitReport",
    "RegionDigest",
    "VmState",
    "as_sent",
    "decode",
    "draw_incarnation",
    "encode",
    "orders_by_era",
    "token_of",
]

_FORMAT_VERSION = 2

_SINGLE = struct.Struct("<f")

_ENDPOINT = endpoint()

_NUMBERS = (int, float)

# Part of an incarnation that is drawn at random, and the bit above it, which is set only by builds
# that order versions by their era.
_INCARNATION_BITS = 31
_ORDERS_BY_ERA = 1 << _INCARNATION_BITS

# Versions are signed integers of 64 bits in messages, and never negative.
_MAX_INTEGER = 2**63 - 1

# Above all ages, rates and counts. Sums over all VMs of larger numbers do not fit into a message.
_MAX_NUMBER = 1e12


class MessageError(Exception):
    """Bytes that are not a valid message of this format."""


def as_sent(number: float) -> float:
    """Return a number as the receiver of a message reads it, in single precision.

    A VM that compares an own number with those of others must use this one: else it takes itself
    for greater than others with the same number.

    Examples
    ========

    >>> as_sent(0.602) == 0.602, as_sent(as_sent(0.602)) == as_sent(0.602)
    (False, True)

    """
    (value,) = _SINGLE.unpack(_SINGLE.pack(number))
    return value


def token_of(text: str) -> int:
    """Return the 32-bit hash that stands for an id in messages."""
    return xxhash.xxh32_intdigest(text.encode())


def draw_incarnation() -> int:
    """Return the incarnation of a VM that starts.

    Examples
    ========

    >>> orders_by_era(draw_incarnation()), orders_by_era(2**31 - 1)
    (True, False)

    """
    return _ORDERS_BY_ERA | random.getrandbits(_INCARNATION_BITS)


def orders_by_era(incarnation: int) -> bool:
    """Return whether a VM orders versions by their era, which those of older builds do not."""
    return bool(incarnation & _ORDERS_BY_ERA)


@dataclass(frozen=True, slots=True)
class VmState:
    """State of one VM; a later state replaces an earlier one as a whole.

    :ivar incarnation: number drawn at each start, as by ``draw_incarnation``; a state of another
        incarnation replaces the known one whatever its ``sequence``.
    :ivar callers_at: address for callers, ``ip:port``.
    :ivar peers_at: address for other VMs, ``ip:port``.
    :ivar capacity: CPU capacity, in cores of reference speed.
    :ivar has_aggregator: whether it receives the digests of its region's aggregator, or is the
        aggregator.
    :ivar can_read: whether its last call to the platform's store succeeded.
    :ivar operator_version: version of the operator's state that it has.
    :ivar operator_age_s: time since it confirmed that version by a read of the store of its own.
    :ivar servers_version: version of its registry of backend servers.
    :ivar servers_age_s: time since it confirmed that version by a read of the store of its own.
    :ivar in_progress: its requests in progress by token of the backend server.
    :ivar lost_server_ages_s: seconds since it found a backend server unreachable, by token.
    :ivar arrivals: requests per second from its callers by token of the service, and cache
        lookups and hits of backend servers per second by token of the counter's name.
    :ivar has_arrivals: whether ``arrivals`` is filled; if not, those of the previous state
        remain valid.
    :ivar slowness: latest processing time that each backend server reported, by token, in
        percent of the usual one and with the age of the report in seconds.
    :ivar configuration_version: version that the operator gave the configuration in force. It may
        be later than the one in the store at ``operator_version`` after a restore.
    """

    name: str
    incarnation: int
    sequence: int
    region: str
    failure_domain: str
    callers_at: str
    peers_at: str
    is_ready: bool = False
    is_leaving: bool = False
    capacity: float = 1.0
    has_aggregator: bool = False
    can_read: bool = True
    operator_version: int = 0
    operator_age_s: float = 1e6
    servers_version: int = 0
    servers_age_s: float = 1e6
    in_progress: Mapping[int, int] = field(default_factory=dict)
    lost_server_ages_s: Mapping[int, float] = field(default_factory=dict)
    arrivals: Mapping[int, float] = field(default_factory=dict)
    has_arrivals: bool = True
    slowness: Mapping[int, Sequence[float]] = field(default_factory=dict)
    configuration_version: int = 0


@dataclass(frozen=True, slots=True)
class RegionDigest:
    """Requests in progress and arrivals of all VMs of a region, summed by one of them.

    The fields after ``arrivals`` are for large regions, whose VMs send their states only to
    the sender of the digest.

    :ivar sequences: ``sequence`` of the state of each VM that the sums include, by token of
        the VM's name.
    :ivar interval_s: time until the next digest to the own region.
    :ivar peers_at: address of the sender for other VMs.
    :ivar operator_version: of the sender, as in ``VmState``.
    :ivar operator_age_s: time since the sender, or a VM that told it so, confirmed that version.
    :ivar servers_version: of the sender, as in ``VmState``.
    :ivar servers_age_s: as ``operator_age_s``, for the servers.
    :ivar lost_server_ages_s: as in ``VmState``, for all VMs whose states the sender receives.
    :ivar slowness: as in ``VmState``, for all VMs whose states the sender receives.
    :ivar configuration_version: of the sender, as in ``VmState``.
    """

    region: str
    sender: str
    incarnation: int
    sequence: int
    in_progress: Mapping[int, int] = field(default_factory=dict)
    arrivals: Mapping[int, float] = field(default_factory=dict)
    sequences: Mapping[int, int] = field(default_factory=dict)
    interval_s: float = 0.0
    peers_at: str = ""
    operator_version: int = 0
    operator_age_s: float = 1e6
    servers_version: int = 0
    servers_age_s: float = 1e6
    lost_server_ages_s: Mapping[int, float] = field(default_factory=dict)
    slowness: Mapping[int, Sequence[float]] = field(default_factory=dict)
    configuration_version: int = 0


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes of backend servers with requests in progress, as known to the sender.

    Times are sent as ages, since the clocks of VMs cannot be compared.

    :ivar crashes: for each fingerprint of a request, the crashed servers with the seconds since
        it was sent to each and since each crashed.
    :ivar completed_ages_s: seconds since a suspect completed, by fingerprint.
    """

    crashes: Mapping[str, Sequence[tuple[str, float, float]]] = field(default_factory=dict)
    completed_ages_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RateLimitReport:
    """Rate limits that backend servers announced, as known to the sender.

    :ivar per_s: requests per second that a server takes from all VMs together, by its process id;
        negative if its limit has ended.
    :ivar ages_s: seconds since the server announced that, by its process id.
    """

    per_s: Mapping[str, float] = field(default_factory=dict)
    ages_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeavingReport:
    """Backend servers that said in responses that they leave, as known to the sender.

    :ivar ages_s: seconds since a server said so, by its process id.
    """

    ages_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LinkReport:
    """What VMs said about their own links to the backend servers, as known to the sender.

    :ivar isolated_ages_s: seconds since a VM said that it reaches no server, by its name.
    :ivar linked_ages_s: seconds since a VM said that it reaches them again, by its name.
    """

    isolated_ages_s: Mapping[str, float] = field(default_factory=dict)
    linked_ages_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ForwarderReport:
    """Tells that the sender forwards each ``DomainBroadcast``, which older builds do not.

    :ivar incarnation: as in ``VmState``.
    """

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class DomainBroadcast:
    """A datagram for all VMs of the receiver's failure domain, which the receiver forwards.

    :ivar datagram: an encoded ``VmState`` or ``RegionDigest``.
    """

    datagram: bytes


Message = (
    VmState
    | RegionDigest
    | CrashReport
    | RateLimitReport
    | LinkReport
    | ForwarderReport
    | DomainBroadcast
    | LeavingReport
)

# The index of a type identifies it in datagrams.
_TYPES: tuple[type, ...] = (
    VmState,
    RegionDigest,
    CrashReport,
    RateLimitReport,
    LinkReport,
    ForwarderReport,
    DomainBroadcast,
    LeavingReport,
)


def encode(message: Message) -> bytes:
    """Return a message as one datagram.

    Examples
    ========

    >>> digest = RegionDigest("serra", "vm-1", 7, 1, {5: 2})
    >>> decode(encode(digest)) == digest
    True

    """
    type_index = _TYPES.index(type(message))
    values = [getattr(message, name) for name in message.__slots__]
    return msgpack.packb([_FORMAT_VERSION, type_index, *values], use_single_float=True)


def decode(datagram: bytes) -> Message:
    """Return the message of a datagram, without the fields that only later builds know.

    :raises MessageError: when the datagram is malformed or of another format.
    """
    try:
        items: Any = msgpack.unpackb(datagram, strict_map_key=False)
        if items[0] != _FORMAT_VERSION:
            raise MessageError(f"format {items[0]!r}, expected {_FORMAT_VERSION}")
        message_type = _TYPES[items[1]]
        return _validated(message_type(*items[2 : 2 + len(fields(message_type))]))
    except (ValueError, TypeError, IndexError, KeyError, msgpack.UnpackException) as error:
        raise MessageError(f"malformed datagram of {len(datagram)} bytes: {error!r}") from error


def _validated(message: Message) -> Message:
    for item in fields(message):
        value = getattr(message, item.name)
        if not isinstance(value, _allowed_types(_type_name(item.type))):
            raise MessageError(f"{item.name}: {value!r} is not of type {item.type}")
        if not _is_in_range(value):
            raise MessageError(f"{item.name}: {value!r} is out of range")
    for name in ("callers_at", "peers_at"):
        address = getattr(message, name, "")
        if address and not _is_address(address):
            raise MessageError(f"{name}: {address!r} is not an IP number and a port")
    for name in ("in_progress", "lost_server_ages_s", "arrivals", "sequences"):
        values = getattr(message, name, {})
        for token, value in values.items():
            if not (isinstance(token, int) and _is_number(value)):
                raise MessageError(f"{name}: {token!r}: {value!r} does not map an int to a number")
    for token, report in getattr(message, "slowness", {}).items():
        if not (isinstance(token, int) and _is_number_pair(report)):
            raise MessageError(f"slowness: {token!r}: {report!r} does not map an int to a pair")
    for fingerprint, crashes in getattr(message, "crashes", {}).items():
        is_list = isinstance(crashes, list | tuple)
        if not (isinstance(fingerprint, str) and is_list and all(map(_is_crash, crashes))):
            raise MessageError(f"crashes: {fingerprint!r}: {crashes!r} is not a list of crashes")
    for name in _TEXT_TO_NUMBER_FIELDS:
        for key, value in getattr(message, name, {}).items():
            if not (isinstance(key, str) and _is_number(value)):
                raise MessageError(f"{name}: {key!r}: {value!r} does not map a text to a number")
    if isinstance(message, RateLimitReport) and message.per_s.keys() != message.ages_s.keys():
        raise MessageError(f"per_s and ages_s name different servers: {sorted(message.per_s)!r}")
    return message


# Fields that map texts to numbers, of all messages.
_TEXT_TO_NUMBER_FIELDS = (
    "completed_ages_s",
    "per_s",
    "ages_s",
    "isolated_ages_s",
    "linked_ages_s",
)


def _is_crash(item: object) -> bool:
    is_triple = isinstance(item, list | tuple) and len(item) == 3
    return is_triple and isinstance(item[0], str) and _is_number_pair(item[1:])


def _is_number_pair(value: object) -> bool:
    is_pair = isinstance(value, list | tuple) and len(value) == 2
    return is_pair and all(map(_is_number, value))


def _is_number(value: object) -> bool:
    return isinstance(value, _NUMBERS) and -_MAX_NUMBER <= value <= _MAX_NUMBER


def _is_in_range(value: object) -> bool:
    if isinstance(value, float):
        return _is_number(value)
    return not isinstance(value, int) or 0 <= value <= _MAX_INTEGER


# More than the VMs of the largest deployment; each state names two addresses.
@lru_cache(maxsize=1024)
def _is_address(text: str) -> bool:
    try:
        _ENDPOINT.parse(text)
    except ValueError:
        return False
    return True


def _type_name(annotation: object) -> str:
    return annotation.__name__ if isinstance(annotation, type) else str(annotation)


def _allowed_types(name: str) -> tuple[type, ...]:
    return _ALLOWED_TYPES.get(name, (dict,))


_ALLOWED_TYPES: dict[str, tuple[type, ...]] = {
    "str": (str,),
    "int": (int,),
    "bool": (bool,),
    "float": (int, float),
    "bytes": (bytes,),
}
