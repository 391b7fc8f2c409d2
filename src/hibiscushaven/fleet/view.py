"""States of the other VMs and digests of the other regions, as received by one VM."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from .aggregate import RegionAggregate
from .isolation import IsolationTable
from .messages import RegionDigest, VmState, as_sent, token_of
from .uptime import UptimeProofs

__all__ = ["LOCAL_TIMEOUT_S", "MAX_MESH_PEERS", "REMOTE_TIMEOUT_S", "FleetView"]

# Silence after which a VM of the own region counts as down. VMs send a state every 0.2 s, at
# most 0.3 s apart, so that two or three in a row must be lost.
LOCAL_TIMEOUT_S = 0.7

# Timeout of VMs of the own region while an aggregator reports which of them are up. Covers the
# loss of four digests, each based on a state that is 0.2 s old, and the time that the VMs need
# to fall back to direct exchange when the aggregator fails.
AGGREGATED_LOCAL_TIMEOUT_S = 1.2

# Age up to which the last state of a VM without an aggregator makes others send it theirs; such
# a VM sends a state every 0.2 s.
DIRECT_STATE_LIFETIME_S = 0.5

# Silence after which a VM of another region counts as down; it sends a state every second.
REMOTE_TIMEOUT_S = 3.0

# Age after which the digest of another region and reports of slowness are discarded; digests
# are sent every 0.2 s.
DIGEST_LIFETIME_S = 1.0

# Number of other VMs in a region up to which all exchange states directly, in a full mesh. The
# number of messages grows with its square; in larger regions the aggregator sends the sums.
MAX_MESH_PEERS = 16

# Digests in a row that may be lost before the aggregator counts as down.
MAX_LOST_DIGESTS = 3

# Lower limit of the aggregator's timeout, for short intervals between digests.
MIN_AGGREGATOR_TIMEOUT_S = 0.3

# Time for which the result of an election is cached, since it is needed dozens of times a
# second.
AGGREGATOR_CACHE_S = 0.1

# Time after which a new aggregator has received a state of each VM; they send one every 0.2 s.
AGGREGATOR_SETTLE_S = 0.3

# VMs of a large region that receive the digest of another region; the aggregator among them
# forwards it. Two, since VMs may briefly disagree on the aggregator.
REMOTE_DIGEST_RECIPIENTS = 2

# Silence after which a VM is removed. Until then states are still sent to it, since a network
# partition may have separated it.
REMOVAL_TIMEOUT_S = 120.0


@dataclass(slots=True)
class _Peer:
    """A VM with its latest state.

    :ivar last_seen_at: time of the last sign of life, directly or through a digest.
    :ivar state_received_at: time at which ``state`` arrived.
    :ivar token: token of the VM's name.
    :ivar digest_sequence: ``sequence`` of its state that the last digest named.
    """

    state: VmState
    last_seen_at: float
    state_received_at: float
    token: int
    digest_sequence: int = -1


class FleetView:
    """States of the other VMs, and digests of the other regions.

    Explanation
    ===========

    Each message is a snapshot that replaces the one before, so that lost, repeated and
    reordered datagrams cause no lasting error.

    In a small region all VMs send their states to each other. In a large one they send them
    only to the aggregator, the VM with the most CPU capacity, which sends the sums to all
    others. A VM that receives no digest from the aggregator sends its state to all VMs of the
    region, until it receives one from the next aggregator. In regions of any size, the
    aggregator sends the region's digest to the other regions.

    Peers are the other VMs; local ones are in the own region, remote ones in other regions.

    :param name: name of this VM.
    :param capacity: its CPU capacity, in cores of reference speed.
    :ivar uptime: proofs that backend servers ran, by the responses to any VM.
    :ivar isolation: which VMs have lost their links to the backend servers, this one included.
    """

    def __init__(self, name: str, region: str, failure_domain: str, capacity: float = 1.0) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.capacity = as_sent(capacity)
        self.is_leaving = False
        self.aggregate = RegionAggregate(name)
        self.uptime = UptimeProofs()
        self.isolation = IsolationTable()
        self._aggregator: VmState | FleetView = self
        self._elected_at = float("-inf")
        self._aggregator_since: float | None = None
        self._peers: dict[str, _Peer] = {}
        self._remote_digests: dict[str, tuple[RegionDigest, float]] = {}
        # Requests in progress by token of the backend server, updated with each message: the
        # sum over the states of the local peers, and the sum over the remote digests.
        self._local_in_progress: dict[int, int] = {}
        self._remote_in_progress: dict[int, int] = {}
        self._slowness: dict[int, tuple[float, float]] = {}
        self._has_contact = True
        self._contact_since = float("-inf")

    @property
    def local_peer_count(self) -> int:
        """Number of other VMs of the own region, up or down."""
        return len(self._local_peers())

    def has_aggregator(self, now: float) -> bool:
        """Return whether this VM currently receives the digests of its region's aggregator."""
        timeout_s = (MAX_LOST_DIGESTS + 0.5) * self.aggregate.interval_s
        return now - self.aggregate.received_at <= max(MIN_AGGREGATOR_TIMEOUT_S, timeout_s)

    def on_state(self, now: float, state: VmState) -> bool:
        """Process a state; return whether its VM was unknown or down."""
        if state.name == self.name:
            return False
        peer = self._peers.get(state.name)
        if peer is not None and not _is_later(state, peer.state):
            return False
        was_up = peer is not None and self._is_up(now, peer)
        if peer is not None:
            self._add_in_progress(peer.state, -1)
            if not state.has_arrivals:
                state = replace(state, arrivals=peer.state.arrivals)
        self._peers[state.name] = _Peer(state, now, now, token_of(state.name))
        self._add_in_progress(state, 1)
        self._merge_slowness(now, state.slowness)
        return not was_up

    def on_digest(self, now: float, digest: RegionDigest) -> bool:
        """Process a digest; return whether it was accepted."""
        is_accepted = (
            self._on_local_digest(now, digest)
            if digest.region == self.region
            else self._on_remote_digest(now, digest)
        )
        if is_accepted:
            self._refresh_liveness(now, digest)
        return is_accepted

    def _on_local_digest(self, now: float, digest: RegionDigest) -> bool:
        if digest.sender != self.aggregator(now).name:
            return False
        latest = self.aggregate.digest
        if latest is not None and _is_outdated(digest, latest):
            return False
        if not self.aggregate.apply(now, digest):
            return False
        self._merge_slowness(now, digest.slowness)
        return True

    def _refresh_liveness(self, now: float, digest: RegionDigest) -> None:
        """Update the last sign of life of the sender and of VMs whose states advanced."""
        sender = self._peers.get(digest.sender)
        if sender is not None:
            sender.last_seen_at = now
        sequences = digest.sequences
        if not sequences:
            return
        for peer in self._peers.values():
            sequence = sequences.get(peer.token)
            if sequence is not None and sequence != peer.digest_sequence:
                peer.digest_sequence = sequence
                peer.last_seen_at = now

    def _merge_slowness(self, now: float, reports: Mapping[int, Sequence[float]]) -> None:
        for token, (percent, age_s) in reports.items():
            self.uptime.record(token, now - age_s)
            if now - age_s > self._slowness.get(token, (0.0, float("-inf")))[1]:
                self._slowness[token] = percent / 100, now - age_s

    def _on_remote_digest(self, now: float, digest: RegionDigest) -> bool:
        previous = self._remote_digests.get(digest.region)
        if previous is not None and _is_outdated(digest, previous[0]):
            return False
        if previous is not None:
            _add(self._remote_in_progress, previous[0].in_progress, -1)
        self._remote_digests[digest.region] = digest, now
        _add(self._remote_in_progress, digest.in_progress, 1)
        return True

    def contact_since(self, now: float) -> float:
        """Return since when this VM has heard from others of its region; now if it hears none.

        Explanation
        ===========

        The VMs of its own failure domain do not count while others are known, since they may be
        cut off together. A VM that knows no others is always in contact.
        """
        return self._contact_since if self._has_contact else now

    def _update_contact(self, now: float) -> None:
        peers = self._local_peers()
        elsewhere = [
            peer for peer in peers if peer.state.failure_domain != self.failure_domain
        ] or peers
        timeout_s = self._local_timeout_s(now)
        has_contact = not peers or any(now - p.last_seen_at <= timeout_s for p in elsewhere)
        if has_contact and not self._has_contact:
            self._contact_since = now
        self._has_contact = has_contact

    def resume(self, pause_s: float) -> None:
        """Don't count a pause of this process as silence of the other VMs and regions."""
        for peer in self._peers.values():
            peer.last_seen_at += pause_s
        self._remote_digests = {
            region: (digest, received_at + pause_s)
            for region, (digest, received_at) in self._remote_digests.items()
        }
        self.aggregate.received_at += pause_s

    def expire(self, now: float) -> list[str]:
        """Discard the loads of VMs and regions that timed out.

        Return the names of the VMs that went down with requests in progress.
        """
        silent = []
        self.uptime.expire(now)
        self._update_contact(now)
        if not self.has_aggregator(now):
            self.aggregate.clear()
        if self.aggregator(now) is not self:
            self._aggregator_since = None
        elif self._aggregator_since is None:
            self._aggregator_since = now
        for name, peer in list(self._peers.items()):
            if now - peer.last_seen_at > REMOVAL_TIMEOUT_S:
                del self._peers[name]
            if peer.state.in_progress and not self._is_up(now, peer):
                self._add_in_progress(peer.state, -1)
                peer.state = _without_load(peer.state)
                silent.append(name)
        for token, (_, reported_at) in list(self._slowness.items()):
            if now - reported_at > DIGEST_LIFETIME_S:
                del self._slowness[token]
        for region, (digest, received_at) in list(self._remote_digests.items()):
            if now - received_at > DIGEST_LIFETIME_S:
                _add(self._remote_in_progress, digest.in_progress, -1)
                del self._remote_digests[region]
        return silent

    def in_progress(self, token: int) -> int:
        """Return the requests in progress of all other VMs on a backend server."""
        remote = self._remote_in_progress.get(token, 0)
        if self.aggregate.digest is not None:
            return remote + self.aggregate.in_progress(token)
        return remote + self._local_in_progress.get(token, 0)

    def slowness(self, token: int) -> tuple[float, float]:
        """Return the slowness of a backend server that peers reported last, and its time."""
        return self._slowness.get(token, (1.0, float("-inf")))

    def live_peers(self, now: float) -> list[VmState]:
        """Return the other VMs that are up, by name."""
        return [
            self._peers[name].state
            for name in sorted(self._peers)
            if self._is_up(now, self._peers[name])
        ]

    def live_local_peers(self, now: float) -> list[VmState]:
        """Return the other VMs of the own region that are up."""
        timeout_s = self._local_timeout_s(now)
        return [peer.state for peer in self._local_peers() if now - peer.last_seen_at <= timeout_s]

    def known_peers(self) -> list[VmState]:
        """Return all other VMs, up or down."""
        return [peer.state for peer in self._peers.values()]

    def peers_at_of(self, name: str) -> str:
        """Return the address of another VM for messages, empty if it is unknown."""
        peer = self._peers.get(name)
        return peer.state.peers_at if peer is not None else ""

    def known_local_peers(self) -> list[VmState]:
        """Return the other VMs of the own region, up or down."""
        return [peer.state for peer in self._local_peers()]

    def known_remote_peers(self) -> list[VmState]:
        """Return the VMs of other regions, up or down."""
        return [peer.state for peer in self._peers.values() if peer.state.region != self.region]

    def reader_rank(self, now: float, can_read: bool) -> int:
        """Return this VM's rank among the VMs of the region as a reader of the store.

        The VM with rank 0 reads first. VMs that cannot reach the store rank last.

        :param can_read: whether this VM can reach it.
        """
        own = (not can_read, token_of(self.name))
        others = (
            (not state.can_read, token_of(state.name))
            for state in self.live_local_peers(now)
            if not state.is_leaving
        )
        return sum(other < own for other in others)

    def aggregator(self, now: float) -> "VmState | FleetView":
        """Return the VM that is elected as aggregator of the region.

        This is the state of another VM, or this view if this VM is elected.
        """
        if not 0.0 <= now - self._elected_at < AGGREGATOR_CACHE_S:
            self._aggregator, self._elected_at = self._elect_aggregator(now), now
        return self._aggregator

    def _elect_aggregator(self, now: float) -> "VmState | FleetView":
        staying = [state for state in self.live_local_peers(now) if not state.is_leaving]
        candidates: list[VmState | FleetView] = [*staying, *([] if self.is_leaving else [self])]
        return min(candidates, key=_election_order, default=self)

    def is_aggregator(self, now: float) -> bool:
        """Return whether this VM is elected as aggregator of its region."""
        return self.aggregator(now) is self

    def is_aggregating(self, now: float) -> bool:
        """Return whether this VM should send digests to the VMs of its region.

        That is the case for the aggregator of a large region once it has received the states
        of the others.
        """
        has_settled = (
            self._aggregator_since is not None
            and now - self._aggregator_since >= AGGREGATOR_SETTLE_S
        )
        return has_settled and self.local_peer_count > MAX_MESH_PEERS and self.is_aggregator(now)

    def state_recipients(self, now: float) -> list[VmState]:
        """Return the VMs of the region to which this VM sends its state when it changes."""
        if self.is_aggregating(now):
            return []
        aggregator = self.aggregator(now)
        if not self.has_aggregator(now) or aggregator is self:
            return self.known_local_peers()
        return [
            peer.state
            for peer in self._local_peers()
            if peer.state.name == aggregator.name
            or (
                not peer.state.has_aggregator
                and now - peer.state_received_at <= DIRECT_STATE_LIFETIME_S
            )
        ]

    def remote_digest_recipients(self, now: float) -> list[VmState]:
        """Return the VMs of other regions to which the digest of this region is sent."""
        by_region: dict[str, list[VmState]] = {}
        for state in sorted(self.live_peers(now), key=_election_order):
            if state.region != self.region:
                by_region.setdefault(state.region, []).append(state)
        return [
            state
            for states in by_region.values()
            for state in (
                states if len(states) <= MAX_MESH_PEERS + 1 else states[:REMOTE_DIGEST_RECIPIENTS]
            )
        ]

    def sequences(self, now: float) -> dict[int, int]:
        """Return the ``sequence`` of each live local peer's latest state, by token."""
        return {token_of(state.name): state.sequence for state in self.live_local_peers(now)}

    def slowness_reports(self, now: float) -> dict[int, tuple[float, float]]:
        """Return the slowness that peers reported last, in percent, with its age, by token."""
        return {
            token: (round(100 * slowness), round(now - reported_at, 3))
            for token, (slowness, reported_at) in self._slowness.items()
        }

    def lost_server_ages_s(self, now: float, within_s: float) -> dict[int, float]:
        """Return the backend servers that local peers recently found unreachable.

        Explanation
        ===========

        Maps the token of each to the seconds since then; failures that are ``within_s`` old
        or older are omitted.
        """
        ages_s: dict[int, float] = {}
        for peer in self._local_peers():
            for token, age_s in peer.state.lost_server_ages_s.items():
                age_s += now - peer.state_received_at
                if age_s < within_s:
                    ages_s[token] = min(age_s, ages_s.get(token, age_s))
        return ages_s

    def responsible_vms(self, now: float, key: str, count: int) -> list[str]:
        """Return the VMs of the own region that a rendezvous hash assigns to a key.

        VMs that reach no backend server are left out unless there are no others.
        """
        names = [state.name for state in self.live_local_peers(now) if not state.is_leaving]
        names.append(self.name)
        names = [name for name in names if not self.isolation.is_isolated(name)] or names
        return sorted(names, key=lambda name: token_of(f"{key}/{name}"))[:count]

    def local_arrivals(self, now: float, own: dict[int, float]) -> dict[int, float]:
        """Return the arrival rates of the own region by token, in requests per second.

        :param own: the rates of this VM.
        """
        if self.aggregate.digest is not None:
            return dict(self.aggregate.digest.arrivals)
        sums = dict(own)
        for state in self.live_local_peers(now):
            for token, rate in state.arrivals.items():
                sums[token] = sums.get(token, 0.0) + rate
        return sums

    def remote_arrivals(self) -> dict[str, dict[int, float]]:
        """Return the arrival rates of each other region by token, in requests per second."""
        return {
            region: dict(digest.arrivals) for region, (digest, _) in self._remote_digests.items()
        }

    def local_in_progress(self, now: float, own: dict[int, int]) -> dict[int, int]:
        """Return the requests in progress of all VMs of the own region by token.

        :param own: those of this VM.
        """
        sums = dict(own)
        for state in self.live_local_peers(now):
            for token, count in state.in_progress.items():
                sums[token] = sums.get(token, 0) + count
        return sums

    def _local_peers(self) -> list[_Peer]:
        return [peer for peer in self._peers.values() if peer.state.region == self.region]

    def _is_up(self, now: float, peer: _Peer) -> bool:
        is_local = peer.state.region == self.region
        timeout_s = self._local_timeout_s(now) if is_local else REMOTE_TIMEOUT_S
        return now - peer.last_seen_at <= timeout_s

    def _local_timeout_s(self, now: float) -> float:
        timeout_s = max(
            AGGREGATED_LOCAL_TIMEOUT_S,
            LOCAL_TIMEOUT_S + (MAX_LOST_DIGESTS + 0.5) * self.aggregate.interval_s,
        )
        return timeout_s if now - self.aggregate.received_at <= timeout_s else LOCAL_TIMEOUT_S

    def _add_in_progress(self, state: VmState, sign: int) -> None:
        # Requests in progress in other regions are counted from their digests.
        if state.region == self.region:
            _add(self._local_in_progress, state.in_progress, sign)


def _add(sums: dict[int, int], counts: Mapping[int, int], sign: int) -> None:
    for token, count in counts.items():
        total = sums.get(token, 0) + sign * count
        if total:
            sums[token] = total
        else:
            sums.pop(token, None)


def _election_order(vm: VmState | FleetView) -> tuple[float, int]:
    return -vm.capacity, token_of(vm.name)


def _is_outdated(digest: RegionDigest, known: RegionDigest) -> bool:
    """Return whether a digest is not newer than one of the same sender and incarnation."""
    is_same_sender = (digest.sender, digest.incarnation) == (known.sender, known.incarnation)
    return is_same_sender and digest.sequence <= known.sequence


def _is_later(state: VmState, known: VmState) -> bool:
    return state.incarnation != known.incarnation or state.sequence > known.sequence


def _without_load(state: VmState) -> VmState:
    fields = {name: getattr(state, name) for name in VmState.__slots__}
    return VmState(
        **{
            **fields,
            "in_progress": {},
            "arrivals": {},
            "lost_server_ages_s": {},
            "slowness": {},
        }
    )
