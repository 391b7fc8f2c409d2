"""Forwarding of callers' requests to backend servers, with retries within a budget."""

from .app import CallerApp
from .forwarder import Forwarder, LoadReader, RetryBudgetOptions
from .messages import (
    CallerDialect,
    CallerRequest,
    CallerResponse,
    failure_response,
    rejection_response,
)

__all__ = [
    "CallerApp",
    "CallerDialect",
    "CallerRequest",
    "CallerResponse",
    "Forwarder",
    "LoadReader",
    "RetryBudgetOptions",
    "failure_response",
    "rejection_response",
]
