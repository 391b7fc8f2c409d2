"""Clocks of a daemon."""

import time
from typing import Protocol

__all__ = ["Clock", "SystemClock"]


class Clock(Protocol):
    """Port to the time."""

    def now(self) -> float:
        """Return seconds on a clock that never goes back."""

    def unix(self) -> float:
        """Return the time of day in seconds since 1970."""


class SystemClock:
    """Clocks of the operating system.

    ``now`` counts from boot and, unlike the monotonic clock, goes on while the VM is
    suspended, so that loans held before a suspension have expired after it.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix(self) -> float:
        return time.time()
