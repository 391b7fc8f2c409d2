"""Connections of callers without a network and in virtual time."""

import asyncio
import errno
from types import SimpleNamespace

import uvicorn
from uvicorn.server import ServerState

from hibiscushaven.process import ConnectionLimits
from hibiscushaven.process.caller_protocol import CallerProtocol

HEAD = b"GET /x/1 HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = b"POST /x/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
PARTIAL_BODY = b"POST /x/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf"


class FakeLoop:
    """Event loop with virtual time; tasks run on the real loop."""

    def __init__(self):
        self.now = 100.0
        self.timers = []

    def time(self):
        return self.now

    def call_later(self, delay_s, action, *arguments):
        timer = SimpleNamespace(at=self.now + delay_s, run=lambda: action(*arguments))
        timer.cancel = lambda: timer in self.timers and self.timers.remove(timer)
        self.timers.append(timer)
        return timer

    def create_task(self, work):
        return asyncio.get_running_loop().create_task(work)

    def advance(self, seconds):
        self.now += seconds
        for timer in [timer for timer in self.timers if timer.at <= self.now]:
            self.timers.remove(timer)
            timer.run()


class FakeTransport:
    """Transport that records writes; ``|`` stands for the end of the stream."""

    def __init__(self):
        self.written = b""
        self.is_closed = self.is_paused = self.is_aborted = self.is_reset = False

    def write(self, data):
        self.written += data

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = self.is_aborted = True

    def get_write_buffer_size(self):
        return len(self.written)

    def is_closing(self):
        return self.is_closed

    def write_eof(self):
        if self.is_reset:
            raise OSError(errno.ENOTCONN, "not connected")
        self.written += b"|"

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def get_extra_info(self, name):
        return None


class App:
    """Application that reads the body and responds once ``may_respond`` is set."""

    def __init__(self):
        self.may_respond = asyncio.Event()
        self.drops_queued_requests = False
        self.events, self.requests, self.fields = [], [], []

    async def __call__(self, scope, receive, send):
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.events.append("left")
                return
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        self.events.append("read")
        self.requests.append((scope["method"], scope["raw_path"], body))
        self.fields.append(scope["headers"])
        await self.may_respond.wait()
        if self.drops_queued_requests:
            scope["state"]["drop_queued_requests"]()
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})


class Connection:
    """Connection of a caller in virtual time.

    :param budget: budget that it shares with others.
    """

    def __init__(self, budget=None):
        self.limits = ConnectionLimits(max_head_bytes=200, head_timeout_s=3.0, idle_timeout_s=15.0)
        self.loop, self.transport, self.app = FakeLoop(), FakeTransport(), App()
        config = uvicorn.Config(self.app, log_config=None, lifespan="off", ws="none")
        config.load()
        self.protocol = CallerProtocol(
            config,
            ServerState(),
            {},
            _loop=self.loop,
            limits=lambda: self.limits,
            budget=budget,
            id_header="request-id",
        )
        self.protocol.connection_made(self.transport)

    async def receive(self, data):
        self.protocol.data_received(data)
        await self.settle()

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    @property
    def written(self):
        return self.transport.written
