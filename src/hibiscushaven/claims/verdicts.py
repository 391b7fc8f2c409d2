"""What a row that was read back says about an attempt."""

from dataclasses import dataclass
from enum import StrEnum

from hibiscushaven.tablestore import Row

from .errors import ClaimError, InProgressError, WrongBodyError
from .model import ClaimRow, Holder, Replay, RowState

__all__ = ["Finding", "Rejected", "Replayed", "examine"]


class Finding(StrEnum):
    """What the row says, where it decides nothing for the caller.

    :cvar STALE: the row is older than one that the attempt has seen; it proves nothing.
    :cvar ABSENT: there is no row, or a read from before there was one.
    :cvar FREE: the claim may be taken by a write on the row's version.
    :cvar MINE: the attempt holds the claim.
    :cvar ENDED: the attempt held the claim and its end is recorded.
    """

    STALE = "stale"
    ABSENT = "absent"
    FREE = "free"
    MINE = "mine"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Replayed:
    """The request was run before."""

    replay: Replay


@dataclass(frozen=True, slots=True)
class Rejected:
    """The claim is another's."""

    error: ClaimError


def examine(
    row: Row | None, holder: Holder, fingerprint: str, base: int
) -> Finding | Replayed | Rejected:
    """Return what a row says about an attempt.

    The fingerprint of a key never changes, not even over a release, so that an old read gives
    the same answer about it as a new one.

    :param base: highest version that a write of the attempt expected.
    :raises RowError: when the row cannot be read.
    """
    if row is None:
        return Finding.ABSENT
    found = ClaimRow.decode(row.value)
    if found.holder == holder:
        return Finding.MINE if found.state is RowState.HELD else Finding.ENDED
    if row.version < base:
        return Finding.STALE
    if found.fingerprint != fingerprint:
        return Rejected(WrongBodyError("the key was used for another request"))
    if found.state is RowState.DONE:
        return Replayed(found.replay)
    if found.state is RowState.HELD:
        return Rejected(InProgressError("another attempt holds the claim"))
    return Finding.FREE
