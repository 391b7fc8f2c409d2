"""Interfaces of the platform's services, and the errors that their calls raise."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

__all__ = [
    "ConflictError",
    "ObjectStore",
    "OutcomeUnknownError",
    "Platform",
    "PlatformError",
    "Row",
    "Table",
    "UnavailableError",
    "VmList",
    "VmRecord",
    "VmState",
    "Write",
]


class PlatformError(Exception):
    """Base class of the errors of the platform."""


class UnavailableError(PlatformError):
    """The platform did not execute the call; nothing was written."""


class OutcomeUnknownError(PlatformError):
    """No response arrived; the write may or may not have taken effect."""


class ConflictError(PlatformError):
    """The versions of some rows differ from the expected ones; nothing was written.

    :ivar keys: keys of the rows that conflict.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        super().__init__("rows with other versions than expected: " + ", ".join(keys))
        self.keys = keys


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; each write increments its version by one."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """The write of one row in a transaction.

    :ivar value: the new value, or ``None`` to delete the row.
    :ivar expected_version: version that the row must have, 0 if it must not exist, ``None`` for
        an unconditional write.
    """

    key: str
    value: bytes | None
    expected_version: int | None = None


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM in the platform's list.

    :ivar peer_port: port for messages from other VMs.
    :ivar http_port: port of its HTTP interface for callers and operators.
    """

    name: str
    failure_domain: str
    region: str
    host: str
    peer_port: int
    state: VmState
    http_port: int = 8080


class Table(Protocol):
    """The transactional table service."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if there is none.

        :raises UnavailableError: when the platform does not respond.
        """

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys begin with ``prefix``, sorted by key.

        :raises UnavailableError: when the platform does not respond.
        """

    async def transact(self, writes: tuple[Write, ...]) -> dict[str, int]:
        """Write all rows or none; return the new versions by key.

        :raises ConflictError: when the version of a row is not the expected one.
        :raises UnavailableError: when nothing was written.
        :raises OutcomeUnknownError: when the write may have taken effect.
        """


class ObjectStore(Protocol):
    """The object store."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none.

        :raises UnavailableError: when the platform does not respond.
        """

    async def put(self, name: str, value: bytes) -> None:
        """Store an object.

        :raises OutcomeUnknownError: when the write may have taken effect.
        """


class VmList(Protocol):
    """The list of live and leaving VMs, which may lag behind the actual state."""

    async def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the platform's current list.

        :raises UnavailableError: when the platform does not respond.
        """


class Platform(Table, ObjectStore, VmList, Protocol):
    """All services of the platform."""
