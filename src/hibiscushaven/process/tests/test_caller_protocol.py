"""Limits on what callers send, on connections without a network or real time."""

import asyncio
from types import SimpleNamespace

import pytest
import uvicorn
from uvicorn.server import ServerState

from hibiscushaven.process import ConnectionLimits
from hibiscushaven.process.caller_protocol import CallerProtocol

HEAD = b"GET /x/1 HTTP/1.1\r\nHost: a\r\n\r\n"
BEGUN_BODY = b"POST /x/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf"


class Timers:
    """Loop whose time tests move; tasks run on the real one."""

    def __init__(self):
        self.now = 100.0
        self.waiting = []

    def time(self):
        return self.now

    def call_later(self, delay_s, action, *arguments):
        timer = SimpleNamespace(at=self.now + delay_s, run=lambda: action(*arguments))
        timer.cancel = lambda: timer in self.waiting and self.waiting.remove(timer)
        self.waiting.append(timer)
        return timer

    def create_task(self, work):
        return asyncio.get_running_loop().create_task(work)

    def move(self, seconds):
        self.now += seconds
        for timer in [timer for timer in self.waiting if timer.at <= self.now]:
            self.waiting.remove(timer)
            timer.run()


class Transport:
    """Collects what is written."""

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
    """Reads the body, then answers once it may."""

    def __init__(self):
        self.may_answer = asyncio.Event()
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
        await self.may_answer.wait()
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})


class Connection:
    def __init__(self):
        self.limits = ConnectionLimits(head_bytes=200, head_timeout_s=3.0, idle_timeout_s=15.0)
        self.timers, self.transport, self.app = Timers(), Transport(), App()
        config = uvicorn.Config(self.app, log_config=None, lifespan="off", ws="none")
        config.load()
        self.protocol = CallerProtocol(
            config, ServerState(), {}, _loop=self.timers, limits=lambda: self.limits
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
def play():
    def run(scenario):
        async def main():
            await scenario(Connection())

        asyncio.run(main())

    return run


def test_requests_within_the_limits_are_answered(play):
    async def scenario(connection):
        connection.app.may_answer.set()
        await connection.receive(HEAD)
        connection.timers.move(12.0)
        await connection.receive(HEAD)
        assert connection.written.count(b"HTTP/1.1 200") == 2
        assert not connection.transport.is_closed

    play(scenario)


@pytest.mark.parametrize("is_whole", [True, False])
def test_head_that_is_too_long_is_refused(play, is_whole):
    async def scenario(connection):
        end = b"\r\n\r\n" if is_whole else b""
        await connection.receive(b"GET /x/1 HTTP/1.1\r\nLong: " + b"x" * 300 + end)
        assert connection.written.startswith(b"HTTP/1.1 431 ")
        assert connection.written.endswith(b"connection: close\r\n\r\n|")
        await connection.receive(HEAD)
        assert connection.app.events == [] and not connection.transport.is_closed
        connection.timers.move(1.0)
        assert connection.transport.is_closed

    play(scenario)


def test_head_that_arrives_byte_by_byte_does_not_renew_its_time(play):
    async def scenario(connection):
        for byte in HEAD[:5]:
            await connection.receive(bytes([byte]))
            connection.timers.move(0.7)
        assert connection.written.startswith(b"HTTP/1.1 408 ")
        assert connection.app.events == []

    play(scenario)


def test_answer_that_is_due_comes_before_the_end_for_a_late_head(play):
    async def scenario(connection):
        await connection.receive(HEAD + b"GET /x")
        connection.timers.move(3.1)
        assert connection.written == b"" and not connection.transport.is_closed
        connection.app.may_answer.set()
        await connection.settle()
        assert connection.written.startswith(b"HTTP/1.1 200") and b"408" not in connection.written
        assert b"connection: close" in connection.written and connection.transport.is_closed

    play(scenario)


def test_body_that_stops_arriving_is_refused(play):
    async def scenario(connection):
        await connection.receive(BEGUN_BODY)
        connection.timers.move(14.0)
        await connection.receive(b"more")
        connection.timers.move(14.0)
        assert connection.written == b""
        connection.timers.move(1.1)
        await connection.settle()
        assert connection.written.startswith(b"HTTP/1.1 408 ")
        assert connection.app.events == ["left"]

    play(scenario)


def test_long_work_on_a_whole_request_is_not_silence(play):
    async def scenario(connection):
        await connection.receive(BEGUN_BODY + b"whole!")
        connection.timers.move(60.0)
        connection.app.may_answer.set()
        await connection.settle()
        assert connection.written.startswith(b"HTTP/1.1 200")

    play(scenario)


def test_silent_connections_are_closed_by_the_limit_that_held_then(play):
    async def scenario(connection):
        connection.app.may_answer.set()
        await connection.receive(HEAD)
        connection.limits = ConnectionLimits(200, 3.0, idle_timeout_s=5.0)
        connection.timers.move(14.0)
        assert not connection.transport.is_closed
        await connection.receive(HEAD)
        connection.timers.move(5.1)
        assert connection.transport.is_closed

    play(scenario)


def test_connection_without_a_request_is_closed(play):
    async def scenario(connection):
        connection.timers.move(15.1)
        assert connection.transport.is_closed and connection.written == b""

    play(scenario)
