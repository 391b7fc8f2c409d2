"""Limits on what all connections of callers hold together."""

import asyncio

import pytest

from hibiscushaven.process import BudgetLimits, ConnectionBudget, ConnectionLimits, Part

from .connections import CHUNKED, HEAD, PARTIAL_BODY, Connection
from .support import VirtualClock

KIB = 1024
BODY_BYTES = 100 * KIB
POST = b"POST /x/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: %b\r\nContent-Length: %d\r\n\r\n"


class Process:
    """Connections of one process.

    :ivar evictions: reasons of the evictions so far.
    """

    def __init__(self, memory_bytes, connections=100):
        self.clock = VirtualClock()
        self.evictions = []
        limits = BudgetLimits(memory_bytes, connections)
        self.budget = ConnectionBudget(limits, self.clock.now, self.evictions.append)
        self._connections = []

    def connect(self, max_body_bytes=1000 * KIB):
        connection = Connection(self.budget)
        connection.limits = ConnectionLimits(16 * KIB, 3.0, 15.0, max_body_bytes)
        self._connections.append(connection)
        return connection

    async def close(self):
        """Close all connections; nothing is then accounted for."""
        for connection in self._connections:
            connection.app.may_respond.set()
            connection.protocol.connection_lost(None)
            await connection.settle()
        assert self.budget.total_bytes == self.budget.pinned_bytes == self.budget.connections == 0


async def send_body(connection, size, request_id=b"id-1", stops_short=False):
    """Send a request with a body, or without the last byte of it."""
    await connection.receive(POST % (request_id, size))
    for start in range(0, size - stops_short, 10 * KIB):
        await connection.receive(b"x" * min(10 * KIB, size - stops_short - start))


@pytest.fixture
def run_process():
    def run(scenario, *arguments):
        async def main():
            process = Process(*arguments)
            await scenario(process)
            await process.close()

        asyncio.run(main())

    return run


def test_body_held_for_the_longest_time_is_rejected_first(run_process):
    """Guards against bodies that stop short and take the memory of those that arrive."""

    async def scenario(process):
        stalled, arriving = process.connect(), process.connect()
        await send_body(stalled, BODY_BYTES, b"id-9", stops_short=True)
        process.clock.time += 10.0
        await send_body(arriving, 2 * BODY_BYTES, stops_short=True)
        assert stalled.written.startswith(b"HTTP/1.1 503 ") and arriving.written == b""
        for line in (b"request-id: id-9", b"retry-after: 0.2", b"request-outcome: not-run"):
            assert b"\r\n%b\r\n" % line in stalled.written
        assert stalled.app.events == ["left"] and process.evictions == ["memory"]
        arriving.app.may_respond.set()
        await arriving.receive(b"x")
        assert arriving.written.startswith(b"HTTP/1.1 200 ")

    run_process(scenario, 300 * KIB)


def test_connection_that_its_client_has_reset_is_evicted_like_others(run_process):
    """Guards against an eviction that fails, and ends those behind it."""

    async def scenario(process):
        gone, stalled, arriving = (process.connect() for _ in range(3))
        await send_body(gone, BODY_BYTES, stops_short=True)
        process.clock.time += 1.0
        await send_body(stalled, BODY_BYTES, stops_short=True)
        process.clock.time += 1.0
        gone.transport.is_reset = True
        await send_body(arriving, 2 * BODY_BYTES, stops_short=True)
        assert gone.transport.is_aborted and stalled.written.startswith(b"HTTP/1.1 503 ")
        assert arriving.written == b"" and not arriving.transport.is_closed

    run_process(scenario, 330 * KIB)


def test_single_body_is_served_whatever_it_holds(run_process):
    """Guards against a fixed limit that refuses a single request in calm."""

    async def scenario(process):
        connection = process.connect()
        connection.app.may_respond.set()
        await send_body(connection, BODY_BYTES)
        assert connection.written.startswith(b"HTTP/1.1 200 ")

    run_process(scenario, 200 * KIB)


