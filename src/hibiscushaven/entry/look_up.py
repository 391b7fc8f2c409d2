"""Answers of look-ups from what this VM knows of the others."""

import random
from collections.abc import Iterator

from starlette.requests import Request

from hibiscushaven.documents import DocumentCatalog
from hibiscushaven.lookups import (
    EntryVm,
    Fleet,
    LookupAnswer,
    LookupQuery,
    make_answer,
    order_vms,
    prepare_fleet,
)
from hibiscushaven.membership import MembershipNode, MemberState
from hibiscushaven.tablestore import VmRecord, VmState

from .neighbours import Neighbours
from .problems import Problem
from .steering import Steering

__all__ = ["LookupDesk"]

_ORDER = "spread"


class LookupDesk:
    """Orders entry VMs for callers.

    :param own: this VM, which is handed out even before the platform's list answers.
    """

    def __init__(
        self,
        catalog: DocumentCatalog,
        membership: MembershipNode,
        neighbours: Neighbours,
        steering: Steering,
        own: EntryVm,
        rng: random.Random,
    ) -> None:
        self._catalog = catalog
        self._membership = membership
        self._neighbours = neighbours
        self._steering = steering
        self._own = own
        self._rng = rng
        self._is_leaving = False
        self._vms: tuple[EntryVm, ...] = ()
        self._fleet: Fleet = prepare_fleet((own,))

    @property
    def vms(self) -> tuple[EntryVm, ...]:
        return self._vms

    def set_leaving(self) -> None:
        """Hand out this VM no more."""
        self._is_leaving = True
        self.refresh()

    def refresh(self) -> None:
        """Take over changes of the view."""
        vms = tuple(sorted(self._known(), key=lambda vm: vm.name))
        if vms != self._vms:
            self._vms = vms
            self._fleet = prepare_fleet(vms)

    def answer(self, service: str, request: Request) -> LookupAnswer | Problem:
        """Return the answer to a caller, or why there is none."""
        entry = self._catalog.get(service)
        if entry is None:
            detail = f"no document of service {service!r} is in force"
            return Problem(404, "no such service", detail)
        client = request.client.host if request.client is not None else ""
        region = request.headers.get("client-region", "")
        # A caller without a region is taken to be near the VM that it asked.
        query = LookupQuery(
            client.encode(),
            region or self._own.region,
            "" if region else self._own.failure_domain,
            self._steering.shares_by_domain(service),
            self._steering.first_shares(service, region),
        )
        vms = order_vms(_ORDER, self._fleet, query, self._rng)
        if not vms:
            return Problem(503, "no entry VM takes new callers", retry_after_s=1.0)
        return make_answer(service, vms, entry.document.lookup_ttl_s, entry.revision)

    def _known(self) -> Iterator[EntryVm]:
        listed = {item.name: item for item in self._neighbours.entries}
        if self._own.name not in listed:
            yield self._with_state(self._own, True, self._is_leaving)
        reachable = self._neighbours.reachable_domains()
        leaving, down = self._states(reachable)
        for item in listed.values():
            is_leaving = item.state is VmState.LEAVING or item.name in leaving
            is_up = item.failure_domain in reachable and item.name not in down
            yield self._with_state(_entry_vm(item), is_up, is_leaving)

    def _states(self, reachable: frozenset[str]) -> tuple[set[str], set[str]]:
        leaving = {self._own.name} if self._is_leaving else set()
        down = set()
        for vm, member in self._membership.view.members.items():
            if member.state is MemberState.LEAVING:
                leaving.add(vm)
            elif member.state is not MemberState.UP:
                down.add(vm)
        for domain in reachable - {self._neighbours.domain}:
            leaving.update(self._membership.digest_part(domain, "leaving") or ())
            down.update(self._membership.digest_part(domain, "down") or ())
        return leaving, down - {self._own.name}

    @staticmethod
    def _with_state(vm: EntryVm, is_up: bool, is_leaving: bool) -> EntryVm:
        return EntryVm(
            vm.name, vm.host, vm.port, vm.region, vm.failure_domain, is_up, is_leaving, vm.load
        )


def _entry_vm(item: VmRecord) -> EntryVm:
    return EntryVm(item.name, item.host, item.http_port, item.region, item.failure_domain)
