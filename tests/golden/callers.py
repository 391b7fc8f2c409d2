"""Callers and operators: they speak HTTP with a VM's interface, without sockets."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from .backends import expected_body

__all__ = ["Call", "Reply", "exchange", "judge"]


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer as it arrived.

    :ivar is_whole: whether the answer was not cut off.
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = True

    @property
    def outcome(self) -> str:
        return self.headers.get("request-outcome", "unknown")

    @property
    def reason(self) -> str:
        """Why a request was refused; empty for an answer of a backend server."""
        if self.headers.get("content-type") != "application/problem+json":
            return ""
        problem = json.loads(self.body)
        return problem.get("detail") or problem["title"]


@dataclass(slots=True)
class Call:
    """A caller's request and what came of it.

    :ivar outcome: as the caller saw it; ``cut-off`` if the answer was not whole.
    """

    number: int
    method: str
    target: str
    body: bytes
    key: str | None
    vm: str
    started_at: float
    outcome: str = ""
    reply: Reply | None = None
    ended_at: float = 0.0

    @property
    def is_answered(self) -> bool:
        return self.outcome == "run" and self.reply.status == 200


def judge(call: Call, reply: Reply | None) -> str:
    """Return the outcome of a call, after a check that the answer belongs to it.

    :raises AssertionError: when it is complete and belongs to another request.
    """
    if reply is None:
        return "unknown"
    if not reply.is_whole:
        return "cut-off"
    if reply.status == 200:
        expected = expected_body(call.method, call.target, call.body)
        assert reply.body == expected, f"call {call.number}: {reply.body[:60]!r}"
    return reply.outcome


async def exchange(app, method: str, target: str, headers: Mapping[str, str], body: bytes) -> Reply:
    """Send a request to an ASGI application and return its answer."""
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
    except Exception as error:  # a server closes the connection then
        if not sent:
            raise AssertionError("no answer at all") from error
    start, *parts = sent
    is_whole = bool(parts) and not parts[-1].get("more_body", False)
    found = {name.decode(): value.decode() for name, value in start["headers"]}
    return Reply(start["status"], found, b"".join(p.get("body", b"") for p in parts), is_whole)
