"""Reads and writes of the roster row in the platform's table."""

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

__all__ = ["REMOVAL_DELAY_S", "RosterManager"]

_LOG = logging.getLogger(__name__)

# A member is removed after it was down in the views of all VMs, and missing from the platform's
# list, for this long.
REMOVAL_DELAY_S = 10.0

# The delay for a member that this VM never saw in the list: it may have joined recently, and the
# list lags.
_UNLISTED_REMOVAL_DELAY_S = 60.0

# Members are not removed on the basis of an older list.
_MAX_LIST_AGE_S = 5.0


class RosterManager:
    """Joins and leaves the roster, removes members whose VMs no longer run, and reads new versions.

    Explanation
    ===========

    Every write expects the version read and is repeated only after another read, so that a write
    whose response was lost takes effect once. Only members that the platform's list no longer
    contains are removed: their VMs must not be running any more, because they cannot be
    informed of the removal.
    """

    def __init__(self, table: Table, identity: PeerIdentity) -> None:
        self._table = table
        self._own = RosterMember.from_identity(identity)
        self._key = f"rosters/{identity.failure_domain}"
        self._roster = Roster()
        self._read_at: float | None = None
        self._was_member = False
        self._ever_listed: set[str] = set()
        self._absent_since: dict[tuple[str, str], float] = {}

    @property
    def roster(self) -> Roster:
        """The newest roster read or written."""
        return self._roster

    @property
    def read_at(self) -> float | None:
        """Time at which the last successful read began, for :meth:`SlotNode.set_roster`."""
        return self._read_at

    @property
    def is_member(self) -> bool:
        return self._roster.has_member(self._own.key)

    @property
    def is_replaced(self) -> bool:
        """Whether a successor replaced this incarnation, which then must not join again."""
        return self._was_member and bool(self._roster.conflicting_members(self._own))

    async def step(
        self, now: float, view: View, live_incarnations: frozenset[str] = frozenset()
    ) -> Roster:
        """Read the row and make at most one change; to be called about every second.

        :param live_incarnations: incarnations that are alive in the view of any other VM of the
            failure domain.
        :returns: the latest known roster, unchanged while the table is unavailable.
        """
        if not await self._read(now):
            return self._roster
        to_remove = tuple(self._members_to_remove(now, view, live_incarnations))
        if not self.is_member:
            if not self.is_replaced:
                await self._write(now, self._roster.with_member(self._own))
        elif to_remove:
            await self._write(now, self._roster.without(to_remove, is_graceful=False))
        return self._roster

    async def leave(self, now: float) -> bool:
        """Leave gracefully and return whether this VM has left; to be called again until it has.

        A predecessor that this VM has not replaced yet is removed as not graceful, because it
        cannot report.
        """
        if not await self._read(now):
            return False
        if self.is_member:
            await self._write(now, self._roster.without((self._own,), is_graceful=True))
        elif predecessors := self._roster.conflicting_members(self._own):
            await self._write(now, self._roster.without(predecessors, is_graceful=False))
        return not self.is_member and not self._roster.conflicting_members(self._own)

    async def _read(self, now: float) -> bool:
        try:
            row = await self._table.read(self._key)
        except UnavailableError:
            return False
        if row is not None and not self._accept_row(row):
            return False
        if row is None and self._roster.version:
            return False
        self._read_at = now
        self._was_member = self._was_member or self.is_member
        return True

    def _accept_row(self, row: Row) -> bool:
        """Decode a row if it is newer; return whether it is at least as new as the known roster."""
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
            _LOG.info("write of roster row failed", extra={"key": self._key, "reason": str(error)})
            return
        self._roster = Roster.decode(roster.encode(), versions[self._key])

    def _members_to_remove(
        self, now: float, view: View, live_incarnations: frozenset[str]
    ) -> Iterator[RosterMember]:
        listed = {entry.name for entry in view.entries}
        self._ever_listed |= listed
        is_fresh = view.listed_at is not None and now - view.listed_at < _MAX_LIST_AGE_S
        since: dict[tuple[str, str], float] = {}
        for member in self._roster.members:
            is_alive = member.incarnation in live_incarnations or view.is_alive(
                member.vm, member.incarnation
            )
            if member == self._own or member.vm in listed or is_alive or not is_fresh:
                continue
            since[member.key] = self._absent_since.get(member.key, now)
            wait_s = (
                REMOVAL_DELAY_S if member.vm in self._ever_listed else _UNLISTED_REMOVAL_DELAY_S
            )
            if now - since[member.key] >= wait_s:
                yield member
        self._absent_since = since
