"""Slot tokens of one VM, independent of clocks, sockets and random sources."""

import logging
from collections.abc import Iterator, Mapping

import xxhash

from hibiscushaven.documents import ServiceDocument
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.membership import OutgoingMessage, View
from hibiscushaven.peers import Message, PeerIdentity

from .fence import Fence
from .homes import PLACE_POOL, Shard, group_of, owner_of, token_homes
from .inventory import Inventory
from .messages import (
    AnswerItem,
    LoanAnswer,
    LoanRenewal,
    RenewalItem,
    RosterNotice,
    SettleQuery,
    SettleReport,
)
from .renewals import RenewalPlan
from .roster import Roster, RosterError, RosterMember
from .service import ServiceSlots, Token, pools_for
from .settlement import settle_wait_s

__all__ = ["SlotNode"]

_LOG = logging.getLogger(__name__)

_QUERY_INTERVAL_S = 0.4
_NOTICE_INTERVAL_S = 0.4
_MAX_TRACKED_QUERIES = 64


class SlotNode:
    """Decides which requests this VM may start on backend servers.

    Explanation
    ===========

    ``now`` is the VM's boot-time clock in seconds, which includes time while suspended.
    """

    def __init__(self, identity: PeerIdentity) -> None:
        self._own = identity
        self._key = (identity.vm, identity.incarnation)
        self._roster = Roster()
        self._adopted_at = float("-inf")
        self._inventory = Inventory(identity.failure_domain)
        self._services: dict[str, ServiceSlots] = {}
        self._fence = Fence()
        self._view = View({})
        self._owned_shards: frozenset[Shard] = frozenset()
        self._is_lending_stopped = False
        self._last_token_number = 0
        self._tokens: dict[int, Token] = {}
        self._renewal_plan = RenewalPlan()
        # Numbers start at a value derived from the incarnation, so that a response to a former
        # incarnation at the same address does not match a request of this one.
        self._seq = xxhash.xxh32_intdigest(identity.incarnation.encode()) // 2
        self._query_sent_at: dict[int, float] = {}
        self._next_query_at = float("-inf")
        self._notice_sent_at: dict[Endpoint, float] = {}

    @property
    def identity(self) -> PeerIdentity:
        return self._own

    @property
    def roster(self) -> Roster:
        return self._roster

    @property
    def is_fenced(self) -> bool:
        """Whether the home tokens are void after a pause, until a peer or the table confirms."""
        return self._fence.is_raised

    @property
    def is_drained(self) -> bool:
        """Whether no tokens are in use or lent, so that this VM can leave the roster gracefully."""
        is_member = self._roster.has_member(self._key)
        return all(
            item.is_idle and (item.settlement.is_complete or not is_member)
            for item in self._services.values()
        )

    def set_documents(self, documents: Mapping[str, ServiceDocument]) -> None:
        """Set the documents in force; a reduction of slots takes effect as tokens are released."""
        self._inventory.set_documents(documents)
        for name in self._inventory.services:
            if name not in self._services:
                self._services[name] = ServiceSlots(name, self._key)
                if self._roster.version:
                    self._services[name].settlement.adopt(self._adopted_at, self._roster)

    def set_roster(self, now: float, roster: Roster, read_at: float | None = None) -> None:
        """Set the roster unless it is older than the current one.

        :param read_at: when the read of the table began, ``None`` if it was not read there.
        """
        if roster.version > self._roster.version:
            self._roster = roster
            self._adopted_at = now
            for item in self._services.values():
                item.settlement.adopt(now, roster)
            self._refresh(now)
        is_current = roster.version == self._roster.version and roster.has_member(self._key)
        if read_at is not None and is_current:
            self._fence.confirm(read_at)

    def stop_lending(self) -> None:
        """Lend no more tokens, so that this VM drains before it leaves the roster."""
        self._is_lending_stopped = True

    def shard_of(self, service: str, server: str) -> Shard | None:
        """Return the shard of a backend server of this failure domain."""
        item = self._inventory.services.get(service)
        return item.shards.get(server) if item is not None else None

    def owner_of(self, shard: Shard, view: View) -> RosterMember | None:
        """Return the owner of a shard according to a view."""
        return owner_of(self._roster, shard, view)

    def owned_shards(self, view: View) -> frozenset[Shard]:
        """Return the shards that this VM owns according to a view."""
        return self._shards_owned_by(self._key, view)

    def available(self, now: float, service: str, server: str) -> int:
        """Return how many requests may start now on a backend server."""
        pool = self._owned_pool(service, server)
        if pool is None:
            return 0
        slots = self._inventory.slots(now, service)
        item = self._services[service]
        is_valid = self._fence.is_valid(now)
        return min(
            item.available(now, part, slots.get(part, 0), is_valid) for part in pools_for(pool)
        )

    def acquire(self, now: float, service: str, server: str, deadline: float) -> Token | None:
        """Acquire a token for a request that ends by ``deadline``, ``None`` if there is none."""
        longest_s = self._inventory.longest_deadline_s(service)
        if deadline > now + longest_s or self.available(now, service, server) <= 0:
            return None
        pool = self._owned_pool(service, server)
        epoch = self._fence.epoch if self._fence.is_valid(now) else None
        sources = self._services[service].acquire(now, pools_for(pool), deadline, epoch)
        if sources is None:
            return None
        self._last_token_number += 1
        token = Token(self._last_token_number, service, server, deadline, sources)
        self._tokens[token.number] = token
        return token

    def is_usable(self, now: float, token: Token) -> bool:
        """Return whether a token's request may start; to be called just before it is written."""
        if token.number not in self._tokens or now >= token.deadline:
            return False
        item = self._inventory.services.get(token.service)
        if item is None or item.pool_of(token.server) != token.sources[0].pool:
            return False
        return now < self.loan_expiry(now, token)

    def loan_expiry(self, now: float, token: Token) -> float:
        """Return the time from which a token's request may no longer start."""
        if token.number not in self._tokens:
            return float("-inf")
        item = self._services[token.service]
        return min(item.expiries(token, self._fence.epoch, self._fence.valid_until))

    def release(self, now: float, token: Token) -> None:
        """Release a token; to be called when its request has ended or will not start."""
        if self._tokens.pop(token.number, None) is not None:
            self._services[token.service].release(token.sources)

    def tick(self, now: float, view: View) -> tuple[OutgoingMessage, ...]:
        """Update the state and return due messages; to be called about every 0.1 s."""
        self._view = view
        self._fence.tick(now)
        self._owned_shards = self.owned_shards(view)
        self._refresh(now)
        return tuple(self._due_messages(now))

    def on_message(
        self, now: float, sender: PeerIdentity, message: Message
    ) -> tuple[OutgoingMessage, ...]:
        """Handle a message from a peer and return the messages to send in response."""
        if sender.failure_domain != self._own.failure_domain or sender.vm == self._own.vm:
            return ()
        return tuple(self._handle(now, sender, message))

    def _handle(
        self, now: float, sender: PeerIdentity, message: Message
    ) -> Iterator[OutgoingMessage]:
        if isinstance(message, RosterNotice):
            self._on_notice(now, message)
        elif isinstance(message, LoanRenewal):
            yield from self._on_renewal(now, sender, message)
        elif isinstance(message, LoanAnswer):
            yield from self._on_answer(now, sender, message)
        elif isinstance(message, SettleQuery):
            yield self._on_query(now, sender, message)
        elif isinstance(message, SettleReport):
            self._on_report(now, sender, message)
        if isinstance(message, LoanRenewal | LoanAnswer | SettleQuery | SettleReport):
            yield from self._notify_if_outdated(now, sender, message.roster_version)

    def _on_notice(self, now: float, notice: RosterNotice) -> None:
        try:
            roster = Roster.decode(notice.data, notice.version)
        except RosterError as error:
            _LOG.warning("roster of a peer rejected", extra={"reason": str(error)})
            return
        self.set_roster(now, roster)

    def _on_renewal(
        self, now: float, sender: PeerIdentity, message: LoanRenewal
    ) -> Iterator[OutgoingMessage]:
        if not self._fence.is_valid(now):
            return
        grants = []
        for values in message.items:
            item = RenewalItem(*values[:5])
            if item.service in self._services:
                grant = self._grant(now, sender, message.seq, item, len(values) < 5)
                if grant is not None:
                    grants.append(grant.packed)
        if grants:
            answer = LoanAnswer(message.seq, self._roster.version, tuple(grants))
            yield OutgoingMessage(sender.endpoint, answer)

    def _grant(
        self,
        now: float,
        borrower: PeerIdentity,
        seq: int,
        item: RenewalItem,
        is_long_omitted: bool,
    ) -> AnswerItem | None:
        """Process an item of a renewal and return the grant.

        :param is_long_omitted: whether the borrower does not distinguish long and short work.
        """
        shards = self._shards_owned_by((borrower.vm, borrower.incarnation), self._view)
        inventory = self._inventory.services.get(item.service)
        service = self._services[item.service]
        pools: frozenset[str] = frozenset()
        if inventory is not None and not self._is_lending_stopped:
            pools = inventory.pools_of(shards)

        def quota(pool: str) -> int:
            count = service.lender.owned.get(pool, 0) if pool in pools else 0
            if pool != PLACE_POOL or not count:
                return count
            all_shards = frozenset(inventory.shards.values())
            return -(-count * len(shards & all_shards) // len(all_shards))

        hold_s = self._inventory.longest_deadline_s(item.service)
        short_s = (
            hold_s if is_long_omitted else self._inventory.longest_short_deadline_s(item.service)
        )
        return service.lender.renew(now, borrower.incarnation, seq, item, hold_s, quota, short_s)

    def _on_answer(
        self, now: float, sender: PeerIdentity, message: LoanAnswer
    ) -> Iterator[OutgoingMessage]:
        """Apply grants; acknowledge new ones at once so that the lender learns what is retained."""
        is_changed = False
        for values in message.items:
            item = AnswerItem(*values[:7])
            service = self._services.get(item.service)
            if service is not None:
                borrower = service.borrower
                is_changed |= borrower.on_answer(sender.incarnation, message.seq, item)
        if is_changed:
            yield from self._renew(now, sender.incarnation, sender.endpoint)

    def _on_query(self, now: float, sender: PeerIdentity, query: SettleQuery) -> OutgoingMessage:
        reports = {
            name: self._services[name].settlement.report(
                self._services[name].lender.is_within_owned
            )
            for name in query.services
            if name in self._services and not self._inventory.has_held_back(name)
        }
        member = self._view.members.get(sender.vm)
        is_member = (
            self._fence.is_valid(now)
            and self._roster.version >= query.roster_version
            and self._roster.has_member((sender.vm, sender.incarnation))
            and (member is None or member.incarnation in (None, sender.incarnation))
        )
        report = SettleReport(query.seq, self._roster.version, is_member, reports)
        return OutgoingMessage(sender.endpoint, report)

    def _on_report(self, now: float, sender: PeerIdentity, report: SettleReport) -> None:
        query_sent_at = self._query_sent_at.get(report.seq)
        is_current = report.is_member and report.roster_version >= self._roster.version
        if query_sent_at is not None and is_current:
            self._fence.confirm(query_sent_at)
        for name, (settled, drained) in report.settled.items():
            if name in self._services:
                key = (sender.vm, sender.incarnation)
                self._services[name].settlement.on_report(key, settled, drained)

    def _notify_if_outdated(
        self, now: float, peer: PeerIdentity, version: int
    ) -> Iterator[OutgoingMessage]:
        """Send the roster to a peer with an older version, at a limited rate."""
        last = self._notice_sent_at.get(peer.endpoint, float("-inf"))
        if version >= self._roster.version or now - last < _NOTICE_INTERVAL_S:
            return
        self._notice_sent_at[peer.endpoint] = now
        yield OutgoingMessage(
            peer.endpoint, RosterNotice(self._roster.version, self._roster.encode())
        )

    def _refresh(self, now: float) -> None:
        for name, item in self._services.items():
            wait_s = settle_wait_s(self._inventory.longest_deadline_s(name))
            item.refresh(now, wait_s, self._inventory.slots(now, name))
            if not any(shard.service == name for shard in self._owned_shards):
                item.borrower.return_unused()

    def _shards_owned_by(self, key: tuple[str, str], view: View) -> frozenset[Shard]:
        if not self._roster.has_member(key):
            return frozenset()
        shards = self._inventory.shards
        owners = ((shard, owner_of(self._roster, shard, view)) for shard in shards)
        return frozenset(shard for shard, owner in owners if owner and owner.key == key)

    def _owned_pool(self, service: str, server: str) -> str | None:
        item = self._inventory.services.get(service)
        if item is None or item.shards.get(server) not in self._owned_shards:
            return None
        return item.pool_of(server)

    def _due_messages(self, now: float) -> Iterator[OutgoingMessage]:
        for incarnation, endpoint in self._lenders(now).items():
            yield from self._renew(now, incarnation, endpoint, is_periodic=True)
        if now >= self._next_query_at:
            self._next_query_at = now + _QUERY_INTERVAL_S
            yield from self._due_queries(now)

    def _lenders(self, now: float) -> dict[str, Endpoint]:
        """Return the peers to send renewals to: current lenders and homes of needed tokens."""
        live_endpoints = {
            item.incarnation: item.endpoint
            for item in self._roster.members
            if self._view.is_alive(item.vm, item.incarnation) and item.key != self._key
        }
        live_incarnations = frozenset(live_endpoints)
        lenders: set[str] = set()
        for name, item in self._services.items():
            item.borrower.drop_lapsed(now, live_incarnations)
            lenders |= {key for key, loan in item.borrower.loans.items() if not loan.is_closed}
            if self._owns_shard_of(name):
                group = group_of(self._roster, Shard(name))
                lenders |= {member.incarnation for member in group}
        return {key: live_endpoints[key] for key in sorted(lenders & live_incarnations)}

    def _owns_shard_of(self, service: str) -> bool:
        return any(shard.service == service for shard in self._owned_shards)

    def _renew(
        self, now: float, lender: str, endpoint: Endpoint, is_periodic: bool = False
    ) -> Iterator[OutgoingMessage]:
        """Send a renewal; a periodic one only if it is due or differs from the last one."""
        member = next((item for item in self._roster.members if item.incarnation == lender), None)
        seq = self._seq + 1
        items = []
        has_more_to_lend = False
        for name, item in sorted(self._services.items()):
            is_needed = self._owns_shard_of(name) and member is not None
            loan = item.borrower.loans.get(lender)
            if not is_needed and (loan is None or loan.is_closed):
                continue
            if is_needed:
                has_more_to_lend = has_more_to_lend or self._has_more_to_lend(
                    now, name, member.vm, lender
                )
            items.append(item.borrower.renewal_item(now, lender, seq, name, is_needed).packed)
        if not items:
            return
        if is_periodic and not self._renewal_plan.is_due(
            now, lender, tuple(items), has_more_to_lend
        ):
            return
        self._seq = seq
        self._renewal_plan.record(now, lender, tuple(items))
        yield OutgoingMessage(endpoint, LoanRenewal(seq, self._roster.version, tuple(items)))

    def _has_more_to_lend(self, now: float, service: str, vm: str, lender: str) -> bool:
        """Return whether a lender is home of more tokens than it lends to this VM."""
        loan = self._services[service].borrower.loans.get(lender)
        granted = loan.granted if loan is not None else {}
        return any(
            granted.get(pool, 0) < token_homes(self._roster, service, pool, count).count(vm)
            for pool, count in self._inventory.slots(now, service).items()
        )

    def _due_queries(self, now: float) -> Iterator[OutgoingMessage]:
        """Ask for the needed settle reports, and for confirmation of membership while fenced."""
        services_by_member: dict[RosterMember, set[str]] = {}
        for name, item in self._services.items():
            for member in sorted(item.settlement.awaited):
                services_by_member.setdefault(member, set()).add(name)
        if self._fence.is_raised or not self._roster.has_member(self._key):
            for member in self._roster.members:
                if self._view.is_alive(member.vm, member.incarnation):
                    services_by_member.setdefault(member, set())
        for member, names in services_by_member.items():
            if member.key == self._key:
                continue
            self._seq += 1
            self._query_sent_at[self._seq] = now
            query = SettleQuery(self._seq, self._roster.version, tuple(sorted(names)))
            yield OutgoingMessage(member.endpoint, query)
        while len(self._query_sent_at) > _MAX_TRACKED_QUERIES:
            del self._query_sent_at[next(iter(self._query_sent_at))]
