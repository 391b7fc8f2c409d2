"""Memory and connections that all clients of a process may hold together."""

import asyncio
import heapq
import logging
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol, Self

from .machine import MachineLimits
from .read_flow import ReadTurns

__all__ = [
    "IN_PROGRESS_BYTES",
    "OVERLOAD_RETRY_S",
    "BudgetLimits",
    "ConnectionAccount",
    "ConnectionBudget",
    "Part",
    "StreamConnection",
]

_LOG = logging.getLogger(__name__)

# Memory of a process that serves no client, and has the tables of a large deployment.
BASE_MEMORY_BYTES = 64 * 1024 * 1024

# Fraction of the remaining memory that clients may hold. The rest is for copies that exist for a
# moment, responses on their way and fragmentation.
CLIENT_MEMORY_FRACTION = 0.5
MIN_CLIENT_MEMORY_BYTES = 8 * 1024 * 1024

# Descriptors for files, listening sockets, the store and other VMs.
RESERVED_DESCRIPTORS = 200

# Fraction of the remaining descriptors for clients, since each request in progress needs another
# one for its connection to a backend server.
CLIENT_DESCRIPTOR_FRACTION = 0.5
MIN_CONNECTIONS = 16

# Memory of one connection that holds nothing else, with its buffers in the kernel.
CONNECTION_BYTES = 20 * 1024

# Memory of a request in progress beside itself, with its connection to a backend server.
IN_PROGRESS_BYTES = 32 * 1024

# Retry delay of callers whose request this VM has no memory for; other VMs may accept it at once.
OVERLOAD_RETRY_S = 0.2

# Fraction of the limit to which evictions reduce what is held, so that they are rare.
EVICTION_TARGET = 0.9

# Fraction of the connections that are closed at once when there are too many.
CONNECTION_EVICTION_FRACTION = 0.05

# Added to the age of what a connection holds, so that new ones differ by its size.
_MIN_AGE_S = 0.1

# Shortest interval between two log lines about evictions.
_LOG_INTERVAL_S = 1.0


class Part(IntEnum):
    """What a connection holds memory for."""

    CONNECTIONS = 0
    HEADS = 1
    BODIES = 2
    QUEUED = 3
    IN_PROGRESS = 4
    RESPONSES = 5
    UNREAD = 6

    @property
    def label(self) -> str:
        """Name in metrics and in the log."""
        return self.name.lower()


