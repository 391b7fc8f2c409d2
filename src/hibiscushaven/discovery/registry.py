"""Backend servers that may get requests, as far as one VM knows."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from functools import lru_cache

import xxhash

from .changes import ChangeLog
from .records import ServerRecord

__all__ = ["LAPSE_GRACE_S", "OUTAGE_S", "KnownServer", "Registry", "RegistryNews"]

# Backend servers register again within about 2 s of the store's return.
LAPSE_GRACE_S = 2.0

# Time without a read after which missing records may have lapsed with the store away: two
# intervals between reads.
OUTAGE_S = 1.0

_HASHES = 2**64


@dataclass(frozen=True, slots=True)
class KnownServer:
    """A backend server with what this VM has learnt about it.

    :ivar cold_until: time until which it counts as cold.
    :ivar lapsed_until: time at which it is dropped unless it registers again.
    """

    record: ServerRecord
    cold_until: float = 0.0
    lapsed_until: float | None = None


@dataclass(frozen=True, slots=True)
class RegistryNews:
    """What one VM knows of backend servers and another one does not.

    :ivar version: version that the other VM comes to.
    :ivar base: version that it must have; ``None`` if the servers are all that there are.
    :ivar removed: servers that are gone since then.
    :ivar checksum: of all servers, as of ``version``.
    """

    version: int
    servers: Mapping[str, KnownServer]
    base: int | None = None
    removed: frozenset[str] = frozenset()
    checksum: int = 0


class Registry:
    """Merges reads of the store and snapshots of peers; versions only move forward.

    Explanation
    ===========

    A reader of the store calls ``replace_all``; other VMs ``adopt`` the news of a reader: all
    servers, or the changes since their own version. Two VMs may come to a version in different
    ways; changes whose result has another checksum are not taken, and all are asked for.

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
        self._changes = ChangeLog()
        self._checksum: tuple[int, int] = (-1, 0)

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

    @property
    def checksum(self) -> int:
        """Checksum of what the records of all servers say."""
        if self._checksum[0] != self.revision:
            self._checksum = self.revision, _checksum_of(self._servers)
        return self._checksum[1]

    def news_since(self, version: int) -> RegistryNews:
        """Return what a VM with a version lacks."""
        changed = self._changes.since(version)
        if changed is None:
            return RegistryNews(self.version, dict(self._servers), None, checksum=self.checksum)
        servers = {name: self._servers[name] for name in changed if name in self._servers}
        removed = changed - servers.keys()
        return RegistryNews(self.version, servers, version, removed, self.checksum)

    def adopt(self, news: RegistryNews) -> bool:
        """Take a peer's news if they are newer and fit; return whether they were taken."""
        if news.version <= self.version or news.base not in (None, self.version):
            return False
        kept = {} if news.base is None else self._servers
        servers = {name: server for name, server in kept.items() if name not in news.removed}
        for server_id, server in news.servers.items():
            servers[server_id] = _with_later_cold(server, self._servers.get(server_id))
        if news.base is not None and _checksum_of(servers) != news.checksum:
            return False
        self.version = news.version
        self._servers = servers
        if news.base is None:
            self._changes.restart(news.version)
        else:
            self._changes.note(news.version, {*news.servers, *news.removed})
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
            self._changes.note(self.version, ended)
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
        changed = []
        for server_id, record in read.items():
            known = self._servers.get(server_id)
            if known is not None and known.record == record and known.lapsed_until is None:
                continue
            self._servers[server_id] = _updated(now, known, record)
            changed.append(server_id)
        changed += [server_id for server_id in missing if self._lose(now, server_id)]
        if changed:
            if not self.version:
                self._changes.restart(version)
            self.version = max(version, self.version + 1)
            self._changes.note(self.version, changed)
            self._index()
        return bool(changed)

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


def _checksum_of(servers: Mapping[str, KnownServer]) -> int:
    return sum(_hash_of(server.record) for server in servers.values()) % _HASHES


# Twice the backend servers of the largest deployment, so that each is hashed once.
@lru_cache(maxsize=1024)
def _hash_of(record: ServerRecord) -> int:
    return xxhash.xxh64_intdigest(repr(record).encode())
