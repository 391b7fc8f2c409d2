"""Answers look-ups of entry VMs."""

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

from .problems import Problem
from .steering import Steering
from .topology import Topology

__all__ = ["LookupService"]

_VM_ORDER = "spread"


class LookupService:
    """Orders the known entry VMs for each caller.

    :param own_vm: this VM. It is included even before the platform's VM list is known.
    """

    def __init__(
        self,
        catalog: DocumentCatalog,
        membership: MembershipNode,
        topology: Topology,
        steering: Steering,
        own_vm: EntryVm,
        rng: random.Random,
    ) -> None:
        self._catalog = catalog
        self._membership = membership
        self._topology = topology
        self._steering = steering
        self._own_vm = own_vm
        self._rng = rng
        self._is_leaving = False
        self._vms: tuple[EntryVm, ...] = ()
        self._fleet: Fleet = prepare_fleet((own_vm,))

    @property
    def vms(self) -> tuple[EntryVm, ...]:
        return self._vms

    def set_leaving(self) -> None:
        """Exclude this VM from further answers."""
        self._is_leaving = True
        self.refresh()

    def refresh(self) -> None:
        """Update the set of entry VMs and their states."""
        vms = tuple(sorted(self._entry_vms(), key=lambda vm: vm.name))
        if vms != self._vms:
            self._vms = vms
            self._fleet = prepare_fleet(vms)

    def resolve(self, service: str, request: Request) -> LookupAnswer | Problem:
        """Return the entry VMs for a caller, or the problem to refuse the look-up with."""
        entry = self._catalog.get(service)
        if entry is None:
            detail = f"no document of service {service!r} is in force"
            return Problem(404, "no such service", detail)
        client = request.client.host if request.client is not None else ""
        region = request.headers.get("client-region", "")
        # A caller without a region is assumed to be close to this VM.
        query = LookupQuery(
            client.encode(),
            region or self._own_vm.region,
            "" if region else self._own_vm.failure_domain,
            self._steering.shares_by_domain(service),
            self._steering.first_shares(service, region),
        )
        vms = order_vms(_VM_ORDER, self._fleet, query, self._rng)
        if not vms:
            return Problem(503, "no entry VM takes new callers", retry_after_s=1.0)
        return make_answer(service, vms, entry.document.lookup_ttl_s, entry.revision)

    def _entry_vms(self) -> Iterator[EntryVm]:
        listed = {record.name: record for record in self._topology.vm_records}
        if self._own_vm.name not in listed:
            yield self._with_state(self._own_vm, True, self._is_leaving)
        reachable = self._topology.reachable_domains()
        leaving, down = self._leaving_and_down(reachable)
        for record in listed.values():
            is_leaving = record.state is VmState.LEAVING or record.name in leaving
            is_up = record.failure_domain in reachable and record.name not in down
            yield self._with_state(_entry_vm(record), is_up, is_leaving)

    def _leaving_and_down(self, reachable: frozenset[str]) -> tuple[set[str], set[str]]:
        """Return the names of the VMs that are leaving and of those that may be down."""
        leaving = {self._own_vm.name} if self._is_leaving else set()
        down = set()
        for vm, member in self._membership.view.members.items():
            if member.state is MemberState.LEAVING:
                leaving.add(vm)
            elif member.state is not MemberState.UP:
                down.add(vm)
        for domain in reachable - {self._topology.domain}:
            leaving.update(self._membership.domain_attribute(domain, "leaving") or ())
            down.update(self._membership.domain_attribute(domain, "down") or ())
        return leaving, down - {self._own_vm.name}

    @staticmethod
    def _with_state(vm: EntryVm, is_up: bool, is_leaving: bool) -> EntryVm:
        return EntryVm(
            vm.name, vm.host, vm.port, vm.region, vm.failure_domain, is_up, is_leaving, vm.load
        )


def _entry_vm(record: VmRecord) -> EntryVm:
    return EntryVm(record.name, record.host, record.http_port, record.region, record.failure_domain)
