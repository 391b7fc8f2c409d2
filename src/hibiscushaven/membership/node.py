"""The membership protocol of one VM, without clock, sockets or random source of its own."""

import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Message, PeerIdentity
from hibiscushaven.tablestore import VmRecord

from .digests import DIGEST_S, DigestBook
from .links import FORGET_S, HEARTBEAT_S, SUSPECT_S, LinkTable
from .mesh import FULL_MESH_VMS, RELAYS, neighbours_of, relays_of
from .messages import Digest, Heartbeat, News, Outgoing, Report
from .parts import combine_parts
from .reports import ReportBook
from .view import DomainDigest, Member, MemberState, View

__all__ = ["MembershipNode"]

_JITTER = 0.1  # share of the heartbeat interval, so that VMs do not send in step
_PARTS_REPEAT_S = 2.0  # unchanged parts are sent again, in case a connection broke
_PARTS_MAX_AGE_S = 5.0
_REPORTS_PER_HEARTBEAT = 1
_NEWS_PER_MESSAGE = 16
_DIGEST_FRESH_S = 5.0  # an older digest's relays may have changed


class MembershipNode:
    """View of a failure domain and digests of the others, as one VM sees them.

    :param rng: source of jitter and of the choice of VMs in failure domains not yet heard.

    Explanation
    ===========

    A missing, failed or empty list leaves everything as it is. Seeds are contacted only
    until the first list answer.
    """

    def __init__(self, identity: PeerIdentity, *, rng: random.Random) -> None:
        self._own = identity
        self._rng = rng
        self._links = LinkTable(identity)
        self._book = ReportBook(identity.vm)
        self._digests = DigestBook()
        self._entries: tuple[VmRecord, ...] = ()
        self._listed: dict[str, Endpoint] = {}
        self._unlisted_at: dict[str, float] = {}
        self._seeds: tuple[Endpoint, ...] = ()
        self._foreign: dict[str, Endpoint] = {}
        self._relay_parts: dict[str, tuple[float, dict[str, Any]]] = {}
        self._parts: dict[str, Any] = {}
        self._parts_sent: dict[Endpoint, float] = {}
        self._news: dict[str, Report] = {}
        self._indirect_key: tuple[frozenset[str], frozenset[str], int] | None = None
        self._indirect_members: dict[str, Member] = {}
        self._is_leaving = False
        self._confirmed_at: float | None = None
        self._now: float | None = None
        self._ticked_at: float | None = None
        self._listed_at: float | None = None
        self._next_beat = self._next_digest = float("-inf")
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

    def last_confirmed(self, now: float) -> float | None:
        """Return when a peer last named this incarnation as heard, ``None`` if never."""
        return self._confirmed_at

    def set_leaving(self, now: float) -> None:
        self._is_leaving = True
        self._next_beat = now

    def set_part(self, name: str, value: Any) -> None:
        """Set a small msgpack value that heartbeats carry."""
        if self._parts.get(name) != value or name not in self._parts:
            self._parts = {**self._parts, name: value}
            self._parts_sent.clear()

    def peer_part(self, vm: str, name: str) -> Any:
        """Return the part of a VM of the own failure domain, ``None`` if it is not known."""
        return self._parts_of(vm).get(name)

    def digest_part(self, domain: str, name: str) -> Any:
        """Return the combined part of a failure domain, ``None`` if it is not known."""
        if domain == self._own.failure_domain:
            return self._combined().get(name)
        digest = self._digests.get(self._now or 0.0, domain)
        return None if digest is None else digest.parts.get(name)

    def add_seeds(self, now: float, peers: tuple[Endpoint, ...]) -> None:
        """Contact these endpoints until the platform's list answers."""
        self._seeds = tuple(peer for peer in peers if peer != self._own.endpoint)

    def on_list_failed(self, now: float) -> None:
        """Note that the list did not answer; the view keeps its members."""

    def on_list(self, now: float, vms: tuple[VmRecord, ...]) -> None:
        """Take an answer of the platform's list; an empty one is ignored."""
        if not vms:
            return
        self._entries, self._listed_at = vms, now
        self._seeds = ()
        domain = self._own.failure_domain
        listed = {
            item.name: Endpoint(item.host, item.peer_port)
            for item in vms
            if item.failure_domain == domain and item.name != self._own.vm
        }
        for vm in self._listed.keys() - listed.keys():
            self._unlisted_at.setdefault(vm, now)
        for item in vms:
            self._unlisted_at.pop(item.name, None)
        self._listed = listed

    def on_message(
        self, now: float, sender: PeerIdentity, message: Message
    ) -> tuple[Outgoing, ...]:
        """Take a message of a peer and return answers to send at once."""
        self._now = max(now, self._now or now)
        if sender.vm == self._own.vm:
            return ()
        if isinstance(message, Digest):
            if message.domain != self._own.failure_domain:
                self._receive_digest(now, sender, message)
            return ()
        if sender.failure_domain != self._own.failure_domain:
            return self._answer_foreign(now, sender, message)
        if isinstance(message, Heartbeat):
            return self._receive_heartbeat(now, sender, message)
        if isinstance(message, News):
            self._receive_reports(message.reports)
            if message.parts is not None:
                self._relay_parts[sender.vm] = (now, message.parts)
        return ()

    def tick(self, now: float) -> tuple[Outgoing, ...]:
        """Return what is due; to be called about every 0.1 s."""
        if self._ticked_at is not None and now - self._ticked_at > SUSPECT_S:
            self._links.shift(now, now - self._ticked_at)
        self._now = self._ticked_at = now
        self._forget(now)
        self._refresh_view(now)
        return tuple(self._due(now))

    def _due(self, now: float) -> Iterator[Outgoing]:
        if now >= self._next_beat:
            jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            self._next_beat = now + HEARTBEAT_S * jitter
            yield from self._heartbeats(now)
        if self._news:
            yield from self._send_news()
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_S * self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            yield from self._send_digests(now)
        if self._digests.is_spreading:
            yield from self._digests.spread(now, self._heard_neighbours(now))

    def _names(self) -> frozenset[str]:
        return frozenset({self._own.vm, *self._listed, *self._links.links, *self._book.reports})

    @property
    def _is_full_mesh(self) -> bool:
        return len(self._names()) <= FULL_MESH_VMS

    def _neighbours(self) -> frozenset[str]:
        return neighbours_of(self._names())[self._own.vm]

    def _endpoint(self, vm: str) -> Endpoint | None:
        link = self._links.links.get(vm)
        if link is not None and link.is_heard(self._now or 0.0):
            return link.identity.endpoint
        report = self._book.reports.get(vm)
        if report is not None:
            return Endpoint(report.host, report.peer_port)
        return self._listed.get(vm) or (link.identity.endpoint if link is not None else None)

    def _targets(self, now: float) -> dict[Endpoint, str]:
        """Return who gets heartbeats: neighbours, and VMs whose lists make us their neighbour."""
        callers = {vm for vm, link in self._links.links.items() if link.is_heard(now)}
        callers = set(sorted(callers)[: 2 * FULL_MESH_VMS])
        targets = {}
        for vm in sorted(self._neighbours() | callers):
            endpoint = self._endpoint(vm)
            if endpoint is not None:
                targets[endpoint] = vm
        return targets

    def _heartbeats(self, now: float) -> Iterator[Outgoing]:
        reports = ()
        if not self._is_full_mesh:
            reports = tuple(item.packed for item in self._book.rotate(_REPORTS_PER_HEARTBEAT))
        targets = self._targets(now)
        for endpoint, vm in targets.items():
            yield Outgoing(endpoint, self._heartbeat(now, vm, endpoint, reports))
        for endpoint in self._seeds:
            if endpoint not in targets:
                yield Outgoing(endpoint, self._heartbeat(now, "", endpoint, ()))

    def _heartbeat(
        self, now: float, vm: str, endpoint: Endpoint, reports: tuple[Any, ...]
    ) -> Heartbeat:
        parts = None
        if now - self._parts_sent.get(endpoint, float("-inf")) >= _PARTS_REPEAT_S:
            self._parts_sent[endpoint] = now
            parts = self._parts or None
        self._seq += 1
        heard = self._links.heard_incarnation(now, vm)
        return Heartbeat(self._seq, heard, self._is_leaving, parts, reports)

    def _receive_heartbeat(
        self, now: float, sender: PeerIdentity, beat: Heartbeat
    ) -> tuple[Outgoing, ...]:
        is_new = self._links.receive(now, sender, beat)
        if beat.heard == self._own.incarnation:
            self._confirmed_at = now
        self._receive_reports(beat.reports)
        if not is_new:
            return ()
        self._relay_parts.pop(sender.vm, None)
        answer = self._heartbeat(now, sender.vm, sender.endpoint, ())
        return (Outgoing(sender.endpoint, answer), *self._introduction(sender.endpoint))

    def _introduction(self, endpoint: Endpoint) -> Iterator[Outgoing]:
        """Return all reports for a VM that is new here, which would else learn them slowly."""
        if self._is_full_mesh:
            return
        packed = [report.packed for report in self._book.reports.values()]
        for start in range(0, len(packed), _NEWS_PER_MESSAGE):
            yield Outgoing(endpoint, News(tuple(packed[start : start + _NEWS_PER_MESSAGE])))

    def _receive_reports(self, packed: tuple[Any, ...]) -> None:
        for values in packed:
            report = Report(*values[:7])
            if report.vm == self._own.vm:
                if report.incarnation != self._own.incarnation:
                    self._report_seq = max(self._report_seq, report.seq + 1)
                continue
            if self._book.offer(report):
                self._news[report.vm] = report

    def _send_news(self) -> Iterator[Outgoing]:
        chosen = sorted(self._news)[:_NEWS_PER_MESSAGE]
        news = News(tuple(self._news.pop(vm).packed for vm in chosen))
        for endpoint in self._heard_neighbours(self._now or 0.0).values():
            yield Outgoing(endpoint, news)

    def _heard_neighbours(self, now: float) -> dict[str, Endpoint]:
        return {
            vm: self._links.links[vm].identity.endpoint
            for vm in sorted(self._neighbours())
            if self._links.heard_incarnation(now, vm)
        }

    def _forget(self, now: float) -> None:
        for vm, since in list(self._unlisted_at.items()):
            link = self._links.links.get(vm)
            heard_at = link.heard_at if link is not None else since
            if now - max(since, heard_at) >= FORGET_S:
                del self._unlisted_at[vm]
                self._links.drop(vm)
                self._book.drop(vm)
        self._links.prune(now, frozenset(self._listed))
        for vm, (received_at, _) in list(self._relay_parts.items()):
            if now - received_at >= _PARTS_MAX_AGE_S:
                del self._relay_parts[vm]

    def _refresh_view(self, now: float) -> None:
        direct = {vm: link.state(now) for vm, link in self._links.links.items()}
        members = {
            vm: Member(vm, state, self._links.links[vm].identity) for vm, state in direct.items()
        }
        for vm in sorted(self._listed.keys() - members.keys()):
            members[vm] = Member(vm, MemberState.DOWN, None)
        if not self._is_full_mesh:
            self._refresh_reports(direct)
            members.update(self._indirect(direct))
        own_state = MemberState.LEAVING if self._is_leaving else MemberState.UP
        members[self._own.vm] = Member(self._own.vm, own_state, self._own)
        self._view = View(members, self._entries, self._listed_at)

    def _refresh_reports(self, direct: dict[str, MemberState]) -> None:
        """Publish the own report when it changed or another incarnation's was seen."""
        neighbours = self._neighbours()
        down = MemberState.DOWN
        missing = tuple(sorted(vm for vm in neighbours if direct.get(vm, down) is down))
        known = self._book.reports.get(self._own.vm)
        is_current = known is not None and known.seq > self._report_seq - 1
        if is_current and (known.missing, known.is_leaving) == (missing, self._is_leaving):
            return
        self._report_seq += 1
        own = self._own
        report = Report(
            own.vm,
            own.incarnation,
            own.host,
            own.peer_port,
            self._report_seq,
            self._is_leaving,
            missing,
        )
        self._book.offer(report)
        self._news[own.vm] = report

    def _indirect(self, direct: dict[str, MemberState]) -> dict[str, Member]:
        """Return members that are not neighbours, by the reports of others."""
        down = MemberState.DOWN
        alive = frozenset(vm for vm in self._neighbours() if direct.get(vm, down) is not down)
        key = (self._names(), alive, self._book.revision)
        if key != self._indirect_key:
            self._indirect_key = key
            self._indirect_members = dict(self._read_reports(alive))
        return self._indirect_members

    def _read_reports(self, alive: frozenset[str]) -> Iterator[tuple[str, Member]]:
        neighbours = self._neighbours()
        reachable = self._book.reachable(self._names(), alive)
        for vm, report in self._book.reports.items():
            if vm in neighbours or vm == self._own.vm:
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

    def _parts_of(self, vm: str) -> dict[str, Any]:
        if vm == self._own.vm:
            return self._parts
        link = self._links.links.get(vm)
        if link is not None and link.parts:
            return link.parts
        return self._relay_parts.get(vm, (0.0, {}))[1]

    def _combined(self) -> dict[str, Any]:
        members = self._view.members
        alive = sorted(vm for vm in members if members[vm].state is not MemberState.DOWN)
        return combine_parts(self._parts_of(vm) for vm in alive)

    def _send_digests(self, now: float) -> Iterator[Outgoing]:
        relays = self._relays()
        if self._own.vm in relays:
            digest = self._own_digest()
            for endpoint in self._foreign_relays(now):
                yield Outgoing(endpoint, digest)
        if not self._parts or self._is_full_mesh:
            return
        for vm in relays:
            endpoint = self._endpoint(vm)
            if vm != self._own.vm and vm not in self._neighbours() and endpoint is not None:
                yield Outgoing(endpoint, News((), self._parts))

    def _own_digest(self) -> Digest:
        identities = (self._view.identity_of(vm) for vm in self._relays())
        relays = tuple((item.host, item.peer_port) for item in identities if item is not None)
        self._digest_seq += 1
        own = self._own
        return Digest(
            own.failure_domain, own.incarnation, self._digest_seq, 0.0, relays, self._combined()
        )

    def _foreign_relays(self, now: float) -> Iterator[Endpoint]:
        """Return where this failure domain's digest goes: two VMs of each other one."""
        domains: dict[str, list[Endpoint]] = {}
        for item in self._entries:
            if item.failure_domain != self._own.failure_domain:
                endpoint = Endpoint(item.host, item.peer_port)
                domains.setdefault(item.failure_domain, []).append(endpoint)
        for domain, endpoint in self._foreign.items():
            domains.setdefault(domain, [endpoint])
        for domain in sorted(domains):
            digest = self._digests.get(now, domain)
            if digest is not None and digest.age_s < _DIGEST_FRESH_S and digest.relays:
                yield from digest.relays
            else:
                candidates = domains[domain]
                yield from self._rng.sample(candidates, min(RELAYS, len(candidates)))

    def _receive_digest(self, now: float, sender: PeerIdentity, digest: Digest) -> None:
        is_inside = sender.failure_domain == self._own.failure_domain
        if not is_inside:
            self._foreign[sender.failure_domain] = sender.endpoint
        if self._digests.receive(now, sender.vm, digest) and is_inside and self._is_full_mesh:
            self._digests.forget_queue((digest.domain,))

    def _answer_foreign(
        self, now: float, sender: PeerIdentity, message: Message
    ) -> tuple[Outgoing, ...]:
        """Answer a VM that has only seeds with this failure domain's relays."""
        self._foreign[sender.failure_domain] = sender.endpoint
        if not isinstance(message, Heartbeat):
            return ()
        return (Outgoing(sender.endpoint, self._own_digest()),)
