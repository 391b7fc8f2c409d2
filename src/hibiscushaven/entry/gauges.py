"""Gauges of the state of one VM."""

from hibiscushaven.documents import DocumentCatalog, RequestSize
from hibiscushaven.membership import MembershipNode
from hibiscushaven.metrics import Metrics

from .owners import ShardOwners

__all__ = ["refresh_gauges"]


def refresh_gauges(
    metrics: Metrics,
    catalog: DocumentCatalog,
    membership: MembershipNode,
    owners: ShardOwners,
    open_claims: int,
) -> None:
    """Set the gauges to the current state.

    Gauges of queues and slots cover only the shards that this VM owns, so that their sum over
    all VMs is the total of the system.
    """
    metrics.gauge("peers_up").set(len(membership.view.up_vms) - 1)
    metrics.gauge("claims_open").set(open_claims)
    for entry in catalog.entries:
        document = entry.document
        labels = (document.tenant, document.name)
        metrics.gauge("document_revision", *labels).set(entry.revision)
        snapshots = [
            runner.snapshot
            for shard, runner in owners.runners.items()
            if shard.service == document.name
        ]
        for size in RequestSize:
            queued = sum(item.queued[size] for item in snapshots)
            metrics.gauge(f"queued_{size.value}", *labels).set(queued)
        in_progress = sum(sum(item.in_progress.values()) for item in snapshots)
        metrics.gauge("slots_in_progress", *labels).set(in_progress)
        metrics.gauge("slots_free", *labels).set(sum(item.free_slots for item in snapshots))
        ejected_count = sum(len(item.ejected_servers) for item in snapshots)
        metrics.gauge("servers_set_aside", *labels).set(ejected_count)
        quarantined = sum(item.quarantined for item in snapshots)
        metrics.gauge("requests_quarantined", *labels).set(quarantined)
