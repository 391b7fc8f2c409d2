"""Backend servers that refuse requests and corrupt responses at random, and count their runs."""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from hibiscushaven.platform.tests.backend_standin import header
from hibiscushaven.platform.tests.samples import server_row

# Requests that a server runs at once; it refuses more.
SLOTS = 6

# Times that a request may take, and by which a stray response may follow a response, in seconds.
RUN_S = (0.01, 0.05, 0.1, 0.2, 0.4, 0.8)
STRAY_DELAY_S = 0.03

STRAY_REFUSAL = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

_FAULTS = []


class Mode(StrEnum):
    """What a server does to its requests."""

    SOUND = "sound"
    BUSY = "busy"
    FAULTY = "faulty"


@dataclass
class Exchange:
    """A request that has run, and its response.

    :ivar later: bytes to send in front of the next response on the connection.
    """

    request_id: str
    writer: asyncio.StreamWriter
    later: bytes = b""

    def respond(self, status=200, fields="Response-Seal: 1\r\n", body=b"ok"):
        head = f"HTTP/1.1 {status} X\r\nRequest-Id: {self.request_id}\r\n{fields}"
        self.writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def refuse(self):
        self.respond(503, "Not-Executed: 1\r\n", b"")


def fault(function):
    """Register what a faulty server does in place of a sound response."""
    _FAULTS.append(function)
    return function


@fault
def reset(exchange):
    exchange.writer.transport.abort()


@fault
def fail(exchange):
    exchange.respond(500)


@fault
def truncate(exchange):
    exchange.respond(fields="Response-Seal: 1\r\nContent-Length: 9\r\n")
    exchange.writer.close()


@fault
def repeat(exchange):
    exchange.respond()
    exchange.respond()


@fault
def send_stray_refusal_at_once(exchange):
    exchange.respond()
    exchange.writer.write(STRAY_REFUSAL)


@fault
def send_stray_refusal_soon(exchange):
    exchange.respond()
    loop = asyncio.get_running_loop()
    loop.call_later(STRAY_DELAY_S, exchange.writer.write, STRAY_REFUSAL)


@fault
def send_stray_refusal_with_the_next_response(exchange):
    exchange.respond()
    exchange.later = STRAY_REFUSAL


class FaultyServer:
    """Backend server with faults, which may be replaced by another one at its address.

    :param fault_rate: fraction of the responses that it corrupts while it is faulty.
    :ivar runs: how often each request ran, by its id.
    """

    def __init__(self, name, host, store, rng, fault_rate=0.4):
        self._name, self._host, self._store, self._rng = name, host, store, rng
        self._fault_rate = fault_rate
        self._starts = self._in_progress = 0
        self._writers = set()
        self.mode = Mode.SOUND
        self.runs = Counter()

    async def start(self):
        """Listen and register under a new id."""
        self._starts += 1
        self._id = f"{self._name}-{self._starts}"
        self._server = await asyncio.start_server(self._serve, self._host, 9000)
        row = server_row(address=f"{self._host}:9000", born=self._starts)
        self._store.put("servers", self._id, row)

    async def replace(self):
        """End, and let another server start at the address while the store lists both."""
        self.close()
        await self.start()

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        later = b""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while not writer.transport.is_closing():
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                exchange = Exchange(header(head, "Request-Id"), writer)
                length = int(header(head, "Content-Length") or 0)
                is_early = self._rng.random() < 0.5
                is_refused = self._refuses(head)
                if is_refused and is_early:
                    exchange.refuse()
                await reader.readexactly(length)
                if not is_refused:
                    await self._run(exchange, later)
                    later = exchange.later
                elif not is_early:
                    exchange.refuse()
        self._writers.discard(writer)
        writer.close()

    def _refuses(self, head):
        is_full = self._in_progress >= SLOTS
        is_busy = self.mode is Mode.BUSY and self._rng.random() < 0.6
        return is_full or is_busy or header(head, "Expect-Instance") != self._id

    async def _run(self, exchange, earlier):
        self.runs[exchange.request_id] += 1
        self._in_progress += 1
        exchange.writer.write(earlier)
        try:
            await asyncio.sleep(self._rng.choice(RUN_S))
        finally:
            self._in_progress -= 1
        is_corrupted = self.mode is Mode.FAULTY and self._rng.random() < self._fault_rate
        (self._rng.choice(_FAULTS) if is_corrupted else Exchange.respond)(exchange)
