"""HTTP attempts on backend servers, their outcomes, and relaying between VMs."""

from .attempts import AttemptHead, AttemptRequest
from .client import BackendClient, ClientTimeouts
from .headers import Headers, end_to_end, find_header
from .outcome import AttemptError, Outcome, Stop, outcome_of

__all__ = [
    "AttemptError",
    "AttemptHead",
    "AttemptRequest",
    "BackendClient",
    "ClientTimeouts",
    "Headers",
    "Outcome",
    "Stop",
    "end_to_end",
    "find_header",
    "outcome_of",
]
