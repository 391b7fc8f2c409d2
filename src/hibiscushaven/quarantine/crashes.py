"""Record of the requests that were in progress on backend servers when they crashed."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import permutations

__all__ = ["CrashEvidence", "CrashLedger", "CrashRecord"]

# Fingerprints that are kept, suspect and quarantined ones together.
MAX_FINGERPRINTS = 1024
# Crashes that are kept for one fingerprint. Two of them suffice for a quarantine; the others show
# which of several requests was in progress at all of them. A request that comes 20 times a second
# crashes about eight servers before all VMs refuse it.
MAX_CRASHES_PER_FINGERPRINT = 16
# Time for which a quarantined fingerprint is refused.
QUARANTINE_S = 600.0
# Time after a first crash without a second one until the fingerprint is no longer suspect.
SUSPICION_S = 600.0
# Requests whose latest completion is remembered in case they become suspect.
MAX_COMPLETIONS = 1024
# Time for which suspects and completed suspects are shared. A request that crashes servers and is
# sent more rarely than that does little harm.
SUSPECT_SHARING_S = 30.0
# Times of completion that differ by less count as one. They are sent as ages, so that each
# transfer adds the delay of the network.
COMPLETION_RESOLUTION_S = 1.0
# Times of one crash that differ by less count as equal, for the same reason.
TIME_RESOLUTION_S = 0.25
# Fingerprints of each kind that one message carries, so that it fits into a datagram.
MAX_SHARED_FINGERPRINTS = 8


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crash of a server with a request in progress.

    :ivar server: id of the server; different ones for two starts that count as two servers.
    :ivar sent_at: time from which the request was on its way to the server.
    :ivar crashed_at: time at which its connection broke.
    """

    server: str
    sent_at: float
    crashed_at: float

    def is_followed_by(self, other: "CrashRecord") -> bool:
        """Return whether the request was sent after this crash and crashed another server."""
        return self.server != other.server and other.sent_at >= self.crashed_at


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """What a ledger shares with those of other VMs.

    :ivar crashes: crashes by fingerprint.
    :ivar completed_at: times at which suspects completed, by fingerprint.
    """

    crashes: Mapping[str, Sequence[CrashRecord]] = field(default_factory=dict)
    completed_at: Mapping[str, float] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        return not self.crashes and not self.completed_at


@dataclass(slots=True)
class _Entry:
    """Crashes with one request in progress.

    :ivar refused_until: end of the quarantine, ``None`` for a suspect.
    :ivar is_local: whether the crashes were observed here, not merged from elsewhere.
    """

    crashes: list[CrashRecord] = field(default_factory=list)
    refused_until: float | None = None
    is_local: bool = True

    @property
    def servers(self) -> frozenset[str]:
        return frozenset(crash.server for crash in self.crashes)

    @property
    def last_crash_at(self) -> float:
        return max((crash.crashed_at for crash in self.crashes), default=float("-inf"))


