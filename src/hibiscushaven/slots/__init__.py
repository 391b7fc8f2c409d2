"""Slot tokens, which limit the requests that a VM starts, and the ownership of shards."""

from .homes import Shard
from .node import SlotNode
from .roster import Roster, RosterChange, RosterError, RosterMember
from .roster_manager import RosterManager
from .service import Token, TokenSource

__all__ = [
    "Roster",
    "RosterChange",
    "RosterError",
    "RosterManager",
    "RosterMember",
    "Shard",
    "SlotNode",
    "Token",
    "TokenSource",
]
