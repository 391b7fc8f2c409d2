"""Log of beliefs that change often by a little."""

import logging
from collections.abc import Mapping

__all__ = ["BeliefLog"]

_LOG = logging.getLogger(__name__)

# Change of the servers for each object from which on it is logged; some lines a minute.
LEVEL_STEP = 0.5


class BeliefLog:
    """Logs who leads the region, and how many servers should know an object, on a change."""

    def __init__(self) -> None:
        self._lead: str | None = None
        self._levels: dict[tuple[str, str], float] = {}

    def note_lead(self, lead: str | None, vms: int) -> None:
        """Note the lead of the region; ``None`` while VMs tell each other directly."""
        if lead != self._lead:
            self._lead = lead
            _LOG.info("lead changed", extra={"lead": lead, "vms": vms})

    def note_copies(self, service: str, levels: Mapping[str, float]) -> None:
        """Note how many servers of each region should know each object of a service."""
        for region, level in levels.items():
            if abs(level - self._levels.get((service, region), 1.0)) >= LEVEL_STEP:
                self._levels[service, region] = level
                _LOG.info(
                    "copies changed",
                    extra={"service": service, "region": region, "level": round(level, 2)},
                )
