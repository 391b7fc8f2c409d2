"""HTTP attempts on backend servers, their outcomes, and relaying between VMs."""

from .attempts import AttemptHead, AttemptRequest
from .bodies import CompleteBody, Resume
from .client import BackendClient, ClientTimeouts
from .dialect import Dialect, NativeDialect
from .headers import Headers, end_to_end, find_header
from .outcome import AttemptError, Outcome, Stop, outcome_of
from .passing import pass_on
from .relay import RelayClient, RelayError, RelayResponse
from .relay_messages import RelayRequest
from .relay_server import RelayHandler, RelayServer, Responder

__all__ = [
    "AttemptError",
    "AttemptHead",
    "AttemptRequest",
    "BackendClient",
    "ClientTimeouts",
    "CompleteBody",
    "Dialect",
    "Headers",
    "NativeDialect",
    "Outcome",
    "RelayClient",
    "RelayError",
    "RelayHandler",
    "RelayRequest",
    "RelayResponse",
    "RelayServer",
    "Responder",
    "Resume",
    "Stop",
    "end_to_end",
    "find_header",
    "outcome_of",
    "pass_on",
]
