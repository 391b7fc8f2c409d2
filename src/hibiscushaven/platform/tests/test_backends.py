"""Attempts on backend servers: only complete responses to the own request are accepted."""

import asyncio

import pytest

from hibiscushaven.delivery import AttemptError, AttemptRequest, BackendClient, FailureKind, Outcome
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.platform.dialects import PlatformBackends

from .backend_standin import (
    BackendStandIn,
    EarlyResponseBackend,
    EndlessResponse,
    UnframedResponse,
    close_connection,
    header,
    never_respond,
    response,
)


async def _no_wait():
    pass


def attempt_all(scripts, count=1, timeout_s=5.0, between=_no_wait, **fields):
    """Send attempts one after the other; return their results and the stand-in.

    :param between: awaited after each attempt.
    """

    async def main():
        stand_in = BackendStandIn(*scripts)
        port = await stand_in.start()
        client = BackendClient(dialect=PlatformBackends())
        results = []
        for number in range(count):
            request = AttemptRequest(
                Endpoint("127.0.0.1", port),
                fields.get("method", "GET"),
                fields.get("target", "/a/b?c=%2f"),
                fields.get("request_id", f"id-{number}"),
                asyncio.get_running_loop().time() + timeout_s,
                fields.get("headers", ()),
                fields.get("body", b""),
                server_id="i-1",
                head_timeout_s=timeout_s,
            )
            try:
                head = await client.attempt(request)
                if isinstance(scripts[number], UnframedResponse):
                    scripts[number].end_allowed.set()
                results.append((head.status, await head.read(10**6)))
            except AttemptError as error:
                results.append(error)
            await between()
        await client.close()
        await stand_in.close()
        return results, stand_in

    return asyncio.run(main())


def test_request_is_sent_unchanged_with_its_own_ids_and_deadline():
    """Headers of callers must not forge the ids and the deadline of an attempt."""
    headers = (
        ("X-Own", "1"),
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Deadline-Ms", "99999"),
        ("Expect-Instance", "forged"),
        ("Request-Id", "id-0"),
    )
    scripts = [response(b"fine")]
    results, stand_in = attempt_all(scripts, headers=headers, method="POST", body=b"order")
    assert results == [(200, b"fine")]
    head, body = stand_in.requests[0]
    assert head.startswith("POST /a/b?c=%2f HTTP/1.1\r\n") and body == b"order"
    assert header(head, "X-Own") == "1" and header(head, "X-Hop") is None
    assert header(head, "Expect-Instance") == "i-1"
    assert head.lower().count("request-id:") == 1
    assert 4000 < int(header(head, "Deadline-Ms")) <= 5000


@pytest.mark.parametrize(
    "script, failure_kind, outcome",
    [
        (response(status=503, Not_Executed="1"), FailureKind.REFUSED, Outcome.NOT_RUN),
        (response(status=421, Instance_Id="i-2"), FailureKind.MISDIRECTED, Outcome.NOT_RUN),
        (response(request_id="id-other"), FailureKind.WRONG_ATTEMPT_ID, Outcome.UNKNOWN),
        (response(seal=None), FailureKind.MALFORMED, Outcome.UNKNOWN),
        (response(Content_Encoding="gzip"), FailureKind.MALFORMED, Outcome.UNKNOWN),
        (UnframedResponse(b"half", is_reset=True), FailureKind.TRUNCATED, Outcome.UNKNOWN),
        (close_connection, FailureKind.CONNECTION_LOST, Outcome.UNKNOWN),
    ],
)
def test_failed_attempt_tells_whether_the_request_ran(script, failure_kind, outcome):
    """Guards against sending a request again that may have run."""
    results, _ = attempt_all([script])
    assert results[0].kind is failure_kind
    assert results[0].outcome is outcome


def test_response_that_ends_with_its_connection_is_complete():
    """Guards against rejecting a response without a length."""
    results, _ = attempt_all([UnframedResponse(b"whole", is_reset=False)])
    assert results == [(200, b"whole")]


def test_truncated_response_is_rejected():
    """Guards against passing on a body that is shorter than its declared length."""

    async def script(head, writer):
        await response(b"half", length=10)(head, writer)
        await close_connection(head, writer)

    results, _ = attempt_all([script])
    assert results[0].kind is FailureKind.TRUNCATED


def test_attempt_without_a_response_times_out(monkeypatch):
    """Guards against an attempt that outlasts its deadline or counts as not run."""
    time_limit_s = 5.0

    async def let_time_pass(head, writer):
        loop = asyncio.get_running_loop()
        now = loop.time
        monkeypatch.setattr(loop, "time", lambda: now() + time_limit_s)
        await never_respond(head, writer)

    results, _ = attempt_all([let_time_pass], timeout_s=time_limit_s)
    assert results[0].outcome is Outcome.UNKNOWN


