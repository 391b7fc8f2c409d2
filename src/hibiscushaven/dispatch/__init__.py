"""Scheduling of requests onto the backend servers of a shard, run by the VM that owns the shard."""

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
from .balancing import BALANCING_POLICIES, BalancingPolicy, balancing_policy
from .config import DispatchConfig
from .dispatcher import Dispatcher, DispatchError, DuplicateWorkError
from .ports import SlotSource, Token
from .queue_policies import QUEUE_POLICIES, QueuePolicy, queue_policy
from .snapshot import Snapshot
from .work import AttemptResult, ResultKind, WorkItem

__all__ = [
    "BALANCING_POLICIES",
    "QUEUE_POLICIES",
    "Action",
    "AttemptResult",
    "BalancingPolicy",
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
    "SlotSource",
    "Snapshot",
    "StartAttempt",
    "Token",
    "WorkItem",
    "balancing_policy",
    "queue_policy",
]
