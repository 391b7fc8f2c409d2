"""Digests of the other failure domains, and their forwarding to VMs of the own one."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import encode

from .messages import Digest, OutgoingMessage
from .view import DomainDigest

__all__ = ["DIGEST_INTERVAL_S", "DigestTable"]

DIGEST_INTERVAL_S = 1.0

# Limits the traffic of forwarding digests inside a failure domain, per VM: with more failure
# domains the digests get older, while the traffic stays constant. Five digests of 615 bytes to
# three VMs each second need 9,200 bytes a second, which the two relays divide between them.
_FORWARD_BYTES_PER_S = 6_000.0
_FORWARD_BURST_BYTES = 12_000.0

# Minimum interval between forwarded digests of one failure domain. Both of its relays send a
# digest each second, of which one is forwarded.
_FORWARD_INTERVAL_S = 0.8


@dataclass(slots=True)
class _ReceivedDigest:
    """A digest and the VMs of the own failure domain that have it.

    :ivar last_seqs: highest sequence number by relay incarnation.
    """

    digest: Digest
    received_at: float
    last_seqs: dict[str, int] = field(default_factory=dict)
    holders: set[str] = field(default_factory=set)

    def age_s(self, now: float) -> float:
        return self.digest.age_s + now - self.received_at


class DigestTable:
    """The latest digest of each other failure domain."""

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedDigest] = {}
        self._forward_queue: dict[str, None] = {}
        self._queued_at: dict[str, float] = {}
        self._byte_budget = _FORWARD_BURST_BYTES
        self._forwarded_at: float | None = None

    @property
    def is_forwarding(self) -> bool:
        """Whether digests are queued for forwarding."""
        return bool(self._forward_queue)

    def receive(self, now: float, sender_vm: str, digest: Digest) -> bool:
        """Store a digest if it is newer than the stored one; return whether it is."""
        known = self._received.get(digest.domain)
        last_seqs = known.last_seqs if known is not None else {}
        if digest.seq <= last_seqs.get(digest.relay, -1):
            if known is not None and known.digest.relay == digest.relay:
                known.holders.add(sender_vm)
            return False
        # Only the sequence numbers of the current relays are needed, so those of old
        # incarnations are removed.
        last_seqs = dict([*last_seqs.items(), (digest.relay, digest.seq)][-4:])
        last_seqs[digest.relay] = digest.seq
        if known is not None and known.age_s(now) < digest.age_s:
            known.last_seqs = last_seqs
            return False
        self._received[digest.domain] = _ReceivedDigest(digest, now, last_seqs, {sender_vm})
        if now - self._queued_at.get(digest.domain, float("-inf")) >= _FORWARD_INTERVAL_S:
            self._queued_at[digest.domain] = now
            self._forward_queue[digest.domain] = None
        return True

    def latest(self, now: float) -> dict[str, DomainDigest]:
        """Return the latest digests by failure domain."""
        return {domain: self.get(now, domain) for domain in self._received}

    def get(self, now: float, domain: str) -> DomainDigest | None:
        """Return the latest digest of a failure domain, ``None`` if there is none."""
        known = self._received.get(domain)
        if known is None:
            return None
        relays = tuple(Endpoint(*relay) for relay in known.digest.relays)
        return DomainDigest(domain, known.age_s(now), relays, known.digest.attributes)

    def forward(self, now: float, peers: dict[str, Endpoint]) -> Iterator[OutgoingMessage]:
        """Forward new digests to heartbeat peers that may not have them, within the byte rate."""
        if self._forwarded_at is not None:
            refill = (now - self._forwarded_at) * _FORWARD_BYTES_PER_S
            self._byte_budget = min(_FORWARD_BURST_BYTES, self._byte_budget + refill)
        self._forwarded_at = now
        for domain in list(self._forward_queue):
            known = self._received[domain]
            digest = replace(known.digest, age_s=known.age_s(now))
            size = len(encode(digest))
            for vm in sorted(peers.keys() - known.holders):
                if self._byte_budget < 0:
                    return
                self._byte_budget -= size
                known.holders.add(vm)
                yield OutgoingMessage(peers[vm], digest)
            del self._forward_queue[domain]

    def cancel_forwarding(self, domains: Iterable[str]) -> None:
        """Remove these failure domains' digests from the queue of digests to forward."""
        for domain in domains:
            self._forward_queue.pop(domain, None)
