"""Attempts over loopback sockets: nothing is repeated, kept or mistaken."""

import asyncio

import pytest

from hibiscushaven.delivery import AttemptError, Outcome, Stop, find_header
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.standins import BackendConfig, Direction, Forwarder

from .support import HOST, in_loop, raw_server, scene, soon


@in_loop
async def test_redirect_is_passed_on() -> None:
    """Guards against a redirect that sends a request to a place nobody chose."""
    async with scene() as it:
        head = await it.head("/a?status=307&reply-Location=/b", "POST", body=b"x")
        assert (head.status, find_header(head.headers, "Location")) == (307, "/b")
        await head.read(100)
        assert [seen.target for seen in it.backend.counters.seen] == [
            "/a?status=307&reply-Location=/b"
        ]


@in_loop
async def test_cookie_is_not_kept() -> None:
    """Guards against one caller's cookie reaching another caller's request."""
    async with scene() as it:
        head = await it.head("/a?reply-Set-Cookie=session=1")
        assert find_header(head.headers, "Set-Cookie") == "session=1"
        await head.read(100)
        await it.fetch("/b")
        assert find_header(it.backend.counters.seen[-1].headers, "Cookie") is None


@in_loop
async def test_body_is_not_decompressed() -> None:
    """Guards against lengths, tags and ranges that no longer fit the body."""
    async with scene() as it:
        head = await it.head("/a/bytes-40?reply-Content-Encoding=gzip")
        assert find_header(head.headers, "Content-Encoding") == "gzip"
        assert len(await head.read(100)) == 40
        assert find_header(it.backend.counters.seen[-1].headers, "Accept-Encoding") is None


@in_loop
async def test_request_is_passed_on_unchanged() -> None:
    """Guards against a path, query or header that the backend server sees differently."""
    async with scene() as it:
        target = "//a/../b;c/%2f%C3?x=%2B+1&y=%zz&&"
        sent = (("Connection", "X-Hop"), ("X-Hop", "1"), ("x-Own", "2"), ("Attempt-Id", "forged"))
        body = bytes(1024 * 1024)
        await it.fetch(target, "PUT", headers=sent, body=body, start_by_unix_ms=10**15)
        seen = it.backend.counters.seen[-1]
        assert (seen.method, seen.target, seen.body) == ("PUT", target, body)
        names = {name for name, _ in seen.headers}
        own = {"Attempt-Id", "Request-Deadline-Ms", "Start-By"}
        assert names == {"Host", "x-Own", "Content-Length"} | own
        assert find_header(seen.headers, "Attempt-Id") == "a1"
        assert 0 < int(find_header(seen.headers, "Request-Deadline-Ms") or 0) <= 10_000


@pytest.mark.parametrize("header", [("X-A", "1\r\nX-B: 2"), ("X-A\r\nX-B", "1")])
@in_loop
async def test_line_break_in_header_is_refused(header: tuple[str, str]) -> None:
    """Guards against a caller that smuggles a second request into its header."""
    async with scene() as it:
        with pytest.raises(AttemptError) as caught:
            await it.head("/a", headers=(header,))
        assert (caught.value.stop, caught.value.outcome) == (Stop.INVALID, Outcome.NOT_RUN)
        with pytest.raises(AttemptError):
            await it.head("/a HTTP/1.1\r\nX: y")


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
@in_loop
async def test_no_resend_on_reused_connection(method: str) -> None:
    """Guards against a second run when a reused connection closes without a response."""
    async with scene() as it:
        await it.open_idle(1)
        it.backend.faults.unanswered = 1
        with pytest.raises(AttemptError) as caught:
            await it.head("/order", method, body=b"" if method == "GET" else b"x")
        assert caught.value.stop is Stop.CONNECTION_LOST
        assert caught.value.outcome is Outcome.UNKNOWN
        assert it.backend.counters.started == 2


