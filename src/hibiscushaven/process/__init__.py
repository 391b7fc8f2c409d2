"""What every daemon needs of its process: clocks, signals and HTTP servers."""

from .clock import Clock, SystemClock
from .server import HttpServer
from .signals import on_stop

__all__ = ["Clock", "HttpServer", "SystemClock", "on_stop"]
