"""Interfaces and clients of the platform's table, object store and list of VMs."""

from .http import HttpPlatform
from .interfaces import (
    ConflictError,
    ObjectStore,
    OutcomeUnknownError,
    Platform,
    PlatformError,
    Row,
    Table,
    UnavailableError,
    VmList,
    VmRecord,
    VmState,
    Write,
)
from .memory import MemoryPlatform

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
    "VmList",
    "VmRecord",
    "VmState",
    "Write",
]
