"""Requests that crash the backend servers that run them."""

from .crashes import CrashLedger
from .suspects import CrashSuspects

__all__ = ["CrashLedger", "CrashSuspects"]
