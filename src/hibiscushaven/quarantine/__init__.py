"""Quarantine of requests that crash backend servers."""

from .crashes import CrashLedger, CrashRecord
from .detector import CrashDetector, ServerProbe
from .suspects import CrashSuspects

__all__ = ["CrashDetector", "CrashLedger", "CrashRecord", "CrashSuspects", "ServerProbe"]
