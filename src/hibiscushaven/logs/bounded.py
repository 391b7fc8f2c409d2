"""A non-blocking log handler with bounded rate and memory."""

import logging
import os
import time
from collections.abc import Callable

__all__ = ["BoundedHandler"]

# A VM currently serves about 40 requests per second, with one line each.
DEFAULT_LINES_PER_S = 200

# Maximum size of the buffer of lines that a slow reader has not yet accepted.
MAX_PENDING_BYTES = 256 * 1024


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking and counts the dropped lines.

    Explanation
    ===========

    Lines that exceed the rate limit, and lines that do not fit into the buffer because the
    reader is slow, are dropped and counted. The count is written before the first line that
    fits again, so that a reader knows how many lines are missing. Warnings and errors are not
    subject to the rate limit.

    :ivar lines_per_s: rate limit of the lines below level WARNING.
    :ivar dropped: number of lines dropped so far.
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
        self._refilled_at_s = clock()
        self._pending = b""
        self._unreported_drops = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        if record.levelno < logging.WARNING and not self._consume_token():
            self._drop()
            return
        line = self.format(record).encode("utf-8", "backslashreplace") + b"\n"
        if self._unreported_drops:
            line = b'{"message": "lines dropped", "count": %d}\n' % self._unreported_drops + line
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._flush_pending()
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._drop()
            return
        self._unreported_drops = 0
        self._pending += line
        self._flush_pending()

    def flush(self) -> None:
        self._flush_pending()

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported_drops += 1

    def _consume_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at_s) * self.lines_per_s
        self._tokens = min(float(self.lines_per_s), self._tokens + refill)
        self._refilled_at_s = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _flush_pending(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to report it.
                self._pending = b""
                return
            self._pending = self._pending[written:]
