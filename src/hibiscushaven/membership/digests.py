"""Digests between failure domains: sending, receiving and spreading inside the own one."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import encode

from .messages import Digest, OutgoingMessage
from .view import DomainDigest

__all__ = ["DIGEST_INTERVAL_S", "DigestTable"]

DIGEST_INTERVAL_S = 1.0

# Bound on what a VM spends on spreading digests inside its failure domain; with more failure
# domains the digests get older instead of the traffic growing. Five digests of 615 bytes to three
# VMs each second need 9,200 bytes a second, which the two relays share.
_FORWARD_BYTES_PER_S = 6_000.0
_FORWARD_BURST_BYTES = 12_000.0

# Both relays of a failure domain send its digest; one of the two per second is passed on.
_FORWARD_INTERVAL_S = 0.8


@dataclass(slots=True)
class _ReceivedDigest:
    digest: Digest
    received_at: float
    last_seqs: dict[str, int] = field(default_factory=dict)
    holders: set[str] = field(default_factory=set)

    def age_s(self, now: float) -> float:
        return self.digest.age_s + now - self.received_at


class DigestTable:
    """The latest digest of each other failure domain."""

    def __init__(self) -> None:
        self._known: dict[str, _ReceivedDigest] = {}
        self._queue: dict[str, None] = {}
        self._queued_at: dict[str, float] = {}
        self._byte_budget = _FORWARD_BURST_BYTES
        self._forwarded_at: float | None = None

    @property
    def is_forwarding(self) -> bool:
        return bool(self._queue)

    def receive(self, now: float, sender_vm: str, digest: Digest) -> bool:
        """Take a digest; return whether it is newer than the one known."""
        known = self._known.get(digest.domain)
        last_seqs = known.last_seqs if known is not None else {}
        if digest.seq <= last_seqs.get(digest.relay, -1):
            if known is not None and known.digest.relay == digest.relay:
                known.holders.add(sender_vm)
            return False
        # Only the current relays' numbers are needed; old incarnations are dropped.
        last_seqs = dict([*last_seqs.items(), (digest.relay, digest.seq)][-4:])
        last_seqs[digest.relay] = digest.seq
        if known is not None and known.age_s(now) < digest.age_s:
            known.last_seqs = last_seqs
            return False
        self._known[digest.domain] = _ReceivedDigest(digest, now, last_seqs, {sender_vm})
        if now - self._queued_at.get(digest.domain, float("-inf")) >= _FORWARD_INTERVAL_S:
            self._queued_at[digest.domain] = now
            self._queue[digest.domain] = None
        return True

    def latest(self, now: float) -> dict[str, DomainDigest]:
        return {domain: self.get(now, domain) for domain in self._known}

    def get(self, now: float, domain: str) -> DomainDigest | None:
        known = self._known.get(domain)
        if known is None:
            return None
        relays = tuple(Endpoint(*relay) for relay in known.digest.relays)
        return DomainDigest(domain, known.age_s(now), relays, known.digest.attributes)

    def forward(self, now: float, neighbours: dict[str, Endpoint]) -> Iterator[OutgoingMessage]:
        """Pass new digests to neighbours that may lack them, within the byte rate."""
        if self._forwarded_at is not None:
            earned = (now - self._forwarded_at) * _FORWARD_BYTES_PER_S
            self._byte_budget = min(_FORWARD_BURST_BYTES, self._byte_budget + earned)
        self._forwarded_at = now
        for domain in list(self._queue):
            known = self._known[domain]
            digest = replace(known.digest, age_s=known.age_s(now))
            size = len(encode(digest))
            for vm in sorted(neighbours.keys() - known.holders):
                if self._byte_budget < 0:
                    return
                self._byte_budget -= size
                known.holders.add(vm)
                yield OutgoingMessage(neighbours[vm], digest)
            del self._queue[domain]

    def cancel_forwarding(self, domains: Iterable[str]) -> None:
        """Do not spread these digests."""
        for domain in domains:
            self._queue.pop(domain, None)
