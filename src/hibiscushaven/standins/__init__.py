"""Stand-ins for the platform, a backend server and the network between VMs.

Tests, benchmarks and the demo run them in place of the real ones, with faults on request.
"""

from .backend import BackendStandIn, run_backend, run_backends
from .backend_model import BackendConfig, BackendFaults, Counters
from .forwarder import Direction, Forwarder, run_forwarder
from .platform import PlatformStandIn, run_platform

__all__ = [
    "BackendConfig",
    "BackendFaults",
    "BackendStandIn",
    "Counters",
    "Direction",
    "Forwarder",
    "PlatformStandIn",
    "run_backend",
    "run_backends",
    "run_forwarder",
    "run_platform",
]
