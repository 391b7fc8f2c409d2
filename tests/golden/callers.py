"""Requests of callers and operators to the ASGI application of a VM, without sockets."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from .backends import expected_body

__all__ = ["Call", "Response", "determine_outcome", "send_request"]


@dataclass(frozen=True, slots=True)
class Response:
    """A response as received.

    :ivar is_complete: whether the whole body was received.
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = True

    @property
    def outcome(self) -> str:
        return self.headers.get("request-outcome", "unknown")

    @property
    def reason(self) -> str:
        """Why a request was refused; empty for a response of a backend server."""
        if self.headers.get("content-type") != "application/problem+json":
            return ""
        problem = json.loads(self.body)
        return problem.get("detail") or problem["title"]


@dataclass(slots=True)
class Call:
    """A caller's request and its result.

    :ivar outcome: outcome that the caller saw; ``cut-off`` if the response was incomplete.
    """

    number: int
    method: str
    target: str
    body: bytes
    key: str | None
    vm: str
    started_at: float
    outcome: str = ""
    response: Response | None = None
    ended_at: float = 0.0

    @property
    def is_answered(self) -> bool:
        return self.outcome == "run" and self.response.status == 200


def determine_outcome(call: Call, response: Response | None) -> str:
    """Return the outcome of a call, after a check that the response belongs to it.

    :raises AssertionError: if the response is complete and belongs to another request.
    """
    if response is None:
        return "unknown"
    if not response.is_complete:
        return "cut-off"
    if response.status == 200:
        expected = expected_body(call.method, call.target, call.body)
        assert response.body == expected, f"call {call.number}: {response.body[:60]!r}"
    return response.outcome


async def send_request(
    app, method: str, target: str, headers: Mapping[str, str], body: bytes
) -> Response:
    """Send a request to an ASGI application and return its response."""
    path, _, query = target.partition("?")
    scope = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.4"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path,
        "raw_path": path.encode(),
        "query_string": query.encode(),
        "root_path": "",
        "headers": [(name.lower().encode(), value.encode()) for name, value in headers.items()],
        "client": ("192.0.2.1", 40000),
        "server": ("192.0.2.2", 8080),
    }
    incoming = [{"type": "http.request", "body": body, "more_body": False}]
    sent: list[dict] = []

    async def receive() -> dict:
        if not incoming:
            await asyncio.Event().wait()  # the caller stays connected
        return incoming.pop()

    async def send(message: dict) -> None:
        sent.append(message)

    try:
        await app(scope, receive, send)
    except Exception as error:  # a server would close the connection
        if not sent:
            raise AssertionError("the application raised before it sent a response") from error
    start, *parts = sent
    is_complete = bool(parts) and not parts[-1].get("more_body", False)
    response_headers = {name.decode(): value.decode() for name, value in start["headers"]}
    return Response(
        start["status"], response_headers, b"".join(p.get("body", b"") for p in parts), is_complete
    )
