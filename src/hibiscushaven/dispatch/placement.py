"""Choice of the backend server for the next attempt of an item."""

import math
import random

from .choice import CHOICES
from .config import DispatchConfig
from .health import HealthBook
from .items import Item
from .long_limits import LongLimits
from .servers import ServerBook, ServerState

__all__ = ["Placement"]


class Placement:
    """Backend servers with a free slot that an item may use, and the choice among them."""

    def __init__(
        self,
        config: DispatchConfig,
        servers: ServerBook,
        health: HealthBook,
        limits: LongLimits,
        is_limiting_long: bool,
        rng: random.Random,
    ) -> None:
        self._servers = servers
        self._health = health
        self._limits = limits
        self._is_limiting_long = is_limiting_long
        self._is_holding = config.is_setting_aside
        self._choice = CHOICES[config.choice](rng)

    @property
    def has_held(self) -> bool:
        """Whether some backend server is used only where waiting would take longer."""
        return any(self._is_held(state) for state in self._servers)

    def has_server(self, item: Item) -> bool:
        """Return whether any backend server is left that the item has not tried."""
        return any(not state.is_leaving and state.name not in item.tried for state in self._servers)

    def pick(
        self, now: float, item: Item, is_suspect: bool, tolerated_factor: float
    ) -> ServerState | None:
        """Return a backend server for the first attempt or a retry.

        :param tolerated_factor: slowness up to which a slow backend server still answers
            sooner than waiting for another one.
        """
        pool = self._pool(now, item, is_suspect)
        if not pool:
            return None
        held = [state for state in pool if self._is_held(state)]
        if held and self._can_probe(item, is_suspect):
            probed = self._health.probe_due(now, held)
            if probed is not None:
                self._health.note_probe(now, probed)
                return probed
        ordinary = [state for state in pool if not self._is_held(state)]
        if not ordinary and not self._has_ordinary(item):
            tolerated_factor = math.inf
        ordinary = ordinary or [state for state in held if state.slowness <= tolerated_factor]
        if not ordinary:
            return None
        if is_suspect:
            # The fewest neighbours are lost if the request crashes this one too.
            return min(ordinary, key=lambda state: state.in_progress)
        # Work beside a suspect is lost if it crashes the backend server again.
        apart = [state for state in ordinary if not state.suspects_in_progress]
        return self._choice.choose(now, apart or ordinary)

    def pick_hedge(self, now: float, item: Item) -> ServerState | None:
        """Return a backend server for a second attempt: another one, and not a slow one."""
        pool = [state for state in self._pool(now, item, False) if not state.is_slow]
        return self._choice.choose(now, pool) if pool else None

    def _is_held(self, state: ServerState) -> bool:
        return self._is_holding and state.is_slow

    def _pool(self, now: float, item: Item, is_suspect: bool) -> list[ServerState]:
        is_bounded = item.is_long and self._is_limiting_long
        return [
            state
            for state in self._servers
            if state.name not in item.tried
            and not (is_suspect and state.suspects_in_progress)
            and not (is_bounded and self._limits.server_room(state) <= 0)
            and state.may_have_token(now, item.work.deadline)
            and self._servers.free(now, state) > 0
        ]

    def _has_ordinary(self, item: Item) -> bool:
        return any(
            not state.is_leaving and not self._is_held(state) and state.name not in item.tried
            for state in self._servers
        )

    @staticmethod
    def _can_probe(item: Item, is_suspect: bool) -> bool:
        return item.work.is_idempotent and not item.is_long and not is_suspect and not item.is_retry
