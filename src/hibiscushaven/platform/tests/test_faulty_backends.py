"""Backend servers that repeat a refusal or end in the middle of a response's head."""

import asyncio

import pytest

from hibiscushaven.delivery import AttemptError, AttemptRequest, BackendClient, FailureKind, Outcome
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.platform.dialects import PlatformBackends

from .backend_standin import BackendStandIn, close_connection, header, response
from .test_backends import attempt_all

REFUSALS = {
    "full": "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n{id}Content-Length: 0\r\n\r\n",
    "misdirected": "HTTP/1.1 421 X\r\nInstance-Id: i-2\r\n{id}Content-Length: 0\r\n\r\n",
}


class RepeatingServer:
    """Refuses the first request, and repeats that on the same connection.

    :ivar runs: ids of the requests that it has begun to run.
    """

    def __init__(self, status, names_request, is_repeated_while_idle):
        self.runs = []
        self._refusal = REFUSALS[status]
        self._names_request = names_request
        self._is_repeated_while_idle = is_repeated_while_idle
        self._first = None

    async def refuse(self, head, writer):
        field = f"Request-Id: {header(head, 'Request-Id')}\r\n" if self._names_request else ""
        self._first = writer, self._refusal.format(id=field).encode()
        writer.write(self._first[1])

    async def run(self, head, writer):
        self.runs.append(header(head, "Request-Id"))
        first_writer, refusal = self._first
        if writer is first_writer and not self._is_repeated_while_idle:
            writer.write(refusal)
        await response()(head, writer)

    async def repeat_while_idle(self):
        """Repeat the refusal between two requests, and wait until it has arrived."""
        if self._is_repeated_while_idle and not self.runs:
            writer, refusal = self._first
            writer.write(refusal)
            for _ in range(50):
                await asyncio.sleep(0)


@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("names_request", [True, False])
@pytest.mark.parametrize("is_repeated_while_idle", [True, False])
def test_repeated_refusal_is_no_proof_about_the_next_request(
    status, names_request, is_repeated_while_idle
):
    """Guards against a request that a server runs while its caller is told that it has not run."""
    server = RepeatingServer(status, names_request, is_repeated_while_idle)
    results, _ = attempt_all(
        [server.refuse, server.run],
        count=2,
        method="POST",
        body=b"order",
        between=server.repeat_while_idle,
    )
    assert results[0].outcome is (Outcome.NOT_RUN if names_request else Outcome.UNKNOWN)
    assert server.runs == ["id-1"]
    if isinstance(results[1], AttemptError):
        assert results[1].outcome is Outcome.UNKNOWN
    else:
        assert results[1] == (200, b"whole")


@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("is_connection_new", [True, False])
def test_refusal_that_names_no_request_is_no_proof_that_it_has_not_run(status, is_connection_new):
    """Guards against a caller that is told "not run" because of a stray refusal."""
    runs = []

    async def refuse_and_run(head, writer):
        runs.append(header(head, "Request-Id"))
        writer.write(REFUSALS[status].format(id="").encode())
        await response()(head, writer)

    scripts = [refuse_and_run] if is_connection_new else [response(b"first"), refuse_and_run]
    results, stand_in = attempt_all(scripts, count=len(scripts), method="POST", body=b"order")
    assert runs == [f"id-{len(scripts) - 1}"] and stand_in.connections == 1
    assert results[-1].outcome is Outcome.UNKNOWN
    assert results[-1].kind is FailureKind.UNNAMED_REFUSAL


def test_repeated_misdirection_is_no_proof_about_the_next_attempt_of_the_same_request():
    """Guards against two attempts at one address, whose server has been replaced, with one id."""
    runs = []

    async def misdirect(head, writer):
        writer.write(REFUSALS["misdirected"].format(id="Request-Id: id\r\n").encode())

    async def misdirect_again_and_run(head, writer):
        runs.append(header(head, "Request-Id"))
        if stand_in.connections == 1:
            await misdirect(head, writer)
        await response()(head, writer)

    async def main():
        port = await stand_in.start()
        client = BackendClient(dialect=PlatformBackends())
        deadline = asyncio.get_running_loop().time() + 30
        request = AttemptRequest(Endpoint("127.0.0.1", port), "POST", "/", "id", deadline)
        with pytest.raises(AttemptError, match="misdirected"):
            await client.attempt(request)
        head = await client.attempt(request)
        assert await head.read(100) == b"whole" and runs == ["id"]
        await client.close()
        await stand_in.close()

    stand_in = BackendStandIn(misdirect, misdirect_again_and_run)
    asyncio.run(main())


