"""Daemon of one entry VM."""

from .daemon import EntryDaemon, run_entry
from .signals import on_stop

__all__ = ["EntryDaemon", "on_stop", "run_entry"]
