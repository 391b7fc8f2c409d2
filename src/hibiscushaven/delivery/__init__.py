"""HTTP requests to backend servers, their outcomes, and relaying of requests between VMs."""

from .attempts import AttemptRequest, AttemptResponse
from .client import BackendClient, ClientTimeouts
from .dialect import Dialect, NativeDialect
from .headers import Headers, end_to_end, find_header
from .outcome import AttemptError, FailureKind, Outcome, outcome_of
from .relay import RelayClient, RelayError, RelayResponse
from .relay_messages import RelayRequest
from .relay_server import RelayHandler, RelayServer, Responder
from .response_forwarding import forward_response
from .resumable_response import ResumableResponse, Resume

__all__ = [
    "AttemptError",
    "AttemptRequest",
    "AttemptResponse",
    "BackendClient",
    "ClientTimeouts",
    "Dialect",
    "FailureKind",
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
    "ResumableResponse",
    "Resume",
    "end_to_end",
    "find_header",
    "forward_response",
    "outcome_of",
]