class _Connection(Protocol):
    def evict(self, is_descriptor_needed: bool) -> None:
        """Free the memory that is not pinned.

        :param is_descriptor_needed: whether to close the connection at once.
        """


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits on all connections of clients together.

    :ivar memory_bytes: memory that they may hold.
    :ivar connections: how many may be open.
    """

    memory_bytes: int
    connections: int

    @classmethod
    def of(cls, machine: MachineLimits) -> Self:
        """Return the limits on a machine.

        Examples
        ========

        >>> BudgetLimits.of(MachineLimits(memory_bytes=192 * 2**20, descriptors=1200))
        BudgetLimits(memory_bytes=67108864, connections=500)

        """
        memory_bytes = int(CLIENT_MEMORY_FRACTION * (machine.memory_bytes - BASE_MEMORY_BYTES))
        connections = int(CLIENT_DESCRIPTOR_FRACTION * (machine.descriptors - RESERVED_DESCRIPTORS))
        return cls(max(MIN_CLIENT_MEMORY_BYTES, memory_bytes), max(MIN_CONNECTIONS, connections))


class ConnectionAccount:
    """What one connection holds.

    :ivar since: start of the message that is being received or written, or of the idle time.
    :ivar has_served: whether a request was completed on the connection.
    """

    def __init__(self, budget: "ConnectionBudget", connection: _Connection, since: float) -> None:
        self._budget = budget
        self._connection = connection
        self._amounts = [0] * len(Part)
        self._total_bytes = 0
        self._is_blocked = False
        self._is_closed = False
        self.since = since
        self.has_served = False

    @property
    def pinned_bytes(self) -> int:
        """Memory that an eviction does not free.

        A request that may have been sent to a backend server is completed.
        """
        if self._is_blocked:
            return 0
        return self._amounts[Part.IN_PROGRESS] + self._amounts[Part.RESPONSES]

    @property
    def evictable_bytes(self) -> int:
        """Memory that an eviction frees, beside the connection itself."""
        return self._total_bytes - self.pinned_bytes - self._amounts[Part.CONNECTIONS]

    def hold(self, part: Part, amount: int) -> None:
        """Record the memory that the connection holds for a part from now on, in bytes."""
        change = amount - self._amounts[part]
        if self._is_closed or not change:
            return
        pinned = self.pinned_bytes
        self._amounts[part] = amount
        self._total_bytes += change
        self._budget.record(part, change, self.pinned_bytes - pinned)

    def try_hold(self, part: Part, amount: int) -> bool:
        """Record more memory for a pinned part, unless there is no room for it."""
        if not self._budget.has_room(amount, self._amounts[part]):
            return False
        self.hold(part, amount)
        return True

    def block(self, is_blocked: bool) -> None:
        """Record whether the client does not read a response that has begun.

        The connection may then be closed whatever it holds, since the client sees that the
        response is incomplete.
        """
        pinned = self.pinned_bytes
        self._is_blocked = is_blocked
        self._budget.record(Part.UNREAD, 0, self.pinned_bytes - pinned)

    def evict(self, is_descriptor_needed: bool = False) -> None:
        """Free the memory that is not pinned."""
        self._connection.evict(is_descriptor_needed)

    def close(self) -> None:
        """Record that the connection is closed."""
        for part in Part:
            self.hold(part, 0)
        self._is_closed = True
        self._budget.close(self)


class ConnectionBudget:
    """Accounts for the memory and the number of all connections of clients.

    Explanation
    ===========

    There is one budget for the process, whatever the port, the protocol and the kind of message,
    since clients share the memory of the machine. What a single client may send is limited by the
    configuration only. Once all connections together hold too much, some are evicted: first those
    that hold most for the longest time, and never one whose request may have been sent to a
    backend server. If there are too many connections, those that have not completed a request are
    closed first, and the longest idle ones among them.

    :param limits: limits on all connections together; by default those of a small VM.
    :param now: returns the time in seconds.
    :param on_eviction: called with the reason of each eviction: ``memory`` or ``connections``; or
        ``room`` for a request that was rejected before it ran.
    :ivar limits: limits on all connections together.
    :ivar now: returns the time in seconds.
    :ivar turns: turns of connections whose data is expensive to parse.
    """

    def __init__(
        self,
        limits: BudgetLimits | None = None,
        now: Callable[[], float] = time.monotonic,
        on_eviction: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.limits = limits or BudgetLimits.of(MachineLimits.detect())
        self.now = now
        self._on_eviction = on_eviction
        self._accounts: set[ConnectionAccount] = set()
        self._held = [0] * len(Part)
        self._total_bytes = self._pinned_bytes = 0
        self._is_relieving = False
        self._evictions: Counter[str] = Counter()
        self._logged_at = -_LOG_INTERVAL_S
        self.turns = ReadTurns()

    @property
    def pinned_bytes(self) -> int:
        """Memory that no eviction frees."""
        return self._pinned_bytes

    @property
    def total_bytes(self) -> int:
        """Memory that all connections hold."""
        return self._total_bytes

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._accounts)

    def held_bytes(self, part: Part) -> int:
        """Return the memory that all connections hold for a part."""
        return self._held[part]

    def has_room(self, amount: int, replaced: int = 0) -> bool:
        """Return whether there is room for a pinned amount, in bytes.

        Explanation
        ===========

        An amount has room if it is at most half of what all connections and their pinned parts
        leave, so that many small requests pass beside a few large ones, or if nothing else is
        pinned.

        :param replaced: pinned memory in place of which the amount is held.
        """
        pinned = self._pinned_bytes - replaced
        free = self.limits.memory_bytes - pinned - self._held[Part.CONNECTIONS]
        return not pinned or amount <= free // 2

    def open(self, connection: _Connection) -> ConnectionAccount:
        """Return the account of a new connection, which may be evicted at once."""
        account = ConnectionAccount(self, connection, self.now())
        self._accounts.add(account)
        account.hold(Part.CONNECTIONS, CONNECTION_BYTES)
        return account

    def close(self, account: ConnectionAccount) -> None:
        """Forget the account of a closed connection."""
        self._accounts.discard(account)

    def record(self, part: Part, change: int, pinned_change: int) -> None:
        """Record a change of what a connection holds, in bytes."""
        self._held[part] += change
        self._total_bytes += change
        self._pinned_bytes += pinned_change

    def relieve(self) -> None:
        """Evict connections while they hold too much or are too many."""
        if self._is_relieving:
            return
        self._is_relieving = True
        try:
            if len(self._accounts) > self.limits.connections:
                self._close_connections()
            if self._total_bytes > self.limits.memory_bytes:
                self._free_memory()
        finally:
            self._is_relieving = False

    def count(self, reason: str) -> None:
        """Count an eviction, or a request that was rejected since there is no room for it."""
        self._on_eviction(reason)
        self._evictions[reason] += 1
        now = self.now()
        if now - self._logged_at < _LOG_INTERVAL_S:
            return
        self._logged_at = now
        held = {part.label: self._held[part] for part in Part if self._held[part]}
        _LOG.warning(
            "connections of clients evicted",
            extra={
                "evictions": dict(self._evictions),
                "connections": len(self._accounts),
                "held_bytes": held,
            },
        )
        self._evictions.clear()

    def _close_connections(self) -> None:
        surplus = len(self._accounts) - self.limits.connections
        count = surplus + int(CONNECTION_EVICTION_FRACTION * self.limits.connections)
        candidates = (account for account in self._accounts if not account.pinned_bytes)
        for account in heapq.nsmallest(count, candidates, key=_idle_order):
            self._evict(account, "connections")

    def _free_memory(self) -> None:
        now = self.now()
        target = EVICTION_TARGET * self.limits.memory_bytes
        for account in sorted(self._accounts, key=lambda item: _memory_order(item, now)):
            if self._total_bytes <= target:
                return
            if account.evictable_bytes or not account.pinned_bytes:
                self._evict(account, "memory")

    def _evict(self, account: ConnectionAccount, reason: str) -> None:
        account.evict(is_descriptor_needed=reason == "connections")
        self.count(reason)


class StreamConnection:
    """Connection of a stream with messages of other VMs, which may be closed at any time.

    :ivar account: what the connection holds.
    """

    def __init__(self, writer: asyncio.StreamWriter, budget: ConnectionBudget) -> None:
        self._writer = writer
        self._budget = budget
        self._reserved_bytes = 0
        self.account = budget.open(self)

    def begin_message(self, size: int) -> None:
        """Account for a message that arrives, in bytes."""
        self.account.since = self._budget.now()
        self.account.hold(Part.BODIES, size)
        self._budget.relieve()

    def end_message(self) -> None:
        """Record that a message has arrived."""
        self.account.has_served = True
        self.account.hold(Part.BODIES, 0)

    def try_reserve(self, amount: int) -> bool:
        """Reserve memory for a request in progress, in bytes, unless there is no room for it."""
        if not self._budget.has_room(amount):
            self._budget.count("room")
            return False
        self._reserve(amount)
        self._budget.relieve()
        return True

    def release(self, amount: int) -> None:
        """Release memory that was reserved."""
        self._reserve(-amount)

    def evict(self, is_descriptor_needed: bool = False) -> None:
        """Close the connection at once."""
        self.account.close()
        self._writer.transport.abort()

    def _reserve(self, change: int) -> None:
        self._reserved_bytes += change
        self.account.hold(Part.IN_PROGRESS, self._reserved_bytes)


def _idle_order(account: ConnectionAccount) -> tuple[bool, float]:
    return account.has_served, account.since


def _memory_order(account: ConnectionAccount, now: float) -> tuple[float, float]:
    age_s = now - account.since + _MIN_AGE_S
    return -account.evictable_bytes * age_s, account.since
