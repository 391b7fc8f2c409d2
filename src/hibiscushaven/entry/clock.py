"""Clocks of a daemon."""

import time

__all__ = ["boot_time", "unix_ms"]


def boot_time() -> float:
    """Return seconds since boot.

    Unlike the monotonic clock it goes on while the VM is suspended, so that loans held
    before a suspension have expired after it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