def test_request_without_room_is_rejected_before_it_runs(run_process):
    """Guards against requests that wait for memory, or run although they are refused."""

    async def scenario(process):
        first, second, small = process.connect(), process.connect(), process.connect()
        await send_body(first, BODY_BYTES)
        await send_body(second, BODY_BYTES, b"id-2")
        await small.receive(HEAD)
        assert second.written.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nrequest-id: id-2\r\n" in second.written and second.app.requests == []
        assert process.evictions == ["room"]
        for connection in (first, small):
            connection.app.may_respond.set()
            await connection.settle()
            assert connection.written.startswith(b"HTTP/1.1 200 ")

    run_process(scenario, 500 * KIB)


def test_request_in_progress_is_never_evicted(run_process):
    """Guards against a refusal of a request that a backend server may run."""

    async def scenario(process):
        running, stalled = process.connect(), process.connect()
        await send_body(running, BODY_BYTES)
        process.clock.time += 10.0
        await send_body(stalled, 2 * BODY_BYTES, stops_short=True)
        assert stalled.written.startswith(b"HTTP/1.1 503 ") and running.written == b""
        running.app.may_respond.set()
        await running.settle()
        assert running.written.startswith(b"HTTP/1.1 200 ") and not running.transport.is_closed

    run_process(scenario, 400 * KIB)


def test_queued_requests_are_dropped_behind_the_one_in_progress(run_process):
    """Guards against requests that are queued without a bound, or answered out of order."""

    async def scenario(process):
        connection = process.connect()
        await connection.receive(400 * HEAD)
        assert process.budget.held_bytes(Part.QUEUED) == 0 and process.evictions == ["memory"]
        connection.app.may_respond.set()
        await connection.settle()
        assert connection.written.count(b"HTTP/1.1 ") == len(connection.app.requests) == 1
        assert connection.written.startswith(b"HTTP/1.1 200 ") and connection.transport.is_closed

    run_process(scenario, 300 * KIB)


def test_few_queued_requests_are_answered_and_reading_pauses_beyond(run_process):
    """Guards against reading requests of a connection faster than they are answered."""

    async def scenario(process):
        connection = process.connect()
        await connection.receive(6 * HEAD)
        assert connection.transport.is_paused
        connection.app.may_respond.set()
        await connection.settle()
        await connection.settle()
        await connection.settle()
        assert connection.written.count(b"HTTP/1.1 200 ") == 6
        assert not connection.transport.is_paused and not connection.transport.is_closed

    run_process(scenario, 300 * KIB)


def test_application_can_drop_the_queued_requests(run_process):
    """Guards against queued requests that run at once after one that is to be sent again later."""

    async def scenario(process):
        connection = process.connect()
        connection.app.drops_queued_requests = True
        connection.app.may_respond.set()
        await connection.receive(3 * HEAD)
        assert connection.written.count(b"HTTP/1.1 200 ") == len(connection.app.requests) == 1
        assert b"connection: close" in connection.written and connection.transport.is_closed

    run_process(scenario, 300 * KIB)


def test_connection_whose_response_is_not_read_is_aborted(run_process):
    """Guards against responses that nobody reads."""

    async def scenario(process):
        connection, stalled = process.connect(), process.connect()
        connection.app.may_respond.set()
        await connection.receive(HEAD)
        connection.transport.written = b"x" * 200 * KIB
        connection.protocol.pause_writing()
        process.clock.time += 10.0
        await send_body(stalled, BODY_BYTES, stops_short=True)
        assert connection.transport.is_aborted and not stalled.transport.is_closed

    run_process(scenario, 400 * KIB)


def test_response_that_is_read_later_is_accounted_for_no_more(run_process):
    """Guards against memory that stays accounted for after it is free."""

    async def scenario(process):
        connection = process.connect()
        connection.app.may_respond.set()
        await connection.receive(HEAD)
        connection.protocol.pause_writing()
        assert process.budget.held_bytes(Part.UNREAD) > 0
        connection.protocol.resume_writing()
        assert process.budget.held_bytes(Part.UNREAD) == 0
        assert process.budget.held_bytes(Part.IN_PROGRESS) == 0

    run_process(scenario, 400 * KIB)


