"""Attempts of the backend client over loopback sockets."""

import asyncio
from collections.abc import Callable

import pytest

from hibiscushaven.delivery import (
    AttemptError,
    BackendClient,
    FailureKind,
    Outcome,
    find_header,
)
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.standins import BackendConfig, Direction, Forwarder

from .support import HOST, backend_env, deadline_in, in_loop, raw_server

# Longer than each time limit of an attempt.
PAUSE_S = 5.0


@in_loop
async def test_redirect_is_not_followed() -> None:
    """Guards against following a redirect to a server that was not selected for the request."""
    async with backend_env() as env:
        response = await env.send("/a?status=307&reply-Location=/b", "POST", body=b"x")
        assert (response.status, find_header(response.headers, "Location")) == (307, "/b")
        await response.read(100)
        assert [request.target for request in env.backend.counters.seen] == [
            "/a?status=307&reply-Location=/b"
        ]


@in_loop
async def test_cookie_is_not_stored() -> None:
    """Guards against sending one caller's cookie with another caller's request."""
    async with backend_env() as env:
        response = await env.send("/a?reply-Set-Cookie=session=1")
        assert find_header(response.headers, "Set-Cookie") == "session=1"
        await response.read(100)
        await env.fetch("/b")
        assert find_header(env.backend.counters.seen[-1].headers, "Cookie") is None


@in_loop
async def test_body_is_not_decompressed() -> None:
    """Guards against lengths, entity tags and ranges that no longer match the body."""
    async with backend_env() as env:
        response = await env.send("/a/bytes-40?reply-Content-Encoding=gzip")
        assert find_header(response.headers, "Content-Encoding") == "gzip"
        assert len(await response.read(100)) == 40
        assert find_header(env.backend.counters.seen[-1].headers, "Accept-Encoding") is None


@in_loop
async def test_request_is_sent_unchanged() -> None:
    """Guards against altering a path, query, header or body on the way to the backend server."""
    async with backend_env() as env:
        target = "//a/../b;c/%2f%C3?x=%2B+1&y=%zz&&"
        sent = (("Connection", "X-Hop"), ("X-Hop", "1"), ("x-Own", "2"), ("Attempt-Id", "forged"))
        body = bytes(1024 * 1024)
        await env.fetch(target, "PUT", headers=sent, body=body, start_by_unix_ms=10**15)
        request = env.backend.counters.seen[-1]
        assert (request.method, request.target, request.body) == ("PUT", target, body)
        names = {name for name, _ in request.headers}
        own = {"Attempt-Id", "Request-Deadline-Ms", "Start-By"}
        assert names == {"Host", "x-Own", "Content-Length"} | own
        assert find_header(request.headers, "Attempt-Id") == "a1"
        assert 0 < int(find_header(request.headers, "Request-Deadline-Ms") or 0) <= 10_000


@pytest.mark.parametrize("header", [("X-A", "1\r\nX-B: 2"), ("X-A\r\nX-B", "1")])
@in_loop
async def test_line_break_in_header_is_rejected(header: tuple[str, str]) -> None:
    """Guards against request smuggling through line breaks in a header or target."""
    async with backend_env() as env:
        with pytest.raises(AttemptError) as caught:
            await env.send("/a", headers=(header,))
        assert (caught.value.kind, caught.value.outcome) == (FailureKind.INVALID, Outcome.NOT_RUN)
        with pytest.raises(AttemptError):
            await env.send("/a HTTP/1.1\r\nX: y")


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
@in_loop
async def test_no_resend_on_reused_connection(method: str) -> None:
    """Guards against resending a request when a reused connection closes without a response."""
    async with backend_env() as env:
        await env.open_idle(1)
        env.backend.faults.unanswered = 1
        with pytest.raises(AttemptError) as caught:
            await env.send("/order", method, body=b"" if method == "GET" else b"x")
        assert caught.value.kind is FailureKind.CONNECTION_LOST
        assert caught.value.outcome is Outcome.UNKNOWN
        assert env.backend.counters.started == 2


@pytest.mark.parametrize("is_ending", [True, False])
@in_loop
async def test_probe_tells_an_ending_process_from_a_server_with_too_many_connections(
    is_ending: bool,
) -> None:
    """Guards against a crash that is dismissed since the dying process accepted a connection."""

    def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if is_ending:
            server.close()
        writer.transport.abort()

    server = await asyncio.start_server(reset, HOST, 0)
    address = Endpoint(HOST, server.sockets[0].getsockname()[1])
    client = BackendClient()
    assert await client.can_connect(address) is not is_ending
    server.close()


