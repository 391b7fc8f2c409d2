"""Client for callers, with cached look-ups and failover between entry VMs."""

from .errors import AlreadyRunError, CallError, NoEntryError, OutcomeUnknownError, RefusedError
from .service_client import ServiceClient, ServiceResponse

__all__ = [
    "AlreadyRunError",
    "CallError",
    "NoEntryError",
    "OutcomeUnknownError",
    "RefusedError",
    "ServiceClient",
    "ServiceResponse",
]
