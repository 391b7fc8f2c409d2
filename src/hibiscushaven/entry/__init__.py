"""Daemon of one entry VM: serves callers and dispatches their requests."""

from . import attributes
from .daemon import EntryDaemon, run_entry

__all__ = ["EntryDaemon", "attributes", "run_entry"]
