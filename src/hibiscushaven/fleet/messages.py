"""Messages by which VMs tell each other what they know."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, fields
from typing import Any

import msgpack
import xxhash

__all__ = ["MessageError", "RegionDigest", "VmState", "decode", "encode", "token_of"]

_FORMAT = 2


class MessageError(Exception):
    """Bytes that are no message of this format."""


def token_of(text: str) -> int:
    """Return 32 bits that stand for an id in messages."""
    return xxhash.xxh32_intdigest(text.encode())


@dataclass(frozen=True, slots=True)
class VmState:
    """State of one VM; a later one replaces an earlier one as a whole.

    :ivar incarnation: drawn at each start; with ``sequence``, orders the states of a VM.
    :ivar callers_at: address for callers, ``ip:port``.
    :ivar peers_at: address for other VMs, ``ip:port``.
    :ivar capacity: what it can do for others, in cores of usual speed.
    :ivar hears_lead: whether the lead of its region tells it what is in progress.
    :ivar can_read: whether its last call of the platform's store succeeded.
    :ivar operator_version: version of the operator's state that it holds.
    :ivar operator_age_s: time since that was confirmed by a read, by any VM.
    :ivar servers_version: version of the backend servers that it knows.
    :ivar in_progress: its requests in progress by token of the backend server.
    :ivar lost: seconds since it lost a backend server, by token.
    :ivar arrivals: requests a second from its callers by token of the service, and answers
        about objects by token of their rate's name.
    :ivar has_arrivals: whether it names them; otherwise those of the state before still hold.
    :ivar slowness: latest reports of backend servers by token, in percent of the usual work
        time, with their age in seconds.
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
    hears_lead: bool = False
    can_read: bool = True
    operator_version: int = 0
    operator_age_s: float = 1e6
    servers_version: int = 0
    servers_age_s: float = 1e6
    in_progress: Mapping[int, int] = field(default_factory=dict)
    lost: Mapping[int, float] = field(default_factory=dict)
    arrivals: Mapping[int, float] = field(default_factory=dict)
    has_arrivals: bool = True
    slowness: Mapping[int, Sequence[float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RegionDigest:
    """What the VMs of one region have in progress, summed by one of them.

    The fields after ``arrivals`` are for large regions, whose VMs tell only the sender.

    :ivar sequences: latest state of each VM that the sums contain, by token of its name.
    :ivar interval_s: time until the next digest for the region.
    :ivar peers_at: address of the sender for other VMs.
    :ivar operator_version: version of the operator's state that the sender holds; like the
        next three, as in ``VmState``.
    :ivar lost: as in ``VmState``, for all VMs that the sender hears.
    :ivar slowness: as ``lost``.
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
    lost: Mapping[int, float] = field(default_factory=dict)
    slowness: Mapping[int, Sequence[float]] = field(default_factory=dict)


_TYPES: tuple[type, ...] = (VmState, RegionDigest)


def encode(message: VmState | RegionDigest) -> bytes:
    """Return a message as one datagram.

    Examples
    ========

    >>> digest = RegionDigest("serra", "vm-1", 7, 1, {5: 2})
    >>> decode(encode(digest)) == digest
    True

    """
    number = _TYPES.index(type(message))
    values = [getattr(message, name) for name in message.__slots__]
    return msgpack.packb([_FORMAT, number, *values], use_single_float=True)


def decode(datagram: bytes) -> VmState | RegionDigest:
    """Return the message of a datagram.

    :raises MessageError: when it is none.
    """
    try:
        items: Any = msgpack.unpackb(datagram, strict_map_key=False)
        if items[0] != _FORMAT:
            raise MessageError(f"format {items[0]!r} in place of {_FORMAT}")
        return _checked(_TYPES[items[1]](*items[2:]))
    except (ValueError, TypeError, IndexError, KeyError, msgpack.UnpackException) as error:
        raise MessageError(f"{len(datagram)} bytes: {error!r}") from error


def _checked(message: VmState | RegionDigest) -> VmState | RegionDigest:
    for item in fields(message):
        value = getattr(message, item.name)
        if not isinstance(value, _allowed_types(_type_name(item.type))):
            raise MessageError(f"{item.name} {value!r} is no {item.type}")
    for name in ("in_progress", "lost", "arrivals", "sequences"):
        amounts = getattr(message, name, {})
        for token, amount in amounts.items():
            if not (isinstance(token, int) and isinstance(amount, int | float)):
                raise MessageError(f"{name} {token!r}: {amount!r} is no amount")
    for token, report in getattr(message, "slowness", {}).items():
        if not (isinstance(token, int) and _is_pair(report)):
            raise MessageError(f"slowness {token!r}: {report!r} is no report")
    return message


def _is_pair(value: object) -> bool:
    is_pair = isinstance(value, list | tuple) and len(value) == 2
    return is_pair and all(isinstance(item, int | float) for item in value)


def _type_name(kind: object) -> str:
    return kind.__name__ if isinstance(kind, type) else str(kind)


def _allowed_types(name: str) -> tuple[type, ...]:
    return _ALLOWED_TYPES.get(name, (dict,))


_ALLOWED_TYPES: dict[str, tuple[type, ...]] = {
    "str": (str,),
    "int": (int,),
    "bool": (bool,),
    "float": (int, float),
}
