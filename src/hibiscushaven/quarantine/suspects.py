"""Requests that were in progress on a backend server when its connections broke."""

from .crashes import CrashLedger

__all__ = ["CrashSuspects"]

# Time within which a server must prove unreachable for a broken connection to count as its
# crash; a server that restarts is away for longer.
CONFIRM_S = 1.0

# Servers that are remembered; the one that was first lost goes first.
SERVER_LIMIT = 256

# Requests that are remembered for each server.
SUSPECT_LIMIT = 64


class CrashSuspects:
    """Tells crashes from broken connections.

    Explanation
    ===========

    Connections break for many reasons, and many callers ask for the same object, so that a
    broken connection alone must not count against a request. It counts once the server
    cannot be reached shortly after.

    Examples
    ========

    >>> suspects, ledger = CrashSuspects(), CrashLedger()
    >>> suspects.on_loss(1.0, "s1", "poison", sent_at=0.9)
    >>> suspects.on_unreachable(1.2, "s1", ledger)
    >>> ledger.is_suspect(1.3, "poison")
    True

    """

    def __init__(self) -> None:
        self._lost: dict[str, dict[str, tuple[float, float]]] = {}

    def on_loss(self, now: float, server_id: str, fingerprint: str, sent_at: float) -> None:
        """Note a request whose connection broke."""
        if server_id not in self._lost and len(self._lost) >= SERVER_LIMIT:
            del self._lost[next(iter(self._lost))]
        lost = self._lost.setdefault(server_id, {})
        for key in [key for key, (at, _) in lost.items() if now - at > CONFIRM_S]:
            del lost[key]
        if len(lost) < SUSPECT_LIMIT:
            lost[fingerprint] = now, sent_at

    def on_unreachable(self, now: float, server_id: str, ledger: CrashLedger) -> None:
        """Note that a server cannot be reached; count it as a crash if it just broke off."""
        lost = self._lost.pop(server_id, {})
        sent = {key: sent for key, (at, sent) in lost.items() if now - at <= CONFIRM_S}
        if sent:
            ledger.record(now, server_id, sent)