@pytest.mark.parametrize("body", [b"", b"x" * 200_000], ids=["none", "long"])
@in_loop
async def test_guard_that_turns_false_while_connecting(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that is written after the loan of its token expired."""
    async with scene() as it:
        forwarder = Forwarder(HOST, it.server.port)
        await forwarder.start()
        loop, is_allowed = asyncio.get_running_loop(), True
        connect = loop.sock_connect

        async def connect_slowly(*args: object) -> None:
            nonlocal is_allowed
            await connect(*args)
            is_allowed = False

        monkeypatch.setattr(loop, "sock_connect", connect_slowly)
        at = Endpoint(HOST, forwarder.port)
        with pytest.raises(AttemptError) as caught:
            await it.head("/a", "POST", body=body, server=at, guard=lambda: is_allowed)
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.stop is Stop.GUARD_REFUSED
        await forwarder.wait_until(lambda it: it.accepted_connections == 1)
        await it.client.close()
        await forwarder.close()
        assert forwarder.bytes_to_server == 0


@in_loop
async def test_guard_that_turns_false_while_waiting_for_a_connection() -> None:
    """Guards against asking the guard before the wait for a free connection."""
    async with scene(connections=1) as it:
        first = asyncio.create_task(it.fetch("/a?hold=1"))
        await it.backend.wait_until(lambda it: it.counters.started == 1)
        allowed = [True]
        second = asyncio.create_task(it.fetch("/b", guard=lambda: allowed[0]))
        await asyncio.sleep(0)
        allowed[0] = False
        it.backend.release_held_requests()
        await first
        with pytest.raises(AttemptError) as caught:
            await second
        assert caught.value.stop is Stop.GUARD_REFUSED
        assert it.backend.counters.started == 1


@in_loop
async def test_wrong_attempt_id_is_discarded() -> None:
    """Guards against a response to another request; its connection is not used again."""
    async with scene() as it:
        await it.open_idle(1)
        it.backend.faults.wrong_ids = 1
        with pytest.raises(AttemptError) as caught:
            await it.head("/a")
        assert caught.value.stop is Stop.WRONG_ATTEMPT_ID
        assert caught.value.outcome is Outcome.UNKNOWN
        await it.fetch("/b")
        assert [seen.connection for seen in it.backend.counters.seen] == [1, 1, 2]


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 9\r\n\r\n12345678",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Le",
    ],
    ids=["length", "last-chunk", "chunk", "chunk-size", "no-length", "head"],
)
@in_loop
async def test_truncated_response_is_never_complete(answer: bytes) -> None:
    """Guards against half a manifest that looks whole."""
    async with scene() as it, raw_server(answer) as at:
        with pytest.raises(AttemptError) as caught:
            await it.fetch("/a", server=at)
        assert caught.value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("stop", ["truncate", "reset"])
@pytest.mark.parametrize("framing", ["", "&chunked=1"])
@in_loop
async def test_body_that_breaks_off(stop: str, framing: str) -> None:
    """Guards against a body cut in the middle, whichever way the connection ends."""
    async with scene() as it:
        head = await it.head(f"/a/bytes-300000?stop={stop}&stop_at=100000{framing}")
        with pytest.raises(AttemptError) as caught:
            await head.read(10**6)
        assert caught.value.stop is Stop.TRUNCATED
        assert head.bytes_received <= 100_000


@in_loop
async def test_late_answer_of_cancelled_attempt_reaches_nobody() -> None:
    """Guards against the next request on the connection getting the answer of the last."""
    async with scene() as it:
        it.backend.faults.ignores_cancel = True
        task = asyncio.create_task(it.fetch("/a/bytes-10?hold=1", attempt_id="late/1"))
        await it.backend.wait_until(lambda it: it.counters.started == 1)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()
        assert await it.client.cancel(it.server, "late/1")
        assert it.backend.counters.cancelled == 1
        it.backend.release_held_requests()
        await it.backend.wait_until(lambda it: it.counters.in_progress == 0)
        head = await it.head("/b/bytes-20")
        assert find_header(head.headers, "Attempt-Id") == "a2"
        assert len(await head.read(100)) == 20


@in_loop
async def test_cancel_stops_the_work() -> None:
    """Guards against a cancellation that leaves the slot in use."""
    async with scene() as it:
        task = asyncio.create_task(it.head("/a?hold=1", attempt_id="b1"))
        await it.backend.wait_until(lambda it: it.counters.started == 1)
        assert await it.client.cancel(it.server, "b1")
        head = await task
        assert (head.status, find_header(head.headers, "Request-Outcome")) == (503, "unknown")
        await head.close()
        assert not await it.client.cancel(it.server, "b1")


@in_loop
async def test_silent_connection_empties_the_pool() -> None:
    """Guards against one failed request per connection that lost its path."""
    async with scene(progress=0.3) as it:
        await it.open_idle(3)
        await it.fetch("/other", tenant="szovetseg")
        it.backend.sockets.silence()
        with pytest.raises(AttemptError) as caught:
            await it.head("/a")
        assert (caught.value.stop, caught.value.outcome) == (Stop.SILENT, Outcome.UNKNOWN)
        # The other tenant's pool is left as it was.
        assert it.client.idle_connections(it.server) == 1
        assert len(await it.fetch("/b")) == 64


@in_loop
async def test_body_that_stalls() -> None:
    """Guards against waiting for the deadline when a download has gone silent."""
    async with scene(progress=0.3) as it:
        head = await it.head("/a/bytes-1000?stop=stall&stop_at=10", head_timeout_s=9.0)
        with pytest.raises(AttemptError) as caught:
            await head.read(10**6)
        assert caught.value.stop is Stop.SILENT


@in_loop
async def test_deadline() -> None:
    """Guards against an attempt that outlives its deadline, and against reusing its pool."""
    async with scene() as it:
        await it.open_idle(2)
        it.backend.sockets.silence()
        with pytest.raises(AttemptError) as caught:
            await it.head("/a", deadline=soon(0.05))
        assert (caught.value.stop, caught.value.outcome) == (Stop.DEADLINE, Outcome.UNKNOWN)
        assert it.client.idle_connections(it.server) == 0
        await it.fetch("/b")
        # An idle connection is acquired without waiting, so that no timeout interferes.
        with pytest.raises(AttemptError) as caught:
            await it.head("/c", deadline=soon(-1))
        assert caught.value.stop is Stop.DEADLINE_BEFORE_SENDING
        assert caught.value.outcome is Outcome.NOT_RUN
        assert it.backend.counters.seen[-1].target == "/b"


@in_loop
async def test_refusal_and_failed_connect_are_not_run() -> None:
    """Guards against giving up on requests that can be sent elsewhere without risk."""
    async with scene() as it:
        it.backend.faults.is_shedding = True
        with pytest.raises(AttemptError) as caught:
            await it.head("/a")
        assert (caught.value.stop, caught.value.retry_after_s) == (Stop.REFUSED, 1.0)
        assert caught.value.outcome is Outcome.NOT_RUN
        it.backend.crash()
        await it.client.close()
        with pytest.raises(AttemptError) as caught:
            await it.head("/a")
        assert (caught.value.stop, caught.value.outcome) == (Stop.NOT_CONNECTED, Outcome.NOT_RUN)


@in_loop
async def test_connection_limit() -> None:
    """Guards against more connections than the document allows, idle and new ones included."""
    config = BackendConfig(slots=9, connect_ms=0)
    async with scene(config, connections=3) as it:
        await it.open_idle(3)
        new = asyncio.create_task(it.fetch("/new?ms=5", use_new_connection=True))
        # Idle connections make room for the new one.
        await it.backend.wait_until(
            lambda it: it.counters.in_progress == 1 and it.sockets.open_count <= 3
        )
        await asyncio.gather(new, *(it.fetch(f"/a?ms=20&n={n}") for n in range(9)))
        assert it.backend.counters.started == 13
        assert it.backend.counters.max_in_progress == 3


@in_loop
async def test_idle_connection_is_closed() -> None:
    """Guards against reusing a connection that a middlebox forgot meanwhile."""
    async with scene(idle=0.05) as it:
        await it.fetch("/a")
        await it.backend.wait_until(lambda it: it.sockets.open_count == 0)


@in_loop
async def test_proxy_of_the_environment_is_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests that leave through a proxy set for other programs."""
    monkeypatch.setenv("http_proxy", f"http://{HOST}:1")
    async with scene() as it:
        assert len(await it.fetch("/a")) == 64


@in_loop
async def test_delayed_network_changes_nothing() -> None:
    """Guards against a timeout on a connection that is slow but makes progress."""
    async with scene(progress=0.3) as it:
        forwarder = Forwarder(HOST, it.server.port)
        await forwarder.start()
        forwarder.delay_s = 0.01
        at = Endpoint(HOST, forwarder.port)
        assert len(await it.fetch("/a/bytes-500000", server=at)) == 500_000
        forwarder.block(Direction.TO_CLIENT)
        with pytest.raises(AttemptError) as caught:
            await it.fetch("/a", server=at)
        assert caught.value.stop is Stop.SILENT
        await forwarder.close()
