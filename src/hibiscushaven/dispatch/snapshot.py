"""State of a dispatcher for metrics and digests."""

from collections.abc import Mapping
from dataclasses import dataclass

from hibiscushaven.documents import RequestSize

__all__ = ["Snapshot"]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of a shard at one time.

    :ivar queued: number of waiting work items by size.
    :ivar in_progress: number of requests that may be running, by backend server.
    :ivar free_slots: free slots of the backend servers that are not ejected.
    :ivar predicted_wait_s: predicted wait of a new work item, by size.
    :ivar ejected_servers: slow backend servers that get only probes.
    :ivar quarantined: number of fingerprints quarantined here, not imported from elsewhere.
    """

    queued: Mapping[RequestSize, int]
    in_progress: Mapping[str, int]
    free_slots: int
    predicted_wait_s: Mapping[RequestSize, float]
    ejected_servers: tuple[str, ...]
    quarantined: int
