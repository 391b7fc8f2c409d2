"""What a dispatcher tells to metrics and digests."""

from collections.abc import Mapping
from dataclasses import dataclass

from hibiscushaven.documents import RequestSize

__all__ = ["Snapshot"]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state of a shard at one moment.

    :ivar queued: work items that wait, by size counted.
    :ivar in_progress: requests that may be running, by backend server.
    :ivar free_slots: slots that ordinary work could use now.
    :ivar predicted_wait_s: time until a new item of a size would start.
    :ivar set_aside: backend servers that get only probes.
    :ivar quarantined: number of fingerprints refused here and known first here.
    """

    queued: Mapping[RequestSize, int]
    in_progress: Mapping[str, int]
    free_slots: int
    predicted_wait_s: Mapping[RequestSize, float]
    set_aside: tuple[str, ...]
    quarantined: int
