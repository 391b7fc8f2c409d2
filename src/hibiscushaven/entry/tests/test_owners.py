"""Tests of the endpoints of shard owners."""

import random
from types import SimpleNamespace

from hibiscushaven.documents import DocumentCatalog
from hibiscushaven.entry.owners import ShardOwners
from hibiscushaven.membership import Member, MemberState, View
from hibiscushaven.peers import PeerIdentity
from hibiscushaven.slots import SlotNode


def _identity(vm: str, port: int) -> PeerIdentity:
    return PeerIdentity(vm, f"{vm}-start", "domain", "region", "127.0.0.1", port)


def _owners(own: PeerIdentity, *members: Member) -> ShardOwners:
    view = View({member.vm: member for member in members})
    catalog = DocumentCatalog(lambda entry: None)
    clock = SimpleNamespace(now=lambda: 0.0)
    rng = random.Random(1)
    return ShardOwners("domain", catalog, SlotNode(own), None, lambda: view, rng, clock)


def test_vm_without_a_roster_forwards_to_a_peer():
    """Guards against refusing requests that peers can serve, without a roster.

    A VM that started while the table was unavailable has no roster.
    """
    own, up, down = _identity("vm-1", 1), _identity("vm-2", 2), _identity("vm-3", 3)
    members = (
        Member("vm-1", MemberState.UP, own),
        Member("vm-2", MemberState.UP, up),
        Member("vm-3", MemberState.DOWN, down),
    )
    assert _owners(own, *members).owner_endpoint(None) == up.endpoint
    assert _owners(own, members[0], members[2]).owner_endpoint(None) is None
