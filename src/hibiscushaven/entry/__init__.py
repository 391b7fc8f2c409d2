"""The daemon of one entry VM."""

from .daemon import EntryDaemon, run_entry

__all__ = ["EntryDaemon", "run_entry"]
