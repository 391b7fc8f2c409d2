"""Exchange of which VMs have lost their links to the backend servers."""

import logging
from collections.abc import Callable

from hibiscushaven.fleet import FleetView, LinkReport, LinkStatement
from hibiscushaven.fleet.isolation import TIME_RESOLUTION_S
from hibiscushaven.fleet.messages import encode
from hibiscushaven.process import Clock

from .gossip import Gossip

__all__ = ["IsolationExchange"]

_LOG = logging.getLogger(__name__)

# VMs that one message names, so that it fits into a datagram.
MAX_SHARED_VMS = 64

# Interval at which an isolated VM repeats its statement.
RESTATEMENT_INTERVAL_S = 10.0


class IsolationExchange:
    """Spreads what VMs say about their own links to the VMs of all regions.

    Explanation
    ===========

    Only a VM itself says whether it is isolated. One that has restarted may hear a statement of
    its earlier start, which it then corrects.

    :ivar gossip: spreads the statements.
    """

    def __init__(self, view: FleetView, clock: Clock, send: Callable[[bytes, str], None]) -> None:
        self._view = view
        self._now = clock.now
        self._is_isolated = False
        self._stated_at = float("-inf")
        self.gossip = Gossip(view, clock, self._make_datagram, send)

    def state_own(self, is_isolated: bool, after: float = float("-inf")) -> None:
        """Tell the other VMs whether this one is isolated.

        Statements that follow each other closely are dated apart, so that the last one counts.

        :param after: time of a known statement about this VM.
        """
        self._is_isolated = is_isolated
        known_at = max(self._stated_at, after)
        self._stated_at = max(self._now(), known_at + 2 * TIME_RESOLUTION_S)
        self._view.isolation.update(self._view.name, LinkStatement(is_isolated, self._stated_at))
        self.gossip.share_now()

    def on_report(self, report: LinkReport) -> None:
        """Record the statements that another VM knows."""
        now = self._now()
        is_new = False
        for ages_s, is_isolated in ((report.isolated_ages_s, True), (report.linked_ages_s, False)):
            for name, age_s in ages_s.items():
                is_new |= self._record(name, LinkStatement(is_isolated, now - age_s))
        if is_new:
            self.gossip.pass_on()

    def step(self) -> None:
        """Repeat the own statement while it says that this VM is isolated, and make one round."""
        now = self._now()
        self._view.isolation.expire(now)
        if self._is_isolated and now - self._stated_at >= RESTATEMENT_INTERVAL_S:
            self.state_own(True)
        self.gossip.step()

    def _record(self, name: str, statement: LinkStatement) -> bool:
        if name == self._view.name:
            if statement.is_isolated != self._is_isolated and statement.made_at > self._stated_at:
                self.state_own(self._is_isolated, statement.made_at)
            return False
        was_isolated = self._view.isolation.is_isolated(name)
        if not self._view.isolation.update(name, statement):
            return False
        if statement.is_isolated != was_isolated:
            _LOG.info(
                "VM reports its links to the backend servers",
                extra={"peer": name, "is_isolated": statement.is_isolated},
            )
        return True

    def _make_datagram(self) -> bytes | None:
        now = self._now()
        latest = sorted(self._view.isolation.statements.items(), key=lambda item: -item[1].made_at)[
            :MAX_SHARED_VMS
        ]
        if not latest:
            return None
        isolated, linked = (
            {name: now - item.made_at for name, item in latest if item.is_isolated is is_isolated}
            for is_isolated in (True, False)
        )
        return encode(LinkReport(isolated, linked))
