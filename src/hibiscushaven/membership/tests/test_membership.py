"""Tests of the membership protocol on a virtual clock."""

import random

import pytest

from hibiscushaven.membership import Heartbeat, MembershipNode, MembershipUpdate, MemberState
from hibiscushaven.membership.mesh import MAX_FULL_MESH_VMS, heartbeat_peers_of

from .network import Net, identity_of, ups


def names(count: int) -> set[str]:
    return {identity_of(0, number).vm for number in range(count)}


def test_heartbeat_peers_are_symmetric_bounded_and_connected() -> None:
    """Guards against links that only one end uses, and against a disconnected topology."""
    for count in (2, 8, 9, 23, 87):
        links = heartbeat_peers_of(frozenset(names(count)))
        assert all(vm in links[other] for vm in links for other in links[vm])
        assert max(map(len, links.values())) <= max(MAX_FULL_MESH_VMS, 8)
        seen, queue = set(), [min(links)]
        while queue:
            vm = queue.pop()
            if vm not in seen:
                seen.add(vm)
                queue.extend(links[vm])
        assert seen == set(links)


@pytest.mark.parametrize("count", [4, 30])
def test_dead_vm_is_down_within_three_seconds(count: int) -> None:
    """Guards against a dead owner that remains up in the view, also at VMs that are not its
    heartbeat peers.
    """
    net = Net((count,))
    net.run(4.0)
    assert all(ups(node) == names(count) for node in net.domain(0))
    net.stop(net.node(0, 1))
    net.run(0.5)
    assert any(identity_of(0, 1).vm in ups(node) for node in net.domain(0))
    net.run(2.5)
    assert all(identity_of(0, 1).vm not in ups(node) for node in net.domain(0))


