"""Exchange of the rate limits of backend servers between the VMs of all regions."""

import logging
from collections.abc import Callable

from hibiscushaven.fleet import FleetView, RateLimitReport
from hibiscushaven.fleet.messages import encode
from hibiscushaven.placement import RateLimit, RateLimitTable
from hibiscushaven.process import Clock

from .gossip import Gossip

__all__ = ["RateLimitExchange"]

_LOG = logging.getLogger(__name__)

# Servers that one message names, so that it fits into a datagram.
MAX_SHARED_SERVERS = 24

# Value in messages for a limit that has ended.
_NO_LIMIT = -1.0


class RateLimitExchange:
    """Shares the rate limits that a VM knows.

    Explanation
    ===========

    Most VMs send little or nothing to a limited server, so that they would learn of its limit late
    and of the end of it never.

    :ivar gossip: spreads the limits.
    """

    def __init__(
        self,
        table: RateLimitTable,
        view: FleetView,
        clock: Clock,
        send: Callable[[bytes, str], None],
    ) -> None:
        self._table = table
        self._now = clock.now
        self.gossip = Gossip(view, clock, self._make_datagram, send)

    def on_report(self, report: RateLimitReport) -> None:
        """Record the limits that another VM knows."""
        now = self._now()
        is_new = False
        for process_id, per_s in report.per_s.items():
            announced_at = now - report.ages_s[process_id]
            limit = RateLimit(per_s if per_s >= 0 else None, announced_at)
            if self._table.update(process_id, limit):
                is_new = True
                _LOG.info(
                    "backend server changed its rate limit, as other VMs report",
                    extra={"server": process_id, "per_s": limit.per_s},
                )
        if is_new:
            self.gossip.pass_on()

    def _make_datagram(self) -> bytes | None:
        now = self._now()
        limits = self._table.latest(MAX_SHARED_SERVERS)
        if not limits:
            return None
        return encode(
            RateLimitReport(
                {
                    key: _NO_LIMIT if item.per_s is None else item.per_s
                    for key, item in limits.items()
                },
                {key: now - item.announced_at for key, item in limits.items()},
            )
        )
