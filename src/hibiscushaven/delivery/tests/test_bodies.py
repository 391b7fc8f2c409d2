"""Bodies that break off are resumed or reported, never shown as complete."""

import pytest

from hibiscushaven.delivery import AttemptError, AttemptHead, CompleteBody, Headers, Stop
from hibiscushaven.standins.content import content

from .support import Scene, in_loop, scene

SIZE = 300_000


async def _body(it: Scene, target: str, headers: Headers = (), resumes: int = 3) -> CompleteBody:
    async def resume(extra: Headers) -> AttemptHead:
        return await it.head(target, headers=extra, use_new_connection=True)

    return CompleteBody(await it.head(target, headers=headers), resume, resumes)


async def _read(body: CompleteBody) -> bytes:
    return b"".join([chunk async for chunk in body])


@pytest.mark.parametrize("framing", ["", "?chunked=1"])
@pytest.mark.parametrize("stop", ["truncate", "reset", "stall"])
@in_loop
async def test_resumed_body_is_whole(stop: str, framing: str) -> None:
    """Guards against gaps and repeats where attempts meet."""
    async with scene(progress=0.3) as it:
        it.backend.faults.stops = [(stop, 100_000), (stop, 1)]
        body = await _body(it, f"/manifest/bytes-{SIZE}{framing}")
        assert await _read(body) == content(0, SIZE)
        assert (body.bytes_passed, body.resumes) == (SIZE, 2)


@in_loop
async def test_resumed_part_is_whole() -> None:
    """Guards against resuming a range request from the start of the whole body."""
    async with scene() as it:
        it.backend.faults.stops = [("truncate", 10)]
        body = await _body(it, f"/manual/bytes-{SIZE}", (("Range", "bytes=100-199"),))
        assert (body.status, await _read(body)) == (206, content(100, 200))


@in_loop
async def test_changed_body_is_not_joined() -> None:
    """Guards against a body made of two versions."""
    async with scene() as it:
        it.backend.faults.stops = [("truncate", 100)]
        body = await _body(it, f"/manifest/bytes-{SIZE}")
        it.backend.faults.content_version = 2
        with pytest.raises(AttemptError) as caught:
            await _read(body)
        assert caught.value.stop is Stop.TRUNCATED


@pytest.mark.parametrize(
    ("passed", "change"),
    [
        (100, "reply-Content-Range=bytes%2050-299999/300000"),
        (100, "reply-Content-Range=bytes%20100-399999/400000"),
        (100, "reply-Content-Encoding=gzip"),
        (100, "reply-ETag=%22other%22"),
        (0, "status=500"),
    ],
)
@in_loop
async def test_rest_that_does_not_fit_is_not_joined(passed: int, change: str) -> None:
    """Guards against a backend server that ignores the conditions or encodes anew."""
    async with scene() as it:
        target = f"/manifest/bytes-{SIZE}"
        it.backend.faults.stops = [("truncate", passed)]

        async def resume(extra: Headers) -> AttemptHead:
            return await it.head(f"{target}?{change}", headers=extra)

        with pytest.raises(AttemptError) as caught:
            await _read(CompleteBody(await it.head(target), resume))
        assert caught.value.stop is Stop.TRUNCATED


@in_loop
async def test_body_that_is_not_resumed() -> None:
    """Guards against a second attempt for a request that may not be sent twice."""
    async with scene() as it:
        it.backend.faults.stops = [("truncate", 100)] * 5
        body = CompleteBody(await it.head(f"/order/bytes-{SIZE}", "POST", body=b"x"))
        with pytest.raises(AttemptError):
            await _read(body)
        assert it.backend.counters.started == 1
        body = await _body(it, f"/manifest/bytes-{SIZE}", resumes=2)
        with pytest.raises(AttemptError):
            await _read(body)
        assert (it.backend.counters.started, body.resumes) == (4, 2)
