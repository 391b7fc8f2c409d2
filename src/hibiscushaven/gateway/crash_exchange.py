"""Exchange of crash evidence between the VMs of all regions."""

import logging
from collections.abc import Callable

from hibiscushaven.fleet import CrashReport, FleetView
from hibiscushaven.fleet.messages import encode
from hibiscushaven.process import Clock
from hibiscushaven.quarantine import CrashEvidence, CrashLedger, CrashRecord

from .gossip import Gossip

__all__ = ["CrashExchange"]

_LOG = logging.getLogger(__name__)


class CrashExchange:
    """Shares the crashes that a VM knows, since a request may come again at any other.

    :ivar gossip: spreads the evidence.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        view: FleetView,
        clock: Clock,
        send: Callable[[bytes, str], None],
    ) -> None:
        self._ledger = ledger
        self._now = clock.now
        self.gossip = Gossip(view, clock, self._make_datagram, send)

    def on_report(self, report: CrashReport) -> None:
        """Add the evidence of another VM."""
        is_new, quarantined = self._ledger.merge_evidence(_to_evidence(self._now(), report))
        for fingerprint in quarantined:
            _LOG.warning(
                "request is refused since it crashes backend servers, as other VMs report",
                extra={"fingerprint": fingerprint},
            )
        if is_new:
            self.gossip.pass_on()

    def _make_datagram(self) -> bytes | None:
        now = self._now()
        evidence = self._ledger.evidence(now)
        return None if evidence.is_empty else encode(_to_report(now, evidence))


def _to_report(now: float, evidence: CrashEvidence) -> CrashReport:
    return CrashReport(
        {
            fingerprint: [
                (crash.server, now - crash.sent_at, now - crash.crashed_at) for crash in crashes
            ]
            for fingerprint, crashes in evidence.crashes.items()
        },
        {key: now - completed_at for key, completed_at in evidence.completed_at.items()},
    )


def _to_evidence(now: float, report: CrashReport) -> CrashEvidence:
    return CrashEvidence(
        {
            fingerprint: [
                CrashRecord(server, now - sent_age_s, now - crashed_age_s)
                for server, sent_age_s, crashed_age_s in crashes
            ]
            for fingerprint, crashes in report.crashes.items()
        },
        {key: now - age_s for key, age_s in report.completed_ages_s.items()},
    )
