"""Shards that this VM owns, and the owners of the other shards in its failure domain."""

import random
from collections.abc import Callable

from hibiscushaven.claims import request_fingerprint
from hibiscushaven.delivery import BackendClient, RelayRequest
from hibiscushaven.dispatch import DispatchConfig, Dispatcher
from hibiscushaven.documents import CatalogEntry, DocumentCatalog, Server
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.membership import View
from hibiscushaven.process import Clock
from hibiscushaven.slots import Shard, SlotNode

from .shard_runner import ShardRunner

__all__ = ["ShardOwners"]


class ShardOwners:
    """Maintains one runner per owned shard and locates the owners of other shards.

    :param domain: failure domain of this VM.
    :param view: returns the current view of the failure domain's VMs.
    """

    def __init__(
        self,
        domain: str,
        catalog: DocumentCatalog,
        slots: SlotNode,
        client: BackendClient,
        view: Callable[[], View],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._domain = domain
        self._catalog = catalog
        self._slots = slots
        self._client = client
        self._view = view
        self._rng = rng
        self._runners: dict[Shard, ShardRunner] = {}
        self._retired: list[ShardRunner] = []
        self._applied_revisions: dict[Shard, int] = {}

    @property
    def runners(self) -> dict[Shard, ShardRunner]:
        return dict(self._runners)

    @property
    def is_idle(self) -> bool:
        return all(runner.is_idle for runner in (*self._runners.values(), *self._retired))

    def refresh(self) -> None:
        """Start and retire runners after ownership changes, and apply new documents."""
        owned = self._slots.owned_shards(self._view())
        for shard in sorted(self._runners.keys() - owned):
            runner = self._runners.pop(shard)
            self._applied_revisions.pop(shard, None)
            runner.retire()
            self._retired.append(runner)
        for shard in sorted(owned - self._runners.keys()):
            dispatcher = Dispatcher(
                DispatchConfig(), self._slots, random.Random(self._rng.random())
            )
            self._runners[shard] = ShardRunner(
                dispatcher, self._client, self._slots.loan_expiry, self._clock
            )
        for shard, runner in self._runners.items():
            entry = self._catalog.get(shard.service)
            if entry is not None and self._applied_revisions.get(shard) != entry.revision:
                self._applied_revisions[shard] = entry.revision
                runner.set_document(entry.document, self._shard_servers(entry, shard))
        self._retired = [runner for runner in self._retired if not runner.is_idle]

    def runner(self, shard: Shard | None) -> ShardRunner | None:
        return self._runners.get(shard) if shard is not None else None

    def owner_endpoint(self, shard: Shard | None) -> Endpoint | None:
        """Return the endpoint of a shard's owner, or ``None`` if there is none.

        A VM that started while the table was unavailable has no roster. The result is then a
        random peer, which may have a roster and forwards the request to the owner.
        """
        if not self._slots.roster.members:
            return self._random_peer_endpoint()
        member = self._slots.owner_of(shard, self._view()) if shard is not None else None
        return member.endpoint if member is not None else None

    def pick_shard(self, service: str, rng: random.Random) -> Shard | None:
        """Return a random shard of the service in this failure domain.

        Shards are weighted by their number of backend servers.
        """
        servers = self._local_servers(service)
        return self._slots.shard_of(service, rng.choice(servers).name) if servers else None

    def pick_owned_shard(self, service: str, rng: random.Random) -> Shard | None:
        """Return a random owned shard of a service."""
        owned = [shard for shard in self._runners if shard.service == service]
        return rng.choice(owned) if owned else None

    def fingerprint(self, request: RelayRequest) -> str:
        """Return the hash of a request's method, path, query and body."""
        path, _, query = request.target.partition("?")
        return request_fingerprint(request.method, path, query, request.body)

    def usable_slots(self) -> dict[str, int]:
        """Return the number of requests that may be in progress on this VM, by service."""
        counts: dict[str, int] = {}
        for shard, runner in self._runners.items():
            counts[shard.service] = counts.get(shard.service, 0) + runner.usable_slots
        return counts

    async def close(self) -> None:
        for runner in (*self._runners.values(), *self._retired):
            await runner.close()

    def _random_peer_endpoint(self) -> Endpoint | None:
        view = self._view()
        identities = (view.identity_of(vm) for vm in sorted(view.up_vms))
        own = self._slots.identity
        peers = [item.endpoint for item in identities if item is not None and item.vm != own.vm]
        return self._rng.choice(peers) if peers else None

    def _local_servers(self, service: str) -> tuple[Server, ...]:
        entry = self._catalog.get(service)
        place = entry and entry.document.places_by_domain.get(self._domain)
        return entry.document.servers_of(place.name) if place else ()

    def _shard_servers(self, entry: CatalogEntry, shard: Shard) -> tuple[Server, ...]:
        servers = self._local_servers(entry.document.name)
        return tuple(
            server
            for server in servers
            if self._slots.shard_of(entry.document.name, server.name) == shard
        )
