"""Signals that ask a process to stop."""

import asyncio
import signal
from collections.abc import Callable

__all__ = ["on_stop"]


def on_stop(action: Callable[[], object]) -> None:
    """Call ``action`` on each SIGTERM and SIGINT.

    SIGINT stays ignored if the process was started with it ignored, as shells do for background
    processes. Ctrl-C is then handled by the script that started the process, which sends SIGTERM.
    """
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        if signal.getsignal(signal_number) is not signal.SIG_IGN:
            loop.add_signal_handler(signal_number, action)
