"""The membership protocol of one VM; the caller supplies time, transport and randomness."""

import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Message, PeerIdentity
from hibiscushaven.tablestore import VmRecord

from .attributes import combine_attributes
from .digests import DIGEST_INTERVAL_S, DigestTable
from .links import HEARTBEAT_INTERVAL_S, REMOVE_AFTER_S, SUSPECT_AFTER_S, LinkTable
from .mesh import MAX_FULL_MESH_VMS, RELAY_COUNT, heartbeat_peers_of, relays_of
from .messages import Digest, Heartbeat, LinkReport, MembershipUpdate, OutgoingMessage
from .reports import ReportTable
from .view import DomainDigest, Member, MemberState, View

__all__ = ["MembershipNode"]

_JITTER_FRACTION = 0.1  # of the interval, so that VMs do not send in lockstep
_ATTRIBUTES_REPEAT_S = 2.0  # repeats unchanged attributes, in case a connection was lost
_ATTRIBUTES_MAX_AGE_S = 5.0
_REPORTS_PER_HEARTBEAT = 1
_MAX_REPORTS_PER_UPDATE = 16
_MAX_RELAY_AGE_S = 5.0  # the relays that an older digest names may have changed
# A leaving VM keeps what it owns until its peers have received the announcement and ticked.
# Otherwise the VM and its successor would relay requests to each other.
_HANDOVER_S = 0.5


