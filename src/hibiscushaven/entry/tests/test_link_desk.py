"""Links between regions: their caps hold, and bulk is refused first."""

import asyncio
from types import SimpleNamespace

import pytest

from hibiscushaven.documents import DocumentCatalog
from hibiscushaven.entry.link_desk import LinkDesk, LinkFullError, MeteredBody
from hibiscushaven.entry.requests import CallerAnswer

DOCUMENT = """
[service]
name = files
tenant = t
team = t
[class pull]
path = /*
methods = GET
idempotent = yes
size = long
deadline_ms = 20000
[place a1]
region = a
failure_domain = a1
capacity = 4
[place b1]
region = b
failure_domain = b1
capacity = 4
[server s1]
place = a1
address = 127.0.0.1:1
slots = 4
[server s2]
place = b1
address = 127.0.0.1:2
slots = 4
[link a b]
mbit_s = 80
"""


class Clock:
    def __init__(self):
        self.seconds = 100.0

    def now(self):
        return self.seconds


@pytest.fixture
def desk():
    catalog = DocumentCatalog()
    assert catalog.update("files", 1, DOCUMENT)
    entries = tuple(
        SimpleNamespace(failure_domain=domain, region=domain[0]) for domain in ("a1", "b1")
    )
    neighbours = SimpleNamespace(entries=entries, reachable_domains=lambda: frozenset(("a1", "b1")))
    membership = SimpleNamespace(
        set_part=lambda name, value: None, digest_part=lambda domain, name: {"a|b": 1}
    )
    desk = LinkDesk("a", catalog, membership, neighbours, Clock())
    desk.refresh()
    return desk


def enter(desk, domain, is_long=True):
    return desk.enter(desk._catalog.get("files").document, "pull", is_long, domain)


def test_own_region_needs_no_link(desk):
    """Guards against local traffic that is counted against a link."""
    assert enter(desk, "a1") is None


def test_bulk_is_refused_before_short_work(desk):
    """Guards against downloads that fill a link to its cap and keep short requests out."""
    passes = []
    with pytest.raises(LinkFullError):
        while True:
            passes.append(enter(desk, "b1"))
    assert passes
    assert enter(desk, "b1", is_long=False) is not None


def test_ended_bodies_give_their_part_back(desk):
    """Guards against reservations that outlive their requests."""

    async def pull():
        async def body():
            yield b"x" * 1000

        answer = MeteredBody(CallerAnswer(200, (), body()), enter(desk, "b1"), 0)
        chunks = [chunk async for chunk in answer]
        await answer.close()
        return chunks

    for _ in range(100):
        assert len(asyncio.run(pull())) == 1
        desk._clock.seconds += 1.0
    assert desk.levels["b"] < 0.1


def test_failed_request_gives_its_part_back(desk):
    """Guards against a link that fills up with requests that never had an answer."""
    level = desk.levels["b"]
    with pytest.raises(RuntimeError), enter(desk, "b1").closed_on_failure(0):
        raise RuntimeError
    assert desk.levels["b"] == level
