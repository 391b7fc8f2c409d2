"""Resuming of truncated bodies, and errors for those that cannot be resumed."""

import pytest

from hibiscushaven.delivery import (
    AttemptError,
    AttemptResponse,
    FailureKind,
    Headers,
    ResumableResponse,
)
from hibiscushaven.standins.content import content

from .support import BackendEnv, backend_env, in_loop

SIZE = 300_000


async def _body(
    env: BackendEnv, target: str, headers: Headers = (), resumes: int = 3
) -> ResumableResponse:
    async def resume(extra: Headers) -> AttemptResponse:
        return await env.send(target, headers=extra, use_new_connection=True)

    return ResumableResponse(await env.send(target, headers=headers), resume, resumes)


async def _read(body: ResumableResponse) -> bytes:
    return b"".join([chunk async for chunk in body])


@pytest.mark.parametrize("framing", ["", "?chunked=1"])
@pytest.mark.parametrize("stop", ["truncate", "reset", "stall"])
@in_loop
async def test_resumed_body_is_complete(stop: str, framing: str) -> None:
    """Guards against missing or repeated bytes at the boundary between two attempts."""
    async with backend_env(progress_s=0.3) as env:
        env.backend.faults.stops = [(stop, 100_000), (stop, 1)]
        body = await _body(env, f"/manifest/bytes-{SIZE}{framing}")
        assert await _read(body) == content(0, SIZE)
        assert (body.bytes_yielded, body.resumes) == (SIZE, 2)


@in_loop
async def test_resumed_range_is_complete() -> None:
    """Guards against resuming a range request at an offset from the start of the full body."""
    async with backend_env() as env:
        env.backend.faults.stops = [("truncate", 10)]
        body = await _body(env, f"/manual/bytes-{SIZE}", (("Range", "bytes=100-199"),))
        assert (body.status, await _read(body)) == (206, content(100, 200))


@in_loop
async def test_changed_body_is_not_resumed() -> None:
    """Guards against joining parts of two versions of a body."""
    async with backend_env() as env:
        env.backend.faults.stops = [("truncate", 100)]
        body = await _body(env, f"/manifest/bytes-{SIZE}")
        env.backend.faults.content_version = 2
        with pytest.raises(AttemptError) as caught:
            await _read(body)
        assert caught.value.kind is FailureKind.TRUNCATED


@pytest.mark.parametrize(
    ("sent_bytes", "change"),
    [
        (100, "reply-Content-Range=bytes%2050-299999/300000"),
        (100, "reply-Content-Range=bytes%20100-399999/400000"),
        (100, "reply-Content-Encoding=gzip"),
        (100, "reply-ETag=%22other%22"),
        (0, "status=500"),
    ],
)
@in_loop
async def test_mismatched_range_is_not_joined(sent_bytes: int, change: str) -> None:
    """Guards against joining a response that ignores ``Range`` or ``If-Range`` or is re-encoded."""
    async with backend_env() as env:
        target = f"/manifest/bytes-{SIZE}"
        env.backend.faults.stops = [("truncate", sent_bytes)]

        async def resume(extra: Headers) -> AttemptResponse:
            return await env.send(f"{target}?{change}", headers=extra)

        with pytest.raises(AttemptError) as caught:
            await _read(ResumableResponse(await env.send(target), resume))
        assert caught.value.kind is FailureKind.TRUNCATED


@in_loop
async def test_body_without_permitted_resume_fails() -> None:
    """Guards against resuming a request that must not be repeated, or beyond the limit."""
    async with backend_env() as env:
        env.backend.faults.stops = [("truncate", 100)] * 5
        body = ResumableResponse(await env.send(f"/order/bytes-{SIZE}", "POST", body=b"x"))
        with pytest.raises(AttemptError):
            await _read(body)
        assert env.backend.counters.started == 1
        body = await _body(env, f"/manifest/bytes-{SIZE}", resumes=2)
        with pytest.raises(AttemptError):
            await _read(body)
        assert (env.backend.counters.started, body.resumes) == (4, 2)
