"""Clocks used by daemons."""

import time
from typing import Protocol

__all__ = ["Clock", "SystemClock"]


class Clock(Protocol):
    """Interface to a source of time."""

    def now(self) -> float:
        """Return the time in seconds on a clock that never goes back."""

    def unix(self) -> float:
        """Return the Unix time in seconds."""


class SystemClock:
    """The clocks of the operating system.

    ``now`` counts from boot. Unlike the monotonic clock it advances while the VM is suspended,
    so loans that run out during a suspension are expired after it.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix(self) -> float:
        return time.time()
