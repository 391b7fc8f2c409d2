"""Quarantine of requests that crash backend servers."""

from .crashes import CrashEvidence, CrashLedger, CrashRecord
from .detector import CrashDetector, ServerProbe
from .suspects import CrashSuspects

__all__ = [
    "CrashDetector",
    "CrashEvidence",
    "CrashLedger",
    "CrashRecord",
    "CrashSuspects",
    "ServerProbe",
]
