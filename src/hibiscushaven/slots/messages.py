"""Messages about loans, settled roster versions and rosters."""

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
    """A borrower's statement on its loan of one service.

    :ivar ack: version of the last grant taken.
    :ivar is_wanted: whether the borrower believes that it owns a shard of the service.
    :ivar kept: tokens kept by pool, only where that is not what the grant allows.
    :ivar long: most tokens by pool that are used for long work from now on, only where that is
        not what the grant allows; more than the grant asks for a larger one.
    """

    service: str
    ack: int
    is_wanted: bool
    kept: dict[str, int]
    long: dict[str, int] = field(default_factory=dict)

    @property
    def packed(self) -> tuple[Any, ...]:
        return self.service, self.ack, self.is_wanted, self.kept, self.long


@dataclass(frozen=True, slots=True)
class AnswerItem:
    """A lender's grant of one service.

    :ivar version: rises with each change of the grant.
    :ivar hold_ms: how long after the loan term a long request may still be in progress.
    :ivar granted: tokens by pool, or ``None`` if the borrower acknowledged this version.
    :ivar long: how many of them may start long work.
    :ivar short_ms: how long after the loan term a short request may still be in progress;
        ``None`` if the lender waits for the longest deadline whatever its tokens are used for.
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
    """Sent by a borrower to each lender; ``seq`` rises with each."""

    seq: int
    roster_version: int
    items: tuple[Any, ...]


@message("loan-answer")
@dataclass(frozen=True, slots=True)
class LoanAnswer(Message):
    """Response to the renewal with the same ``seq``."""

    seq: int
    roster_version: int
    items: tuple[Any, ...]


@message("settle-query")
@dataclass(frozen=True, slots=True)
class SettleQuery(Message):
    """Asks which roster version the receiver settled, by service."""

    seq: int
    roster_version: int
    services: tuple[str, ...]


@message("settle-report")
@dataclass(frozen=True, slots=True)
class SettleReport(Message):
    """Response to a query.

    :ivar is_member: the sender knows the asking incarnation as a current member.
    :ivar settled: roster version by service.
    """

    seq: int
    roster_version: int
    is_member: bool
    settled: dict[str, int]


@message("roster-notice")
@dataclass(frozen=True, slots=True)
class RosterNotice(Message):
    """A roster, sent to a VM that stated an older version."""

    version: int
    data: bytes
