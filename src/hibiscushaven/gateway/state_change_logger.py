"""Logging of state that changes continuously, limited to significant changes."""

import logging
from collections.abc import Mapping

__all__ = ["StateChangeLogger"]

_LOG = logging.getLogger(__name__)

# Smallest logged change of a replication factor, which keeps the log at a few lines per minute.
MIN_LOGGED_CHANGE = 0.5


class StateChangeLogger:
    """Logs changes of the region's aggregator and of the replication factors of objects."""

    def __init__(self) -> None:
        self._aggregator: str | None = None
        self._replication_factors: dict[tuple[str, str], float] = {}

    def log_aggregator(self, aggregator: str | None, vms: int) -> None:
        """Log a change of the aggregator.

        :param aggregator: VM that sums the states of the region; ``None`` while the VMs exchange
            their states directly.
        :param vms: number of VMs of the region, this one included.
        """
        if aggregator != self._aggregator:
            self._aggregator = aggregator
            _LOG.info("aggregator changed", extra={"lead": aggregator, "vms": vms})

    def log_replication(self, service: str, factors: Mapping[str, float]) -> None:
        """Log significant changes of a service's replication factors.

        :param factors: number of backend servers that each object is assigned to, by region.
        """
        for region, factor in factors.items():
            if abs(factor - self._replication_factors.get((service, region), 1.0)) >= (
                MIN_LOGGED_CHANGE
            ):
                self._replication_factors[service, region] = factor
                _LOG.info(
                    "replication factor changed",
                    extra={"service": service, "region": region, "level": round(factor, 2)},
                )
