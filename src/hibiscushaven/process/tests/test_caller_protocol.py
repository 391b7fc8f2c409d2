"""Limits on connections of callers, tested without a network and in virtual time."""

import asyncio

import pytest

from hibiscushaven.process import ConnectionLimits

from .connections import CHUNKED, HEAD, OFFER, PARTIAL_BODY, Connection


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


def test_rejected_head_is_the_last_that_is_answered(run_scenario):
    """Guards against a second response to the bytes behind a rejected head."""

    async def scenario(connection):
        head = b"GET /x/1 HTTP/1.1\r\nLong: " + b"x" * 300 + b"\r\n\r\n"
        await connection.receive(head + b"\x00 no request\r\n\r\n")
        assert connection.written.startswith(b"HTTP/1.1 431 ")
        assert connection.written.count(b"HTTP/1.1 ") == 1

    run_scenario(scenario)


def test_client_that_still_sends_can_read_its_rejection(run_scenario):
    """Guards against a reset that loses the response, and a connection that never closes."""

    async def scenario(connection):
        await connection.receive(b"GET /x/1 HTTP/1.1\r\nLong: " + b"x" * 300)
        for _ in range(12):
            connection.loop.advance(0.8)
            await connection.receive(b"more")
            assert not connection.transport.is_closed
        connection.loop.advance(0.8)
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


@pytest.mark.parametrize("has_complete_request_between", [True, False])
def test_stalled_body_of_a_later_request_is_not_answered_before_earlier_ones(
    run_scenario, has_complete_request_between
):
    """Guards against a rejection that a caller takes for that of a request in progress."""

    async def scenario(connection):
        between = PARTIAL_BODY + b"second" if has_complete_request_between else b""
        await connection.receive(HEAD + between + PARTIAL_BODY)
        connection.loop.advance(15.1)
        await connection.settle()
        assert connection.written == b"" and not connection.transport.is_closed
        connection.app.may_respond.set()
        await connection.settle()
        responses = 2 if has_complete_request_between else 1
        assert connection.written.count(b"HTTP/1.1 ") == responses
        assert connection.written.count(b"HTTP/1.1 200 ") == responses
        assert connection.written.count(b"connection: close") == 1
        assert connection.transport.is_closed
        assert len(connection.app.requests) == responses

    run_scenario(scenario)


def test_malformed_body_of_a_later_request_ends_the_connection_after_earlier_ones(run_scenario):
    """Guards against a queued request that waits for the rest of its body for good."""

    async def scenario(connection):
        head = b"POST /x/2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        await connection.receive(HEAD + head + b"no chunk\r\n")
        assert connection.written == b""
        connection.app.may_respond.set()
        await connection.settle()
        assert connection.written.startswith(b"HTTP/1.1 200 ") and b"400" not in connection.written
        assert connection.transport.is_closed and connection.app.events == ["read"]

    run_scenario(scenario)


def test_log_and_response_name_the_request_whose_body_stalled(run_scenario, caplog):
    """Guards against rejections whose request is unknown to the operator or the caller."""

    async def scenario(connection):
        await connection.receive(PARTIAL_BODY.replace(b"Host", b"Request-Id: id-1\r\nHost"))
        connection.loop.advance(15.1)
        await connection.settle()
        line = next(item for item in caplog.records if item.msg == "request of a caller refused")
        assert (line.request_id, line.status, line.not_run_by) == ("id-1", 408, "vm")
        assert b"\r\nrequest-id: id-1\r\n" in connection.written

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


FORGED = b"POST /x/forged HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


def offering_requests(body):
    """Return requests with an offer of another protocol, by the framing of their body."""
    start = b"POST /x/1 HTTP/1.1\r\nHost: a\r\n" + OFFER
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return {
        "length": start + length + body,
        "chunks": start + b"Transfer-Encoding: chunked\r\n\r\n" + chunks,
    }


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("size", [1, 7, 10_000])
@pytest.mark.parametrize("body", [b"slot=1", FORGED])
def test_body_behind_an_offer_of_another_protocol_is_read(run_scenario, framing, size, body):
    """Guards against a body that is lost, or run as a request that no caller sent."""

    async def scenario(connection):
        connection.limits = ConnectionLimits(1000, 3.0, idle_timeout_s=15.0)
        connection.app.may_respond.set()
        data = offering_requests(body)[framing]
        for _ in range(2):
            for start in range(0, len(data), size):
                await connection.receive(data[start : start + size])
        await connection.receive(HEAD)
        expected = [("POST", b"/x/1", body)] * 2 + [("GET", b"/x/1", b"")]
        assert connection.app.requests == expected
        assert connection.written.count(b"HTTP/1.1 200") == 3
        assert not connection.transport.is_closed

    run_scenario(scenario)