def test_error_statuses_of_the_server_are_passed_on():
    """Guards against treating an error response of the server as a failed attempt."""
    results, _ = attempt_all([response(b"no", status=500), response(b"late", status=504)], count=2)
    assert results == [(500, b"no"), (504, b"late")]


def test_connection_is_reused_after_a_refusal():
    """Guards against a new connection for each request to an overloaded server."""
    scripts = [response(status=503, Not_Executed="1"), response(b"fine")]
    results, stand_in = attempt_all(scripts, count=2)
    assert results[1] == (200, b"fine")
    assert stand_in.connections == 1


def test_extra_response_is_not_used_for_the_next_request():
    """Guards against a late or repeated response on a connection that is reused."""
    late = b"HTTP/1.1 200 X\r\nRequest-Id: id-0\r\nResponse-Seal: 9\r\nContent-Length: 3\r\n\r\nold"
    scripts = [response(b"first", extra=late), response(b"second")]
    results, _ = attempt_all(scripts, count=2)
    assert all(not isinstance(result, tuple) or result[1] != b"old" for result in results)
    assert results[1] == (200, b"second")


def test_extra_bytes_after_a_response_do_not_affect_the_next_request():
    """Guards against parsing stray bytes as the response to the next request."""
    scripts = [response(b"first", extra=b"\x00\x01 garbage\r\n\r\n"), response(b"second")]
    results, _ = attempt_all(scripts, count=2)
    assert results[1] == (200, b"second")


def test_load_report_is_read_from_the_response_headers():
    """Guards against load reports that are misread or ignored."""

    async def main():
        stand_in = BackendStandIn(response(Server_Load="3,1,8,250"))
        port = await stand_in.start()
        dialect = PlatformBackends()
        client = BackendClient(dialect=dialect)
        deadline = asyncio.get_running_loop().time() + 5
        request = AttemptRequest(Endpoint("127.0.0.1", port), "GET", "/", "id", deadline)
        head = await client.attempt(request)
        await head.read(100)
        await client.close()
        await stand_in.close()
        return dialect.read_notice(head.status, head.headers).load

    report = asyncio.run(main())
    assert (report.running, report.waiting, report.slots, report.slowness) == (3, 1, 8, 2.5)


def test_cancelled_attempt_closes_its_connection():
    """Guards against a server that keeps working for a caller that has left."""

    async def main():
        stand_in = BackendStandIn(never_respond)
        port = await stand_in.start()
        client = BackendClient(dialect=PlatformBackends())
        deadline = asyncio.get_running_loop().time() + 30
        request = AttemptRequest(Endpoint("127.0.0.1", port), "GET", "/", "id", deadline)
        task = asyncio.create_task(client.attempt(request))
        while not stand_in.requests:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait_for(stand_in.closed.wait(), 20)
        await client.close()
        await stand_in.close()

    asyncio.run(main())


