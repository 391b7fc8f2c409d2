"""Exchange of which backend servers have said in responses that they leave."""

import logging
from collections.abc import Callable

from hibiscushaven.fleet import FleetView, LeavingReport
from hibiscushaven.fleet.messages import encode
from hibiscushaven.placement import ServerNotices
from hibiscushaven.process import Clock

from .gossip import Gossip
from .server_exclusions import ExclusionReason, ServerExclusions

__all__ = ["SHARING_DELAY_S", "LeavingExchange"]

_LOG = logging.getLogger(__name__)

# Time for the store to say that a server leaves; only what it does not say is shared.
SHARING_DELAY_S = 1.0

# Servers that one message names, so that it fits into a datagram.
MAX_SHARED_SERVERS = 32


class LeavingExchange:
    """Shares which servers leave although the store lists them as ready.

    Explanation
    ===========

    A VM knows that only from responses, and forgets it when it starts again. The other VMs tell it
    then, at the latest with the servers themselves.

    :ivar gossip: spreads the servers.
    """

    def __init__(
        self,
        notices: ServerNotices,
        exclusions: ServerExclusions,
        view: FleetView,
        clock: Clock,
        send: Callable[[bytes, str], None],
    ) -> None:
        self._notices = notices
        self._exclusions = exclusions
        self._now = clock.now
        self._shared: frozenset[str] = frozenset()
        self.gossip = Gossip(view, clock, self._make_datagram, send)

    def on_report(self, report: LeavingReport) -> None:
        """Record the servers that another VM knows to leave; the next step passes them on."""
        now = self._now()
        for process_id, age_s in report.ages_s.items():
            if self._notices.record_leaving(process_id, now - max(0.0, age_s)):
                _LOG.info(
                    "backend server is left out, as other VMs report",
                    extra={"server": process_id, "reason": "leaving", "age_s": age_s},
                )

    def step(self) -> None:
        """Make one round, and begin to spread the servers that have become known."""
        shared = frozenset(self._unlisted())
        if shared - self._shared:
            self.gossip.pass_on()
        self._shared = shared
        self.gossip.step()

    def report(self) -> LeavingReport | None:
        """Return the servers to tell another VM of, ``None`` if there are none."""
        now = self._now()
        latest = sorted(self._unlisted().items(), key=lambda item: item[1], reverse=True)
        ages_s = {key: now - at for key, at in latest[:MAX_SHARED_SERVERS]}
        return LeavingReport(ages_s) if ages_s else None

    def _unlisted(self) -> dict[str, float]:
        """Return the servers that the store lists as ready, with the times of their notices."""
        until = self._now() - SHARING_DELAY_S
        since = self._notices.leaving_since
        return {
            process_id: since[process_id]
            for process_id, reason in self._exclusions.reasons.items()
            if reason is ExclusionReason.LEAVING and since.get(process_id, until) < until
            # Without its start time, the id may be that of a later process.
            and not process_id.endswith("/0")
        }

    def _make_datagram(self) -> bytes | None:
        report = self.report()
        return None if report is None else encode(report)
