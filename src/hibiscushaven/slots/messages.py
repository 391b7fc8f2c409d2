"""Messages for token loans, settled roster versions and rosters."""

from dataclasses import dataclass, field
from typing import Any

from hibiscushaven.peers import Message, message

__all__ = [
    "AnswerItem",
    "LoanAnswer",
    "LoanRenewal",
    "RenewalItem",
    "RosterNotice",
    "SettleQuery",
    "SettleReport",
]


@dataclass(frozen=True, slots=True)
class RenewalItem:
    """State of a borrower's loan of one service, as sent to the lender.

    :ivar ack: version of the last grant that the borrower applied.
    :ivar is_needed: whether the borrower needs tokens, because it considers itself the owner of a
        shard of the service.
    :ivar retained: tokens not returned by pool; contains only pools where this differs from the
        grant.
    :ivar long: maximum number of tokens by pool to be used for long work from now on; contains
        only pools where this differs from the grant. A larger number than granted is a request
        for more.
    """

    service: str
    ack: int
    is_needed: bool
    retained: dict[str, int]
    long: dict[str, int] = field(default_factory=dict)

    @property
    def packed(self) -> tuple[Any, ...]:
        return self.service, self.ack, self.is_needed, self.retained, self.long


@dataclass(frozen=True, slots=True)
class AnswerItem:
    """A lender's grant of tokens of one service.

    :ivar version: increases with each change of the grant.
    :ivar is_renewed: whether the loan term starts anew with the renewal.
    :ivar hold_ms: how long after the loan term a long request may still be in progress.
    :ivar granted: tokens by pool, or ``None`` if the borrower acknowledged this version.
    :ivar long: how many of the granted tokens may start long work, by pool.
    :ivar short_ms: how long after the loan term a short request may still be in progress;
        ``None`` if the lender waits for the longest deadline for short work as well.
    """

    service: str
    version: int
    is_renewed: bool
    hold_ms: int
    granted: dict[str, int] | None
    long: dict[str, int] = field(default_factory=dict)
    short_ms: int | None = None

    @property
    def packed(self) -> tuple[Any, ...]:
        head = self.service, self.version, self.is_renewed, self.hold_ms, self.granted
        return *head, self.long, self.short_ms


@message("loan-renewal")
@dataclass(frozen=True, slots=True)
class LoanRenewal(Message):
    """Sent by a borrower to each lender; ``seq`` increases with each renewal."""

    seq: int
    roster_version: int
    items: tuple[Any, ...]


@message("loan-answer")
@dataclass(frozen=True, slots=True)
class LoanAnswer(Message):
    """Response of a lender to the renewal with the same ``seq``."""

    seq: int
    roster_version: int
    items: tuple[Any, ...]


@message("settle-query")
@dataclass(frozen=True, slots=True)
class SettleQuery(Message):
    """Asks which roster version the receiver has settled, by service."""

    seq: int
    roster_version: int
    services: tuple[str, ...]


@message("settle-report")
@dataclass(frozen=True, slots=True)
class SettleReport(Message):
    """Response to the settle query with the same ``seq``.

    :ivar is_member: whether the sender knows the asking incarnation as a current member.
    :ivar settled: settled and drained roster versions by service.
    """

    seq: int
    roster_version: int
    is_member: bool
    settled: dict[str, int]


@message("roster-notice")
@dataclass(frozen=True, slots=True)
class RosterNotice(Message):
    """A roster, sent to a VM whose message contained an older version."""

    version: int
    data: bytes
