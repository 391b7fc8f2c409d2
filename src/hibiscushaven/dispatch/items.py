"""State of work items and attempts while a dispatcher is responsible for them."""

from dataclasses import dataclass, field

from hibiscushaven.documents import RequestSize

from .actions import CancelReason
from .ports import Token
from .servers import ServerState
from .work import Work

__all__ = ["Attempt", "Item"]


@dataclass(slots=True, eq=False)
class Item:
    """A work item between its submission and its last action.

    :ivar cost_s: expected time in a slot, as used by the queue that holds the item.
    :ivar maybe_ran: whether an attempt was sent and not refused before running.
    :ivar head_attempt: the attempt whose answer streams and can be resumed.
    """

    work: Work
    size: RequestSize
    cost_s: float
    submitted_at: float
    is_queued: bool = False
    is_final: bool = False
    maybe_ran: bool = False
    attempts_made: int = 0
    tried: set[str] = field(default_factory=set)
    attempts: dict[str, "Attempt"] = field(default_factory=dict)
    head_attempt: str | None = None

    @property
    def is_long(self) -> bool:
        return self.size is RequestSize.LONG

    @property
    def is_retry(self) -> bool:
        return self.attempts_made > 0


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt whose end has not been reported.

    :ivar sent_at: when the driver reported it as about to be written; ``None`` before.
    :ivar head_at: when its first byte arrived; ``None`` before.
    :ivar cancel_reason: why it was told to stop; ``None`` if it was not.
    :ivar is_in_crash: whether it was in progress in a crash already recorded.
    """

    id: str
    item: Item
    server: ServerState
    token: Token
    started_at: float
    is_hedge: bool
    is_suspect: bool
    is_long: bool
    sent_at: float | None = None
    head_at: float | None = None
    cancel_reason: CancelReason | None = None
    is_in_crash: bool = False

    @property
    def is_cancelled(self) -> bool:
        return self.cancel_reason is not None
