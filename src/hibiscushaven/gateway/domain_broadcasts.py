"""Datagrams for all VMs of failure domains, sent to one VM of each."""

import logging
from collections.abc import Callable, Iterable

from hibiscushaven.fleet import (
    DomainBroadcast,
    FleetView,
    ForwarderReport,
    Message,
    MessageError,
    RegionDigest,
    VmState,
)
from hibiscushaven.fleet.messages import decode, encode
from hibiscushaven.process import Clock

__all__ = ["DomainBroadcasts"]

_LOG = logging.getLogger(__name__)

# Interval at which VMs repeat that they forward broadcasts, for those that missed it when they
# heard from each other first.
REPORT_INTERVAL_S = 30.0


class DomainBroadcasts:
    """Sends datagrams to many VMs, to those of another failure domain through one of them.

    Explanation
    ===========

    Bytes between failure domains and regions are expensive, and most of them would be copies of
    the same states and digests. A datagram for all VMs of another failure domain goes to one of
    them, which forwards it. The forwarder changes with each datagram: one that has failed unnoticed
    costs a part of the datagrams, as lossy links do, and a VM that cannot be reached through
    another one is sent to directly in turn. VMs of older builds do not forward, and are not chosen:
    only VMs that have said since their start that they do.

    :param on_message: processes the message in a broadcast.
    :param send: sends a datagram to the address of a VM.
    """

    def __init__(
        self,
        view: FleetView,
        incarnation: int,
        clock: Clock,
        on_message: Callable[[Message], None],
        send: Callable[[bytes, str], None],
    ) -> None:
        self._view = view
        self._now = clock.now
        self._on_message = on_message
        self._send = send
        self._report = encode(ForwarderReport(view.name, incarnation))
        self._reported_at = float("-inf")
        # Incarnations of the VMs that forward broadcasts, by name.
        self._forwarders: dict[str, int] = {}
        self._turn = 0

    def send(self, datagram: bytes, recipients: Iterable[VmState]) -> None:
        """Send a datagram to all given VMs.

        It goes through one VM to another failure domain whose live VMs are all to receive it.
        """
        broadcast: bytes | None = None
        by_domain: dict[str, list[VmState]] = {}
        for state in recipients:
            by_domain.setdefault(state.failure_domain, []).append(state)
        self._turn += 1
        for failure_domain, states in by_domain.items():
            forwarder = self._forwarder_of(failure_domain, states)
            if forwarder is None:
                for state in states:
                    self._send(datagram, state.peers_at)
            else:
                broadcast = broadcast or encode(DomainBroadcast(datagram))
                self._send(broadcast, forwarder.peers_at)

    def on_broadcast(self, broadcast: DomainBroadcast) -> None:
        """Forward the datagram in a broadcast to the own failure domain, and process it."""
        try:
            message = decode(broadcast.datagram)
        except MessageError as error:
            _LOG.warning("malformed broadcast dropped", extra={"why": str(error)})
            return
        if isinstance(message, VmState):
            sender = message.name
        elif isinstance(message, RegionDigest):
            sender = message.sender
        else:
            _LOG.warning(
                "broadcast dropped, since its message is for single VMs",
                extra={"type": type(message).__name__},
            )
            return
        for state in self._view.known_local_peers():
            if state.failure_domain == self._view.failure_domain and state.name != sender:
                self._send(broadcast.datagram, state.peers_at)
        self._on_message(message)

    def on_report(self, report: ForwarderReport) -> None:
        """Record that a VM forwards broadcasts."""
        self._forwarders[report.name] = report.incarnation

    def on_vm_up(self, state: VmState) -> None:
        """Tell a VM that started or returned that this one forwards broadcasts."""
        if self._is_in_other_domain(state):
            self._send(self._report, state.peers_at)

    def step(self) -> None:
        """Repeat from time to time that this VM forwards broadcasts."""
        now = self._now()
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        peers = self._view.known_peers()
        for state in filter(self._is_in_other_domain, peers):
            self._send(self._report, state.peers_at)
        names = {state.name for state in peers}
        self._forwarders = {
            name: incarnation for name, incarnation in self._forwarders.items() if name in names
        }

    def _is_in_other_domain(self, state: VmState) -> bool:
        return state.failure_domain != self._view.failure_domain

    def _forwarder_of(self, failure_domain: str, recipients: list[VmState]) -> VmState | None:
        """Return the VM of another failure domain whose turn it is, if any can forward."""
        if failure_domain == self._view.failure_domain or len(recipients) < 2:
            return None
        names = {state.name for state in recipients}
        live = [
            state
            for state in self._view.live_peers(self._now())
            if state.failure_domain == failure_domain
        ]
        if any(state.name not in names for state in live):
            return None
        forwarders = [
            state
            for state in live
            if not state.is_leaving and self._forwarders.get(state.name) == state.incarnation
        ]
        return forwarders[self._turn % len(forwarders)] if forwarders else None
