"""The coroutines behind the ``standin`` commands serve until they are cancelled."""

import asyncio
from collections.abc import Callable, Coroutine

import pytest

from hibiscushaven.delivery.tests.support import HOST, free_port, in_loop
from hibiscushaven.standins import run_backend, run_backends, run_forwarder, run_platform

Run = Callable[[int], Coroutine[None, None, None]]


async def _is_open(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(HOST, port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


@pytest.mark.parametrize(
    "run",
    [
        lambda port: run_backend(HOST, port),
        lambda port: run_backends(HOST, (free_port(), port)),
        lambda port: run_platform(HOST, port),
        lambda port: run_forwarder(HOST, port, HOST, 1),
    ],
    ids=["backend", "backends", "platform", "forwarder"],
)
@in_loop
async def test_serves_until_cancelled(run: Run) -> None:
    """Guards against a stand-in that returns at once or keeps its port open after it ended."""
    port = free_port()
    task = asyncio.create_task(run(port))
    while not await _is_open(port):
        assert not task.done()
    task.cancel()
    await asyncio.wait([task])
    assert task.cancelled()
    assert not await _is_open(port)
