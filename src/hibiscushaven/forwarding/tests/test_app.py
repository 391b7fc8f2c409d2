"""The ASGI application for callers: bodies, truncated responses and disconnects."""

import asyncio
import tracemalloc

import pytest

from hibiscushaven.forwarding import (
    CallerApp,
    CallerRequest,
    CallerResponse,
    failure_response,
    rejection_response,
)
from hibiscushaven.forwarding.bodies import buffer_body
from hibiscushaven.process.tests.support import VirtualClock


class Dialect:
    id_header = "Request-Id"

    def read(self, headers, method, path, target, body, now):
        return CallerRequest("id", method, "h", path, target, headers, body, None, None, now)


class ScriptedForwarder:
    """Forwarder that returns the given response, or waits until it is cancelled."""

    def __init__(self, response=None):
        self.response = response
        self.requests = []
        self.was_cancelled = False

    async def handle(self, request):
        self.requests.append(request)
        if self.response is not None:
            return self.response
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise


def scope(method="GET", path=b"/a%2fb", query=b"x=1", state=None):
    return {
        "state": state or {},
        "type": "http",
        "method": method,
        "raw_path": path,
        "query_string": query,
        "headers": [(b"x-own", b"1")],
    }


def serve(forwarder, messages, is_leaving=False, **fields):
    """Serve one request, and return the ASGI messages that were sent."""

    async def main():
        app = CallerApp(forwarder, Dialect(), VirtualClock())
        app.is_leaving = is_leaving
        waiting = list(messages)
        sent = []

        async def receive():
            if waiting:
                return waiting.pop(0)
            await asyncio.sleep(3600)

        async def send(message):
            sent.append(message)

        await app(scope(**fields), receive, send)
        assert app.in_progress == 0
        return sent

    return asyncio.run(main())


def body(data=b"", has_more=False):
    return {"type": "http.request", "body": data, "more_body": has_more}


DISCONNECT = {"type": "http.disconnect"}


def test_target_and_body_are_forwarded_unchanged():
    """Guards against decoded targets, lost body parts and wrong response lengths."""
    forwarder = ScriptedForwarder(CallerResponse(200, (("X-Theirs", "2"),), b"whole"))
    messages = serve(forwarder, [body(b"a", True), body(b"b")], method="POST")
    request = forwarder.requests[0]
    assert (request.target, request.body) == ("/a%2fb?x=1", b"ab")
    assert dict(messages[0]["headers"]) == {b"x-theirs": b"2", b"content-length": b"5"}
    assert messages[1] == {"type": "http.response.body", "body": b"whole", "more_body": False}


@pytest.mark.parametrize("response", [rejection_response("full", 0.2), failure_response(502, "")])
def test_response_of_the_vm_itself_names_its_request(response):
    """Guards against a refusal that a caller takes for that of another request."""
    messages = serve(ScriptedForwarder(response), [body()])
    assert (b"request-id", b"id") in messages[0]["headers"]


def test_disconnect_of_the_caller_cancels_its_request():
    """Guards against attempts that continue after their caller has disconnected."""
    forwarder = ScriptedForwarder()
    assert serve(forwarder, [body(), DISCONNECT]) == []
    assert forwarder.was_cancelled


def test_disconnect_before_the_end_of_the_body_forwards_nothing():
    """Guards against requests that are forwarded with a truncated body."""
    forwarder = ScriptedForwarder()
    assert serve(forwarder, [body(b"a", True), DISCONNECT]) == []
    assert forwarder.requests == []


def test_leaving_vm_asks_callers_to_close_their_connections():
    """Guards against callers that keep using a VM that is about to stop."""
    messages = serve(ScriptedForwarder(CallerResponse(200, (), b"")), [body()], is_leaving=True)
    assert dict(messages[0]["headers"])[b"connection"] == b"close"


def test_truncated_response_does_not_look_complete():
    """Guards against a truncated body that is ended like a complete one."""

    async def truncated_body():
        yield b"more"
        raise ConnectionResetError

    messages = []
    with pytest.raises(ConnectionResetError):
        messages = serve(
            ScriptedForwarder(CallerResponse(200, (), b"begin", truncated_body(), 100)), [body()]
        )
    assert not any(not message.get("more_body", True) for message in messages)


@pytest.mark.parametrize(
    ("response", "drops"),
    [
        (rejection_response("busy", 0.2), True),
        (rejection_response("no such route", None, status=404), False),
        (CallerResponse(503, ()), False),
        (CallerResponse(200, ()), False),
    ],
)
def test_requests_behind_a_rejected_one_are_dropped(response, drops):
    """Guards against queued requests that do not wait as the response before them asks."""
    dropped = []
    state = {"drop_queued_requests": lambda: dropped.append(True)}
    serve(ScriptedForwarder(response), [body()], state=state)
    assert bool(dropped) is drops


def test_request_whose_body_is_rejected_is_not_forwarded():
    """Guards against forwarding a part of a body that the server has no memory for."""
    forwarder = ScriptedForwarder(CallerResponse(200, ()))
    part = {"type": "http.request", "body": b"x" * 11, "more_body": True}
    assert serve(forwarder, [part, {"type": "http.disconnect"}]) == []
    assert forwarder.requests == []


def test_body_in_small_pieces_takes_little_more_than_its_size():
    """Guards against bodies whose pieces take many times their size."""
    forwarder = ScriptedForwarder(CallerResponse(200, ()))
    part = {"type": "http.request", "body": b"ab", "more_body": True}
    tracemalloc.start()
    try:
        serve(forwarder, [*[part] * 50_000, body(b"")])
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert forwarder.requests[0].body == b"ab" * 50_000
    # The list of messages takes eight bytes for each.
    assert peak_bytes < 2 * 50_000 * 8 + 4 * 100_000


def test_response_is_passed_on_as_it_arrives_where_there_is_no_room_to_hold_it():
    """Guards against responses that are held completely whatever memory is left."""

    async def chunks():
        for _ in range(5):
            yield b"x" * 10

    async def main():
        held = []
        start, stream = await buffer_body(chunks(), lambda size: held.append(size) or size <= 40)
        assert (start, held) == (b"x" * 30, [20, 40, 60])
        assert [chunk async for chunk in stream] == [b"x" * 10] * 2

    asyncio.run(main())
