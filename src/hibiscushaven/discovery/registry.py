"""Backend servers that may get requests, as far as one VM knows."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from .records import ServerRecord

__all__ = ["LAPSE_GRACE_S", "OUTAGE_S", "KnownServer", "Registry"]

# Backend servers register again within about 2 s of the store's return.
LAPSE_GRACE_S = 2.0

# Time without a read after which missing records may have lapsed with the store away: two
# intervals between reads.
OUTAGE_S = 1.0


@dataclass(frozen=True, slots=True)
class KnownServer:
    """A backend server with what this VM has learnt about it.

    :ivar cold_until: time until which it counts as cold.
    :ivar lapsed_until: time at which it is dropped unless it registers again.
    """

    record: ServerRecord
    cold_until: float = 0.0
    lapsed_until: float | None = None


class Registry:
    """Merges reads of the store and snapshots of peers; versions only move forward.

    Explanation
    ===========

    A reader of the store calls ``replace_all``; other VMs ``adopt`` the snapshot of a reader.
    A record that disappears while the store was away is kept for a grace time, since its
    server may only have been unable to renew it.

    :ivar version: version of the last change that matters to other VMs.
    :ivar revision: number of the last change of any kind, also of what only this VM presumes;
        whoever keeps records takes them anew when it moves.
    """

    def __init__(self) -> None:
        self.version = 0
        self.revision = 0
        self._servers: dict[str, KnownServer] = {}
        self._by_service: dict[str, tuple[KnownServer, ...]] = {}
        self._grace_until = 0.0

    @property
    def servers(self) -> Mapping[str, KnownServer]:
        return self._servers

    def of_service(self, service: str) -> tuple[KnownServer, ...]:
        """Return the servers of a service by id, leaving ones included."""
        return self._by_service.get(service, ())

    def replace_all(
        self, now: float, version: int, records: Iterable[ServerRecord], gap_s: float
    ) -> bool:
        """Take a complete read of the store; return whether anything that matters changed.

        A read that is older than what is known, since its answer was slow, changes nothing.

        :param gap_s: time since the read before, in seconds.
        """
        if version < self.version:
            return False
        if gap_s > OUTAGE_S and self._servers:
            self._grace_until = now + LAPSE_GRACE_S
        read = {record.server_id: record for record in records}
        missing = [server_id for server_id in self._servers if server_id not in read]
        return self._merge(now, version, read, missing)

    def adopt(self, now: float, version: int, servers: Mapping[str, KnownServer]) -> bool:
        """Take a peer's snapshot if it is newer; return whether it was taken."""
        if version <= self.version:
            return False
        self.version = version
        self._servers = {
            server_id: _with_later_cold(server, self._servers.get(server_id))
            for server_id, server in servers.items()
        }
        self._index()
        return True

    def expire(self, now: float) -> bool:
        """Drop lapsed servers whose grace is over; return whether there were any."""
        ended = [
            server_id
            for server_id, server in self._servers.items()
            if server.lapsed_until is not None and server.lapsed_until <= now
        ]
        for server_id in ended:
            del self._servers[server_id]
        if ended:
            self.version += 1
            self._index()
        return bool(ended)

    def mark_cold(self, now: float, failure_domain: str, warmup_s: Mapping[str, float]) -> None:
        """Count all servers of a failure domain as cold until their next records say more."""
        for server_id, server in self._servers.items():
            if server.record.failure_domain == failure_domain:
                until = now + warmup_s.get(server.record.service, 0.0)
                self._servers[server_id] = replace(server, cold_until=until)
        self._index()

    def mark_server_cold(self, server_id: str, until: float) -> None:
        """Count one server as cold until a time at least."""
        server = self._servers.get(server_id)
        if server is not None and server.cold_until < until:
            self._servers[server_id] = replace(server, cold_until=until)
            self._index()

    def _merge(
        self, now: float, version: int, read: Mapping[str, ServerRecord], missing: Iterable[str]
    ) -> bool:
        has_changed = False
        for server_id, record in read.items():
            known = self._servers.get(server_id)
            if known is not None and known.record == record and known.lapsed_until is None:
                continue
            self._servers[server_id] = _updated(now, known, record)
            has_changed = True
        for server_id in missing:
            has_changed |= self._lose(now, server_id)
        if has_changed:
            self.version = max(version, self.version + 1)
            self._index()
        return has_changed

    def _lose(self, now: float, server_id: str) -> bool:
        known = self._servers.get(server_id)
        if known is None:
            return False
        if now < self._grace_until and not known.record.is_leaving:
            if known.lapsed_until is None:
                self._servers[server_id] = replace(known, lapsed_until=self._grace_until)
                return True
            return False
        del self._servers[server_id]
        return True

    def _index(self) -> None:
        self.revision += 1
        groups: dict[str, list[KnownServer]] = {}
        for server_id in sorted(self._servers):
            server = self._servers[server_id]
            groups.setdefault(server.record.service, []).append(server)
        self._by_service = {service: tuple(servers) for service, servers in groups.items()}


def _updated(now: float, known: KnownServer | None, record: ServerRecord) -> KnownServer:
    cold_until = now + record.cold_left_s if record.cold_left_s > 0 else 0.0
    if known is not None and known.record.is_same_run(record):
        # A presumption from elsewhere outlives a record that may be older than it.
        cold_until = max(cold_until, known.cold_until)
    return KnownServer(record, cold_until)


def _with_later_cold(server: KnownServer, known: KnownServer | None) -> KnownServer:
    if known is None or not known.record.is_same_run(server.record):
        return server
    return replace(server, cold_until=max(server.cold_until, known.cold_until))