class MembershipNode:
    """Maintains the view of the own failure domain and the digests of the others.

    :param rng: source of jitter, and of the choice of VMs in failure domains without a digest.

    Explanation
    ===========

    A missing, failed or empty answer of the platform's VM list leaves the state unchanged.
    Seeds are contacted only until the first answer.
    """

    def __init__(self, identity: PeerIdentity, *, rng: random.Random) -> None:
        self._own = identity
        self._rng = rng
        self._links = LinkTable(identity)
        self._report_table = ReportTable(identity.vm)
        self._digests = DigestTable()
        self._entries: tuple[VmRecord, ...] = ()
        self._listed_endpoints: dict[str, Endpoint] = {}
        self._unlisted_at: dict[str, float] = {}
        self._seed_endpoints: tuple[Endpoint, ...] = ()
        self._foreign_endpoints: dict[str, Endpoint] = {}
        self._indirect_attributes: dict[str, tuple[float, dict[str, Any]]] = {}
        self._attributes: dict[str, Any] = {}
        self._attributes_sent_at: dict[Endpoint, float] = {}
        self._pending_reports: dict[str, LinkReport] = {}
        self._indirect_cache_key: tuple[frozenset[str], frozenset[str], int] | None = None
        self._indirect_cache: dict[str, Member] = {}
        self._is_leaving = False
        self._leaving_announced_at: float | None = None
        self._acknowledged_at: float | None = None
        self._now: float | None = None
        self._ticked_at: float | None = None
        self._listed_at: float | None = None
        self._next_heartbeat = self._next_digest = float("-inf")
        self._seq = self._digest_seq = self._report_seq = 0
        self._view = View({identity.vm: Member(identity.vm, MemberState.UP, identity)})

    @property
    def identity(self) -> PeerIdentity:
        return self._own

    @property
    def view(self) -> View:
        """The view as of the last tick."""
        return self._view

    @property
    def domains(self) -> dict[str, DomainDigest]:
        """The latest digest of each other failure domain."""
        return self._digests.latest(self._now or 0.0)

    @property
    def is_leaving(self) -> bool:
        return self._is_leaving

    @property
    def is_relay(self) -> bool:
        return self._own.vm in self._relays()

    def last_acknowledged(self, now: float) -> float | None:
        """Return when a peer last acknowledged this incarnation, ``None`` if none has."""
        return self._acknowledged_at

    def set_leaving(self, now: float) -> None:
        """Announce that this VM leaves; its own view shows it as leaving a little later."""
        self._is_leaving = True
        self._next_heartbeat = now

    def set_attribute(self, name: str, value: Any) -> None:
        """Publish a small msgpack value with the heartbeats."""
        if self._attributes.get(name) != value or name not in self._attributes:
            self._attributes = {**self._attributes, name: value}
            self._attributes_sent_at.clear()

    def peer_attribute(self, vm: str, name: str) -> Any:
        """Return an attribute of a VM of the own failure domain, ``None`` if unknown."""
        return self._attributes_of(vm).get(name)

    def domain_attribute(self, domain: str, name: str) -> Any:
        """Return the combined attribute of a failure domain, ``None`` if unknown."""
        if domain == self._own.failure_domain:
            return self._combined_attributes().get(name)
        digest = self._digests.get(self._now or 0.0, domain)
        return None if digest is None else digest.attributes.get(name)

    def set_seeds(self, now: float, peers: tuple[Endpoint, ...]) -> None:
        """Set the endpoints to contact until the platform's list answers."""
        self._seed_endpoints = tuple(peer for peer in peers if peer != self._own.endpoint)

    def on_vm_list_failed(self, now: float) -> None:
        """Do nothing; without an answer of the list, the view keeps its members."""

    def on_vm_list(self, now: float, vms: tuple[VmRecord, ...]) -> None:
        """Process an answer of the platform's list; an empty one is ignored."""
        if not vms:
            return
        self._entries, self._listed_at = vms, now
        self._seed_endpoints = ()
        domain = self._own.failure_domain
        listed = {
            item.name: Endpoint(item.host, item.peer_port)
            for item in vms
            if item.failure_domain == domain and item.name != self._own.vm
        }
        for vm in self._listed_endpoints.keys() - listed.keys():
            self._unlisted_at.setdefault(vm, now)
        for item in vms:
            self._unlisted_at.pop(item.name, None)
        self._listed_endpoints = listed

    def on_message(
        self, now: float, sender: PeerIdentity, message: Message
    ) -> tuple[OutgoingMessage, ...]:
        """Process a message of a peer; return the replies to send at once."""
        self._now = max(now, self._now or now)
        if sender.vm == self._own.vm:
            return ()
        if isinstance(message, Digest):
            if message.domain != self._own.failure_domain:
                self._receive_digest(now, sender, message)
            return ()
        if sender.failure_domain != self._own.failure_domain:
            return self._reply_to_foreign(now, sender, message)
        if isinstance(message, Heartbeat):
            return self._receive_heartbeat(now, sender, message)
        if isinstance(message, MembershipUpdate):
            self._receive_reports(message.reports)
            if message.attributes is not None:
                self._indirect_attributes[sender.vm] = (now, message.attributes)
        return ()

    def tick(self, now: float) -> tuple[OutgoingMessage, ...]:
        """Return the messages that are due; call this about every 0.1 s."""
        if self._ticked_at is not None and now - self._ticked_at > SUSPECT_AFTER_S:
            self._links.shift_times(now, now - self._ticked_at)
        self._now = self._ticked_at = now
        self._remove_stale(now)
        self._refresh_view(now)
        return tuple(self._due_messages(now))

    def _due_messages(self, now: float) -> Iterator[OutgoingMessage]:
        if now >= self._next_heartbeat:
            jitter = self._rng.uniform(1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION)
            self._next_heartbeat = now + HEARTBEAT_INTERVAL_S * jitter
            if self._is_leaving and self._leaving_announced_at is None:
                self._leaving_announced_at = now
            yield from self._heartbeats(now)
        if self._pending_reports:
            yield from self._send_reports()
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_INTERVAL_S * self._rng.uniform(
                1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION
            )
            yield from self._send_digests(now)
        if self._digests.is_forwarding:
            yield from self._digests.forward(now, self._live_heartbeat_peers(now))

    def _member_names(self) -> frozenset[str]:
        return frozenset(
            {self._own.vm, *self._listed_endpoints, *self._links.links, *self._report_table.reports}
        )

    @property
    def _is_full_mesh(self) -> bool:
        return len(self._member_names()) <= MAX_FULL_MESH_VMS

    def _heartbeat_peers(self) -> frozenset[str]:
        return heartbeat_peers_of(self._member_names())[self._own.vm]

    def _endpoint(self, vm: str) -> Endpoint | None:
        link = self._links.links.get(vm)
        if link is not None and link.is_receiving(self._now or 0.0):
            return link.identity.endpoint
        report = self._report_table.reports.get(vm)
        if report is not None:
            return Endpoint(report.host, report.peer_port)
        return self._listed_endpoints.get(vm) or (
            link.identity.endpoint if link is not None else None
        )

    def _heartbeat_targets(self, now: float) -> dict[Endpoint, str]:
        """Return the VMs to send heartbeats to.

        These are this VM's heartbeat peers, and VMs that know other members and therefore count
        this VM among their heartbeat peers.
        """
        live_senders = {vm for vm, link in self._links.links.items() if link.is_receiving(now)}
        live_senders = set(sorted(live_senders)[: 2 * MAX_FULL_MESH_VMS])
        targets = {}
        for vm in sorted(self._heartbeat_peers() | live_senders):
            endpoint = self._endpoint(vm)
            if endpoint is not None:
                targets[endpoint] = vm
        return targets

    def _heartbeats(self, now: float) -> Iterator[OutgoingMessage]:
        reports = ()
        if not self._is_full_mesh:
            reports = tuple(
                item.packed for item in self._report_table.next_reports(_REPORTS_PER_HEARTBEAT)
            )
        targets = self._heartbeat_targets(now)
        for endpoint, vm in targets.items():
            yield OutgoingMessage(endpoint, self._heartbeat(now, vm, endpoint, reports))
        for endpoint in self._seed_endpoints:
            if endpoint not in targets:
                yield OutgoingMessage(endpoint, self._heartbeat(now, "", endpoint, ()))

    def _heartbeat(
        self, now: float, vm: str, endpoint: Endpoint, reports: tuple[Any, ...]
    ) -> Heartbeat:
        attributes = None
        if now - self._attributes_sent_at.get(endpoint, float("-inf")) >= _ATTRIBUTES_REPEAT_S:
            self._attributes_sent_at[endpoint] = now
            attributes = self._attributes or None
        self._seq += 1
        acknowledged_incarnation = self._links.live_incarnation(now, vm)
        return Heartbeat(self._seq, acknowledged_incarnation, self._is_leaving, attributes, reports)

    def _receive_heartbeat(
        self, now: float, sender: PeerIdentity, heartbeat: Heartbeat
    ) -> tuple[OutgoingMessage, ...]:
        is_new_incarnation = self._links.receive(now, sender, heartbeat)
        if heartbeat.acknowledged_incarnation == self._own.incarnation:
            self._acknowledged_at = now
        self._receive_reports(heartbeat.reports)
        if not is_new_incarnation:
            return ()
        self._indirect_attributes.pop(sender.vm, None)
        reply = self._heartbeat(now, sender.vm, sender.endpoint, ())
        return (OutgoingMessage(sender.endpoint, reply), *self._all_reports(sender.endpoint))

    def _all_reports(self, endpoint: Endpoint) -> Iterator[OutgoingMessage]:
        """Return all reports for a new peer, which would otherwise receive them only slowly."""
        if self._is_full_mesh:
            return
        packed = [report.packed for report in self._report_table.reports.values()]
        for start in range(0, len(packed), _MAX_REPORTS_PER_UPDATE):
            yield OutgoingMessage(
                endpoint, MembershipUpdate(tuple(packed[start : start + _MAX_REPORTS_PER_UPDATE]))
            )

    def _receive_reports(self, packed: tuple[Any, ...]) -> None:
        for values in packed:
            report = LinkReport(*values[:7])
            if report.vm == self._own.vm:
                if report.incarnation != self._own.incarnation:
                    self._report_seq = max(self._report_seq, report.seq + 1)
                continue
            if self._report_table.update(report):
                self._pending_reports[report.vm] = report

    def _send_reports(self) -> Iterator[OutgoingMessage]:
        chosen = sorted(self._pending_reports)[:_MAX_REPORTS_PER_UPDATE]
        update = MembershipUpdate(tuple(self._pending_reports.pop(vm).packed for vm in chosen))
        for endpoint in self._live_heartbeat_peers(self._now or 0.0).values():
            yield OutgoingMessage(endpoint, update)

    def _live_heartbeat_peers(self, now: float) -> dict[str, Endpoint]:
        return {
            vm: self._links.links[vm].identity.endpoint
            for vm in sorted(self._heartbeat_peers())
            if self._links.live_incarnation(now, vm)
        }

    def _remove_stale(self, now: float) -> None:
        for vm, since in list(self._unlisted_at.items()):
            link = self._links.links.get(vm)
            last_received_at = link.last_received_at if link is not None else since
            if now - max(since, last_received_at) >= REMOVE_AFTER_S:
                del self._unlisted_at[vm]
                self._links.remove(vm)
                self._report_table.remove(vm)
        self._links.prune(now, frozenset(self._listed_endpoints))
        for vm, (received_at, _) in list(self._indirect_attributes.items()):
            if now - received_at >= _ATTRIBUTES_MAX_AGE_S:
                del self._indirect_attributes[vm]

    def _refresh_view(self, now: float) -> None:
        direct_states = {vm: link.state(now) for vm, link in self._links.links.items()}
        members = {
            vm: Member(vm, state, self._links.links[vm].identity)
            for vm, state in direct_states.items()
        }
        for vm in sorted(self._listed_endpoints.keys() - members.keys()):
            members[vm] = Member(vm, MemberState.DOWN, None)
        if not self._is_full_mesh:
            self._publish_own_report(direct_states)
            members.update(self._indirect_members(direct_states))
        own_state = MemberState.LEAVING if self._has_handed_over(now) else MemberState.UP
        members[self._own.vm] = Member(self._own.vm, own_state, self._own)
        self._view = View(members, self._entries, self._listed_at)

    def _has_handed_over(self, now: float) -> bool:
        announced_at = self._leaving_announced_at
        return announced_at is not None and now - announced_at >= _HANDOVER_S

    def _publish_own_report(self, direct_states: dict[str, MemberState]) -> None:
        """Publish the own report if it changed or a former incarnation's report was received."""
        heartbeat_peers = self._heartbeat_peers()
        down = MemberState.DOWN
        unreachable_peers = tuple(
            sorted(vm for vm in heartbeat_peers if direct_states.get(vm, down) is down)
        )
        known = self._report_table.reports.get(self._own.vm)
        is_current = known is not None and known.seq > self._report_seq - 1
        if is_current and (known.unreachable_peers, known.is_leaving) == (
            unreachable_peers,
            self._is_leaving,
        ):
            return
        self._report_seq += 1
        own = self._own
        report = LinkReport(
            own.vm,
            own.incarnation,
            own.host,
            own.peer_port,
            self._report_seq,
            self._is_leaving,
            unreachable_peers,
        )
        self._report_table.update(report)
        self._pending_reports[own.vm] = report

    def _indirect_members(self, direct_states: dict[str, MemberState]) -> dict[str, Member]:
        """Return the members that are not heartbeat peers, by the link reports."""
        down = MemberState.DOWN
        alive = frozenset(
            vm for vm in self._heartbeat_peers() if direct_states.get(vm, down) is not down
        )
        key = (self._member_names(), alive, self._report_table.revision)
        if key != self._indirect_cache_key:
            self._indirect_cache_key = key
            self._indirect_cache = dict(self._members_from_reports(alive))
        return self._indirect_cache

    def _members_from_reports(self, alive: frozenset[str]) -> Iterator[tuple[str, Member]]:
        heartbeat_peers = self._heartbeat_peers()
        reachable = self._report_table.reachable(self._member_names(), alive)
        for vm, report in self._report_table.reports.items():
            if vm in heartbeat_peers or vm == self._own.vm:
                continue
            state = MemberState.DOWN
            if vm in reachable:
                state = MemberState.LEAVING if report.is_leaving else MemberState.UP
            identity = replace(
                self._own,
                vm=vm,
                incarnation=report.incarnation,
                host=report.host,
                peer_port=report.peer_port,
            )
            yield vm, Member(vm, state, identity)

    def _relays(self) -> list[str]:
        alive = {vm for vm in self._view.members if self._view.is_up(vm)}
        return relays_of(self._own.failure_domain, alive or {self._own.vm})

    def _attributes_of(self, vm: str) -> dict[str, Any]:
        if vm == self._own.vm:
            return self._attributes
        link = self._links.links.get(vm)
        if link is not None and link.attributes:
            return link.attributes
        return self._indirect_attributes.get(vm, (0.0, {}))[1]

    def _combined_attributes(self) -> dict[str, Any]:
        members = self._view.members
        alive = sorted(vm for vm in members if members[vm].state is not MemberState.DOWN)
        return combine_attributes(self._attributes_of(vm) for vm in alive)

    def _send_digests(self, now: float) -> Iterator[OutgoingMessage]:
        relays = self._relays()
        if self._own.vm in relays:
            digest = self._own_digest()
            for endpoint in self._foreign_relays(now):
                yield OutgoingMessage(endpoint, digest)
        if not self._attributes or self._is_full_mesh:
            return
        for vm in relays:
            endpoint = self._endpoint(vm)
            if vm != self._own.vm and vm not in self._heartbeat_peers() and endpoint is not None:
                yield OutgoingMessage(endpoint, MembershipUpdate((), self._attributes))

    def _own_digest(self) -> Digest:
        identities = (self._view.identity_of(vm) for vm in self._relays())
        relays = tuple((item.host, item.peer_port) for item in identities if item is not None)
        self._digest_seq += 1
        own = self._own
        return Digest(
            own.failure_domain,
            own.incarnation,
            self._digest_seq,
            0.0,
            relays,
            self._combined_attributes(),
        )

    def _foreign_relays(self, now: float) -> Iterator[Endpoint]:
        """Return the endpoints that get this failure domain's digest: two in each other domain."""
        domains: dict[str, list[Endpoint]] = {}
        for item in self._entries:
            if item.failure_domain != self._own.failure_domain:
                endpoint = Endpoint(item.host, item.peer_port)
                domains.setdefault(item.failure_domain, []).append(endpoint)
        for domain, endpoint in self._foreign_endpoints.items():
            domains.setdefault(domain, [endpoint])
        for domain in sorted(domains):
            digest = self._digests.get(now, domain)
            if digest is not None and digest.age_s < _MAX_RELAY_AGE_S and digest.relays:
                yield from digest.relays
            else:
                candidates = domains[domain]
                yield from self._rng.sample(candidates, min(RELAY_COUNT, len(candidates)))

    def _receive_digest(self, now: float, sender: PeerIdentity, digest: Digest) -> None:
        is_own_domain = sender.failure_domain == self._own.failure_domain
        if not is_own_domain:
            self._foreign_endpoints[sender.failure_domain] = sender.endpoint
        if self._digests.receive(now, sender.vm, digest) and is_own_domain and self._is_full_mesh:
            self._digests.cancel_forwarding((digest.domain,))

    def _reply_to_foreign(
        self, now: float, sender: PeerIdentity, message: Message
    ) -> tuple[OutgoingMessage, ...]:
        """Reply to a VM of another failure domain that contacts this one as a seed.

        The digest in the reply names this failure domain's relays.
        """
        self._foreign_endpoints[sender.failure_domain] = sender.endpoint
        if not isinstance(message, Heartbeat):
            return ()
        return (OutgoingMessage(sender.endpoint, self._own_digest()),)
