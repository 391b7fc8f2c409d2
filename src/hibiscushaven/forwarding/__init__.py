"""Forwarding of callers' requests to backend servers."""

from .app import CallerApp
from .forwarder import BudgetOptions, Forwarder, LoadReader
from .messages import Answer, CallerDialect, CallerRequest, failure, refusal

__all__ = [
    "Answer",
    "BudgetOptions",
    "CallerApp",
    "CallerDialect",
    "CallerRequest",
    "Forwarder",
    "LoadReader",
    "failure",
    "refusal",
]
