"""Keeping of the roster row in the platform's table."""

import logging
from collections.abc import Iterator

from hibiscushaven.membership import View
from hibiscushaven.peers import PeerIdentity
from hibiscushaven.tablestore import (
    ConflictError,
    OutcomeUnknownError,
    Row,
    Table,
    UnavailableError,
    Write,
)

from .roster import Roster, RosterError, RosterMember

__all__ = ["GONE_S", "RosterKeeper"]

_LOG = logging.getLogger(__name__)

# Silence and absence from the platform's list after which a member is removed.
GONE_S = 10.0

# A member that this VM never saw listed may have joined before a lagging list names it.
_NEVER_LISTED_S = 60.0

# Older answers of the platform's list say nothing about who is gone.
_LIST_FRESH_S = 5.0


class RosterKeeper:
    """Joins and leaves the roster, removes members that are gone, and watches its version.

    Explanation
    ===========

    Every write is conditional on the version read, and repeats only after reading again; so
    a write whose response was lost takes effect once. Only a member that the list no longer
    names is removed: an absent VM must not run any more, because it cannot be told.
    """

    def __init__(self, table: Table, identity: PeerIdentity) -> None:
        self._table = table
        self._own = RosterMember.of(identity)
        self._key = f"rosters/{identity.failure_domain}"
        self._roster = Roster()
        self._read_at: float | None = None
        self._was_member = False
        self._listed: set[str] = set()
        self._gone_since: dict[tuple[str, str], float] = {}

    @property
    def roster(self) -> Roster:
        """The newest roster read or written."""
        return self._roster

    @property
    def read_at(self) -> float | None:
        """When the last successful read began, for :meth:`SlotNode.set_roster`."""
        return self._read_at

    @property
    def is_member(self) -> bool:
        return self._roster.has(self._own.key)

    @property
    def is_replaced(self) -> bool:
        """Whether a successor took this incarnation's place; it must not come back."""
        return self._was_member and bool(self._roster.others_at(self._own))

    async def step(self, now: float, view: View, heard: frozenset[str] = frozenset()) -> Roster:
        """Read the row and make at most one change; to be called about every second.

        :param heard: incarnations that other VMs of the failure domain hear.
        :returns: the roster, unchanged while the table is down.
        """
        if not await self._read(now):
            return self._roster
        gone = tuple(self._gone(now, view, heard))
        if not self.is_member:
            if not self.is_replaced:
                await self._write(now, self._roster.with_joined(self._own))
        elif gone:
            await self._write(now, self._roster.without(gone, is_graceful=False))
        return self._roster

    async def leave(self, now: float) -> bool:
        """Leave gracefully; to be called again until it returns that this VM is no member.

        A predecessor that this VM has not replaced yet is removed as one that cannot report.
        """
        if not await self._read(now):
            return False
        if self.is_member:
            await self._write(now, self._roster.without((self._own,), is_graceful=True))
        elif predecessors := self._roster.others_at(self._own):
            await self._write(now, self._roster.without(predecessors, is_graceful=False))
        return not self.is_member and not self._roster.others_at(self._own)

    async def _read(self, now: float) -> bool:
        try:
            row = await self._table.read(self._key)
        except UnavailableError:
            return False
        if row is not None and not self._take(row):
            return False
        if row is None and self._roster.version:
            return False
        self._read_at = now
        self._was_member = self._was_member or self.is_member
        return True

    def _take(self, row: Row) -> bool:
        """Take a row; return whether it is at least as new as the one known."""
        if row.version < self._roster.version:
            return False
        if row.version == self._roster.version:
            return True
        try:
            self._roster = Roster.decode(row.value, row.version)
        except RosterError as error:
            _LOG.error("roster row rejected", extra={"key": row.key, "reason": str(error)})
            return False
        return True

    async def _write(self, now: float, roster: Roster) -> None:
        write = Write(self._key, roster.encode(), self._roster.version)
        try:
            versions = await self._table.transact((write,))
        except OutcomeUnknownError:
            await self._read(now)
            return
        except (ConflictError, UnavailableError) as error:
            _LOG.info("roster not written", extra={"key": self._key, "reason": str(error)})
            return
        self._roster = Roster.decode(roster.encode(), versions[self._key])

    def _gone(self, now: float, view: View, heard: frozenset[str]) -> Iterator[RosterMember]:
        listed = {entry.name for entry in view.entries}
        self._listed |= listed
        is_fresh = view.listed_at is not None and now - view.listed_at < _LIST_FRESH_S
        since: dict[tuple[str, str], float] = {}
        for member in self._roster.members:
            is_heard = member.incarnation in heard or view.is_alive(member.vm, member.incarnation)
            if member == self._own or member.vm in listed or is_heard or not is_fresh:
                continue
            since[member.key] = self._gone_since.get(member.key, now)
            wait_s = GONE_S if member.vm in self._listed else _NEVER_LISTED_S
            if now - since[member.key] >= wait_s:
                yield member
        self._gone_since = since