@pytest.mark.parametrize("count", [4, 30])
def test_divided_domain_sees_its_own_half(count: int) -> None:
    """Guards against VMs behind a partition that count as up by reports of other VMs."""
    net = Net((count,))
    net.run(4.0)
    half = {identity_of(0, number).vm for number in range(count // 2)}
    net.cuts.append(lambda source, target: (source in half) != (target in half))
    net.run(4.0)
    for node in net.domain(0):
        is_inside = node.identity.vm in half
        assert ups(node) == (half if is_inside else names(count) - half)
    net.cuts.clear()
    net.run(4.0)
    assert all(ups(node) == names(count) for node in net.domain(0))


def test_peer_that_does_not_receive_heartbeats_is_not_up() -> None:
    """Guards against an asymmetric partition in which one end counts the other as up."""
    net = Net((3,))
    net.run(3.0)
    first, second = identity_of(0, 0).vm, identity_of(0, 1).vm
    net.cuts.append(lambda source, target: (source, target) == (first, second))
    net.run(5.0)
    assert second not in ups(net.node(0, 0))
    assert first not in ups(net.node(0, 1))


def test_replaced_incarnation_is_not_revived() -> None:
    """Guards against a late heartbeat of the old incarnation at the same address."""
    node = MembershipNode(identity_of(0, 0), rng=random.Random(1))
    old, new = identity_of(0, 1, "a"), identity_of(0, 1, "b")
    own = node.identity.incarnation
    node.on_message(0.0, old, Heartbeat(1, own, False))
    node.on_message(0.1, new, Heartbeat(1, own, False))
    node.on_message(0.2, old, Heartbeat(2, own, False))
    node.tick(0.3)
    assert node.view.identity_of(new.vm) == new
    node.on_message(0.4, new, Heartbeat(1, own, True))
    node.tick(0.5)
    assert node.view.members[new.vm].state is MemberState.UP, "a duplicate heartbeat was processed"


def test_missing_empty_or_lagging_list_keeps_the_members() -> None:
    """Guards against members removed because the platform's list is missing or incomplete."""
    net = Net((3,))
    net.run(3.0)
    node = net.node(0, 0)
    entries = net.entries()
    node.on_vm_list_failed(net.now)
    node.on_vm_list(net.now, ())
    net.run(1.0)
    assert ups(node) == names(3)
    assert node.view.entries == entries
    node.on_vm_list(net.now, entries[:1])
    net.run(70.0)
    assert ups(node) == names(3)


def test_seeds_are_used_without_a_list() -> None:
    """Guards against a VM that finds no peers if it starts during an outage of the platform."""
    net = Net((3, 2), is_listed=False)
    for node in list(net.nodes.values()):
        node.set_seeds(0.0, (net.node(0, 0).identity.endpoint,))
    net.run(4.0)
    assert identity_of(0, 2).vm in ups(net.node(0, 0))
    assert "zone-0" in net.node(1, 0).domains


def test_leaving_is_seen_and_own_pause_marks_no_peer_down() -> None:
    """Guards against new requests for a leaving VM, and peers marked down by an own pause."""
    net = Net((3,))
    net.run(3.0)
    net.node(0, 1).set_leaving(net.now)
    net.run(0.5)
    leaving = identity_of(0, 1).vm
    assert net.node(0, 0).view.members[leaving].state is MemberState.LEAVING
    node = net.node(0, 0)
    node.tick(net.now + 30.0)
    assert identity_of(0, 2).vm in ups(node)
    assert node.last_acknowledged(net.now) <= net.now


def test_new_incarnation_replaces_reports_of_the_old_one() -> None:
    """Guards against link reports of a former incarnation that outlive it in a large domain."""
    net = Net((30,))
    net.run(3.0)
    net.stop(net.node(0, 1))
    net.run(3.0)
    node = net.start(identity_of(0, 1, "b"))
    net.run(6.0)
    seen = {other.view.members[node.identity.vm].incarnation for other in net.domain(0)}
    assert seen == {node.identity.incarnation}
    assert all(ups(other) == names(30) for other in net.domain(0))


def test_new_incarnation_continues_report_numbers_of_its_predecessor() -> None:
    """Guards against a former incarnation whose higher report number hides the new reports."""
    node = MembershipNode(identity_of(0, 0), rng=random.Random(1))
    entries = Net((30,)).entries()
    node.on_vm_list(0.0, entries)
    own = node.identity
    stale = (own.vm, "former", own.host, own.peer_port, 50, False, ())
    node.on_message(0.1, identity_of(0, 1), Heartbeat(1, "", False, None, (stale,)))
    for number in range(2, 30):
        node.on_message(0.1, identity_of(0, number), Heartbeat(1, own.incarnation, False))
    news = [item.message for item in node.tick(0.2) if isinstance(item.message, MembershipUpdate)]
    assert max(report[4] for item in news for report in item.reports if report[0] == own.vm) > 50


@pytest.mark.parametrize("count", [4, 10])
def test_vm_removed_from_the_list_is_removed_from_the_view(count: int) -> None:
    """Guards against a view that keeps every VM that was ever replaced."""
    net = Net((count,))
    net.run(3.0)
    removed = net.node(0, 1)
    net.stop(removed)
    for node in net.domain(0):
        node.on_vm_list(net.now, net.entries())
    net.run(50.0)
    assert removed.identity.vm in net.node(0, 0).view.members
    net.run(20.0)
    assert removed.identity.vm not in net.node(0, 0).view.members


@pytest.mark.parametrize("sizes", [(4, 4, 4), (12, 4, 30)])
def test_digests_reach_every_vm(sizes: tuple[int, ...]) -> None:
    """Guards against attributes that are lost or counted twice on the way to the digest."""
    net = Net(sizes)
    for node in net.nodes.values():
        node.set_attribute("arrivals", {"stock": 2})
        node.set_attribute("other", 1)
    net.run(12.0)
    for node in net.nodes.values():
        for domain, size in enumerate(sizes):
            name = f"zone-{domain}"
            if node.identity.failure_domain == name and not node.is_relay:
                continue
            assert node.domain_attribute(name, "arrivals") == {"stock": 2 * size}
            assert node.domain_attribute(name, "other") is None
        relays = [digest.relays for digest in node.domains.values()]
        assert [len(item) for item in relays] == [2, 2]
        assert max(digest.age_s for digest in node.domains.values()) < 5.0
    peer = identity_of(0, 1).vm
    assert net.node(0, 0).peer_attribute(peer, "other") in ((1,) if sizes[0] < 9 else (1, None))


def test_bytes_do_not_grow_with_other_domains_vms() -> None:
    """Guards against traffic per VM that grows with the number of VMs in other domains."""

    def rate(other: int) -> float:
        net = Net((4, other))
        net.run(4.0)
        net.bytes.clear()
        net.run(10.0)
        return max(net.bytes[node.identity.vm, "sent"] for node in net.domain(0)) / 10.0

    assert rate(40) < 1.15 * rate(10)
