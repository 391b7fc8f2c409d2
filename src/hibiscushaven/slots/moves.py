"""Between which VMs the tokens of a service may have moved at each roster version."""

from collections.abc import Iterator

from .homes import Shard, group_of
from .roster import Change, Roster, RosterMember

__all__ = ["Moves"]


class Moves:
    """The changes of a service's group over the known versions of a roster.

    Explanation
    ===========

    With rendezvous hashing, tokens move only to VMs that are new in the group, from VMs that
    left it, and from an incarnation to its successor on the same VM.
    """

    def __init__(self, service: str, roster: Roster) -> None:
        self._shard = Shard(service)
        self._roster = roster
        self._rosters: dict[int, Roster] = {}
        self._groups: dict[int, dict[str, RosterMember]] = {}

    def change(self, version: int) -> Change:
        return self._roster.changes[version - self._roster.oldest - 1]

    def at(self, version: int) -> Roster:
        if version not in self._rosters:
            self._rosters[version] = self._roster.at(version)
        return self._rosters[version]

    def removal(self, member: RosterMember) -> int:
        """Return the version at which a member that is no longer there was last removed."""
        versions = range(self._roster.version, self._roster.oldest, -1)
        return next(item for item in versions if member in self.change(item).removed)

    def has_members_before(self, version: int) -> bool:
        """Return whether a known earlier roster has members."""
        return bool(self._group_before(version))

    def sources(self, version: int, gainer: tuple[str, str]) -> Iterator[RosterMember]:
        """Return who may have lost tokens to an incarnation at a version."""
        before, after = self._group_before(version), self._group(version)
        member = after.get(gainer[0])
        if member is None or member.key != gainer:
            return
        for vm, source in before.items():
            if source.key == gainer:
                continue
            is_predecessor = vm == gainer[0]
            if is_predecessor or vm not in after or gainer[0] not in before:
                yield source

    def _group_before(self, version: int) -> dict[str, RosterMember]:
        """Return the last group before a version; emptied rosters in between have no homes."""
        earlier = range(version - 1, self._roster.oldest - 1, -1)
        return next((self._group(item) for item in earlier if self._group(item)), {})

    def _group(self, version: int) -> dict[str, RosterMember]:
        if version not in self._groups:
            members = group_of(self.at(version), self._shard)
            self._groups[version] = {member.vm: member for member in members}
        return self._groups[version]
