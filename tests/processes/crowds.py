"""Clients that exhaust the memory or the descriptors of a process that accounts for neither."""

import asyncio
import contextlib
import resource
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from hibiscushaven.platform.tests.backend_standin import header

from .gateways import RegisteredServer

CALLERS, READINESS, DIRECTORY, STATUS, METRICS = 8001, 8002, 8003, 8004, 8005
PULLS, RELAYS = 7540, 7541

# Limits of callers in the configuration.
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1_000_000}

LONG_PATH = "/x/long"

# Lengths of the responses to paths; those to others are short.
RESPONSE_BYTES = {LONG_PATH: 900_000, "/x/longer": 10_000_000}

# Requests by which a process reads what the crowd has sent before them.
SETTLING_REQUESTS = 20

_HEAD = b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 60000\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n"
_OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
_SHORT_FIELDS = b"a:\r\n" * 100_000

# Small segments keep the buffers of the kernel small, so that the process holds what is unread.
_SEGMENT_BYTES = 536
_RECEIVE_BUFFER_BYTES = 4096


@dataclass(frozen=True)
class Crowd:
    """Clients of one kind.

    :ivar clients: number of connections.
    :ivar data: what each client sends; it then keeps its connection open.
    :ivar ports: ports to which the clients connect in turn.
    :ivar reads_start: whether each client waits for the start of a response, and reads no more.
    """

    clients: int
    data: bytes
    ports: tuple[int, ...] = (CALLERS,)
    reads_start: bool = False


CROWDS: dict[str, Callable[[], Crowd]] = {}


def crowd(make):
    """Register the function that makes a crowd under its name."""
    CROWDS[make.__name__] = make
    return make


@crowd
def trailers_without_end():
    return Crowd(20, _CHUNKED + b"\r\n2\r\nab\r\n0\r\n" + _SHORT_FIELDS)


@crowd
def trailers_behind_an_offer():
    return Crowd(20, _CHUNKED + _OFFER + b"\r\n2\r\nab\r\n0\r\n" + _SHORT_FIELDS)


@crowd
def heads_without_end_at_the_other_ports():
    ports = (DIRECTORY, READINESS, STATUS, METRICS, RELAYS)
    return Crowd(25, b"GET / HTTP/1.1\r\nHost: a.example\r\n" + _SHORT_FIELDS, ports)


@crowd
def trailers_at_the_relay_port():
    return Crowd(20, _CHUNKED + b"\r\n2\r\nab\r\n0\r\n" + _SHORT_FIELDS, (RELAYS,))


@crowd
def pipelined_requests():
    return Crowd(40, 3000 * b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n\r\n")


@crowd
def whole_bodies_that_stop_short():
    return Crowd(130, _HEAD + b"Content-Length: 900000\r\n\r\n" + b"x" * 899_999)


@crowd
def bodies_in_pieces_that_stop_short():
    return Crowd(130, _CHUNKED + b"\r\n" + 900 * (b"3e8\r\n" + b"x" * 1000 + b"\r\n"))


@crowd
def bodies_that_stop_short_at_the_relay_port():
    return Crowd(130, _HEAD + b"Content-Length: 900000\r\n\r\n" + b"x" * 899_999, (RELAYS,))


@crowd
def heads_of_short_lines():
    fields = b"".join(b"%02x:\r\n" % (number % 256) for number in range(2600))
    return Crowd(300, _HEAD + b"Content-Length: 10\r\n" + fields + b"\r\n")


@crowd
def unread_responses(path=LONG_PATH):
    head = f"GET {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: long\r\n"
    return Crowd(150, head.encode() + b"Deadline-Ms: 60000\r\n\r\n", reads_start=True)


@crowd
def unread_responses_that_are_passed_on_as_they_arrive():
    return unread_responses("/x/longer")


@crowd
def unfinished_messages_to_the_vm():
    length = 8 * 1024 * 1024 - 100
    return Crowd(30, b"\xc6" + struct.pack(">I", length) + bytes(4 * 1024 * 1024), (PULLS,))


_PIECES = (
    _HEAD,
    _CHUNKED,
    _OFFER,
    b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n\r\n",
    b"Content-Length: 2\r\n",
    b"Content-Length: 900000\r\n",
    b"Expect: 100-continue\r\n",
    b"Long: " + b"x" * 15_000,
    b"1f:\r\n" * 2000,
    b"\r\n",
    b"\r\n" * 500,
    b"2\r\nab\r\n",
    b"2\r\nab\r\n" * 3000,
    b"1;" + b"x" * 5000 + b"\r\ny\r\n",
    b"0\r\n",
    b"X-Late: 1\r\n",
    b"x" * 30_000,
    b"\x00\xff",
    struct.pack(">BI", 0xC6, 8 * 1024 * 1024 - 100),
)


def random_crowd(rng):
    """Return clients that send parts of messages in a random order to random ports."""
    ports = rng.sample((CALLERS, CALLERS, READINESS, DIRECTORY, STATUS, METRICS, PULLS, RELAYS), 3)
    data = b"".join(rng.choices(_PIECES, k=rng.randrange(1, 60)))
    return Crowd(rng.randrange(1, 100), rng.choice((_HEAD, _CHUNKED, b"")) + data, tuple(ports))


class BodyServer(RegisteredServer):
    """Backend server that reads whole requests.

    :ivar requests: heads and lengths of the bodies of the requests.
    """

    def __init__(self, name, host, store):
        super().__init__(name, host, store)
        self.requests = []

    async def _answer(self, head, reader, writer):
        body = await reader.readexactly(int(header(head, "Content-Length") or 0))
        self.requests.append((head, len(body)))
        length = RESPONSE_BYTES.get(head.split(" ")[1], 2)
        fields = f"Request-Id: {header(head, 'Request-Id')}\r\nResponse-Seal: 1\r\n"
        if header(head, "Request-Id") is None:
            fields = "Response-Seal: 1\r\n"
        lines = f"HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n"
        writer.write(lines.encode() + b"o" * length)
        return True


class CrowdClients:
    """Connections of a crowd to one VM, which stay open."""

    def __init__(self, host):
        self._host = host
        self._sockets = []

    def close(self):
        for item in self._sockets:
            item.close()

    async def send(self, made):
        """Let all clients of a crowd send what they have, or until the VM closes."""
        if made.reads_start:
            for number in range(made.clients):
                await self._run_client(made, number)
            return
        await asyncio.gather(*(self._run_client(made, number) for number in range(made.clients)))

    async def _run_client(self, made, number):
        loop = asyncio.get_running_loop()
        item = socket.socket()
        item.setblocking(False)
        self._sockets.append(item)
        if made.reads_start:
            item.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
            item.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        with contextlib.suppress(ConnectionError):
            await loop.sock_connect(item, (self._host, made.ports[number % len(made.ports)]))
            await loop.sock_sendall(item, made.data)
            if made.reads_start:
                await loop.sock_recv(item, 64)


def peak_memory_bytes(process_id):
    """Return the largest resident memory that a process has had."""
    status = Path(f"/proc/{process_id}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def limit_descriptors(process_id, count):
    """Limit the number of descriptors that a process may have open."""
    _, hard_limit = resource.prlimit(process_id, resource.RLIMIT_NOFILE)
    resource.prlimit(process_id, resource.RLIMIT_NOFILE, (count, hard_limit))


def open_descriptors(process_id):
    """Return the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{process_id}/fd").iterdir()))
