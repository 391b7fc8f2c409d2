"""Log records on standard output that never delay the program."""

import logging
import os
import time
from collections.abc import Callable

__all__ = ["BoundedHandler"]

# Lines a second at most: a VM of today serves some 40 requests a second with one line each.
DEFAULT_LINES_PER_S = 200

# Bytes that wait for a reader that is slower than the program.
MAX_WAITING_BYTES = 256 * 1024


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without waiting, and counts what it leaves out.

    Explanation
    ===========

    Lines beyond the rate, and lines for which a slow reader left no room, are dropped and
    counted. The count is written with the first line that fits again, so that a reader knows
    that something is missing and how much. Warnings and errors ignore the rate.

    :ivar lines_per_s: rate of lines below warnings.
    :ivar dropped: lines left out so far.
    """

    def __init__(
        self,
        descriptor: int = 1,
        lines_per_s: int = DEFAULT_LINES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self.lines_per_s = lines_per_s
        self._clock = clock
        self._tokens = float(lines_per_s)
        self._filled_at = clock()
        self._waiting = b""
        self._unreported = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        if record.levelno < logging.WARNING and not self._take_token():
            self._drop()
            return
        line = self.format(record).encode("utf-8", "backslashreplace") + b"\n"
        if self._unreported:
            line = b'{"message": "lines dropped", "count": %d}\n' % self._unreported + line
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self._flush_waiting()
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self._drop()
            return
        self._unreported = 0
        self._waiting += line
        self._flush_waiting()

    def flush(self) -> None:
        self._flush_waiting()

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def _take_token(self) -> bool:
        now = self._clock()
        earned = (now - self._filled_at) * self.lines_per_s
        self._tokens = min(float(self.lines_per_s), self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _flush_waiting(self) -> None:
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to report it.
                self._waiting = b""
                return
            self._waiting = self._waiting[written:]
