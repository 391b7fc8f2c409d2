"""The daemon of one entry VM."""

from . import parts
from .daemon import EntryDaemon, run_entry
from .signals import on_stop

__all__ = ["EntryDaemon", "on_stop", "parts", "run_entry"]
