"""In-memory platform with injectable faults, for tests and the embedded demo."""

from collections import deque
from dataclasses import dataclass, field

from .interfaces import ConflictError, OutcomeUnknownError, Row, UnavailableError, VmRecord, Write

__all__ = ["Faults", "MemoryPlatform", "Usage"]


@dataclass(slots=True)
class Faults:
    """Faults of the platform, set by tests and by the stand-in's control endpoint.

    :ivar is_down: every call fails and nothing is written.
    :ivar lost_answers: number of the next writes that take effect but whose response is lost.
    :ivar stale_reads: number of the next row reads that return the row before its last write.
    :ivar delay_s: time that each call takes; applied by the stand-in.
    :ivar list_lag: number of changes by which the list of VMs lags.
    """

    is_down: bool = False
    lost_answers: int = 0
    stale_reads: int = 0
    delay_s: float = 0.0
    list_lag: int = 0


@dataclass(slots=True)
class Usage:
    """Numbers of calls, which the platform's budgets of reads and writes limit.

    :ivar writes: transactions and stored objects.
    """

    reads: int = 0
    writes: int = 0
    rows_written: int = 0


@dataclass(slots=True)
class _StoredRow:
    """The last two values of a row, and the version counter, which outlives a deletion."""

    current: Row | None = None
    previous: Row | None = None
    version: int = field(default=0)


class MemoryPlatform:
    """Table, object store and VM list in memory.

    Examples
    ========

    >>> import asyncio
    >>> platform = MemoryPlatform()
    >>> asyncio.run(platform.transact((Write("a", b"1", 0),)))
    {'a': 1}
    >>> asyncio.run(platform.read("a")).value
    b'1'

    """

    def __init__(self) -> None:
        self._rows: dict[str, _StoredRow] = {}
        self._objects: dict[str, bytes] = {}
        self._vm_lists: deque[tuple[VmRecord, ...]] = deque([()], maxlen=64)
        self.faults = Faults()
        self.usage = Usage()

    async def read(self, key: str) -> Row | None:
        self._begin_read()
        return self._visible_row(key)

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        self._begin_read()
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        rows = (self._visible_row(key) for key in keys)
        return tuple(row for row in rows if row is not None)

    async def transact(self, writes: tuple[Write, ...]) -> dict[str, int]:
        self._raise_if_down()
        self.usage.writes += 1
        conflicts = tuple(write.key for write in writes if not self._is_expected(write))
        if conflicts:
            raise ConflictError(conflicts)
        versions = {write.key: self._write(write) for write in writes}
        self.usage.rows_written += len(writes)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise OutcomeUnknownError("the answer to a transaction was lost")
        return versions

    async def get(self, name: str) -> bytes | None:
        self._begin_read()
        return self._objects.get(name)

    async def put(self, name: str, value: bytes) -> None:
        self._raise_if_down()
        self.usage.writes += 1
        self._objects[name] = value

    async def list_vms(self) -> tuple[VmRecord, ...]:
        self._begin_read()
        lag = min(self.faults.list_lag, len(self._vm_lists) - 1)
        return self._vm_lists[-1 - lag]

    def set_vms(self, vms: tuple[VmRecord, ...]) -> None:
        """Replace the list of VMs; earlier lists are kept for :attr:`Faults.list_lag`."""
        self._vm_lists.append(vms)

    def _raise_if_down(self) -> None:
        if self.faults.is_down:
            raise UnavailableError("the platform is down")

    def _begin_read(self) -> None:
        self._raise_if_down()
        self.usage.reads += 1

    def _visible_row(self, key: str) -> Row | None:
        stored = self._rows.get(key)
        if stored is None:
            return None
        if self.faults.stale_reads > 0:
            self.faults.stale_reads -= 1
            return stored.previous
        return stored.current

    def _is_expected(self, write: Write) -> bool:
        if write.expected_version is None:
            return True
        stored = self._rows.get(write.key)
        current = stored.current.version if stored is not None and stored.current else 0
        return current == write.expected_version

    def _write(self, write: Write) -> int:
        stored = self._rows.setdefault(write.key, _StoredRow())
        stored.version += 1
        stored.previous = stored.current
        if write.value is None:
            stored.current = None
        else:
            stored.current = Row(write.key, write.value, stored.version)
        return stored.version
