"""One VM's registry of backend servers."""

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import Self

import xxhash

from hibiscushaven.eras import era_of

from .changes import ChangeLog
from .records import ServerRecord

__all__ = [
    "EXPIRY_GRACE_S",
    "OUTAGE_RENEWALS",
    "RENEWAL_INTERVAL_S",
    "KnownServer",
    "Registry",
    "RegistryUpdate",
]

# Backend servers register again within about 2 s after the store is back.
EXPIRY_GRACE_S = 2.0

# Interval at which backend servers renew their records.
RENEWAL_INTERVAL_S = 1.5

# A record expires after three missed renewals, and the last one before an outage is up to one
# interval old. No record expires in an outage of less than this many intervals.
OUTAGE_RENEWALS = 2

_CHECKSUM_MODULUS = 2**64


@dataclass(frozen=True, slots=True)
class KnownServer:
    """A backend server with this VM's assumptions about it.

    :ivar cold_until: time until which it is treated as cold, that is as warming up.
    :ivar expires_at: time at which it is removed unless it registers again; ``None`` while its
        record exists.
    """

    record: ServerRecord
    cold_until: float = 0.0
    expires_at: float | None = None


@dataclass(frozen=True, slots=True)
class RegistryUpdate:
    """Changes of a registry between two versions, or its complete content.

    :ivar version: version of the registry after the update.
    :ivar servers: added and changed servers by id, or all servers if it is complete.
    :ivar base_version: version to which it applies; ``None`` if it is complete.
    :ivar removed: servers that were removed since ``base_version``.
    :ivar checksum: checksum of the registered servers after the update.
    """

    version: int
    servers: Mapping[str, KnownServer]
    base_version: int | None = None
    removed: frozenset[str] = frozenset()
    checksum: int = 0

    def with_expiring(self, kept: Set[str], until: float) -> Self:
        """Return the update with only some of the servers in their grace period.

        The checksum stays valid, since it leaves them out.

        :param kept: ids of the servers that are kept; the others are removed.
        :param until: latest end of their grace period.
        """
        ends_at = {
            name: min(until, server.expires_at)
            for name, server in self.servers.items()
            if server.expires_at is not None
        }
        if not ends_at:
            return self
        dropped = ends_at.keys() - kept
        servers = {
            name: replace(server, expires_at=ends_at.get(name))
            for name, server in self.servers.items()
            if name not in dropped
        }
        return replace(self, servers=servers, removed=self.removed | dropped)


