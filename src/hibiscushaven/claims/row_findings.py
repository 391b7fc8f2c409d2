"""Classification of a claim row that was read back, from the view of one attempt."""

from dataclasses import dataclass
from enum import StrEnum

from hibiscushaven.tablestore import Row

from .errors import ClaimError, InProgressError, KeyReusedError
from .model import ClaimRow, Holder, Replay, RowState

__all__ = ["Rejected", "Replayed", "RowFinding", "classify_row"]


class RowFinding(StrEnum):
    """State of a row that does not by itself give the caller a result.

    :cvar STALE: the row is older than a version that the attempt has seen, so it is inconclusive.
    :cvar ABSENT: there is no row, or the read was stale and from before the row was created.
    :cvar FREE: the claim can be acquired by a write that expects the row's version.
    :cvar ACQUIRED: the attempt holds the claim.
    :cvar ENDED: the attempt held the claim and its end is recorded.
    """

    STALE = "stale"
    ABSENT = "absent"
    FREE = "free"
    ACQUIRED = "mine"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Replayed:
    """An earlier attempt ran the request and its result is recorded."""

    replay: Replay


@dataclass(frozen=True, slots=True)
class Rejected:
    """The claim belongs to another attempt or to another request."""

    error: ClaimError


def classify_row(
    row: Row | None, holder: Holder, fingerprint: str, highest_expected: int
) -> RowFinding | Replayed | Rejected:
    """Return what a row shows about an attempt.

    The fingerprint of a key never changes, not even after a release, so that a stale read shows
    the same fingerprint as a current one.

    :param highest_expected: highest version that a write of the attempt expected.
    :raises RowError: when the row cannot be read.
    """
    if row is None:
        return RowFinding.ABSENT
    claim_row = ClaimRow.decode(row.value)
    if claim_row.holder == holder:
        return RowFinding.ACQUIRED if claim_row.state is RowState.ACQUIRED else RowFinding.ENDED
    if row.version < highest_expected:
        return RowFinding.STALE
    if claim_row.fingerprint != fingerprint:
        return Rejected(KeyReusedError("the key was used for another request"))
    if claim_row.state is RowState.DONE:
        return Replayed(claim_row.replay)
    if claim_row.state is RowState.ACQUIRED:
        return Rejected(InProgressError("another attempt holds the claim"))
    return RowFinding.FREE
