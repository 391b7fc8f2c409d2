"""Callers' interface on a real socket, with a fake router behind it."""

import asyncio
import contextlib

from expression import Ok
from starlette.applications import Starlette

from hibiscushaven.documents import DocumentCatalog, parse_document
from hibiscushaven.entry.callers import CallerInterface
from hibiscushaven.entry.problems import Problem
from hibiscushaven.entry.recorder import RequestRecorder
from hibiscushaven.entry.requests import CallerResponse
from hibiscushaven.metrics import Metrics
from hibiscushaven.process import HttpServer

TOKEN = "shop-token"
TOKEN_SHA256 = "88cc4600551e64b7cb97dd7f63ebad405255e5d17bdd71ee9fe1ed5cc20d0b3b"
MAX_BODY_BYTES = 1000

DOCUMENT = """
[service]
name = stock
tenant = example
team = stock-team
[class order]
path = /orders*
methods = POST
idempotent = no
size = short
deadline_ms = 8000
[class read]
path = /*
methods = GET HEAD PUT
idempotent = yes
size = short
deadline_ms = 3000
[place north]
region = north
failure_domain = north-1
capacity = 4
[server north-1]
place = north
address = 127.0.0.1:9000
slots = 2
"""


def make_catalog(text=DOCUMENT):
    """Return a catalog with one document in force."""
    catalog = DocumentCatalog()
    assert catalog.update(parse_document(text).ok.name, 1, text)
    return catalog


class FixedClock:
    """A clock whose time is fixed."""

    def now(self):
        return 100.0

    def unix(self):
        return 1_000_000.0


class RecordingRouter:
    """Records the requests and returns the response or result that the test has set."""

    def __init__(self):
        self.items = []
        self.closed = 0
        self.headers = (("Content-Type", "text/plain"),)
        self.chunks = [b"answer"]
        self.result = None

    async def handle(self, item):
        self.items.append(item)
        if self.result is not None:
            return self.result
        return Ok(CallerResponse(200, self.headers, self._body(), close=self._close))

    async def _body(self):
        for chunk in self.chunks:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    async def _close(self):
        self.closed += 1


class Entry:
    """A callers' interface that listens on a free port."""

    def __init__(self, text=DOCUMENT, max_requests=10):
        self.router = RecordingRouter()
        self.metrics = Metrics()
        self.callers = CallerInterface(
            make_catalog(text),
            self.router,
            lambda service, request: Problem(503, "no entry VM takes new callers"),
            RequestRecorder(self.metrics),
            MAX_BODY_BYTES,
            max_requests,
            FixedClock(),
            lambda: "request-1",
        )
        app = Starlette(routes=self.callers.routes)
        self.server = HttpServer(app, "127.0.0.1", 0)

    @property
    def url(self):
        return f"http://127.0.0.1:{self.server.port}"


def run_entry(scenario, **options):
    """Run a test scenario against a callers' interface."""

    async def run():
        entry = Entry(**options)
        await entry.server.start()
        try:
            return await scenario(entry)
        finally:
            await entry.server.stop(is_forced=True)

    return asyncio.run(asyncio.wait_for(run(), 60))


async def exchange(entry, data, is_half_closed=False):
    """Send bytes on a new connection and return all bytes of the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.server.port)
    with contextlib.suppress(ConnectionError):
        writer.write(data)
        await writer.drain()
    if is_half_closed:
        writer.write_eof()
    response = await reader.read()
    writer.close()
    return response
