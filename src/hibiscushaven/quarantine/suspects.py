"""Distinction between crashes of backend servers and broken connections."""

from .crashes import CrashRecord

__all__ = ["CrashSuspects"]

# Time within which a server must be found unreachable for a broken connection to count as a
# crash. A restart takes longer, so that the server is still unreachable then.
CONFIRMATION_TIMEOUT_S = 1.0

# Servers whose broken connections are remembered; beyond it, the server whose connection broke
# first is evicted.
MAX_SUSPECT_SERVERS = 256

# Requests remembered per server; further ones whose connection breaks are not suspected.
MAX_SUSPECTS_PER_SERVER = 64


class CrashSuspects:
    """Requests whose connection broke, until their server is found unreachable.

    Explanation
    ===========

    Connections break for many reasons, and many callers request the same object. A broken
    connection therefore counts as a crash only if the server is found unreachable shortly
    afterwards.

    Examples
    ========

    >>> suspects = CrashSuspects()
    >>> suspects.on_connection_loss(1.0, "s1", "poison", sent_at=0.9)
    >>> suspects.pop_recent(1.2, "s1")
    {'poison': CrashRecord(server='s1', sent_at=0.9, crashed_at=1.0)}

    """

    def __init__(self) -> None:
        # Time of the loss and of sending by server and fingerprint.
        self._broken: dict[str, dict[str, tuple[float, float]]] = {}

    def on_connection_loss(
        self, now: float, server_id: str, fingerprint: str, sent_at: float
    ) -> None:
        """Record a request whose connection broke."""
        if server_id not in self._broken and len(self._broken) >= MAX_SUSPECT_SERVERS:
            del self._broken[next(iter(self._broken))]
        broken = self._broken.setdefault(server_id, {})
        for key in [
            key
            for key, (broken_at, _) in broken.items()
            if now - broken_at > CONFIRMATION_TIMEOUT_S
        ]:
            del broken[key]
        if len(broken) < MAX_SUSPECTS_PER_SERVER:
            broken[fingerprint] = now, sent_at

    def pop_recent(self, now: float, server_id: str) -> dict[str, CrashRecord]:
        """Return the requests whose connection to an unreachable server broke recently.

        :returns: crash of the server by fingerprint, dated by the loss of the connection; they are
            suspects no longer.
        """
        broken = self._broken.pop(server_id, {})
        return {
            key: CrashRecord(server_id, request_sent_at, broken_at)
            for key, (broken_at, request_sent_at) in broken.items()
            if now - broken_at <= CONFIRMATION_TIMEOUT_S
        }

    def servers_of(self, fingerprint: str) -> list[str]:
        """Return the servers that lost connections of a request, and may have crashed."""
        return [server for server, broken in self._broken.items() if fingerprint in broken]

    def last_loss_at(self, server_id: str) -> float | None:
        """Return the time of a server's latest loss of a connection, ``None`` without any."""
        broken = self._broken.get(server_id, {})
        return max((broken_at for broken_at, _ in broken.values()), default=None)

    def discard_request(self, fingerprint: str) -> None:
        """Remove a request, which has completed since, from the suspects of all servers."""
        for broken in self._broken.values():
            broken.pop(fingerprint, None)
