"""Process-level facilities of daemons: clocks, signals, sockets and HTTP servers."""

from .allocator import map_large_blocks
from .background import keep_running, spawn
from .caller_protocol import ConnectionLimits
from .clock import Clock, SystemClock
from .connection_budget import (
    IN_PROGRESS_BYTES,
    OVERLOAD_RETRY_S,
    BudgetLimits,
    ConnectionBudget,
    Part,
    StreamConnection,
)
from .machine import MachineLimits
from .message_size import request_memory_bytes
from .pauses import PauseDetector
from .server import HttpServer
from .signals import on_stop
from .sockets import ACCEPTS_PER_TURN, listen, socket_factory

__all__ = [
    "ACCEPTS_PER_TURN",
    "IN_PROGRESS_BYTES",
    "OVERLOAD_RETRY_S",
    "BudgetLimits",
    "Clock",
    "ConnectionBudget",
    "ConnectionLimits",
    "HttpServer",
    "MachineLimits",
    "Part",
    "PauseDetector",
    "StreamConnection",
    "SystemClock",
    "keep_running",
    "listen",
    "map_large_blocks",
    "on_stop",
    "request_memory_bytes",
    "socket_factory",
    "spawn",
]
