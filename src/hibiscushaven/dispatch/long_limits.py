"""How many slots long work may use, so that short work always finds one."""

import math

from hibiscushaven.documents import ServiceDocument

from .config import DispatchConfig
from .servers import ServerState

__all__ = ["LongLimits"]

# Time over which the arriving short work is averaged.
_AVERAGE_S = 2.0
# Slots kept for short work above its mean use, in standard deviations of a Poisson load, and
# one more. The p99 of short work beside long work rose by at most 8% with 0.5, 5% with 1 and 2%
# with 1.5, while long work in progress fell by a tenth to a quarter with each step.
_RESERVE_DEVIATIONS = 1.0


class LongLimits:
    """Bounds on long work, over the shard and on each backend server.

    Explanation
    ===========

    Over the shard, long work gets what short work leaves free: the mean slots in use by short
    work and a reserve for its variation are kept back, so that long work at its limit does not
    make short work queue. The limit is at most ``long_share`` and at least
    ``long_floor_share`` of the slots. Without recent short work there is no limit.
    """

    def __init__(self, config: DispatchConfig) -> None:
        self._config = config
        self._serves_short = False
        self._short_load = 0.0
        self._short_at = -math.inf

    def set_document(self, document: ServiceDocument) -> None:
        self._serves_short = any(not item.is_long for item in document.classes)

    def note_short(self, now: float, cost_s: float) -> None:
        """Count a short request and its expected time in a slot."""
        self._short_load = self.short_load(now) + cost_s / _AVERAGE_S
        self._short_at = now

    def short_load(self, now: float) -> float:
        """Return the mean number of slots that the arriving short work needs."""
        return self._short_load * math.exp(-max(0.0, now - self._short_at) / _AVERAGE_S)

    def shard_limit(self, now: float, slots: int) -> int:
        """Return how many of a shard's slots long work may use."""
        if now - self._short_at > self._config.short_memory_s:
            return slots
        load = self.short_load(now)
        reserve = math.ceil(load + _RESERVE_DEVIATIONS * math.sqrt(load) + 1)
        floor = max(1, math.floor(self._config.long_floor_share * slots))
        most = max(1, math.floor(self._config.long_share * slots))
        return min(most, max(floor, slots - reserve))

    def server_room(self, state: ServerState) -> int:
        """Return how much more long work a backend server may take."""
        slots = state.server.slots
        limit = slots - 1 if self._serves_short and slots >= 2 else slots
        return limit - state.long_in_progress
