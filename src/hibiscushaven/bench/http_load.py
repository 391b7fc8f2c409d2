"""Load generator: keep-alive connections that each send the next request after the response."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["LoadResult", "run_load"]

_LONGEST_US = 60_000_000
_LENGTH = b"content-length:"
_OUTCOME = b"request-outcome: "


class LoadError(Exception):
    """A response that the load generator did not expect."""


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What a run measured.

    :ivar requests: requests that were answered.
    :ivar seconds: wall time of all requests.
    :ivar failed: requests that were refused or failed, by outcome, status and body.
    """

    requests: int
    seconds: float
    p50_ms: float
    p99_ms: float
    failed: tuple[tuple[str, int], ...] = ()


class _Client(asyncio.Protocol):
    def __init__(self, data: bytes, run: "_Run") -> None:
        self._data = data
        self._run = run
        self._received = b""
        self._sent_at = 0.0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._next()

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator:
            return
        if not _is_complete(head, body):
            return
        self._received = b""
        if head.startswith(b"HTTP/1.1 200"):
            self._run.record(time.perf_counter() - self._sent_at)
        elif _OUTCOME in head.lower():
            self._run.note_failure(head, body)
        else:
            self._run.fail(f"unexpected response {head[:200]!r}")
            self._transport.close()
            return
        self._next()

    def connection_lost(self, error: Exception | None) -> None:
        if not self._run.is_over:
            self._run.fail(f"connection lost: {error!r}")

    def _next(self) -> None:
        if not self._run.take():
            self._transport.close()
            return
        self._sent_at = time.perf_counter()
        self._transport.write(self._data)


def _is_complete(head: bytes, body: bytes) -> bool:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(_LENGTH):
            return len(body) >= int(line[len(_LENGTH) :])
    return body.endswith(b"0\r\n\r\n")


class _Run:
    def __init__(self, requests: int) -> None:
        self._left = requests
        self._open = requests
        self.failed: Counter[str] = Counter()
        self.times = HdrHistogram(1, _LONGEST_US, 3)
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def is_over(self) -> bool:
        return self.done.done() or self._left <= 0

    def take(self) -> bool:
        self._left -= 1
        return self._left >= 0

    def record(self, seconds: float) -> None:
        self.times.record_value(max(1, int(1e6 * seconds)))
        self._end()

    def note_failure(self, head: bytes, body: bytes) -> None:
        outcome = head.lower().partition(_OUTCOME)[2].partition(b"\r\n")[0]
        status = head[9:12]
        self.failed[b" ".join((outcome, status, body[:200])).decode("latin-1")] += 1
        self._end()

    def _end(self) -> None:
        self._open -= 1
        if not self._open and not self.done.done():
            self.done.set_result(None)

    def fail(self, reason: str) -> None:
        if not self.done.done():
            self.done.set_exception(LoadError(reason))


async def run_load(
    host: str, port: int, target: str, requests: int, connections: int
) -> LoadResult:
    """Send requests and return when all are answered.

    :raises LoadError: when a response is neither 200 nor states an outcome, or when a
        connection ends early.
    """
    loop = asyncio.get_running_loop()
    run = _Run(requests)
    data = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
    started = time.perf_counter()
    for _ in range(min(connections, requests)):
        await loop.create_connection(lambda: _Client(data, run), host, port)
    await run.done
    seconds = time.perf_counter() - started
    p50, p99 = (run.times.get_value_at_percentile(item) / 1000 for item in (50, 99))
    answered = requests - run.failed.total()
    return LoadResult(answered, seconds, p50, p99, tuple(run.failed.items()))