@pytest.mark.parametrize("body", [b"", b"x" * 200_000], ids=["none", "long"])
@in_loop
async def test_guard_refuses_after_connecting(body: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against writing a request after the loan of its token expired."""
    async with backend_env() as env:
        forwarder = Forwarder(HOST, env.server.port)
        await forwarder.start()
        loop, is_allowed = asyncio.get_running_loop(), True
        connect = loop.sock_connect

        async def connect_slowly(*args: object) -> None:
            nonlocal is_allowed
            await connect(*args)
            is_allowed = False

        monkeypatch.setattr(loop, "sock_connect", connect_slowly)
        endpoint = Endpoint(HOST, forwarder.port)
        with pytest.raises(AttemptError) as caught:
            await env.send("/a", "POST", body=body, server=endpoint, guard=lambda: is_allowed)
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.kind is FailureKind.GUARD_REFUSED
        await forwarder.wait_until(lambda forwarder: forwarder.accepted_connections == 1)
        await env.client.close()
        await forwarder.close()
        assert forwarder.bytes_to_server == 0


@pytest.fixture
def pause(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Return a function after which the event loop is as after a pause of the process."""

    def pause_process() -> None:
        loop = asyncio.get_running_loop()
        now = loop.time
        monkeypatch.setattr(loop, "time", lambda: now() + PAUSE_S)

    return pause_process


@in_loop
async def test_pause_of_this_process_is_no_failure_of_the_server(
    pause: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a server that is taken for unreachable since this process did not run."""

    async def connect_never(*args: object) -> None:
        pause()
        await asyncio.Event().wait()

    async with backend_env(connect_s=0.35) as env:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "sock_connect", connect_never)
        with pytest.raises(AttemptError) as caught:
            await env.send("/a", deadline=deadline_in(2 * PAUSE_S))
        assert caught.value.kind is FailureKind.DEADLINE_BEFORE_SENDING


@in_loop
async def test_probe_is_repeated_after_a_pause_of_this_process(
    pause: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a probe that takes an own pause for the crash of a server."""
    async with backend_env() as env:
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def connect_never(*args: object) -> None:
            monkeypatch.setattr(loop, "sock_connect", connect)
            pause()
            await asyncio.Event().wait()

        monkeypatch.setattr(loop, "sock_connect", connect_never)
        assert await env.client.can_connect(env.server)


@in_loop
async def test_guard_refuses_after_waiting_for_a_connection() -> None:
    """Guards against checking the guard only before the wait for a free connection."""
    async with backend_env(connections=1) as env:
        first = asyncio.create_task(env.fetch("/a?hold=1"))
        await env.backend.wait_until(lambda backend: backend.counters.started == 1)
        allowed = [True]
        second = asyncio.create_task(env.fetch("/b", guard=lambda: allowed[0]))
        await asyncio.sleep(0)
        allowed[0] = False
        env.backend.release_held_requests()
        await first
        with pytest.raises(AttemptError) as caught:
            await second
        assert caught.value.kind is FailureKind.GUARD_REFUSED
        assert env.backend.counters.started == 1


@in_loop
async def test_wrong_attempt_id_is_discarded() -> None:
    """Guards against accepting a response to another request, and reusing its connection."""
    async with backend_env() as env:
        await env.open_idle(1)
        env.backend.faults.wrong_ids = 1
        with pytest.raises(AttemptError) as caught:
            await env.send("/a")
        assert caught.value.kind is FailureKind.WRONG_ATTEMPT_ID
        assert caught.value.outcome is Outcome.UNKNOWN
        await env.fetch("/b")
        assert [request.connection for request in env.backend.counters.seen] == [1, 1, 2]


@pytest.mark.parametrize(
    "response",
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
async def test_truncated_response_is_an_error(response: bytes) -> None:
    """Guards against accepting a truncated head or body as complete."""
    async with backend_env() as env, raw_server(response) as endpoint:
        with pytest.raises(AttemptError) as caught:
            await env.fetch("/a", server=endpoint)
        assert caught.value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("stop", ["truncate", "reset"])
@pytest.mark.parametrize("framing", ["", "&chunked=1"])
@in_loop
async def test_body_cut_in_the_middle_is_truncated(stop: str, framing: str) -> None:
    """Guards against accepting a body cut in the middle by a close or a reset."""
    async with backend_env() as env:
        response = await env.send(f"/a/bytes-300000?stop={stop}&stop_at=100000{framing}")
        with pytest.raises(AttemptError) as caught:
            await response.read(10**6)
        assert caught.value.kind is FailureKind.TRUNCATED
        assert response.bytes_received <= 100_000


@in_loop
async def test_late_response_of_cancelled_attempt_is_discarded() -> None:
    """Guards against returning the late response of a cancelled attempt to a later request."""
    async with backend_env() as env:
        env.backend.faults.ignores_cancel = True
        task = asyncio.create_task(env.fetch("/a/bytes-10?hold=1", attempt_id="late/1"))
        await env.backend.wait_until(lambda backend: backend.counters.started == 1)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()
        assert await env.client.cancel(env.server, "late/1")
        assert env.backend.counters.cancelled == 1
        env.backend.release_held_requests()
        await env.backend.wait_until(lambda backend: backend.counters.in_progress == 0)
        response = await env.send("/b/bytes-20")
        assert find_header(response.headers, "Attempt-Id") == "a2"
        assert len(await response.read(100)) == 20


@in_loop
async def test_cancel_ends_the_attempt() -> None:
    """Guards against a cancellation that leaves a slot of the backend server in use."""
    async with backend_env() as env:
        task = asyncio.create_task(env.send("/a?hold=1", attempt_id="b1"))
        await env.backend.wait_until(lambda backend: backend.counters.started == 1)
        assert await env.client.cancel(env.server, "b1")
        response = await task
        assert (response.status, find_header(response.headers, "Request-Outcome")) == (
            503,
            "unknown",
        )
        await response.close()
        assert not await env.client.cancel(env.server, "b1")


@in_loop
async def test_silent_connection_retires_the_pool() -> None:
    """Guards against one failed request for each pooled connection after a network failure."""
    async with backend_env(progress_s=0.3) as env:
        await env.open_idle(3)
        await env.fetch("/other", tenant="szovetseg")
        env.backend.sockets.silence()
        with pytest.raises(AttemptError) as caught:
            await env.send("/a")
        assert (caught.value.kind, caught.value.outcome) == (FailureKind.SILENT, Outcome.UNKNOWN)
        # The pool of the other tenant is unaffected.
        assert env.client.idle_connections(env.server) == 1
        assert len(await env.fetch("/b")) == 64


@in_loop
async def test_stalled_body_is_silent() -> None:
    """Guards against waiting for the deadline when a response body stalls."""
    async with backend_env(progress_s=0.3) as env:
        response = await env.send("/a/bytes-1000?stop=stall&stop_at=10", head_timeout_s=9.0)
        with pytest.raises(AttemptError) as caught:
            await response.read(10**6)
        assert caught.value.kind is FailureKind.SILENT


@in_loop
async def test_deadline() -> None:
    """Guards against exceeding the deadline, and reusing a possibly dead connection afterwards."""
    async with backend_env() as env:
        await env.open_idle(2)
        env.backend.sockets.silence()
        with pytest.raises(AttemptError) as caught:
            await env.send("/a", deadline=deadline_in(0.05))
        assert (caught.value.kind, caught.value.outcome) == (FailureKind.DEADLINE, Outcome.UNKNOWN)
        assert env.client.idle_connections(env.server) == 0
        await env.fetch("/b")
        # An idle connection is acquired without waiting, so no other timeout can fire.
        with pytest.raises(AttemptError) as caught:
            await env.send("/c", deadline=deadline_in(-1))
        assert caught.value.kind is FailureKind.DEADLINE_BEFORE_SENDING
        assert caught.value.outcome is Outcome.NOT_RUN
        assert env.backend.counters.seen[-1].target == "/b"


@in_loop
async def test_refusal_and_failed_connect_give_not_run() -> None:
    """Guards against reporting an unknown outcome for requests that are safe to retry."""
    async with backend_env() as env:
        env.backend.faults.is_shedding = True
        with pytest.raises(AttemptError) as caught:
            await env.send("/a")
        assert (caught.value.kind, caught.value.retry_after_s) == (FailureKind.REFUSED, 1.0)
        assert caught.value.outcome is Outcome.NOT_RUN
        env.backend.crash()
        await env.client.close()
        with pytest.raises(AttemptError) as caught:
            await env.send("/a")
        assert (caught.value.kind, caught.value.outcome) == (
            FailureKind.NOT_CONNECTED,
            Outcome.NOT_RUN,
        )


@in_loop
async def test_connection_limit() -> None:
    """Guards against exceeding the connection limit, counting idle and single-use connections."""
    config = BackendConfig(slots=9, connect_ms=0)
    async with backend_env(config, connections=3) as env:
        await env.open_idle(3)
        new_connection_task = asyncio.create_task(env.fetch("/new?ms=5", use_new_connection=True))
        # Idle connections are closed to stay within the limit.
        await env.backend.wait_until(
            lambda backend: backend.counters.in_progress == 1 and backend.sockets.open_count <= 3
        )
        await asyncio.gather(
            new_connection_task, *(env.fetch(f"/a?ms=20&n={number}") for number in range(9))
        )
        assert env.backend.counters.started == 13
        assert env.backend.counters.max_in_progress == 3


@in_loop
async def test_idle_connection_is_closed() -> None:
    """Guards against reusing an idle connection whose state a middlebox has dropped."""
    async with backend_env(idle_s=0.05) as env:
        await env.fetch("/a")
        await env.backend.wait_until(lambda backend: backend.sockets.open_count == 0)


@in_loop
async def test_proxy_environment_variable_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against sending requests through a proxy configured for other programs."""
    monkeypatch.setenv("http_proxy", f"http://{HOST}:1")
    async with backend_env() as env:
        assert len(await env.fetch("/a")) == 64


@in_loop
async def test_slow_network_is_not_silence() -> None:
    """Guards against a progress timeout on a connection that is slow but makes progress."""
    async with backend_env(progress_s=0.3) as env:
        forwarder = Forwarder(HOST, env.server.port)
        await forwarder.start()
        forwarder.delay_s = 0.01
        endpoint = Endpoint(HOST, forwarder.port)
        assert len(await env.fetch("/a/bytes-500000", server=endpoint)) == 500_000
        forwarder.block(Direction.TO_CLIENT)
        with pytest.raises(AttemptError) as caught:
            await env.fetch("/a", server=endpoint)
        assert caught.value.kind is FailureKind.SILENT
        await forwarder.close()
