"""What one VM knows of the others."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from .messages import RegionDigest, VmState, token_of
from .sums import ToldSums

__all__ = ["DIRECT_VMS", "FAR_SILENCE_S", "SILENCE_S", "FleetView"]

# Silence after which a VM of the own region counts as gone: states come each 0.2 s, and each
# 0.3 s at most, so that two or three in a row must be lost.
SILENCE_S = 0.7

# The same where the lead tells who is up: a VM is silent after four digests, each based on a
# state that is 0.2 s old, were lost, and after the VMs have had time to do without the lead.
TOLD_SILENCE_S = 1.2

# States of VMs that do not hear the lead count for so long; they send each 0.2 s.
UNTOLD_LIFE_S = 0.5

# The same for VMs of other regions, whose states come each second.
FAR_SILENCE_S = 3.0

# Age after which the digest of a region says nothing; digests come each 0.2 s.
DIGEST_LIFE_S = 1.0

# Other VMs of a region up to which all tell each other directly. With more of them, messages
# would grow with their square; one VM sums up for all then.
DIRECT_VMS = 16

# Digests in a row that may be lost before the lead counts as silent, and the least time for it.
LOST_DIGESTS = 3
DIGEST_SILENCE_S = 0.3

# Time for which a VM keeps to the lead that it found, since it asks dozens of times a second.
LEAD_LIFE_S = 0.1

# Time after which a VM that has become the lead has heard all others, which send each 0.2 s.
LEAD_SETTLE_S = 0.3

# VMs of a large region that get the digests of another one; whichever leads there passes them
# on. Two, since VMs may disagree on who leads for a moment.
FAR_LISTENERS = 2

# VMs that were silent for so long are forgotten; until then they are still sent to, since
# a partition may have hidden them.
FORGET_S = 120.0


@dataclass(slots=True)
class _Peer:
    state: VmState
    heard_at: float
    state_at: float
    token: int
    told_sequence: int = -1


class FleetView:
    """States of the other VMs, and digests of the other regions.

    Explanation
    ===========

    Everything here is a snapshot that the next message replaces, so that lost, repeated and
    reordered datagrams do no lasting harm.

    In a small region all VMs send their states to each other. In a large one they send them to
    the lead, the VM with the most processor, which tells all others the sums. Which of the two
    holds follows from whether the lead is heard: when it falls silent, VMs send to all again,
    until they hear the next one.

    :param name: name of this VM.
    :param capacity: its processor, in cores of usual speed.
    """

    def __init__(self, name: str, region: str, failure_domain: str, capacity: float = 1.0) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.capacity = capacity
        self.is_leaving = False
        self.told = ToldSums(name)
        self._lead: VmState | FleetView = self
        self._lead_at = float("-inf")
        self._lead_since: float | None = None
        self._peers: dict[str, _Peer] = {}
        self._digests: dict[str, tuple[RegionDigest, float]] = {}
        # Sums of the requests in progress by token, kept up to date with each message: of the
        # own region as its VMs tell them directly, and of the other regions.
        self._near: dict[int, int] = {}
        self._far: dict[int, int] = {}
        self._slowness: dict[int, tuple[float, float]] = {}

    @property
    def near_count(self) -> int:
        """Number of other VMs of the own region, up or silent."""
        return len(self._near_peers())

    def is_told(self, now: float) -> bool:
        """Return whether this VM hears the lead of its large region."""
        silence_s = (LOST_DIGESTS + 0.5) * self.told.interval_s
        return now - self.told.heard_at <= max(DIGEST_SILENCE_S, silence_s)

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
            if not state.has_arrivals:
                state = replace(state, arrivals=peer.state.arrivals)
        self._peers[state.name] = _Peer(state, now, now, token_of(state.name))
        self._count(state, 1)
        self._note_slowness(now, state.slowness)
        return not was_up

    def on_digest(self, now: float, digest: RegionDigest) -> bool:
        """Take a digest; return whether it was used."""
        is_used = (
            self._on_near_digest(now, digest)
            if digest.region == self.region
            else self._on_far_digest(now, digest)
        )
        if is_used:
            self._hear_of(now, digest)
        return is_used

    def _on_near_digest(self, now: float, digest: RegionDigest) -> bool:
        if digest.sender != self.lead(now).name:
            return False
        latest = self.told.digest
        if latest is not None and _is_repeated(digest, latest):
            return False
        if not self.told.take(now, digest):
            return False
        self._note_slowness(now, digest.slowness)
        return True

    def _hear_of(self, now: float, digest: RegionDigest) -> None:
        """Count the VMs whose newer states a digest contains as heard."""
        sender = self._peers.get(digest.sender)
        if sender is not None:
            sender.heard_at = now
        sequences = digest.sequences
        if not sequences:
            return
        for peer in self._peers.values():
            sequence = sequences.get(peer.token)
            if sequence is not None and sequence != peer.told_sequence:
                peer.told_sequence = sequence
                peer.heard_at = now

    def _note_slowness(self, now: float, reports: Mapping[int, Sequence[float]]) -> None:
        for token, (percent, age_s) in reports.items():
            if now - age_s > self._slowness.get(token, (0.0, float("-inf")))[1]:
                self._slowness[token] = percent / 100, now - age_s

    def _on_far_digest(self, now: float, digest: RegionDigest) -> bool:
        known = self._digests.get(digest.region)
        if known is not None and _is_repeated(digest, known[0]):
            return False
        if known is not None:
            _add(self._far, known[0].in_progress, -1)
        self._digests[digest.region] = digest, now
        _add(self._far, digest.in_progress, 1)
        return True

    def expire(self, now: float) -> list[str]:
        """Drop the loads of silent VMs and regions; return the VMs that went silent."""
        silent = []
        if not self.is_told(now):
            self.told.drop()
        if self.lead(now) is not self:
            self._lead_since = None
        elif self._lead_since is None:
            self._lead_since = now
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
                _add(self._far, digest.in_progress, -1)
                del self._digests[region]
        return silent

    def in_progress(self, token: int) -> int:
        """Return the requests in progress of all other VMs on a backend server."""
        far = self._far.get(token, 0)
        if self.told.digest is not None:
            return far + self.told.in_progress(token)
        return far + self._near.get(token, 0)

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
        limit_s = self._near_silence_s(now)
        return [peer.state for peer in self._near_peers() if now - peer.heard_at <= limit_s]

    def known(self) -> list[VmState]:
        """Return all VMs, up or not."""
        return [peer.state for peer in self._peers.values()]

    def near_known(self) -> list[VmState]:
        """Return the other VMs of the own region, up or not."""
        return [peer.state for peer in self._near_peers()]

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

    def lead(self, now: float) -> "VmState | FleetView":
        """Return the VM that sums up the region: its state, or this view for this VM."""
        if not 0.0 <= now - self._lead_at < LEAD_LIFE_S:
            self._lead, self._lead_at = self._find_lead(now), now
        return self._lead

    def _find_lead(self, now: float) -> "VmState | FleetView":
        staying = [state for state in self.near(now) if not state.is_leaving]
        candidates: list[VmState | FleetView] = [*staying, *([] if self.is_leaving else [self])]
        return min(candidates, key=_lead_order, default=self)

    def is_lead(self, now: float) -> bool:
        """Return whether this VM sums up its region for the others."""
        return self.lead(now) is self

    def is_summing(self, now: float) -> bool:
        """Return whether this VM should tell its large region the sums."""
        has_heard_all = self._lead_since is not None and now - self._lead_since >= LEAD_SETTLE_S
        return has_heard_all and self.near_count > DIRECT_VMS and self.is_lead(now)

    def listeners(self, now: float) -> list[VmState]:
        """Return the VMs of the region that should get this VM's state when it changes."""
        if self.is_summing(now):
            return []
        lead = self.lead(now)
        if not self.is_told(now) or lead is self:
            return self.near_known()
        return [
            peer.state
            for peer in self._near_peers()
            if peer.state.name == lead.name
            or (not peer.state.hears_lead and now - peer.state_at <= UNTOLD_LIFE_S)
        ]

    def far_listeners(self, now: float) -> list[VmState]:
        """Return the VMs of other regions that should get the digest of this one."""
        by_region: dict[str, list[VmState]] = {}
        for state in sorted(self.up(now), key=_lead_order):
            if state.region != self.region:
                by_region.setdefault(state.region, []).append(state)
        return [
            state
            for states in by_region.values()
            for state in (states if len(states) <= DIRECT_VMS + 1 else states[:FAR_LISTENERS])
        ]

    def sequences(self, now: float) -> dict[int, int]:
        """Return the latest state of each VM of the region that is up, by token."""
        return {token_of(state.name): state.sequence for state in self.near(now)}

    def reports(self, now: float) -> dict[int, tuple[float, float]]:
        """Return the latest slowness that others tell, in percent, with its age."""
        return {
            token: (round(100 * slowness), round(now - at, 3))
            for token, (slowness, at) in self._slowness.items()
        }

    def lost(self, now: float, within_s: float) -> dict[int, float]:
        """Return the seconds since VMs of the region lost backend servers of late, by token."""
        found: dict[int, float] = {}
        for peer in self._near_peers():
            for token, age_s in peer.state.lost.items():
                age_s += now - peer.state_at
                if age_s < within_s:
                    found[token] = min(age_s, found.get(token, age_s))
        return found

    def keepers(self, now: float, key: str, count: int) -> list[str]:
        """Return the VMs of the own region that are responsible for a key, by hash."""
        names = [state.name for state in self.near(now) if not state.is_leaving]
        names.append(self.name)
        return sorted(names, key=lambda name: token_of(f"{key}/{name}"))[:count]

    def arrivals(self, now: float, own: dict[int, float]) -> dict[int, float]:
        """Return the requests a second of the own region by token of the service."""
        if self.told.digest is not None:
            return dict(self.told.digest.arrivals)
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

    def _near_peers(self) -> list[_Peer]:
        return [peer for peer in self._peers.values() if peer.state.region == self.region]

    def _is_up(self, now: float, peer: _Peer) -> bool:
        is_near = peer.state.region == self.region
        limit_s = self._near_silence_s(now) if is_near else FAR_SILENCE_S
        return now - peer.heard_at <= limit_s

    def _near_silence_s(self, now: float) -> float:
        told_s = max(TOLD_SILENCE_S, SILENCE_S + (LOST_DIGESTS + 0.5) * self.told.interval_s)
        return told_s if now - self.told.heard_at <= told_s else SILENCE_S

    def _count(self, state: VmState, sign: int) -> None:
        # What VMs of other regions have in progress comes in digests.
        if state.region == self.region:
            _add(self._near, state.in_progress, sign)


def _add(sums: dict[int, int], counts: Mapping[int, int], sign: int) -> None:
    for token, count in counts.items():
        total = sums.get(token, 0) + sign * count
        if total:
            sums[token] = total
        else:
            sums.pop(token, None)


def _lead_order(vm: VmState | FleetView) -> tuple[float, int]:
    return -vm.capacity, token_of(vm.name)


def _is_repeated(digest: RegionDigest, known: RegionDigest) -> bool:
    """Return whether a digest is not newer than one of the same sender."""
    is_same_run = (digest.sender, digest.incarnation) == (known.sender, known.incarnation)
    return is_same_run and digest.sequence <= known.sequence


def _is_later(state: VmState, known: VmState) -> bool:
    return state.incarnation != known.incarnation or state.sequence > known.sequence


def _without_load(state: VmState) -> VmState:
    fields = {name: getattr(state, name) for name in VmState.__slots__}
    return VmState(**{**fields, "in_progress": {}, "arrivals": {}, "lost": {}, "slowness": {}})
