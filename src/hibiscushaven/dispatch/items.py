"""State of the work items and attempts that a dispatcher tracks."""

from dataclasses import dataclass, field

from hibiscushaven.documents import RequestSize

from .actions import CancelReason
from .ports import Token
from .servers import ServerState
from .work import WorkItem

__all__ = ["Attempt", "ItemState"]


@dataclass(slots=True, eq=False)
class ItemState:
    """A work item from its submission until its final action and the end of its attempts.

    :ivar cost_s: expected time in a slot; the unit of the accounting of queues.
    :ivar is_final: whether its final action, a refusal or a response, was returned.
    :ivar may_have_run: whether an ended attempt may have been run by a backend server.
    :ivar attempts_made: number of attempts started, not counting hedges.
    :ivar tried_servers: names of the backend servers that got an attempt.
    :ivar streaming_attempt: id of the attempt whose resumable response is being received.
    """

    work: WorkItem
    size: RequestSize
    cost_s: float
    submitted_at: float
    is_queued: bool = False
    is_final: bool = False
    may_have_run: bool = False
    attempts_made: int = 0
    tried_servers: set[str] = field(default_factory=set)
    attempts: dict[str, "Attempt"] = field(default_factory=dict)
    streaming_attempt: str | None = None

    @property
    def is_long(self) -> bool:
        return self.size is RequestSize.LONG

    @property
    def is_retry(self) -> bool:
        return self.attempts_made > 0


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt whose end has not been reported.

    :ivar sent_at: when the driver was allowed to write the request; ``None`` before.
    :ivar first_byte_at: when the first byte of the response arrived; ``None`` before.
    :ivar cancel_reason: why it was cancelled; ``None`` if it was not.
    :ivar is_crash_recorded: whether the crash of its backend server is already recorded.
    """

    id: str
    item: ItemState
    server: ServerState
    token: Token
    started_at: float
    is_hedge: bool
    is_suspect: bool
    is_long: bool
    sent_at: float | None = None
    first_byte_at: float | None = None
    cancel_reason: CancelReason | None = None
    is_crash_recorded: bool = False

    @property
    def is_cancelled(self) -> bool:
        return self.cancel_reason is not None
