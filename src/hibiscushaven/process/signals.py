"""Signals that ask a process to stop."""

import asyncio
import signal
from collections.abc import Callable

__all__ = ["on_stop"]


def on_stop(action: Callable[[], object]) -> None:
    """Call an action at each SIGTERM and SIGINT.

    A process that was started with SIGINT ignored, as shells do for background processes,
    goes on ignoring it: Ctrl-C is then for the script that started it, which sends SIGTERM.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        if signal.getsignal(number) is not signal.SIG_IGN:
            loop.add_signal_handler(number, action)