@pytest.mark.parametrize("status", [200, 302, 404, 500, 504])
def test_refusal_with_a_status_that_servers_do_not_refuse_with_is_no_proof(status):
    """Guards against a contradictory response that makes a request run twice."""
    results, _ = attempt_all([response(status=status, Not_Executed="1")], method="POST")
    assert results[0].outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("status", ["000", "001", "099", "600", "999"])
@pytest.mark.parametrize("fields", [{}, {"Not_Executed": "1"}])
def test_status_outside_of_the_classes_of_http_is_no_response(status, fields):
    """Guards against an answer whose status tells the caller nothing."""
    script = response(status=status, **fields)
    results, stand_in = attempt_all([script, response()], count=2, method="POST", body=b"order")
    assert results[0].kind is FailureKind.MALFORMED and results[0].outcome is Outcome.UNKNOWN
    assert results[1] == (200, b"whole") and stand_in.connections == 2


@pytest.mark.parametrize("status", [400, 429, 503])
def test_refusal_that_names_its_request_is_believed(status):
    """Guards against requests that fail although another server could run them."""
    results, _ = attempt_all([response(status=status, Not_Executed="1")], method="POST")
    assert results[0].outcome is Outcome.NOT_RUN and results[0].names_request


@pytest.mark.parametrize(
    ("status", "named_id"), [(421, "id-9"), (500, "id-9"), (503, "id-9"), (421, ""), (503, "")]
)
def test_response_is_not_used_for_a_request_without_an_id(status, named_id):
    """Guards against a caller without an id that gets the refusal or failure of another request."""
    fields = {"Not_Executed": "1"} if status == 503 else {}
    stray = f"HTTP/1.1 {status} X\r\nRequest-Id: {named_id}\r\nContent-Length: 0\r\n"
    stray += "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())

    async def refuse(head, writer):
        writer.write(f"{stray}\r\n".encode())

    results, _ = attempt_all([refuse], method="POST", body=b"order", request_id="")
    assert results[0].outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("status", [302, 404, 500, 504])
@pytest.mark.parametrize("is_connection_new", [True, False])
def test_response_that_names_no_request_is_not_that_of_the_next_one(status, is_connection_new):
    """Guards against a stray response that a caller gets for another request."""
    stray = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()

    async def respond_twice(head, writer):
        writer.write(stray)
        await response()(head, writer)

    scripts = [respond_twice] if is_connection_new else [response(b"first"), respond_twice]
    results, _ = attempt_all(scripts, count=len(scripts), method="POST", body=b"order")
    assert results[-1].kind is FailureKind.MALFORMED


HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nResponse-Seal: 1.2\r\nContent-Length: 12\r\n\r\n"


@pytest.mark.parametrize("length", range(len(HEAD)))
def test_response_that_ends_within_its_head_is_no_response(length):
    """Guards against an empty or shortened body that looks complete to the caller."""

    async def script(head, writer):
        writer.write(HEAD[:length])
        await close_connection(head, writer)

    results, _ = attempt_all([script])
    assert isinstance(results[0], AttemptError)
    assert results[0].outcome is Outcome.UNKNOWN
    assert results[0].kind in (FailureKind.CONNECTION_LOST, FailureKind.MALFORMED)


@pytest.mark.parametrize("framing", [b"", b"Transfer-Encoding: chunked\r\n"])
def test_response_without_a_length_that_ends_within_its_head_is_no_response(framing):
    """Guards against a head whose missing rest would have told how long the body is."""
    head_bytes = b"HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nResponse-Seal: 1.2\r\n" + framing

    async def script(head, writer):
        writer.write(head_bytes)
        await close_connection(head, writer)

    results, _ = attempt_all([script])
    assert isinstance(results[0], AttemptError)
