"""Tests that link caps between regions hold and bulk traffic is refused first."""

import asyncio
from types import SimpleNamespace

import pytest

from hibiscushaven.documents import DocumentCatalog
from hibiscushaven.entry.link_budgets import LinkBudgets, LinkFullError, MeteredBody
from hibiscushaven.entry.requests import CallerResponse

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
def link_budgets():
    catalog = DocumentCatalog()
    assert catalog.update("files", 1, DOCUMENT)
    vm_records = tuple(
        SimpleNamespace(failure_domain=domain, region=domain[0]) for domain in ("a1", "b1")
    )
    topology = SimpleNamespace(
        vm_records=vm_records, reachable_domains=lambda: frozenset(("a1", "b1"))
    )
    membership = SimpleNamespace(
        set_attribute=lambda name, value: None, domain_attribute=lambda domain, name: {"a|b": 1}
    )
    link_budgets = LinkBudgets("a", catalog, membership, topology, Clock())
    link_budgets.refresh()
    return link_budgets


def reserve(link_budgets, domain, is_long=True):
    return link_budgets.reserve(
        link_budgets._catalog.get("files").document, "pull", is_long, domain
    )


def test_own_region_needs_no_link(link_budgets):
    """Guards against local traffic being counted against a link."""
    assert reserve(link_budgets, "a1") is None


def test_bulk_is_refused_before_short_work(link_budgets):
    """Guards against downloads that fill a link to its cap and block short requests."""
    reservations = []
    with pytest.raises(LinkFullError):
        while True:
            reservations.append(reserve(link_budgets, "b1"))
    assert reservations
    assert reserve(link_budgets, "b1", is_long=False) is not None


def test_completed_bodies_release_their_reservations(link_budgets):
    """Guards against reservations that outlive their requests."""

    async def download():
        async def body():
            yield b"x" * 1000

        metered = MeteredBody(CallerResponse(200, (), body()), reserve(link_budgets, "b1"), 0)
        chunks = [chunk async for chunk in metered]
        await metered.close()
        return chunks

    for _ in range(100):
        assert len(asyncio.run(download())) == 1
        link_budgets._clock.seconds += 1.0
    assert link_budgets.utilization["b"] < 0.1


def test_failed_request_releases_its_reservation(link_budgets):
    """Guards against a link that fills up with requests that never got a response."""
    utilization = link_budgets.utilization["b"]
    with pytest.raises(RuntimeError), reserve(link_budgets, "b1").closed_on_failure(0):
        raise RuntimeError
    assert link_budgets.utilization["b"] == utilization
