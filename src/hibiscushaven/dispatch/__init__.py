"""Decision logic of the owner of a shard."""

from hibiscushaven.quarantine import CrashLedger

from .actions import (
    Action,
    CancelAttempt,
    CancelReason,
    Finish,
    Outcome,
    RefusalReason,
    Refuse,
    StartAttempt,
)
from .choice import CHOICES, ServerChoice, choice
from .config import DispatchConfig
from .dispatcher import Dispatcher, DispatchError, DuplicateWorkError
from .ports import SlotSource, Token
from .queues import QUEUES, QueuePolicy, queue
from .snapshot import Snapshot
from .work import AttemptResult, ResultKind, Work

__all__ = [
    "CHOICES",
    "QUEUES",
    "Action",
    "AttemptResult",
    "CancelAttempt",
    "CancelReason",
    "CrashLedger",
    "DispatchConfig",
    "DispatchError",
    "Dispatcher",
    "DuplicateWorkError",
    "Finish",
    "Outcome",
    "QueuePolicy",
    "RefusalReason",
    "Refuse",
    "ResultKind",
    "ServerChoice",
    "SlotSource",
    "Snapshot",
    "StartAttempt",
    "Token",
    "Work",
    "choice",
    "queue",
]
