"""Tests of the callers' interface over real sockets."""

import asyncio
import logging

import aiohttp
from expression import Error

from hibiscushaven.delivery import AttemptError
from hibiscushaven.delivery.outcome import FailureKind
from hibiscushaven.entry.problems import Problem

from .support import DOCUMENT, MAX_BODY_BYTES, TOKEN, TOKEN_SHA256, exchange, run_entry

PATH = "/v1/services/stock/items/1"


def call(method="GET", path=PATH, prepare=lambda entry: None, **options):
    """Send one request; return its response with the body read, and the router."""

    async def scenario(entry):
        prepare(entry)
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, entry.url + path, **options) as response,
        ):
            await response.read()
            return response, entry.router

    return run_entry(scenario)


def test_backend_cannot_override_outcome_and_request_id():
    """Guards against a backend server that reports its own response as not run."""

    def prepare(entry):
        entry.router.headers = (
            ("Request-Outcome", "not-run"),
            ("Request-Id", "forged"),
            ("Attempt-Id", "a1"),
            ("X-Shop", "1"),
        )

    response, _ = call(prepare=prepare)
    assert response.headers.getall("Request-Outcome") == ["run"]
    assert response.headers.getall("Request-Id") == ["request-1"]
    assert "Attempt-Id" not in response.headers
    assert response.headers["X-Shop"] == "1"


def test_credentials_and_control_headers_are_not_forwarded():
    """Guards against callers' tokens being forwarded to backend servers."""
    headers = {"Authorization": f"Bearer {TOKEN}", "Request-Timeout": "500", "X-Shop": "1"}
    _, router = call(headers=headers)
    (item,) = router.items
    forwarded = {name.lower(): value for name, value in item.request.headers}
    assert forwarded["x-shop"] == "1"
    assert not {"authorization", "request-timeout", "host"} & forwarded.keys()
    assert TOKEN not in str(item.request.headers)
    assert item.deadline == 100.5


def test_bad_request_timeout_is_refused():
    """Guards against a traceback, or a request without a deadline, on an invalid timeout."""
    for value in ("0", "-1", "1.5", "soon", "9" * 5000):
        response, router = call(headers={"Request-Timeout": value})
        assert (response.status, response.headers["Request-Outcome"]) == (400, "not-run"), value
        assert router.items == []


def test_body_at_the_limit_is_accepted_and_a_longer_one_gets_413():
    """Guards against an unbounded body, and against one that is truncated at the limit."""
    _, router = call("PUT", data=b"x" * MAX_BODY_BYTES)
    assert router.items[0].request.body == b"x" * MAX_BODY_BYTES
    response, router = call("PUT", data=b"x" * (MAX_BODY_BYTES + 1))
    assert (response.status, response.headers["Request-Outcome"]) == (413, "not-run")
    assert router.items == []


def test_caller_that_keeps_sending_gets_413():
    """Guards against a connection reset that discards the response while the body is sent."""
    head = b"PUT /v1/services/stock/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    chunk = b"10000\r\n" + b"y" * 65536 + b"\r\n"

    async def scenario(entry):
        long = b"x" * 3_000_000
        known = head + b"Content-Length: 3000000\r\n\r\n" + long
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 40 + b"0\r\n\r\n"
        return [await exchange(entry, data) for data in (known, chunked)]

    for response in run_entry(scenario):
        assert response.startswith(b"HTTP/1.1 413")
        assert response.endswith(b'"outcome": "not-run"}')


def test_expect_100_continue_with_a_body_that_is_too_long_gets_413():
    """Guards against transferring a body that is refused anyway."""
    head = b"PUT /v1/services/stock/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"

    async def scenario(entry):
        return await exchange(entry, head + b"Expect: 100-continue\r\nContent-Length: 9999\r\n\r\n")

    assert run_entry(scenario).startswith(b"HTTP/1.1 413")


def test_body_that_does_not_arrive_ends_the_request():
    """Guards against callers that use up max_requests without sending their bodies."""
    head = b"PUT /v1/services/stock/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"

    async def scenario(entry):
        entry.callers._body_timeout_s = 0.01
        response = await exchange(entry, head + b"Content-Length: 10\r\n\r\nab")
        return response, entry.callers.in_progress

    response, in_progress = run_entry(scenario)
    assert response.startswith(b"HTTP/1.1 408")
    assert in_progress == 0


