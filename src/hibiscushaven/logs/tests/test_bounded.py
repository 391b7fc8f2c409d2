"""Tests of the bounded log handler: it never blocks, and it reports dropped lines."""

import json
import logging
import os

import pytest

from hibiscushaven.logs import BoundedHandler


class _FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _record(level=logging.INFO, message="x"):
    return logging.makeLogRecord({"levelno": level, "msg": message})


def _read_all(reader):
    data = b""
    while True:
        try:
            chunk = os.read(reader, 1 << 20)
        except BlockingIOError:
            return data.decode().splitlines()
        data += chunk


def test_lines_beyond_the_rate_are_dropped_and_counted(pipe):
    """Guards against a flood of lines, and against lines that are dropped without a notice."""
    clock = _FakeClock()
    handler = BoundedHandler(pipe[1], lines_per_s=5, clock=clock)
    for _ in range(20):
        handler.emit(_record())
    assert len(_read_all(pipe[0])) == 5
    clock.now = 1.0
    handler.emit(_record(message="later"))
    notice, line = _read_all(pipe[0])
    assert json.loads(notice) == {"message": "lines dropped", "count": 15}
    assert line == "later"
    assert handler.dropped == 15


def test_warnings_ignore_the_rate(pipe):
    """Guards against warnings that are lost in a flood of lines."""
    handler = BoundedHandler(pipe[1], lines_per_s=1, clock=_FakeClock())
    for _ in range(4):
        handler.emit(_record(logging.WARNING))
    assert len(_read_all(pipe[0])) == 4


def test_stalled_reader_does_not_block(pipe):
    """Guards against a program that blocks on logging while its reader is stalled."""
    handler = BoundedHandler(pipe[1], lines_per_s=10**6, clock=_FakeClock())
    for _ in range(2000):
        handler.emit(_record(message="y" * 1000))
    assert handler.dropped > 0
    # The pipe is smaller than the buffer, so that it takes several rounds to empty both.
    for _ in range(10):
        _read_all(pipe[0])
        handler.flush()
    handler.emit(_record(message="end"))
    assert _read_all(pipe[0])[-1] == "end"
