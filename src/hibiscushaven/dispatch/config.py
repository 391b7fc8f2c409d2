"""Configuration of a dispatcher."""

from dataclasses import dataclass

__all__ = ["DispatchConfig"]


@dataclass(frozen=True, slots=True)
class DispatchConfig:
    """Policies and parameters of a dispatcher.

    :ivar queue_policy: name in the registry of queue policies.
    :ivar balancing_policy: name in the registry of balancing policies.
    :ivar is_hedging: whether late short requests get a second, concurrent attempt.
    :ivar is_ejecting_outliers: whether slow backend servers are avoided, and some ejected.
    :ivar long_share: upper bound of the share of slots for long work while there is short work.
    :ivar long_floor_share: lower bound of the share of slots for long work.
    :ivar short_memory_s: time after its last arrival for which short work limits long work.
    :ivar ramp_s: slow start: time over which the usable slots of a cold backend server grow.
    :ivar attempt_limit: maximum number of attempts of a work item, not counting hedges.
    :ivar queue_limit: maximum number of queued work items.
    """

    queue_policy: str = "class_shares"
    balancing_policy: str = "latency_aware"
    is_hedging: bool = True
    is_ejecting_outliers: bool = True
    long_share: float = 0.75
    long_floor_share: float = 0.25
    short_memory_s: float = 10.0
    ramp_s: float = 5.0
    attempt_limit: int = 3
    queue_limit: int = 10_000