class Registry:
    """Backend servers, merged from reads of the store and updates of peers.

    Explanation
    ===========

    A VM that reads the store calls ``replace_all``; other VMs call ``apply_update`` with a
    reader's update, which holds all servers or the changes since their own version. Two VMs
    may have different servers at the same version. An update whose result has another checksum
    than the sender's registry is therefore rejected, and a complete one has to be requested.

    A record that is missing after an outage of the store is kept for a grace period, since its
    server may only have been unable to renew it. A shorter gap between two reads is no outage:
    this VM may have had no news from its peers, and a record that is missing was removed. Each VM
    decides for itself whether there was an outage, by what it heard of reads meanwhile.

    A store that comes back from a copy begins another era. It lacks the records that were written
    since the copy, which are kept for a grace period as well.

    :param renewal_interval_s: interval at which backend servers renew their records.
    :ivar version: version of the last change that other VMs need, as in ``version_of``; never
        decreases.
    :ivar revision: counter of all changes, including those of ``cold_until``, which only this
        VM makes; caches of the registry's content are valid while it is unchanged.
    """

    def __init__(self, renewal_interval_s: float = RENEWAL_INTERVAL_S) -> None:
        self._outage_threshold_s = OUTAGE_RENEWALS * renewal_interval_s
        self.version = 0
        self.revision = 0
        self._servers: dict[str, KnownServer] = {}
        self._by_service: dict[str, tuple[KnownServer, ...]] = {}
        self._grace_ends_at = 0.0
        self._changes = ChangeLog()
        self._checksum: tuple[int, int] = (-1, 0)

    @property
    def servers(self) -> Mapping[str, KnownServer]:
        return self._servers

    def of_service(self, service: str) -> tuple[KnownServer, ...]:
        """Return the servers of a service, sorted by id, including those that are leaving."""
        return self._by_service.get(service, ())

    def replace_all(
        self, now: float, version: int, records: Iterable[ServerRecord], gap_s: float
    ) -> bool:
        """Replace the servers by a complete read of the store; return whether any changed.

        The servers of a read that is older than the registry are ignored. A complete read by a peer
        may have a later version than the changes that the same servers result from.

        :param gap_s: time since the previous read, in seconds.
        """
        self.on_confirmation(now, gap_s)
        if version < self.version:
            return False
        by_id = {record.server_id: record for record in records}
        missing = [server_id for server_id in self._servers if server_id not in by_id]
        return self._merge(now, version, by_id, missing)

    def on_confirmation(self, now: float, gap_s: float) -> None:
        """Begin a grace period if a read that confirms the servers follows an outage of the store.

        :param gap_s: time since the previous read by any VM, in seconds.
        """
        if gap_s > self._outage_threshold_s and self._servers:
            self.begin_grace(now)

    def begin_grace(self, now: float) -> None:
        """Keep the servers whose records are missing for a grace period from now on."""
        self._grace_ends_at = now + EXPIRY_GRACE_S

    def accepted_part(self, now: float, update: RegistryUpdate) -> RegistryUpdate:
        """Return a peer's update without the servers that this VM has no reason to keep.

        Explanation
        ===========

        A server without a record is kept after an outage of the store. The sender may have taken
        its own pause or the failure of its links for one, or have missed a removal, while this VM
        had news all the time. Only a VM that knows of no servers yet relies on the sender.
        """
        if not self.version:
            return update
        known = self._servers.keys() if now < self._grace_ends_at else frozenset()
        return update.with_expiring(known, self._grace_ends_at)

    def is_of_later_era(self, version: int) -> bool:
        """Return whether the store has been restored from a copy since this registry's version."""
        return self.version > 0 and era_of(version) > era_of(self.version)

    @property
    def checksum(self) -> int:
        """Checksum of the registered servers' records, independent of their order.

        Servers in their grace period are left out, since VMs remove them at different moments.
        """
        if self._checksum[0] != self.revision:
            self._checksum = self.revision, _checksum_of(self._servers)
        return self._checksum[1]

    def update_since(self, version: int) -> RegistryUpdate:
        """Return the update for a VM whose registry has a version."""
        changed = self._changes.since(version)
        if changed is None:
            return RegistryUpdate(self.version, dict(self._servers), None, checksum=self.checksum)
        servers = {name: self._servers[name] for name in changed if name in self._servers}
        removed = changed - servers.keys()
        return RegistryUpdate(self.version, servers, version, removed, self.checksum)

    def apply_update(self, update: RegistryUpdate) -> bool:
        """Apply a peer's update if it is newer and consistent; return whether it was applied.

        The update may be for an earlier version than this one, which is that of a pull that ended
        meanwhile: the changes since then include those since this version.
        """
        if update.version <= self.version or (update.base_version or 0) > self.version:
            return False
        kept = self._servers if update.base_version is not None else self._kept_beside(update)
        servers = {name: server for name, server in kept.items() if name not in update.removed}
        for server_id, server in update.servers.items():
            servers[server_id] = _with_later_cold_until(server, self._servers.get(server_id))
        if update.base_version is not None and _checksum_of(servers) != update.checksum:
            return False
        self.version = update.version
        self._servers = servers
        if update.base_version is None:
            self._changes.reset(update.version)
        else:
            self._changes.record(update.version, {*update.servers, *update.removed})
        self._rebuild_index()
        return True

    def expire(self, now: float) -> bool:
        """Remove servers whose grace period is over; return whether there were any.

        All VMs know the end of the grace period and remove the server themselves, so that the
        version stays. A version of its own could be the one at which the store has a change.
        """
        expired = [
            server_id
            for server_id, server in self._servers.items()
            if server.expires_at is not None and server.expires_at <= now
        ]
        for server_id in expired:
            del self._servers[server_id]
        if expired:
            self._rebuild_index()
        return bool(expired)

    def mark_domain_cold(
        self, now: float, failure_domain: str, warmup_s: Mapping[str, float]
    ) -> None:
        """Treat all servers of a failure domain as cold, as if they had just started.

        :param warmup_s: warm-up time by service.
        """
        for server_id, server in self._servers.items():
            if server.record.failure_domain == failure_domain:
                until = now + warmup_s.get(server.record.service, 0.0)
                self._servers[server_id] = replace(server, cold_until=until)
        self._rebuild_index()

    def mark_server_cold(self, server_id: str, until: float) -> None:
        """Treat a server as cold at least until a time."""
        server = self._servers.get(server_id)
        if server is not None and server.cold_until < until:
            self._servers[server_id] = replace(server, cold_until=until)
            self._rebuild_index()

    def _merge(
        self, now: float, version: int, records: Mapping[str, ServerRecord], missing: Iterable[str]
    ) -> bool:
        changed = []
        for server_id, record in records.items():
            known = self._servers.get(server_id)
            if known is not None and known.record == record and known.expires_at is None:
                continue
            self._servers[server_id] = _updated(now, known, record)
            changed.append(server_id)
        changed += [server_id for server_id in missing if self._remove_missing(now, server_id)]
        # Without a change, a version of the later era tells the other VMs of the restore.
        is_newer = bool(changed) or self.is_of_later_era(version)
        if is_newer:
            if not self.version:
                self._changes.reset(version)
            # A number that the store has not given yet could be that of its next change.
            self.version = version
            self._changes.record(self.version, changed)
            self._rebuild_index()
        return is_newer

    def _kept_beside(self, update: RegistryUpdate) -> dict[str, KnownServer]:
        """Return the servers that a complete update of a later era lacks, in their grace period."""
        if not self.is_of_later_era(update.version):
            return {}
        return {
            server_id: replace(server, expires_at=self._grace_ends_at)
            for server_id, server in self._servers.items()
            if server_id not in update.servers and not server.record.is_leaving
        }

    def _remove_missing(self, now: float, server_id: str) -> bool:
        """Remove a server without a record, after a grace period; return whether it changed."""
        known = self._servers.get(server_id)
        if known is None:
            return False
        if now < self._grace_ends_at and not known.record.is_leaving:
            if known.expires_at is None:
                self._servers[server_id] = replace(known, expires_at=self._grace_ends_at)
                return True
            return False
        del self._servers[server_id]
        return True

    def _rebuild_index(self) -> None:
        self.revision += 1
        groups: dict[str, list[KnownServer]] = {}
        for server_id in sorted(self._servers):
            server = self._servers[server_id]
            groups.setdefault(server.record.service, []).append(server)
        self._by_service = {service: tuple(servers) for service, servers in groups.items()}


def _updated(now: float, known: KnownServer | None, record: ServerRecord) -> KnownServer:
    cold_until = now + record.cold_left_s if record.cold_left_s > 0 else 0.0
    if known is not None and known.record.is_same_process(record):
        # ``mark_server_cold`` or ``mark_domain_cold`` may be newer than the record.
        cold_until = max(cold_until, known.cold_until)
    return KnownServer(record, cold_until)


def _with_later_cold_until(server: KnownServer, known: KnownServer | None) -> KnownServer:
    if known is None or not known.record.is_same_process(server.record):
        return server
    return replace(server, cold_until=max(server.cold_until, known.cold_until))


def _checksum_of(servers: Mapping[str, KnownServer]) -> int:
    registered = (server.record for server in servers.values() if server.expires_at is None)
    return sum(_hash_of(record) for record in registered) % _CHECKSUM_MODULUS


# Twice the number of backend servers in the largest deployment, so that each is hashed once.
@lru_cache(maxsize=1024)
def _hash_of(record: ServerRecord) -> int:
    # VMs compare checksums, so that the field names in ``repr`` must be the same on all of them.
    return xxhash.xxh64_intdigest(repr(record).encode())
