"""A client for callers: look-ups that are kept, and requests that follow the alternates."""

from .errors import AlreadyRunError, CallError, NoEntryError, OutcomeUnknownError, RefusedError
from .service_client import Reply, ServiceClient

__all__ = [
    "AlreadyRunError",
    "CallError",
    "NoEntryError",
    "OutcomeUnknownError",
    "RefusedError",
    "Reply",
    "ServiceClient",
]
