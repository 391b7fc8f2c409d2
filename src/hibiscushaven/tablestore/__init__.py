"""The platform's services: table, object store and list of VMs, behind one port."""

from .http import HttpPlatform
from .memory import MemoryPlatform
from .port import (
    ConflictError,
    ObjectStore,
    OutcomeUnknownError,
    Platform,
    PlatformError,
    Row,
    Table,
    UnavailableError,
    VmEntry,
    VmList,
    VmState,
    Write,
)

__all__ = [
    "ConflictError",
    "HttpPlatform",
    "MemoryPlatform",
    "ObjectStore",
    "OutcomeUnknownError",
    "Platform",
    "PlatformError",
    "Row",
    "Table",
    "UnavailableError",
    "VmEntry",
    "VmList",
    "VmState",
    "Write",
]
