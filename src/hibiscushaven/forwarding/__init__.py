"""Forwarding of callers' requests to backend servers, with retries within a budget."""

from .app import CallerApp
from .forwarder import Forwarder, NoticeReader, RetryBudgetOptions
from .messages import (
    CallerDialect,
    CallerRequest,
    CallerResponse,
    failure_response,
    rejection_response,
)
from .relaying import PeerRelay, RelayDialect, RelayedCallers

__all__ = [
    "CallerApp",
    "CallerDialect",
    "CallerRequest",
    "CallerResponse",
    "Forwarder",
    "NoticeReader",
    "PeerRelay",
    "RelayDialect",
    "RelayedCallers",
    "RetryBudgetOptions",
    "failure_response",
    "rejection_response",
]
