"""Tunable values of a dispatcher."""

from dataclasses import dataclass

__all__ = ["DispatchConfig"]


@dataclass(frozen=True, slots=True)
class DispatchConfig:
    """Policies of a dispatcher and their parameters.

    :ivar queue: name in the registry of queues.
    :ivar choice: name in the registry of backend server choices.
    :ivar is_hedging: whether late short requests get a second attempt.
    :ivar is_setting_aside: whether slow backend servers are set aside.
    :ivar long_share: most slots of a shard for long work while short work is about.
    :ivar long_floor_share: slots that long work keeps however much short work there is.
    :ivar short_memory_s: time for which short work counts as present after its arrival.
    :ivar ramp_s: time in which a cold backend server gets up to all its slots.
    :ivar attempt_limit: most attempts of a work item, hedges not counted.
    :ivar queue_limit: most work items that wait, whatever their deadlines.
    """

    queue: str = "class_shares"
    choice: str = "latency_aware"
    is_hedging: bool = True
    is_setting_aside: bool = True
    long_share: float = 0.75
    long_floor_share: float = 0.25
    short_memory_s: float = 10.0
    ramp_s: float = 5.0
    attempt_limit: int = 3
    queue_limit: int = 10_000