def test_connection_with_an_unfinished_body_is_not_reused():
    """A server that responded early would read the next request as the rest of the body."""
    body = b"b" * 8_000_000

    async def main():
        backend = EarlyResponseBackend()
        port = await backend.start()
        client = BackendClient(dialect=PlatformBackends())
        deadline = asyncio.get_running_loop().time() + 30
        address = Endpoint("127.0.0.1", port)
        first = await client.attempt(
            AttemptRequest(address, "POST", "/", "id-1", deadline, body=body)
        )
        assert await first.read(100) == b"early"
        second = await client.attempt(AttemptRequest(address, "GET", "/", "id-2", deadline))
        assert await second.read(100) == b"early"
        backend.read_allowed.set()
        await client.close()
        await backend.close()
        return backend.received

    received = asyncio.run(main())
    assert len(received) == 2 and received[1].startswith(b"GET / ")
    head, _, received_body = received[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST / ") and body.startswith(received_body)


def test_cancelled_attempt_resets_its_connection():
    """A reset discards bytes in transit, which the server could otherwise get seconds later."""

    async def main():
        heads, disconnects = asyncio.Queue(), asyncio.Queue()

        async def serve(reader, writer):
            await heads.put(await reader.readuntil(b"\r\n\r\n"))
            try:
                await disconnects.put(await reader.read(1))
            except ConnectionError as error:
                await disconnects.put(error)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Endpoint("127.0.0.1", server.sockets[0].getsockname()[1])
        client = BackendClient(dialect=PlatformBackends())
        deadline = asyncio.get_running_loop().time() + 30
        attempt = asyncio.create_task(
            client.attempt(AttemptRequest(address, "GET", "/", "id-1", deadline))
        )
        await heads.get()
        attempt.cancel()
        disconnect = await asyncio.wait_for(disconnects.get(), 20)
        await client.close()
        server.close()
        return disconnect

    assert isinstance(asyncio.run(main()), ConnectionResetError)


def test_probe_tells_a_running_server_from_one_that_ended():
    """Guards against lost connections that are all taken, or never taken, for crashes."""

    async def main():
        stand_in = BackendStandIn()
        server = Endpoint("127.0.0.1", await stand_in.start())
        client = BackendClient(dialect=PlatformBackends())
        while_running = await client.can_connect(server)
        await stand_in.close()
        return while_running, await client.can_connect(server)

    assert asyncio.run(main()) == (True, False)


@pytest.mark.parametrize(
    "value, per_s",
    [("6.9", 6.9), ("0", 0.0), (" 12 ", 12.0), (None, None)]
    + [(value, None) for value in ("", "-1", "nan", "1e9", "7 a second", "9" * 400)],
)
def test_rate_limit_is_a_decimal_number(value, per_s):
    """Guards against a malformed limit that stops or floods a server."""
    headers = () if value is None else (("Server-Limit", value),)
    assert PlatformBackends().read_notice(200, headers).rate_limit_per_s == per_s


def test_refusal_carries_the_rate_limit_of_its_server():
    """Guards against a limit that is not read since it comes with a refusal."""
    results, _ = attempt_all([response(status=503, Not_Executed="1", Server_Limit="6.9")])
    notice = PlatformBackends().read_notice(results[0].status, results[0].headers)
    assert notice.rate_limit_per_s == 6.9


_HEAD = "HTTP/1.1 200 X\r\nRequest-Id: {id}\r\nResponse-Seal: 1\r\n"

# More than the sockets of both sides hold.
MAX_ACCEPTED_BYTES = 32 * 1024 * 1024


@pytest.mark.parametrize(
    "start, repeated",
    [
        ("", b"\r\n"),
        ("", b"HTTP/1.1 102 Processing\r\n\r\n"),
        ("HTTP/1.1 200 X\r\nX-Long: ", b"a"),
        ("HTTP/1.1 200 X\r\n", b"X-Field: a\r\n"),
        (_HEAD + "Transfer-Encoding: chunked\r\n\r\n1;x=", b"a"),
        (_HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", b"X-Field: a\r\n"),
        (_HEAD + "Transfer-Encoding: chunked\r\n\r\n", b"\x00\xff"),
    ],
    ids=["lines", "interim", "field", "fields", "extension", "trailer", "noise"],
)
def test_bytes_without_end_are_no_response(start, repeated):
    """Guards against bytes that occupy the VM until the deadline of the request."""
    script = EndlessResponse(start, repeated)
    results, _ = attempt_all([script])
    assert results[0].kind in (FailureKind.MALFORMED, FailureKind.TRUNCATED)
    assert script.sent_bytes < MAX_ACCEPTED_BYTES


def test_body_of_many_small_chunks_is_complete():
    """Guards against a limit on framing that rejects bodies."""

    async def script(head, writer):
        start = (_HEAD + "Transfer-Encoding: chunked\r\n\r\n").format(id=header(head, "Request-Id"))
        writer.write(start.encode() + b"1;note=a\r\na\r\n" * 50_000 + b"0\r\n\r\n")
        await writer.drain()

    results, _ = attempt_all([script])
    assert results == [(200, b"a" * 50_000)]


@pytest.mark.parametrize(
    "status, value, pause_s",
    [
        (503, "2", 2.0),
        (503, "0.25", 0.25),
        (503, "0", 0.0),
        (429, "2", None),
        (200, "2", None),
        (503, None, None),
    ]
    + [(503, value, None) for value in ("", "-1", "inf", "1e3", "Fri, 31 Dec 1999 23:59:59 GMT")],
)
def test_pause_is_a_decimal_number_with_status_503(status, value, pause_s):
    """Guards against a malformed pause that excludes a server, or one that is not asked for."""
    headers = () if value is None else (("Retry-After", value),)
    assert PlatformBackends().read_notice(status, headers).pause_s == pause_s


@pytest.mark.parametrize(
    "value, is_leaving", [("1", True), ("0", False), ("", False), ("yes", False), (None, False)]
)
def test_only_the_known_value_says_that_a_server_leaves(value, is_leaving):
    """Guards against servers that are left out for good by a malformed header."""
    headers = () if value is None else (("Server-Leaving", value),)
    assert PlatformBackends().read_notice(200, headers).is_leaving is is_leaving


def test_response_of_another_server_says_nothing_about_the_expected_one():
    """Guards against a server that is left out by the response of the next one at its address."""
    results, _ = attempt_all([response(status=421, Server_Leaving="1")])
    assert results[0].headers is None
