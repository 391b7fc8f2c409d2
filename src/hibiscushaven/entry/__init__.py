"""The daemon of one entry VM."""

from . import parts
from .daemon import EntryDaemon, run_entry

__all__ = ["EntryDaemon", "parts", "run_entry"]
