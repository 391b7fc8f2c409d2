"""What one VM knows of the others."""

from collections.abc import Iterable
from dataclasses import dataclass

from .messages import RegionDigest, VmState, token_of

__all__ = ["FAR_SILENCE_S", "SILENCE_S", "FleetView"]

# Silence after which a VM of the own region counts as gone: states come each 0.2 s at least,
# so that three in a row must be lost.
SILENCE_S = 0.7

# The same for VMs of other regions, whose states come each second.
FAR_SILENCE_S = 3.0

# Age after which the digest of a region says nothing; digests come each 0.15 s.
DIGEST_LIFE_S = 1.0

# VMs that were silent for so long are forgotten; until then they are still sent to, since
# a partition may have hidden them.
FORGET_S = 120.0


@dataclass(slots=True)
class _Peer:
    state: VmState
    heard_at: float


class FleetView:
    """States of the other VMs, and digests of the other regions.

    Explanation
    ===========

    Everything here is a snapshot that the next message replaces, so that lost, repeated and
    reordered datagrams do no lasting harm.

    :param name: name of this VM.
    """

    def __init__(self, name: str, region: str, failure_domain: str) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self._peers: dict[str, _Peer] = {}
        self._digests: dict[str, tuple[RegionDigest, float]] = {}
        # Sums of the requests in progress by token, kept up to date with each message.
        self._in_progress: dict[int, int] = {}
        self._slowness: dict[int, tuple[float, float]] = {}

    @property
    def near_count(self) -> int:
        """Number of other VMs of the own region, up or silent."""
        return sum(peer.state.region == self.region for peer in self._peers.values())

    def on_state(self, now: float, state: VmState) -> bool:
        """Take a state; return whether its VM was not known to be up."""
        if state.name == self.name:
            return False
        peer = self._peers.get(state.name)
        if peer is not None and not _is_later(state, peer.state):
            return False
        was_up = peer is not None and self._is_up(now, peer)
        if peer is not None:
            self._count(peer.state, -1)
        self._peers[state.name] = _Peer(state, now)
        self._count(state, 1)
        for token, (percent, age_s) in state.slowness.items():
            if now - age_s > self._slowness.get(token, (0.0, float("-inf")))[1]:
                self._slowness[token] = percent / 100, now - age_s
        return not was_up

    def on_digest(self, now: float, digest: RegionDigest) -> None:
        """Take a digest of another region."""
        if digest.region == self.region:
            return
        known = self._digests.get(digest.region)
        if known is not None and known[0].sender == digest.sender:
            is_old = (digest.incarnation, digest.sequence) == (
                known[0].incarnation,
                known[0].sequence,
            ) or (
                digest.incarnation == known[0].incarnation and digest.sequence < known[0].sequence
            )
            if is_old:
                return
        if known is not None:
            self._add(known[0].in_progress, -1)
        self._digests[digest.region] = digest, now
        self._add(digest.in_progress, 1)

    def expire(self, now: float) -> list[str]:
        """Drop the loads of silent VMs and regions; return the VMs that went silent."""
        silent = []
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at > FORGET_S:
                del self._peers[name]
            if peer.state.in_progress and not self._is_up(now, peer):
                self._count(peer.state, -1)
                peer.state = _without_load(peer.state)
                silent.append(name)
        for token, (_, at) in list(self._slowness.items()):
            if now - at > DIGEST_LIFE_S:
                del self._slowness[token]
        for region, (digest, at) in list(self._digests.items()):
            if now - at > DIGEST_LIFE_S:
                self._add(digest.in_progress, -1)
                del self._digests[region]
        return silent

    def in_progress(self, token: int) -> int:
        """Return the requests in progress of all other VMs on a backend server."""
        return self._in_progress.get(token, 0)

    def slowness(self, token: int) -> tuple[float, float]:
        """Return the latest slowness of a backend server that others tell, and its time."""
        return self._slowness.get(token, (1.0, float("-inf")))

    def up(self, now: float) -> list[VmState]:
        """Return the VMs that are up, by name."""
        return [
            self._peers[name].state
            for name in sorted(self._peers)
            if self._is_up(now, self._peers[name])
        ]

    def near(self, now: float) -> list[VmState]:
        """Return the other VMs of the own region that are up."""
        return [state for state in self.up(now) if state.region == self.region]

    def known(self) -> list[VmState]:
        """Return all VMs, up or not."""
        return [peer.state for peer in self._peers.values()]

    def confirmed(self, now: float) -> Iterable[tuple[VmState, float]]:
        """Yield the states of the own region with their age in seconds."""
        for peer in self._peers.values():
            if peer.state.region == self.region and self._is_up(now, peer):
                yield peer.state, now - peer.heard_at

    def rank(self, now: float, can_read: bool) -> int:
        """Return how many VMs of the own region come before this one as readers.

        VMs that cannot read come last.
        """
        own = (not can_read, token_of(self.name))
        others = (
            (not state.can_read, token_of(state.name))
            for state in self.near(now)
            if not state.is_leaving
        )
        return sum(other < own for other in others)

    def is_lead(self, now: float) -> bool:
        """Return whether this VM sums up its region for the others."""
        return all(
            token_of(state.name) > token_of(self.name) or state.is_leaving
            for state in self.near(now)
        )

    def keepers(self, now: float, key: str, count: int) -> list[str]:
        """Return the VMs of the own region that are responsible for a key, by hash."""
        names = [state.name for state in self.near(now) if not state.is_leaving]
        names.append(self.name)
        return sorted(names, key=lambda name: token_of(f"{key}/{name}"))[:count]

    def arrivals(self, now: float, own: dict[int, float]) -> dict[int, float]:
        """Return the requests a second of the own region by token of the service."""
        sums = dict(own)
        for state in self.near(now):
            for token, rate in state.arrivals.items():
                sums[token] = sums.get(token, 0.0) + rate
        return sums

    def far_arrivals(self) -> dict[str, dict[int, float]]:
        """Return the requests a second of the other regions by token of the service."""
        return {region: dict(digest.arrivals) for region, (digest, _) in self._digests.items()}

    def near_in_progress(self, now: float, own: dict[int, int]) -> dict[int, int]:
        """Return what the VMs of the own region have in progress by token."""
        sums = dict(own)
        for state in self.near(now):
            for token, count in state.in_progress.items():
                sums[token] = sums.get(token, 0) + count
        return sums

    def _is_up(self, now: float, peer: _Peer) -> bool:
        limit = SILENCE_S if peer.state.region == self.region else FAR_SILENCE_S
        return now - peer.heard_at <= limit

    def _count(self, state: VmState, sign: int) -> None:
        # What VMs of other regions have in progress comes in digests.
        if state.region == self.region:
            self._add(state.in_progress, sign)

    def _add(self, counts: dict[int, int], sign: int) -> None:
        for token, count in counts.items():
            total = self._in_progress.get(token, 0) + sign * count
            if total:
                self._in_progress[token] = total
            else:
                self._in_progress.pop(token, None)


def _is_later(state: VmState, known: VmState) -> bool:
    return state.incarnation != known.incarnation or state.sequence > known.sequence


def _without_load(state: VmState) -> VmState:
    fields = {name: getattr(state, name) for name in VmState.__slots__}
    return VmState(**{**fields, "in_progress": {}, "arrivals": {}, "lost": {}, "slowness": {}})
