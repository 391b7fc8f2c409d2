"""At-most-once claims of non-idempotent requests."""

from .batcher import BatchCounts
from .claim import Claim, ClaimState
from .errors import (
    ClaimError,
    ClaimLateError,
    ClaimReleasedError,
    ClaimSentError,
    ClaimStateError,
    DeadlineError,
    InProgressError,
    TableUnavailableError,
    WrongBodyError,
)
from .fingerprint import claim_key, request_fingerprint
from .keeper import ClaimKeeper
from .model import (
    MAX_ANSWER_BYTES,
    RETENTION_S,
    Answer,
    ClaimRequest,
    ClaimRow,
    Holder,
    Outcome,
    Replay,
    RowError,
    RowState,
)
from .pace import TRANSACTIONS_PER_S, Pace

__all__ = [
    "MAX_ANSWER_BYTES",
    "RETENTION_S",
    "TRANSACTIONS_PER_S",
    "Answer",
    "BatchCounts",
    "Claim",
    "ClaimError",
    "ClaimKeeper",
    "ClaimLateError",
    "ClaimReleasedError",
    "ClaimRequest",
    "ClaimRow",
    "ClaimSentError",
    "ClaimState",
    "ClaimStateError",
    "DeadlineError",
    "Holder",
    "InProgressError",
    "Outcome",
    "Pace",
    "Replay",
    "RowError",
    "RowState",
    "TableUnavailableError",
    "WrongBodyError",
    "claim_key",
    "request_fingerprint",
]
