"""Moves of a service's tokens between VMs at each roster version."""

from collections.abc import Iterator

from .homes import Shard, group_of
from .roster import Roster, RosterChange, RosterMember

__all__ = ["MoveHistory"]


class MoveHistory:
    """Changes of a service's group over the known versions of a roster.

    Explanation
    ===========

    With rendezvous hashing, tokens move only to VMs that joined the group, from VMs that left
    it, and from an incarnation to its successor on the same VM.
    """

    def __init__(self, service: str, roster: Roster) -> None:
        self._shard = Shard(service)
        self._roster = roster
        self._rosters: dict[int, Roster] = {}
        self._groups: dict[int, dict[str, RosterMember]] = {}

    def change_at(self, version: int) -> RosterChange:
        return self._roster.changes[version - self._roster.oldest - 1]

    def roster_at(self, version: int) -> Roster:
        if version not in self._rosters:
            self._rosters[version] = self._roster.at_version(version)
        return self._rosters[version]

    def removal_version(self, member: RosterMember) -> int:
        """Return the version at which a former member was last removed."""
        versions = range(self._roster.version, self._roster.oldest, -1)
        return next(item for item in versions if member in self.change_at(item).removed)

    def has_members_before(self, version: int) -> bool:
        """Return whether a known roster before a version has members."""
        return bool(self._group_before(version))

    def previous_homes(self, version: int, recipient: tuple[str, str]) -> Iterator[RosterMember]:
        """Return the members from which tokens may have moved to an incarnation at a version.

        :param recipient: VM name and incarnation.
        """
        before, after = self._group_before(version), self._group(version)
        member = after.get(recipient[0])
        if member is None or member.key != recipient:
            return
        for vm, source in before.items():
            if source.key == recipient:
                continue
            is_predecessor = vm == recipient[0]
            if is_predecessor or vm not in after or recipient[0] not in before:
                yield source

    def _group_before(self, version: int) -> dict[str, RosterMember]:
        """Return the last non-empty group before a version, by VM name."""
        earlier = range(version - 1, self._roster.oldest - 1, -1)
        return next((self._group(item) for item in earlier if self._group(item)), {})

    def _group(self, version: int) -> dict[str, RosterMember]:
        if version not in self._groups:
            members = group_of(self.roster_at(version), self._shard)
            self._groups[version] = {member.vm: member for member in members}
        return self._groups[version]
