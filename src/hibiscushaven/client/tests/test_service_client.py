"""The client for callers, tested with fake entry VMs."""

import asyncio
import json
import random

import pytest
from aiohttp import web

from hibiscushaven.client import (
    AlreadyRunError,
    NoEntryError,
    OutcomeUnknownError,
    RefusedError,
    ServiceClient,
)


class FakeEntryVm:
    """Entry VM that sends prepared responses and records the requests."""

    def __init__(self):
        self.responses = []
        self.requests = []
        self.ports = []

    async def handle(self, request):
        if request.path.startswith("/v1/lookup/"):
            vms = [
                {"address": "127.0.0.1", "port": port, "region": "r", "failure_domain": "d"}
                for port in self.ports
            ]
            body = {"service": "stock", "entries": vms, "keep_s": 60, "revision": 1}
            return web.json_response(body)
        self.requests.append((request.method, request.headers, await request.read()))
        response = self.responses.pop(0) if self.responses else (200, "run", {})
        if response == "reset":
            request.transport.abort()
            return web.Response()
        status, outcome, problem = response
        if not problem:
            return web.Response(status=status, body=b"ok", headers={"Request-Outcome": outcome})
        return web.Response(
            status=status,
            body=json.dumps(problem),
            content_type="application/problem+json",
            headers={"Request-Outcome": outcome},
        )


BUSY = (503, "not-run", {"title": "busy", "retry_after_s": 0.001})


def send_request(responses, method="GET", **options):
    """Send a request; return its result and the requests that the entry VM received."""

    async def scenario():
        entry = FakeEntryVm()
        entry.responses = list(responses)
        runner = web.ServerRunner(web.Server(entry.handle))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        entry.ports = [port]
        try:
            url = f"http://127.0.0.1:{port}"
            async with ServiceClient("stock", [url], "token-1", random.Random(1)) as client:
                return await client.request(method, "/items", b"body", **options)
        except (RefusedError, OutcomeUnknownError, AlreadyRunError) as error:
            return error
        finally:
            received.extend(entry.requests)
            await runner.cleanup()

    received = []
    return asyncio.run(asyncio.wait_for(scenario(), 60)), received


def test_refused_request_is_retried():
    """Guards against giving up on a refused request that was not run."""
    response, requests = send_request([BUSY, BUSY], "POST")
    assert (response.status, response.body, response.tries) == (200, b"ok", 3)
    assert len({headers["Idempotency-Key"] for _, headers, _ in requests}) == 1
    assert {headers["Authorization"] for _, headers, _ in requests} == {"Bearer token-1"}


def test_retry_after_lost_response_has_the_same_key():
    """Guards against running a request twice because its retry has a new idempotency key."""
    response, requests = send_request(["reset"], "POST")
    assert response.status == 200
    assert len(requests) == 2
    assert len({headers["Idempotency-Key"] for _, headers, _ in requests}) == 1


def test_caller_errors_are_final():
    """Guards against retrying an invalid request."""
    for status in (400, 401, 413, 422):
        result, requests = send_request([(status, "not-run", {"title": "bad"})])
        assert isinstance(result, RefusedError)
        assert (result.status, len(requests)) == (status, 1)


def test_unstored_result_is_distinguished_from_unknown_outcome():
    """Guards against retrying a request that has run but whose response was not stored."""
    result, _ = send_request([(409, "run", {"title": "already run"})], "POST")
    assert isinstance(result, AlreadyRunError)
    result, requests = send_request([(409, "unknown", {"title": "outcome unknown"})], "POST")
    assert isinstance(result, OutcomeUnknownError)
    assert len(requests) == 1


def test_problem_of_the_service_is_a_response():
    """Guards against mistaking a problem response of the service for one of an entry VM."""
    response, _ = send_request([(404, "run", {"title": "no such item"})])
    assert (response.status, response.tries) == (404, 1)


def test_unreachable_entry_vms_are_an_error():
    """Guards against a look-up that waits indefinitely."""

    async def scenario():
        async with ServiceClient("stock", ["http://127.0.0.1:1"]) as client:
            await client.request("GET", "/items")

    with pytest.raises(NoEntryError, match="'stock'"):
        asyncio.run(scenario())
