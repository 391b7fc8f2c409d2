"""Exchange of crash evidence between the VMs of all regions."""

import logging
import random
from collections.abc import Callable

from hibiscushaven.fleet import CrashReport, FleetView
from hibiscushaven.fleet.messages import encode
from hibiscushaven.process import Clock
from hibiscushaven.quarantine import CrashEvidence, CrashLedger, CrashRecord

__all__ = ["CrashExchange"]

_LOG = logging.getLogger(__name__)

# VMs to which new evidence is passed on in each round. With five rounds, a share of e^-20 of the
# VMs is left out if no datagram is lost.
FANOUT = 4

# Rounds in which a VM passes on evidence that is new to it; the node makes a round each 0.2 s.
ROUNDS = 5

# Interval at which evidence is repeated to one VM, for those that missed it or started later.
REPEAT_INTERVAL_S = 1.0


class CrashExchange:
    """Spreads the crashes that a VM knows to randomly chosen others.

    Explanation
    ===========

    A request that crashes backend servers may come again at any VM of any region, so that all of
    them must know what each has seen. Evidence is rare and small. A VM passes on what is new to
    it in a few rounds, so that the number of messages does not grow with the square of the number
    of VMs, and then repeats it from time to time while it is of use.

    :param send: sends a datagram to the address of a VM.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        view: FleetView,
        send: Callable[[bytes, str], None],
        clock: Clock,
    ) -> None:
        self._ledger = ledger
        self._view = view
        self._send = send
        self._now = clock.now
        self._random = random.Random(view.name)
        self._rounds_left = 0
        self._repeated_at = float("-inf")

    def share_soon(self) -> None:
        """Pass on the evidence now and in the next rounds, since some of it is new."""
        self._rounds_left = ROUNDS
        self._share(FANOUT)

    def on_report(self, report: CrashReport) -> None:
        """Add the evidence of another VM."""
        is_new, quarantined = self._ledger.merge_evidence(_to_evidence(self._now(), report))
        for fingerprint in quarantined:
            _LOG.warning(
                "request is refused since it crashes backend servers, as other VMs report",
                extra={"fingerprint": fingerprint},
            )
        if is_new:
            self._rounds_left = ROUNDS

    def on_vm_up(self, peers_at: str) -> None:
        """Let a VM that started or returned know the evidence; some of its peers do so each."""
        evidence = self._ledger.evidence(self._now())
        if evidence.is_empty:
            return
        peers = len(self._view.live_peers(self._now()))
        if self._random.random() < FANOUT / max(1, peers):
            self._send(encode(_to_report(self._now(), evidence)), peers_at)

    def step(self) -> None:
        """Make one round."""
        now = self._now()
        if self._rounds_left > 0:
            self._rounds_left -= 1
            self._share(FANOUT)
        elif now - self._repeated_at >= REPEAT_INTERVAL_S:
            self._share(1)

    def _share(self, count: int) -> None:
        self._repeated_at = self._now()
        evidence = self._ledger.evidence(self._now())
        if evidence.is_empty:
            return
        peers = self._view.live_peers(self._now())
        datagram = encode(_to_report(self._now(), evidence))
        for peer in self._random.sample(peers, min(count, len(peers))):
            self._send(datagram, peer.peers_at)


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