@pytest.mark.parametrize("fields", [b"", b"Content-Length: 0\r\n"])
def test_request_behind_an_offer_without_a_body_is_read(run_scenario, fields):
    """Guards against a request that is lost with the offer before it."""

    async def scenario(connection):
        connection.limits = ConnectionLimits(1000, 3.0, idle_timeout_s=15.0)
        connection.app.may_respond.set()
        offer = b"GET /x/0 HTTP/1.1\r\nHost: a\r\n" + OFFER + fields + b"\r\n"
        await connection.receive(offer + HEAD)
        await connection.settle()
        assert connection.app.requests == [("GET", b"/x/0", b""), ("GET", b"/x/1", b"")]

    run_scenario(scenario)


def test_tunnel_is_refused(run_scenario):
    """Guards against bytes of a tunnel that run as requests."""

    async def scenario(connection):
        connection.app.may_respond.set()
        await connection.receive(b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n" + FORGED)
        assert connection.app.requests == [] and connection.transport.is_closed
        assert connection.written.startswith(b"HTTP/1.1 400 ")

    run_scenario(scenario)


def test_response_in_progress_precedes_the_one_to_bytes_that_are_no_request(run_scenario):
    """Guards against an answer to stray bytes that a caller takes for that to its request."""

    async def scenario(connection):
        await connection.receive(HEAD)
        await connection.receive(b"\x00\x01 no request\r\n\r\n")
        assert connection.written == b"" and not connection.transport.is_closed
        connection.app.may_respond.set()
        await connection.settle()
        assert connection.written.startswith(b"HTTP/1.1 200") and b"400" not in connection.written
        assert connection.transport.is_closed

    run_scenario(scenario)


def test_request_with_a_malformed_body_is_not_forwarded(run_scenario):
    """Guards against a request that runs with a part of its body and is answered 400."""

    async def scenario(connection):
        head = b"POST /x/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        await connection.receive(head + b"3\r\nabc\r\n")
        await connection.receive(b"no chunk\r\n")
        assert connection.written.startswith(b"HTTP/1.1 400 ")
        assert connection.app.events == ["left"] and connection.app.requests == []

    run_scenario(scenario)


@pytest.mark.parametrize("offer", [b"", OFFER])
@pytest.mark.parametrize("size", [7, 10_000])
def test_trailers_without_end_are_rejected(run_scenario, offer, size):
    """Guards against trailers that are stored without a bound."""

    async def scenario(connection):
        data = CHUNKED + offer + b"\r\n2\r\nab\r\n0\r\n" + 100 * b"a:\r\n"
        for start in range(0, len(data), size):
            await connection.receive(data[start : start + size])
        assert connection.written.startswith(b"HTTP/1.1 431 ")
        assert connection.app.events == ["left"]

    run_scenario(scenario)


@pytest.mark.parametrize("offer", [b"", OFFER])
def test_trailers_are_no_header_fields(run_scenario, offer):
    """Guards against trailers that are forwarded as fields of the head."""

    async def scenario(connection):
        connection.app.may_respond.set()
        end = b"0\r\nHost: b\r\nX-Late: 1\r\n\r\n"
        await connection.receive(CHUNKED + offer + b"\r\n2\r\nab\r\n" + end)
        assert connection.app.requests == [("POST", b"/x/1", b"ab")]
        names = [name for name, _ in connection.app.fields[0]]
        assert names.count(b"host") == 1 and b"x-late" not in names

    run_scenario(scenario)


def test_trailers_are_counted_without_the_body(run_scenario):
    """Guards against a body that counts as part of the trailers behind it."""

    async def scenario(connection):
        connection.app.may_respond.set()
        await connection.receive(CHUNKED + b"\r\n12c\r\n" + b"x" * 300 + b"\r\n0\r\n")
        await connection.receive(b"X-Late: 1\r\n\r\n")
        assert connection.written.startswith(b"HTTP/1.1 200")

    run_scenario(scenario)


def test_trailers_of_a_queued_request_end_the_connection_after_earlier_ones(run_scenario):
    """Guards against a rejection that a caller takes for that of a request in progress."""

    async def scenario(connection):
        await connection.receive(HEAD)
        await connection.receive(CHUNKED + b"\r\n0\r\n" + 100 * b"a:\r\n")
        assert connection.written == b""
        connection.app.may_respond.set()
        await connection.settle()
        assert connection.written.startswith(b"HTTP/1.1 200") and b"431" not in connection.written
        assert connection.transport.is_closed and len(connection.app.requests) == 1

    run_scenario(scenario)


def test_head_of_short_lines_counts_as_long_as_it_is(run_scenario):
    """Guards against refusing a head within the limit whose lines have no space."""

    async def scenario(connection):
        connection.app.may_respond.set()
        start = b"GET /x/1 HTTP/1.1\r\nHost: a\r\n"
        fields = b"1f:\r\n" * ((connection.limits.max_head_bytes - len(start) - 2) // 5)
        await connection.receive(start + fields + b"\r\n")
        assert connection.written.startswith(b"HTTP/1.1 200")

    run_scenario(scenario)