class CrashLedger:
    """Fingerprints of requests with one crash (suspects) and with two (quarantined).

    Explanation
    ===========

    A fingerprint is quarantined once a backend server crashed while it was in progress, and it was
    then sent again and another server crashed. A single event that takes down two servers with both
    attempts of a hedged request is thus not attributed to the request. A fingerprint is not refused
    either while another one was in progress at all of its crashes and at more: it probably ran
    beside that one. The number of fingerprints is bounded by ``MAX_FINGERPRINTS``.

    A VM that has lost its links takes each server for crashed. Crashes at whose time the server
    provably ran are therefore dropped, whoever reports them.

    :param ran_at: returns whether a server, named as in the crashes, provably ran at a time.

    Examples
    ========

    >>> ledger = CrashLedger()
    >>> ledger.record(1.0, "a", {"poison": 0.9, "neighbour": 0.5})
    []
    >>> ledger.record(2.0, "b", {"poison": 1.9})
    ['poison']
    >>> ledger.is_quarantined(3.0, "poison"), ledger.is_quarantined(3.0, "neighbour")
    (True, False)

    """

    def __init__(self, ran_at: Callable[[str, float], bool] = lambda server, at: False) -> None:
        self._ran_at = ran_at
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        # Latest completion by fingerprint: of all requests of this VM, and of the suspects of all.
        self._completions: OrderedDict[str, float] = OrderedDict()
        self._completed_at: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def is_quarantined(self, now: float, fingerprint: str) -> bool:
        return self.remaining_s(now, fingerprint) > 0

    def is_suspect(self, now: float, fingerprint: str) -> bool:
        """Return whether the fingerprint has crashes, but too few for a quarantine."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.refused_until is not None:
            return False
        return now < entry.last_crash_at + SUSPICION_S

    def remaining_s(self, now: float, fingerprint: str) -> float:
        """Return the time for which the fingerprint is still refused, in seconds."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.refused_until is None or self._is_explained(entry):
            return 0.0
        return max(0.0, entry.refused_until - now)

    def record(self, crashed_at: float, server: str, sent_at: Mapping[str, float]) -> list[str]:
        """Record the crash of a backend server; crashes may be recorded in any order.

        :param sent_at: time at which each request in progress was sent to it, by fingerprint.
        :returns: fingerprints that are quarantined from now on.
        """
        return [
            fingerprint
            for fingerprint, request_sent_at in sent_at.items()
            if self.add(fingerprint, CrashRecord(server, request_sent_at, crashed_at))
        ]

    def add(self, fingerprint: str, crash: CrashRecord) -> bool:
        """Record a crash with one request in progress; return whether it is quarantined for it."""
        is_quarantined = self._add(fingerprint, crash)
        self._evict(crash.crashed_at)
        return is_quarantined

    def clear_suspicion(self, fingerprint: str) -> None:
        """Remove a suspect whose request has since completed."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.refused_until is None:
            del self._entries[fingerprint]

    def record_completion(self, fingerprint: str, completed_at: float) -> bool:
        """Record that a request completed; return whether other VMs should know.

        Explanation
        ===========

        All crashes before that time are due to other requests. That holds also for crashes that
        become known later, and for a quarantine that rests on such a crash.
        """
        self._completions[fingerprint] = completed_at
        self._completions.move_to_end(fingerprint)
        if len(self._completions) > MAX_COMPLETIONS:
            self._completions.popitem(last=False)
        return fingerprint in self._entries and self._cancel_crashes(fingerprint, completed_at)

    def discard_disproved(self) -> None:
        """Drop the crashes of servers that have since been found to have run at the time."""
        for fingerprint, entry in list(self._entries.items()):
            kept = [crash for crash in entry.crashes if not self._is_disproved(crash)]
            if len(kept) < len(entry.crashes):
                self._replace_crashes(fingerprint, entry, kept)

    def evidence(self, now: float) -> CrashEvidence:
        """Return the crashes that other VMs should know: quarantined requests, latest suspects."""
        shared = [
            (entry.refused_until is None, -entry.last_crash_at, fingerprint, entry.crashes)
            for fingerprint, entry in self._entries.items()
            if entry.crashes and self._is_shared(now, entry)
        ]
        crashes = {
            fingerprint: tuple(records)
            for _, _, fingerprint, records in sorted(shared)[:MAX_SHARED_FINGERPRINTS]
        }
        completed = [
            (fingerprint, completed_at)
            for fingerprint, completed_at in self._completed_at.items()
            if now - completed_at < SUSPECT_SHARING_S
        ]
        return CrashEvidence(crashes, dict(completed[-MAX_SHARED_FINGERPRINTS:]))

    def merge_evidence(self, evidence: CrashEvidence) -> tuple[bool, list[str]]:
        """Add what another ledger shared.

        Explanation
        ===========

        The result depends neither on the order nor on the number of merges, since crashes are
        a set and a completion cancels all crashes before it.

        :returns: whether anything was new, and fingerprints that are quarantined from now on.
        """
        is_new = False
        quarantined = []
        for fingerprint, completed_at in evidence.completed_at.items():
            is_new |= self._cancel_crashes(fingerprint, completed_at)
        for fingerprint, crashes in evidence.crashes.items():
            known = self._known_of(fingerprint)
            results = [self.add(fingerprint, crash) for crash in crashes]
            if any(results):
                quarantined.append(fingerprint)
            is_new |= self._known_of(fingerprint) != known
        return is_new, quarantined

    def export(self, now: float) -> dict[str, float]:
        """Return the fingerprints quarantined here with the remaining seconds.

        Fingerprints merged from other failure domains are omitted: if two domains exported
        them back to each other, a quarantine would never end.
        """
        return {
            fingerprint: entry.refused_until - now
            for fingerprint, entry in self._entries.items()
            if entry.is_local and entry.refused_until is not None and entry.refused_until > now
        }

    def merge(self, now: float, fingerprints: Mapping[str, float]) -> None:
        """Quarantine fingerprints that another failure domain exported."""
        for fingerprint, seconds in fingerprints.items():
            until = now + min(seconds, QUARANTINE_S)
            entry = self._entries.get(fingerprint)
            if entry is None or entry.refused_until is None or entry.refused_until <= now:
                self._put(fingerprint, _Entry([], until, is_local=False))
            elif not entry.is_local:
                entry.refused_until = max(entry.refused_until, until)
        self._evict(now)

    def _is_explained(self, entry: _Entry) -> bool:
        """Return whether another fingerprint accounts for all crashes of this one, and for more."""
        servers = entry.servers
        return bool(servers) and any(servers < other.servers for other in self._entries.values())

    def _is_shared(self, now: float, entry: _Entry) -> bool:
        if entry.refused_until is not None:
            return now < entry.refused_until
        return now - entry.last_crash_at < SUSPECT_SHARING_S

    def _known_of(self, fingerprint: str) -> tuple[Sequence[CrashRecord], float | None]:
        """Return the known crashes of a fingerprint and the time at which it completed."""
        entry = self._entries.get(fingerprint)
        crashes = tuple(entry.crashes) if entry is not None else ()
        return crashes, self._completed_at.get(fingerprint)

    def _cancel_crashes(self, fingerprint: str, completed_at: float) -> bool:
        """Remove the crashes before a completion; return whether no such time was known."""
        known_at = self._completed_at.get(fingerprint, float("-inf"))
        if completed_at <= known_at + COMPLETION_RESOLUTION_S:
            return False
        self._completed_at[fingerprint] = completed_at
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > MAX_FINGERPRINTS:
            self._completed_at.popitem(last=False)
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.crashes:
            kept = [item for item in entry.crashes if item.crashed_at > completed_at]
            self._replace_crashes(fingerprint, entry, kept)
        return True

    def _replace_crashes(self, fingerprint: str, entry: _Entry, crashes: list[CrashRecord]) -> None:
        """Keep some of the crashes of an entry, and lift its quarantine if they are too few."""
        entry.crashes = crashes
        if not _has_crashed_again(crashes):
            entry.refused_until = None
        if not crashes:
            del self._entries[fingerprint]

    def _is_disproved(self, crash: CrashRecord) -> bool:
        return self._ran_at(crash.server, crash.crashed_at)

    def _add(self, fingerprint: str, crash: CrashRecord) -> bool:
        if self._is_disproved(crash):
            return False
        completed_at = self._completions.get(fingerprint, float("-inf"))
        if completed_at >= crash.crashed_at:
            self._cancel_crashes(fingerprint, completed_at)
        completed_at = max(completed_at, self._completed_at.get(fingerprint, float("-inf")))
        if completed_at >= crash.crashed_at:
            return False
        entry = self._entries.get(fingerprint)
        if entry is None or self._is_expired(crash.crashed_at, fingerprint):
            self._put(fingerprint, _Entry([crash]))
            return False
        entry.crashes = _with_crash(entry.crashes, crash)
        if entry.refused_until is not None or not _has_crashed_again(entry.crashes):
            return False
        self._entries.move_to_end(fingerprint)
        entry.refused_until = entry.last_crash_at + QUARANTINE_S
        return True

    def _put(self, fingerprint: str, entry: _Entry) -> None:
        self._entries[fingerprint] = entry
        self._entries.move_to_end(fingerprint)

    def _evict(self, now: float) -> None:
        if len(self._entries) <= MAX_FINGERPRINTS:
            return
        for fingerprint in [key for key in self._entries if self._is_expired(now, key)]:
            del self._entries[fingerprint]
        # Suspects are evicted first: without its quarantine, a request can crash two more servers.
        suspects = [key for key, entry in self._entries.items() if entry.refused_until is None]
        for fingerprint in suspects[: max(0, len(self._entries) - MAX_FINGERPRINTS)]:
            del self._entries[fingerprint]
        while len(self._entries) > MAX_FINGERPRINTS:
            self._entries.popitem(last=False)

    def _is_expired(self, now: float, fingerprint: str) -> bool:
        refused_until = self._entries[fingerprint].refused_until
        is_refused = refused_until is not None and now < refused_until
        return not (is_refused or self.is_suspect(now, fingerprint))


def _with_crash(crashes: Sequence[CrashRecord], crash: CrashRecord) -> list[CrashRecord]:
    """Return the crashes with another one, which several VMs may have observed.

    Observations of one crash are merged to the latest time of sending and the earliest loss, so
    that the result does not depend on their order.
    """
    for index, known in enumerate(crashes):
        if known.server != crash.server:
            continue
        is_sent_later = crash.sent_at > known.sent_at + TIME_RESOLUTION_S
        is_lost_earlier = crash.crashed_at < known.crashed_at - TIME_RESOLUTION_S
        merged = CrashRecord(
            known.server,
            crash.sent_at if is_sent_later else known.sent_at,
            crash.crashed_at if is_lost_earlier else known.crashed_at,
        )
        return [*crashes[:index], merged, *crashes[index + 1 :]]
    return [*crashes, crash][:MAX_CRASHES_PER_FINGERPRINT]


def _has_crashed_again(crashes: Iterable[CrashRecord]) -> bool:
    return any(first.is_followed_by(second) for first, second in permutations(crashes, 2))
