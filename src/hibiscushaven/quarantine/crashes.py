"""Record of the requests that were in progress on backend servers when they crashed."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["CrashLedger"]

# Fingerprints that are kept, suspect and quarantined ones together.
MAX_FINGERPRINTS = 1024
# Time for which a quarantined fingerprint is refused.
QUARANTINE_S = 600.0
# Time after a first crash without a second one until the fingerprint is no longer suspect.
SUSPICION_S = 600.0


@dataclass(slots=True)
class _Entry:
    """Crash of a server with a request in progress.

    :ivar refused_until: end of the quarantine, ``None`` for a suspect.
    :ivar is_local: whether the crash was observed here, not merged from elsewhere.
    """

    server: str
    crashed_at: float
    refused_until: float | None = None
    is_local: bool = True


class CrashLedger:
    """Fingerprints of requests with one crash (suspects) and with two (quarantined).

    Explanation
    ===========

    A fingerprint is quarantined once it was in progress on two different backend servers
    when each of them crashed, and was sent to the second after the first had crashed. A
    single event that takes down two servers with both attempts of a hedged request is thus not
    attributed to the request. The number of fingerprints is bounded by ``MAX_FINGERPRINTS``.

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

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def is_quarantined(self, now: float, fingerprint: str) -> bool:
        return self.remaining_s(now, fingerprint) > 0

    def is_suspect(self, now: float, fingerprint: str) -> bool:
        """Return whether exactly one crash is recorded for the fingerprint."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.refused_until is not None:
            return False
        return now < entry.crashed_at + SUSPICION_S

    def remaining_s(self, now: float, fingerprint: str) -> float:
        """Return the time for which the fingerprint is still refused, in seconds."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.refused_until is None:
            return 0.0
        return max(0.0, entry.refused_until - now)

    def record(self, now: float, server: str, sent_at: Mapping[str, float]) -> list[str]:
        """Record the crash of a backend server.

        :param sent_at: time at which each request in progress was sent to it, by fingerprint.
        :returns: fingerprints that are quarantined from now on.
        """
        known = [key for key in sent_at if self.is_quarantined(now, key)]
        for fingerprint, request_sent_at in sent_at.items():
            self._record_one(now, server, fingerprint, request_sent_at)
        self._evict(now)
        return [key for key in sent_at if key not in known and self.is_quarantined(now, key)]

    def clear_suspicion(self, fingerprint: str) -> None:
        """Remove a suspect whose request has since completed."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.refused_until is None:
            del self._entries[fingerprint]

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
                self._put(fingerprint, _Entry("", now, until, is_local=False))
            elif not entry.is_local:
                entry.refused_until = max(entry.refused_until, until)
        self._evict(now)

    def _record_one(self, now: float, server: str, fingerprint: str, sent_at: float) -> None:
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.refused_until is not None:
            if now >= entry.refused_until:
                self._put(fingerprint, _Entry(server, now))
            return
        if entry is None or now >= entry.crashed_at + SUSPICION_S:
            self._put(fingerprint, _Entry(server, now))
        elif entry.server != server and sent_at >= entry.crashed_at:
            self._put(fingerprint, _Entry(server, now, now + QUARANTINE_S))

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
        return not (self.is_suspect(now, fingerprint) or self.is_quarantined(now, fingerprint))
