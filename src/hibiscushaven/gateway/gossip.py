"""Spreading of a VM's knowledge to randomly chosen other VMs."""

import random
from collections.abc import Callable

from hibiscushaven.fleet import FleetView, token_of
from hibiscushaven.process import Clock

__all__ = ["Gossip"]

# VMs to which new knowledge is passed on in each round. With five rounds, a share of e^-20 of the
# VMs is left out if no datagram is lost.
FANOUT = 4

# Rounds in which a VM passes on what is new to it; the node makes a round each 0.2 s.
ROUNDS = 5

# Shortest interval between a message and the next one outside of the rounds, since a crash of
# many servers yields hundreds of findings within a second.
MIN_INTERVAL_S = 0.05

# Interval at which knowledge is repeated to one VM, for those that missed it or started later.
REPEAT_INTERVAL_S = 1.0


class Gossip:
    """Spreads what a VM knows about one subject to the VMs of all regions.

    Explanation
    ===========

    It is for knowledge that changes rarely, is small and concerns all VMs. A VM passes on what is
    new to it in a few rounds, so that the number of messages does not grow with the square of the
    number of VMs, and then repeats it from time to time while there is any.

    :param make_datagram: returns the message to spread, ``None`` while there is nothing to tell.
    :param send: sends a datagram to the address of a VM.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        make_datagram: Callable[[], bytes | None],
        send: Callable[[bytes, str], None],
    ) -> None:
        self._view = view
        self._now = clock.now
        self._make_datagram = make_datagram
        self._send = send
        self._random = random.Random(view.name)
        self._rounds_left = 0
        self._sent_at = float("-inf")

    def share_now(self) -> None:
        """Pass on what this VM has found out, now and in the next rounds."""
        self._rounds_left = ROUNDS
        if self._now() - self._sent_at >= MIN_INTERVAL_S:
            self._share(FANOUT)

    def pass_on(self) -> None:
        """Pass on what this VM has learnt from another one in the next rounds."""
        self._rounds_left = ROUNDS

    def on_vm_up(self, name: str, peers_at: str) -> None:
        """Tell a VM that started or returned; ``FANOUT`` of its peers do so, chosen by hash."""
        datagram = self._make_datagram()
        if datagram is None:
            return
        peers = (state.name for state in self._view.live_peers(self._now()) if state.name != name)
        own = token_of(f"{name}/{self._view.name}")
        if sum(token_of(f"{name}/{peer}") < own for peer in peers) < FANOUT:
            self._send(datagram, peers_at)

    def step(self) -> None:
        """Make one round."""
        if self._rounds_left > 0:
            self._rounds_left -= 1
            self._share(FANOUT)
        elif self._now() - self._sent_at >= REPEAT_INTERVAL_S:
            self._share(1)

    def _share(self, count: int) -> None:
        self._sent_at = self._now()
        datagram = self._make_datagram()
        if datagram is None:
            return
        peers = self._view.live_peers(self._now())
        for peer in self._random.sample(peers, min(count, len(peers))):
            self._send(datagram, peer.peers_at)
