"""Selection of the backend server for the next attempt of a work item."""

import math
import random

from .balancing import BALANCING_POLICIES
from .config import DispatchConfig
from .items import ItemState
from .long_work_limits import LongWorkLimits
from .outliers import OutlierDetector
from .servers import ServerPool, ServerState

__all__ = ["ServerSelector"]


class ServerSelector:
    """Selects among the backend servers with a free slot that an item may use.

    Explanation
    ===========

    Slow servers are avoided: they get probes, work that would wait longer for another server,
    and work that no other server may run. The balancing policy decides among the others.
    """

    def __init__(
        self,
        config: DispatchConfig,
        servers: ServerPool,
        outliers: OutlierDetector,
        long_work_limits: LongWorkLimits,
        is_limiting_long: bool,
        rng: random.Random,
    ) -> None:
        self._servers = servers
        self._outliers = outliers
        self._long_work_limits = long_work_limits
        self._is_limiting_long = is_limiting_long
        self._is_avoiding_slow = config.is_ejecting_outliers
        self._policy = BALANCING_POLICIES[config.balancing_policy](rng)

    @property
    def has_avoided_servers(self) -> bool:
        """Whether some backend server is avoided, because it is slow."""
        return any(self._is_avoided(state) for state in self._servers)

    def has_untried_server(self, item: ItemState) -> bool:
        """Return whether there is a backend server that got no attempt of the item."""
        return any(
            not state.is_leaving and state.name not in item.tried_servers for state in self._servers
        )

    def select(
        self, now: float, item: ItemState, is_suspect: bool, max_slowness: float
    ) -> ServerState | None:
        """Return a backend server for the first attempt or a retry; ``None`` if there is none.

        :param max_slowness: slowness up to which a slow backend server is expected to respond
            sooner than one that the item would have to wait for.
        """
        eligible = self._eligible(now, item, is_suspect)
        if not eligible:
            return None
        avoided = [state for state in eligible if self._is_avoided(state)]
        if avoided and self._can_probe(item, is_suspect):
            probe_target = self._outliers.probe_due(now, avoided)
            if probe_target is not None:
                self._outliers.record_probe(now, probe_target)
                return probe_target
        preferred = [state for state in eligible if not self._is_avoided(state)]
        if not preferred and not self._has_preferred_server(item):
            max_slowness = math.inf
        preferred = preferred or [state for state in avoided if state.slowness <= max_slowness]
        if not preferred:
            return None
        if is_suspect:
            # If the request crashes this server too, the fewest other requests are lost.
            return min(preferred, key=lambda state: state.in_progress)
        # If a suspect crashes its server, the other requests in progress there are lost.
        without_suspects = [state for state in preferred if not state.suspects_in_progress]
        return self._policy.choose(now, without_suspects or preferred)

    def select_for_hedge(self, now: float, item: ItemState) -> ServerState | None:
        """Return an untried backend server that is not slow; ``None`` if there is none."""
        eligible = [state for state in self._eligible(now, item, False) if not state.is_slow]
        return self._policy.choose(now, eligible) if eligible else None

    def _is_avoided(self, state: ServerState) -> bool:
        return self._is_avoiding_slow and state.is_slow

    def _eligible(self, now: float, item: ItemState, is_suspect: bool) -> list[ServerState]:
        is_limited = item.is_long and self._is_limiting_long
        return [
            state
            for state in self._servers
            if state.name not in item.tried_servers
            and not (is_suspect and state.suspects_in_progress)
            and not (is_limited and self._long_work_limits.server_headroom(state) <= 0)
            and state.may_acquire_token(now, item.work.deadline)
            and self._servers.free_slots(now, state) > 0
        ]

    def _has_preferred_server(self, item: ItemState) -> bool:
        return any(
            not state.is_leaving
            and not self._is_avoided(state)
            and state.name not in item.tried_servers
            for state in self._servers
        )

    @staticmethod
    def _can_probe(item: ItemState, is_suspect: bool) -> bool:
        return item.work.is_idempotent and not item.is_long and not is_suspect and not item.is_retry
