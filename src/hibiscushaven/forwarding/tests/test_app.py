"""The application for callers over ASGI: bodies, cut answers, callers that leave."""

import asyncio

import pytest

from hibiscushaven.forwarding import Answer, CallerApp, CallerRequest
from hibiscushaven.forwarding import app as app_module
from hibiscushaven.process.tests.support import VirtualClock


class Dialect:
    def read(self, headers, method, path, target, body, now):
        return CallerRequest("id", method, "h", path, target, headers, body, None, None, now)


class Scripted:
    """Forwarder that returns one answer, or waits until it is cancelled."""

    def __init__(self, answer=None):
        self.answer = answer
        self.requests = []
        self.was_cancelled = False

    async def handle(self, request):
        self.requests.append(request)
        if self.answer is not None:
            return self.answer
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise


def scope(method="GET", path=b"/a%2fb", query=b"x=1"):
    return {
        "type": "http",
        "method": method,
        "raw_path": path,
        "query_string": query,
        "headers": [(b"x-own", b"1")],
    }


def serve(forwarder, messages, is_leaving=False, **fields):
    """Run one request; return what was sent."""

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


LEFT = {"type": "http.disconnect"}


def test_target_and_body_arrive_as_they_were_sent():
    forwarder = Scripted(Answer(200, (("X-Theirs", "2"),), b"whole"))
    sent = serve(forwarder, [body(b"a", True), body(b"b")], method="POST")
    request = forwarder.requests[0]
    assert (request.target, request.body) == ("/a%2fb?x=1", b"ab")
    assert dict(sent[0]["headers"]) == {b"x-theirs": b"2", b"content-length": b"5"}
    assert sent[1] == {"type": "http.response.body", "body": b"whole", "more_body": False}


def test_caller_that_leaves_cancels_its_request():
    forwarder = Scripted()
    assert serve(forwarder, [body(), LEFT]) == []
    assert forwarder.was_cancelled


def test_caller_that_leaves_within_its_body_is_not_forwarded():
    forwarder = Scripted()
    assert serve(forwarder, [body(b"a", True), LEFT]) == []
    assert forwarder.requests == []


def test_stopping_vm_asks_callers_to_reconnect():
    sent = serve(Scripted(Answer(200, (), b"")), [body()], is_leaving=True)
    assert dict(sent[0]["headers"])[b"connection"] == b"close"


def test_answer_that_breaks_off_does_not_look_complete():
    async def rest():
        yield b"more"
        raise ConnectionResetError

    sent = []
    with pytest.raises(ConnectionResetError):
        sent = serve(Scripted(Answer(200, (), b"begin", rest(), 100)), [body()])
    assert not any(not message.get("more_body", True) for message in sent)


def test_bodies_beyond_the_memory_for_them_are_refused(monkeypatch):
    monkeypatch.setattr(app_module, "MAX_BODIES_BYTES", 10)
    forwarder = Scripted(Answer(200, ()))
    sent = serve(forwarder, [body(b"x" * 11)])
    assert sent[0]["status"] == 413 and forwarder.requests == []
