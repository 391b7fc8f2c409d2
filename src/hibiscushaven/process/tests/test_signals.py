"""Handling of the signals that stop a process."""

import asyncio
import signal

from hibiscushaven.process import on_stop


def test_ignored_sigint_stays_ignored():
    """Guards against handling Ctrl-C directly as well as the SIGTERM sent by the parent script.

    A demo would count the two as its first and second stop signal.
    """

    async def handled():
        on_stop(lambda: None)
        loop = asyncio.get_running_loop()
        return [loop.remove_signal_handler(item) for item in (signal.SIGTERM, signal.SIGINT)]

    before = signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        assert asyncio.run(handled()) == [True, False]
        signal.signal(signal.SIGINT, signal.default_int_handler)
        assert asyncio.run(handled()) == [True, True]
    finally:
        signal.signal(signal.SIGINT, before)
