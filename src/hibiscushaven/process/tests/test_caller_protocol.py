"""Limits on connections of callers, tested without a network and in virtual time."""

import asyncio
from types import SimpleNamespace

import pytest
import uvicorn
from uvicorn.server import ServerState

from hibiscushaven.process import ConnectionLimits
from hibiscushaven.process.caller_protocol import CallerProtocol

HEAD = b"GET /x/1 HTTP/1.1\r\nHost: a\r\n\r\n"
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
        self.is_closed = self.is_paused = False

    def write(self, data):
        self.written += data

    def close(self):
        self.is_closed = True

    def is_closing(self):
        return self.is_closed

    def can_write_eof(self):
        return True

    def write_eof(self):
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
        self.events = []

    async def __call__(self, scope, receive, send):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.events.append("left")
                return
            if not message.get("more_body"):
                break
        self.events.append("read")
        await self.may_respond.wait()
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})


class Connection:
    def __init__(self):
        self.limits = ConnectionLimits(max_head_bytes=200, head_timeout_s=3.0, idle_timeout_s=15.0)
        self.loop, self.transport, self.app = FakeLoop(), FakeTransport(), App()
        config = uvicorn.Config(self.app, log_config=None, lifespan="off", ws="none")
        config.load()
        self.protocol = CallerProtocol(
            config, ServerState(), {}, _loop=self.loop, limits=lambda: self.limits
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


@pytest.fixture
def run_scenario():
    def run(scenario):
        async def main():
            await scenario(Connection())

        asyncio.run(main())

    return run


def test_requests_within_the_limits_are_answered(run_scenario):
    """Guards against closing a connection that is idle for less than the limit."""

    async def scenario(connection):
        connection.app.may_respond.set()
        await connection.receive(HEAD)
        connection.loop.advance(12.0)
        await connection.receive(HEAD)
        assert connection.written.count(b"HTTP/1.1 200") == 2
        assert not connection.transport.is_closed

    run_scenario(scenario)


@pytest.mark.parametrize("is_complete", [True, False])
def test_head_that_is_too_long_is_rejected(run_scenario, is_complete):
    """Guards against unbounded heads, and against a reset that loses the 431 response."""

    async def scenario(connection):
        end = b"\r\n\r\n" if is_complete else b""
        await connection.receive(b"GET /x/1 HTTP/1.1\r\nLong: " + b"x" * 300 + end)
        assert connection.written.startswith(b"HTTP/1.1 431 ")
        assert connection.written.endswith(b"connection: close\r\n\r\n|")
        await connection.receive(HEAD)
        assert connection.app.events == [] and not connection.transport.is_closed
        connection.loop.advance(1.0)
        assert connection.transport.is_closed

    run_scenario(scenario)


def test_slow_head_does_not_renew_its_timeout(run_scenario):
    """Guards against a head sent byte by byte that holds its connection indefinitely."""

    async def scenario(connection):
        for byte in HEAD[:5]:
            await connection.receive(bytes([byte]))
            connection.loop.advance(0.7)
        assert connection.written.startswith(b"HTTP/1.1 408 ")
        assert connection.app.events == []

    run_scenario(scenario)


def test_response_in_progress_precedes_close_for_late_head(run_scenario):
    """Guards against losing the response to the previous request when the next head is late."""

    async def scenario(connection):
        await connection.receive(HEAD + b"GET /x")
        connection.loop.advance(3.1)
        assert connection.written == b"" and not connection.transport.is_closed
        connection.app.may_respond.set()
        await connection.settle()
        assert connection.written.startswith(b"HTTP/1.1 200") and b"408" not in connection.written
        assert b"connection: close" in connection.written and connection.transport.is_closed

    run_scenario(scenario)


def test_stalled_body_is_rejected(run_scenario):
    """Guards against a request body that stalls and holds its connection indefinitely."""

    async def scenario(connection):
        await connection.receive(PARTIAL_BODY)
        connection.loop.advance(14.0)
        await connection.receive(b"more")
        connection.loop.advance(14.0)
        assert connection.written == b""
        connection.loop.advance(1.1)
        await connection.settle()
        assert connection.written.startswith(b"HTTP/1.1 408 ")
        assert connection.app.events == ["left"]

    run_scenario(scenario)


def test_slow_response_to_complete_request_is_not_a_timeout(run_scenario):
    """Guards against applying the idle timeout while a complete request is processed."""

    async def scenario(connection):
        await connection.receive(PARTIAL_BODY + b"whole!")
        connection.loop.advance(60.0)
        connection.app.may_respond.set()
        await connection.settle()
        assert connection.written.startswith(b"HTTP/1.1 200")

    run_scenario(scenario)


def test_idle_connection_keeps_the_limit_at_the_start_of_its_idle_time(run_scenario):
    """Guards against applying a shortened idle timeout that the caller cannot know yet."""

    async def scenario(connection):
        connection.app.may_respond.set()
        await connection.receive(HEAD)
        connection.limits = ConnectionLimits(200, 3.0, idle_timeout_s=5.0)
        connection.loop.advance(14.0)
        assert not connection.transport.is_closed
        await connection.receive(HEAD)
        connection.loop.advance(5.1)
        assert connection.transport.is_closed

    run_scenario(scenario)


def test_connection_without_a_request_is_closed(run_scenario):
    """Guards against connections that stay open without ever sending a request."""

    async def scenario(connection):
        connection.loop.advance(15.1)
        assert connection.transport.is_closed and connection.written == b""

    run_scenario(scenario)
