"""At-most-once claims of non-idempotent requests."""

from .batcher import BatchCounts
from .claim import Claim, ClaimState
from .errors import (
    ClaimError,
    ClaimExpiredError,
    ClaimReleasedError,
    ClaimSentError,
    ClaimStateError,
    DeadlineError,
    InProgressError,
    KeyReusedError,
    TableUnavailableError,
)
from .fingerprint import claim_key, request_fingerprint
from .manager import ClaimManager
from .model import (
    MAX_RESPONSE_BYTES,
    RETENTION_S,
    ClaimRequest,
    ClaimRow,
    Holder,
    Outcome,
    RecordedResponse,
    Replay,
    RowError,
    RowState,
)
from .rate_limit import TRANSACTIONS_PER_S, TableRateLimiter

__all__ = [
    "MAX_RESPONSE_BYTES",
    "RETENTION_S",
    "TRANSACTIONS_PER_S",
    "BatchCounts",
    "Claim",
    "ClaimError",
    "ClaimExpiredError",
    "ClaimManager",
    "ClaimReleasedError",
    "ClaimRequest",
    "ClaimRow",
    "ClaimSentError",
    "ClaimState",
    "ClaimStateError",
    "DeadlineError",
    "Holder",
    "InProgressError",
    "KeyReusedError",
    "Outcome",
    "RecordedResponse",
    "Replay",
    "RowError",
    "RowState",
    "TableRateLimiter",
    "TableUnavailableError",
    "claim_key",
    "request_fingerprint",
]
