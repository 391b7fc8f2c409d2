"""The roster of a failure domain: the VMs that may hold slot tokens, and its latest changes."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import cached_property

import msgpack

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import PeerIdentity

__all__ = ["MAX_CHANGES", "Roster", "RosterChange", "RosterError", "RosterMember"]

# Number of changes stored in the row. A VM that missed more changes does not know which VMs were
# homes of its tokens in between, and waits longer before it uses them.
MAX_CHANGES = 64


class RosterError(ValueError):
    """Bytes that cannot be decoded as a roster, or a version that is not available."""


@dataclass(frozen=True, slots=True, order=True)
class RosterMember:
    """One incarnation of a VM, with the address of its peer port."""

    vm: str
    incarnation: str
    host: str
    peer_port: int

    @property
    def endpoint(self) -> Endpoint:
        return Endpoint(self.host, self.peer_port)

    @property
    def key(self) -> tuple[str, str]:
        return self.vm, self.incarnation

    @classmethod
    def from_identity(cls, identity: PeerIdentity) -> "RosterMember":
        return cls(identity.vm, identity.incarnation, identity.host, identity.peer_port)


@dataclass(frozen=True, slots=True)
class RosterChange:
    """Difference between one version and the version before.

    :ivar is_graceful: whether the removed members had no tokens in use or lent.
    """

    removed: tuple[RosterMember, ...] = ()
    joined: tuple[RosterMember, ...] = ()
    is_graceful: bool = False


@dataclass(frozen=True)
class Roster:
    """Members of a failure domain at a version of the table row.

    :ivar changes: the latest changes, oldest first; the last one led to this version.

    Examples
    ========

    >>> one = RosterMember("vm-1", "a", "10.0.0.1", 7000)
    >>> two = RosterMember("vm-2", "b", "10.0.0.2", 7000)
    >>> roster = Roster().with_member(one).with_member(two)
    >>> roster.version, [member.vm for member in roster.at_version(1).members]
    (2, ['vm-1'])
    >>> Roster.decode(roster.encode(), roster.version) == roster
    True

    """

    version: int = 0
    members: tuple[RosterMember, ...] = ()
    changes: tuple[RosterChange, ...] = field(default=(), repr=False)

    @cached_property
    def by_vm(self) -> dict[str, RosterMember]:
        return {member.vm: member for member in self.members}

    @cached_property
    def groups(self) -> dict[str, tuple[RosterMember, ...]]:
        """Cache of groups by shard."""
        return {}

    @cached_property
    def homes(self) -> dict[tuple[str, str, int], tuple[str, ...]]:
        """Cache of token homes by service, pool and count."""
        return {}

    @property
    def oldest(self) -> int:
        """The oldest version that :meth:`at_version` can return."""
        return self.version - len(self.changes)

    def has_member(self, key: tuple[str, str]) -> bool:
        """Return whether an incarnation, given as VM and incarnation, is a member."""
        member = self.by_vm.get(key[0])
        return member is not None and member.incarnation == key[1]

    def at_version(self, version: int) -> "Roster":
        """Return the roster as it was at an earlier version, without changes before it.

        :raises RosterError: when the version is older than the known changes or in the future.
        """
        if not self.oldest <= version <= self.version:
            raise RosterError(f"version {version} is not in {self.oldest}..{self.version}")
        members = set(self.members)
        for change in reversed(self.changes[version - self.oldest :]):
            members -= set(change.joined)
            members |= set(change.removed)
        return Roster(version, tuple(sorted(members)), self.changes[: version - self.oldest])

    def conflicting_members(self, member: RosterMember) -> tuple[RosterMember, ...]:
        """Return other incarnations of a member's VM and other VMs at its address."""
        return tuple(
            other
            for other in self.members
            if other != member and (other.vm == member.vm or other.endpoint == member.endpoint)
        )

    def with_member(self, member: RosterMember) -> "Roster":
        """Return the next version, in which a member replaces those that conflict with it."""
        return self._next(RosterChange(self.conflicting_members(member), (member,)))

    def without(self, members: tuple[RosterMember, ...], *, is_graceful: bool) -> "Roster":
        """Return the next version, without these members."""
        return self._next(RosterChange(members, (), is_graceful))

    def encode(self) -> bytes:
        members = [_pack(member) for member in self.members]
        changes = [
            (
                [_pack(member) for member in change.removed],
                [_pack(member) for member in change.joined],
                change.is_graceful,
            )
            for change in self.changes
        ]
        return msgpack.packb([self.version, members, changes])

    @classmethod
    def decode(cls, data: bytes, version: int) -> "Roster":
        """Return the roster of a table row.

        :param version: version of the row; the changes are ignored if the encoded version differs.
        :raises RosterError: when the bytes are not a roster.
        """
        try:
            written, members, changes = msgpack.unpackb(data, use_list=False)
            packed = tuple(RosterMember(*values) for values in members)
            history = tuple(
                RosterChange(tuple(_unpack(removed)), tuple(_unpack(joined)), is_graceful)
                for removed, joined, is_graceful in changes
            )
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise RosterError(f"not a roster: {data[:40]!r}") from error
        return cls(version, packed, history if written == version else ())

    def _next(self, change: RosterChange) -> "Roster":
        members = (set(self.members) - set(change.removed)) | set(change.joined)
        changes = (*self.changes, change)[-MAX_CHANGES:]
        return replace(
            self, version=self.version + 1, members=tuple(sorted(members)), changes=changes
        )


def _pack(member: RosterMember) -> tuple[str, str, str, int]:
    return member.vm, member.incarnation, member.host, member.peer_port


def _unpack(values: tuple[tuple[str, str, str, int], ...]) -> Iterator[RosterMember]:
    return (RosterMember(*item) for item in values)
