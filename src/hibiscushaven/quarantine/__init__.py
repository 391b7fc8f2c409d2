"""Quarantine of requests that crash backend servers."""

from .crashes import CrashLedger
from .suspects import CrashSuspects

__all__ = ["CrashLedger", "CrashSuspects"]
