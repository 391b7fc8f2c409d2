"""The port to the platform: what the system asks of it, and how that fails."""

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
    "VmEntry",
    "VmList",
    "VmState",
    "Write",
]


class PlatformError(Exception):
    """Base of the errors of the platform."""


class UnavailableError(PlatformError):
    """The platform did not take the call; nothing was written."""


class OutcomeUnknownError(PlatformError):
    """No answer arrived; the write may or may not have taken effect."""


class ConflictError(PlatformError):
    """Rows had other versions than expected; nothing was written.

    :ivar keys: the rows that conflict.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        super().__init__("rows with other versions than expected: " + ", ".join(keys))
        self.keys = keys


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; its version goes up by one with each write."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """One row of a transaction.

    :ivar value: the new value, or ``None`` to delete the row.
    :ivar expected_version: 0 for a row that must not exist, ``None`` for any.
    """

    key: str
    value: bytes | None
    expected_version: int | None = None


class VmState(StrEnum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class VmEntry:
    """A VM of the platform's list.

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

        :raises UnavailableError: when there is no answer.
        """

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys begin with ``prefix``, by key.

        :raises UnavailableError: when there is no answer.
        """

    async def transact(self, writes: tuple[Write, ...]) -> dict[str, int]:
        """Write all rows or none; return the new versions.

        :raises ConflictError: when a row has another version than expected.
        :raises UnavailableError: when nothing was written.
        :raises OutcomeUnknownError: when the write may have taken effect.
        """


class ObjectStore(Protocol):
    """The object store."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none.

        :raises UnavailableError: when there is no answer.
        """

    async def put(self, name: str, value: bytes) -> None:
        """Store an object.

        :raises OutcomeUnknownError: when the write may have taken effect.
        """


class VmList(Protocol):
    """The lagging list of live and leaving VMs."""

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """Return the list as the platform has it.

        :raises UnavailableError: when there is no answer.
        """


class Platform(Table, ObjectStore, VmList, Protocol):
    """All services of the platform."""
