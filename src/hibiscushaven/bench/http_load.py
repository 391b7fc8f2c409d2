"""Closed-loop HTTP load generator: each keep-alive connection has one request in flight."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["LoadResult", "run_load"]

_MAX_LATENCY_US = 60_000_000
_CONTENT_LENGTH = b"content-length:"
_REQUEST_OUTCOME = b"request-outcome: "


class LoadError(Exception):
    """Raised for an unexpected response or a connection that ended early."""


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Result of a run.

    :ivar requests: number of requests answered with status 200.
    :ivar seconds: wall time of the run.
    :ivar failed: pairs of outcome, status and body with the number of such responses.
    """

    requests: int
    seconds: float
    p50_ms: float
    p99_ms: float
    failed: tuple[tuple[str, int], ...] = ()


class _Connection(asyncio.Protocol):
    def __init__(self, request: bytes, run: "_LoadRun") -> None:
        self._request = request
        self._run = run
        self._received = b""
        self._sent_at = 0.0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._send_next()

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
        elif _REQUEST_OUTCOME in head.lower():
            self._run.record_failure(head, body)
        else:
            self._run.fail(f"unexpected response {head[:200]!r}")
            self._transport.close()
            return
        self._send_next()

    def connection_lost(self, error: Exception | None) -> None:
        if not self._run.is_over:
            self._run.fail(f"connection lost: {error!r}")

    def _send_next(self) -> None:
        if not self._run.reserve_request():
            self._transport.close()
            return
        self._sent_at = time.perf_counter()
        self._transport.write(self._request)


def _is_complete(head: bytes, body: bytes) -> bool:
    # A response without Content-Length is chunked and ends with the last chunk.
    for line in head.lower().split(b"\r\n"):
        if line.startswith(_CONTENT_LENGTH):
            return len(body) >= int(line[len(_CONTENT_LENGTH) :])
    return body.endswith(b"0\r\n\r\n")


class _LoadRun:
    def __init__(self, requests: int) -> None:
        self._unsent = requests
        self._unanswered = requests
        self.failed: Counter[str] = Counter()
        self.latencies = HdrHistogram(1, _MAX_LATENCY_US, 3)
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def is_over(self) -> bool:
        return self.done.done() or self._unsent <= 0

    def reserve_request(self) -> bool:
        self._unsent -= 1
        return self._unsent >= 0

    def record(self, seconds: float) -> None:
        self.latencies.record_value(max(1, int(1e6 * seconds)))
        self._finish_request()

    def record_failure(self, head: bytes, body: bytes) -> None:
        outcome = head.lower().partition(_REQUEST_OUTCOME)[2].partition(b"\r\n")[0]
        status = head[9:12]
        self.failed[b" ".join((outcome, status, body[:200])).decode("latin-1")] += 1
        self._finish_request()

    def _finish_request(self) -> None:
        self._unanswered -= 1
        if not self._unanswered and not self.done.done():
            self.done.set_result(None)

    def fail(self, reason: str) -> None:
        if not self.done.done():
            self.done.set_exception(LoadError(reason))


async def run_load(
    host: str, port: int, target: str, requests: int, connections: int
) -> LoadResult:
    """Send requests over some connections and wait for all responses.

    :raises LoadError: when a response has neither status 200 nor an outcome header, or
        when a connection ends early.
    """
    loop = asyncio.get_running_loop()
    run = _LoadRun(requests)
    request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
    started = time.perf_counter()
    for _ in range(min(connections, requests)):
        await loop.create_connection(lambda: _Connection(request, run), host, port)
    await run.done
    seconds = time.perf_counter() - started
    p50, p99 = (run.latencies.get_value_at_percentile(item) / 1000 for item in (50, 99))
    answered = requests - run.failed.total()
    return LoadResult(answered, seconds, p50, p99, tuple(run.failed.items()))