def test_silent_connections_are_closed_first(run_process):
    """Guards against clients that take all descriptors and send nothing."""

    async def scenario(process):
        served, busy = process.connect(), process.connect()
        served.app.may_respond.set()
        await served.receive(HEAD)
        await busy.receive(HEAD)
        silent = [process.connect() for _ in range(20)]
        process.clock.time += 1.0
        newest = process.connect()
        assert process.budget.connections <= 10 and set(process.evictions) == {"connections"}
        for connection in (served, busy, newest):
            assert not connection.transport.is_closed
        assert sum(connection.transport.is_closed for connection in silent) >= 12

    run_process(scenario, 1000 * KIB, 10)


def test_connection_is_closed_at_once_where_all_others_are_in_use(run_process):
    """Guards against more connections than descriptors for them."""

    async def scenario(process):
        for _ in range(3):
            await process.connect().receive(HEAD)
        newest = process.connect()
        assert newest.transport.is_closed and process.budget.connections == 3

    run_process(scenario, 1000 * KIB, 3)


@pytest.mark.parametrize(
    ("request_bytes", "events"),
    [
        (POST % (b"id-1", 101), []),
        (CHUNKED + b"\r\n" + 2 * (b"33\r\n" + b"x" * 0x33 + b"\r\n"), ["left"]),
    ],
)
def test_body_that_is_too_long_is_rejected_before_it_has_arrived(
    run_process, request_bytes, events
):
    """Guards against receiving a whole body that is then refused."""

    async def scenario(process):
        connection = process.connect(max_body_bytes=100)
        await connection.receive(request_bytes)
        assert connection.written.startswith(b"HTTP/1.1 413 ") and connection.app.events == events

    run_process(scenario, 300 * KIB)


@pytest.mark.parametrize("start", [CHUNKED + b"\r\n1;", CHUNKED + b"\r\n0\r\na:", b"\r\n"])
def test_bytes_that_belong_to_no_part_of_a_request_are_rejected(run_process, start):
    """Guards against extensions, trailers and blank lines that never end."""

    async def scenario(process):
        connection = process.connect()
        await connection.receive(start)
        for _ in range(20):
            await connection.receive((b"\r\n" if start == b"\r\n" else b"xx") * KIB)
        assert connection.written.startswith(b"HTTP/1.1 400 ") and connection.transport.is_closed

    run_process(scenario, 300 * KIB)


def test_extensions_of_chunks_are_bounded_by_the_body(run_process):
    """Guards against chunks that consist of their extensions."""

    async def scenario(process):
        connection = process.connect()
        await connection.receive(CHUNKED + b"\r\n")
        for _ in range(10):
            await connection.receive(b"1;" + b"x" * 10 * KIB + b"\r\nx\r\n")
        assert connection.written.startswith(b"HTTP/1.1 400 ") and connection.app.events == ["left"]

    run_process(scenario, 300 * KIB)


def test_blank_lines_do_not_keep_a_connection_open(run_process):
    """Guards against an idle connection that is never closed."""

    async def scenario(process):
        connection = process.connect()
        connection.loop.advance(10.0)
        await connection.receive(b"\r\n")
        connection.loop.advance(5.1)
        assert connection.transport.is_closed

    run_process(scenario, 300 * KIB)


def test_slow_body_of_a_queued_request_outlives_the_idle_time_of_the_earlier_one(run_process):
    """Guards against closing a connection as idle while a body arrives."""

    async def scenario(process):
        connection = process.connect()
        connection.app.may_respond.set()
        await connection.receive(HEAD + PARTIAL_BODY)
        for piece in (b"m", b"o", b"r", b"e", b"12"):
            connection.loop.advance(10.0)
            await connection.receive(piece)
        assert connection.written.count(b"HTTP/1.1 200 ") == 2

    run_process(scenario, 300 * KIB)


def test_expensive_connections_are_read_in_turns(run_process):
    """Guards against tiny chunks of many clients that occupy the event loop."""

    async def scenario(process):
        connections = [process.connect() for _ in range(3)]
        chunks = CHUNKED + b"\r\n" + 300 * b"2\r\nab\r\n"
        for connection in connections:
            connection.protocol.data_received(chunks)
        paused = []
        for _ in range(4):
            paused.append([connection.transport.is_paused for connection in connections])
            await asyncio.sleep(0)
        assert paused == [[True] * 3, [False, True, True], [False, False, True], [False] * 3]

    run_process(scenario, 1000 * KIB)