def test_disconnect_while_sending_the_body_logs_no_error(caplog):
    """Guards against a traceback for each caller that disconnects."""
    head = b"PUT /v1/services/stock/a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nab"

    async def scenario(entry):
        _, writer = await asyncio.open_connection("127.0.0.1", entry.server.port)
        writer.write(head)
        await writer.drain()
        while not entry.callers.in_progress:
            await asyncio.sleep(0)
        writer.transport.abort()
        while entry.callers.in_progress:
            await asyncio.sleep(0)
        return entry.router.items

    with caplog.at_level(logging.ERROR):
        assert run_entry(scenario) == []
    assert caplog.records == []


def test_response_is_closed_even_if_its_body_is_never_read():
    """Guards against a slot that is not released if the caller leaves before the response."""

    async def scenario(entry):
        scope = {
            "type": "http",
            "method": "GET",
            "path": PATH,
            "raw_path": PATH.encode(),
            "query_string": b"",
            "headers": [],
            "asgi": {"spec_version": "2.3"},
        }
        events = [{"type": "http.request", "body": b"", "more_body": False}]
        waiting = asyncio.Event()

        async def receive():
            if events:
                return events.pop()
            # The caller stays until the router has the request, and leaves before the response.
            if not entry.router.items:
                await waiting.wait()
            return {"type": "http.disconnect"}

        async def send(message):
            await asyncio.sleep(0)

        app = entry.server._server.config.app
        await app(scope, receive, send)
        return entry.router.closed, entry.callers.in_progress

    assert run_entry(scenario) == (1, 0)


def test_truncated_response_is_not_complete():
    """Guards against a truncated body that appears complete to the caller."""

    def prepare(entry):
        entry.router.headers = (("Content-Length", "6"),)
        entry.router.chunks = [b"ans", AttemptError(FailureKind.TRUNCATED, "lost")]

    try:
        call(prepare=prepare)
    except aiohttp.ClientPayloadError:
        return
    raise AssertionError("the body was complete")


def test_too_many_requests_are_refused_at_once():
    """Guards against a VM that accepts more than max_requests requests."""

    async def scenario(entry):
        async with aiohttp.ClientSession() as session, session.get(entry.url + PATH) as response:
            return response.status, response.headers["Retry-After"]

    assert run_entry(scenario, max_requests=0) == (503, "1")


def test_refusal_of_the_router_reaches_the_caller():
    """Guards against a refusal that loses its outcome or its retry time."""
    problem = Problem(503, "request refused", "queue-too-long", retry_after_s=1.2)

    def prepare(entry):
        entry.router.result = Error(problem)

    response, _ = call(prepare=prepare)
    assert (response.status, response.headers["Request-Outcome"]) == (503, "not-run")
    assert response.headers["Retry-After"] == "2"
    assert response.content_type == "application/problem+json"


def test_only_listed_callers_are_served():
    """Guards against accepting no token, or one in another authorization scheme."""
    text = f"{DOCUMENT}[caller shop]\ntoken_sha256 = {TOKEN_SHA256}\n"

    async def scenario(entry):
        statuses = []
        async with aiohttp.ClientSession() as session:
            for value in ("", f"Basic {TOKEN}", "Bearer other", "Bearer", f"bearer {TOKEN}"):
                headers = {"Authorization": value} if value else {}
                async with session.get(entry.url + PATH, headers=headers) as response:
                    statuses.append(response.status)
        return statuses, [item.caller_name for item in entry.router.items]

    assert run_entry(scenario, text=text) == ([401, 401, 401, 401, 200], ["shop"])


def test_path_that_is_checked_is_the_path_that_is_sent():
    """Guards against an encoded slash that hides a control endpoint from the checks."""
    head = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    paths = (
        "/v1/services/stock%2Fitems/-/health",
        "/v1%2Fservices/stock/items",
        "/v1/services%2Fstock/items",
        "/v1/services/stoc%6b/items",
    )

    async def scenario(entry):
        responses = [await exchange(entry, f"GET {path}{head}".encode()) for path in paths]
        valid = f"GET /v1/services/stock/a%20b/c?x=%2F{head}"
        responses.append(await exchange(entry, valid.encode()))
        return [response[9:12] for response in responses], entry.router.items

    statuses, (item,) = run_entry(scenario)
    assert statuses == [b"400"] * len(paths) + [b"200"]
    assert (item.request.path, item.request.target) == ("/a b/c", "/a%20b/c?x=%2F")
