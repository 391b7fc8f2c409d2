"""Slot tokens: which requests a VM may start on backend servers, and who owns a shard."""

from .homes import Shard
from .node import SlotNode
from .registrar import RosterKeeper
from .roster import Change, Roster, RosterError, RosterMember
from .service import Source, Token

__all__ = [
    "Change",
    "Roster",
    "RosterError",
    "RosterKeeper",
    "RosterMember",
    "Shard",
    "SlotNode",
    "Source",
    "Token",
]
