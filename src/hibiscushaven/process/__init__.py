"""Process-level facilities of daemons: clocks, signals, sockets and HTTP servers."""

from .allocator import map_large_blocks
from .background import keep_running, spawn
from .caller_protocol import ConnectionLimits
from .clock import Clock, SystemClock
from .connection_budget import BudgetLimits, ConnectionBudget, Part
from .machine import MachineLimits
from .pauses import PauseDetector
from .server import HttpServer
from .signals import on_stop
from .sockets import ACCEPTS_PER_TURN, listen, socket_factory

__all__ = [
    "ACCEPTS_PER_TURN",
    "BudgetLimits",
    "Clock",
    "ConnectionBudget",
    "ConnectionLimits",
    "HttpServer",
    "MachineLimits",
    "Part",
    "PauseDetector",
    "SystemClock",
    "keep_running",
    "listen",
    "map_large_blocks",
    "on_stop",
    "socket_factory",
    "spawn",
]
