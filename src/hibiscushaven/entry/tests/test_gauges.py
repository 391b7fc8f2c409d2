"""Tests that gauges show the current state and not sums over time."""

from types import SimpleNamespace

from hibiscushaven.documents import DocumentCatalog, RequestSize
from hibiscushaven.entry.gauges import refresh_gauges
from hibiscushaven.metrics import Metrics, to_text
from hibiscushaven.slots import Shard

from .test_link_budgets import DOCUMENT


def shard(queued):
    return SimpleNamespace(
        snapshot=SimpleNamespace(
            queued={RequestSize.SHORT: queued, RequestSize.LONG: 0},
            in_progress={"s1": 2, "s2": 1},
            free_slots=4,
            ejected_servers=("s2",),
            quarantined=0,
        )
    )


def test_gauges_follow_the_shards_that_are_owned():
    """Guards against gauges that include a shard that another VM owns now."""
    catalog, metrics = DocumentCatalog(), Metrics()
    catalog.update("files", 7, DOCUMENT)
    membership = SimpleNamespace(view=SimpleNamespace(up_vms=frozenset({"me", "other"})))
    owners = SimpleNamespace(runners={Shard("files"): shard(3), Shard("other"): shard(9)})
    refresh_gauges(metrics, catalog, membership, owners, 5)
    text = to_text(metrics)
    assert 'queued_short{tenant="t",class="files"} 3' in text
    assert 'slots_in_progress{tenant="t",class="files"} 3' in text
    assert 'document_revision{tenant="t",class="files"} 7' in text
    assert "peers_up 1" in text
    owners.runners.clear()
    refresh_gauges(metrics, catalog, membership, owners, 0)
    assert 'queued_short{tenant="t",class="files"} 0' in to_text(metrics)
