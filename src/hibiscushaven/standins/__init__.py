"""Stand-ins for the platform, a backend server and the network between VMs."""

from .backend import BackendStandIn, run_backend, run_backends
from .backend_model import BackendConfig, BackendFaults, Counters

__all__ = [
    "BackendConfig",
    "BackendFaults",
    "BackendStandIn",
    "Counters",
    "run_backend",
    "run_backends",
]
