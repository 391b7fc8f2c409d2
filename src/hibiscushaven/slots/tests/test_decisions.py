"""Decisions of lender, borrower, fence, settlement and documents, one at a time."""

from dataclasses import replace

from hibiscushaven.documents import AdminState
from hibiscushaven.membership import Member, MemberState, View
from hibiscushaven.peers import PeerIdentity
from hibiscushaven.slots import Roster, RosterMember, Shard, SlotNode
from hibiscushaven.slots.borrower import Borrower
from hibiscushaven.slots.fence import Fence
from hibiscushaven.slots.homes import group_of, token_homes
from hibiscushaven.slots.inventory import Inventory
from hibiscushaven.slots.lender import Lender
from hibiscushaven.slots.messages import AnswerItem, LoanRenewal, RenewalItem, SettleQuery
from hibiscushaven.slots.service import ServiceSlots, Token
from hibiscushaven.slots.settlement import Settlement

from .simulation import SERVICE, SHARD, document, with_state

POOL = "10.9.0.1:80"


def member(number: int, incarnation: str = "a") -> RosterMember:
    return RosterMember(f"vm{number}", incarnation, "10.0.0.1", 7000 + number)


def roster_of(count: int) -> Roster:
    roster = Roster()
    for number in range(count):
        roster = roster.with_joined(member(number))
    return roster


def grant(lender: Lender, now: float, who: str, seq: int, ack: int, **kept) -> AnswerItem | None:
    item = RenewalItem(SERVICE, ack, kept.pop("wanted", True), kept.get("kept", {}))
    return lender.renew(now, who, seq, item, 5.0, lambda pool: 3)


def lender_of(count: int = 3) -> Lender:
    lender = Lender()
    lender.set_owned({POOL: count})
    return lender


def test_lender_waits_for_term_and_deadline() -> None:
    """Guards against a token lent again while a request under the old loan may still run."""
    lender = lender_of()
    assert grant(lender, 0.0, "x", 1, 0).granted == {POOL: 3}
    assert grant(lender, 7.4, "y", 1, 0).granted == {}
    answer = grant(lender, 7.6, "y", 2, 0)
    assert grant(lender, 7.7, "y", 3, answer.version).granted == {POOL: 3}


def test_give_back_counts_only_once_the_grant_is_known() -> None:
    """Guards against tokens freed by a statement that was sent before their grant arrived."""
    lender = lender_of()
    version = grant(lender, 0.0, "x", 1, 0).version
    grant(lender, 0.1, "x", 2, version - 1, kept={POOL: 0}, wanted=False)
    assert lender.spare(POOL) == 0
    grant(lender, 0.2, "x", 3, version, kept={POOL: 1}, wanted=False)
    assert lender.spare(POOL) == 2


def test_lender_asks_back_when_it_has_fewer_tokens() -> None:
    """Guards against a lender that keeps lending tokens that moved to another home."""
    lender = lender_of()
    version = grant(lender, 0.0, "x", 1, 0).version
    lender.set_owned({POOL: 1})
    assert not lender.is_within
    answer = grant(lender, 0.4, "x", 2, version)
    assert answer.granted == {POOL: 1}
    grant(lender, 0.5, "x", 3, answer.version, kept={POOL: 2})
    assert not lender.is_within
    grant(lender, 0.6, "x", 4, answer.version)
    assert lender.is_within


def borrowed(count: int = 2) -> tuple[ServiceSlots, Borrower]:
    slots = ServiceSlots(SERVICE, ("x", "x"))
    slots.borrower.statement(0.0, "l", 1, SERVICE, True)
    slots.borrower.on_answer("l", 1, AnswerItem(SERVICE, 1, True, 5000, {POOL: count}))
    return slots, slots.borrower


def test_term_counts_from_the_request_and_deadline_from_the_term() -> None:
    """Guards against a loan that outlives the lender's, and requests longer than it waits for."""
    slots, borrower = borrowed()
    assert borrower.holdings(1.99, POOL) == 2
    assert borrower.holdings(2.0, POOL) == 0
    assert slots.acquire(1.0, (POOL,), 7.1, None) is None
    assert slots.acquire(1.0, (POOL,), 7.0, None) is not None


def test_owner_obeys_its_document_before_its_lenders_do() -> None:
    """Guards against more work than the new slots while lenders still lend the old ones."""
    slots, _ = borrowed(4)
    assert slots.available(0.1, POOL, 2, True) == 2
    slots.acquire(0.1, (POOL,), 2.0, None)
    assert slots.available(0.1, POOL, 2, True) == 1


def test_given_back_tokens_need_a_newer_grant() -> None:
    """Guards against an answer in flight that revives tokens already given back."""
    _, borrower = borrowed()
    borrower.statement(0.4, "l", 2, SERVICE, True)
    borrower.give_back()
    assert borrower.statement(0.5, "l", 3, SERVICE, False).kept == {POOL: 0}
    borrower.on_answer("l", 2, AnswerItem(SERVICE, 1, True, 5000, None))
    assert borrower.holdings(0.6, POOL) == 0
    borrower.on_answer("l", 3, AnswerItem(SERVICE, 2, True, 5000, {POOL: 1}))
    borrower.on_answer("l", 1, AnswerItem(SERVICE, 1, True, 5000, {POOL: 2}))
    assert borrower.holdings(0.6, POOL) == 1


def test_token_of_a_lapsed_loan_stays_void() -> None:
    """Guards against a request that starts under a loan lent anew after a pause."""
    slots, borrower = borrowed()
    token = Token(1, SERVICE, "s0", 30.0, slots.acquire(0.1, (POOL,), 6.0, None))
    borrower.statement(20.0, "l", 2, SERVICE, True)
    borrower.on_answer("l", 2, AnswerItem(SERVICE, 2, True, 50_000, {POOL: 2}))
    assert min(slots.expiries(token, 0, 0.0)) < 20.0
    assert borrower.holdings(20.0, POOL) == 1


def test_fence_after_a_pause() -> None:
    """Guards against own tokens used after a successor may have taken this VM's place."""
    fence = Fence()
    fence.tick(0.0)
    fence.tick(1.9)
    assert fence.is_valid(3.0)
    fence.tick(10.0)
    assert not fence.is_valid(10.0)
    fence.confirm(asked_at=9.0)
    assert not fence.is_valid(10.1), "confirmed by an answer to a question before the pause"
    fence.confirm(asked_at=10.1)
    assert fence.is_valid(10.2)
    assert fence.epoch == 1


def settled(item: Settlement, now: float, count: int = 40) -> int:
    item.advance(now, 10.0)
    return item.settled_count(now, 10.0, POOL, count)


def test_new_home_waits_for_the_old_ones_report() -> None:
    """Guards against a token used by its old home, which has not read the roster, and its new."""
    roster = roster_of(3)
    item = Settlement(SERVICE, member(2).key)
    item.adopt(0.0, roster)
    assert settled(item, 99.0) == 0
    assert {peer.vm for peer in item.missing} == {"vm0", "vm1"}
    item.on_report(member(0).key, 3, 3)
    item.on_report(member(1).key, 2, 3)
    homes = token_homes(roster, SERVICE, POOL, 40)
    before = token_homes(roster.at(2), SERVICE, POOL, 40)
    from_first = sum(new == "vm2" and old == "vm0" for new, old in zip(homes, before, strict=True))
    assert 0 < settled(item, 99.0) == from_first
    item.on_report(member(1).key, 3, 3)
    assert settled(item, 99.0) == homes.count("vm2")


def test_old_home_reports_only_what_was_settled_with_it() -> None:
    """Guards against a chain of homes in which the middle one never had the tokens."""
    middle = Settlement(SERVICE, member(1).key)
    middle.adopt(0.0, roster_of(2))
    middle.advance(0.0, 10.0)
    middle.adopt(1.0, roster_of(3))
    middle.advance(1.0, 10.0)
    assert middle.report(is_within=True) == (2, 3)
    middle.on_report(member(0).key, 2, 3)
    middle.advance(1.0, 10.0)
    assert middle.report(is_within=False)[0] == 2
    assert middle.report(is_within=True) == (3, 3)


def test_successor_waits_unless_the_leaver_was_drained() -> None:
    """Guards against tokens of a crashed VM that are used while its requests still run."""
    for is_graceful in (True, False):
        roster = roster_of(2).without((member(0),), is_graceful=is_graceful)
        item = Settlement(SERVICE, member(1).key)
        item.adopt(0.0, roster_of(2))
        item.on_report(member(0).key, 2, 2)
        item.advance(0.0, 10.0)
        item.adopt(5.0, roster)
        assert (settled(item, 14.9) == 40) == is_graceful
        assert settled(item, 15.0) == 40
    replaced = Settlement(SERVICE, member(0, "b").key)
    replaced.adopt(5.0, roster_of(1).with_joined(member(0, "b")))
    assert (settled(replaced, 14.9), settled(replaced, 15.0)) == (0, 40)


def test_missed_history_needs_everyone() -> None:
    """Guards against a home between two known rosters that nobody here knows of."""
    item = Settlement(SERVICE, member(1).key)
    item.adopt(0.0, roster_of(2))
    late = roster_of(3)
    item.adopt(1.0, Roster(90, late.members, ()))
    assert settled(item, 50.0) == 0
    for number in (0, 2):
        item.on_report(member(number).key, 0, 90)
    assert settled(item, 10.9) == 0
    assert settled(item, 11.0) > 0


def test_homes_do_not_depend_on_the_number_of_slots() -> None:
    """Guards against a token counted twice by VMs with different revisions of a document."""
    roster = roster_of(7)
    many = token_homes(roster, SERVICE, POOL, 9)
    assert token_homes(roster, SERVICE, POOL, 4) == many[:4]
    assert set(many) <= {item.vm for item in group_of(roster, SHARD)}


def test_server_from_another_domain_is_kept_back() -> None:
    """Guards against slots used by two failure domains while a document spreads."""
    inventory = Inventory("d")
    here = document()
    inventory.set_documents({SERVICE: document(servers=1)})
    elsewhere = with_domain(here, "other")
    inventory.set_documents({SERVICE: elsewhere})
    assert POOL not in inventory.slots(0.0, SERVICE)
    inventory.set_documents({SERVICE: here})
    assert POOL not in inventory.slots(1.0, SERVICE)
    assert POOL not in inventory.slots(8.9, SERVICE)
    assert inventory.slots(9.0, SERVICE)[POOL] == 4


def with_domain(item, domain: str):
    return replace(item, places=(replace(item.places[0], failure_domain=domain),))


def single_node() -> tuple[SlotNode, View]:
    identity = PeerIdentity("vm0", "a", "d", "r", "10.0.0.1", 7000)
    node = SlotNode(identity)
    view = View({"vm0": Member("vm0", MemberState.UP, identity)})
    node.set_documents({SERVICE: document(capacity=6)})
    node.set_roster(0.0, roster_of(1), read_at=0.0)
    node.tick(0.0, view)
    return node, view


def test_single_vm_obeys_documents() -> None:
    """Guards against work beyond new limits, or for what leaves or is removed."""
    node, view = single_node()
    assert node.owned_shards(view) == {Shard(SERVICE)} == {node.shard_of(SERVICE, "s1")}
    tokens = [node.acquire(0.1, SERVICE, "s0", 1.0) for _ in range(5)]
    assert [token is not None for token in tokens] == [True] * 4 + [False]
    assert node.available(0.1, SERVICE, "s1") == 2, "the place allows 6"
    node.set_documents({SERVICE: document(slots=2, capacity=3)})
    node.tick(0.2, view)
    assert node.acquire(0.2, SERVICE, "s1", 1.0) is None
    node.release(0.2, tokens[0])
    node.release(0.2, tokens[1])
    assert node.available(0.2, SERVICE, "s0") == 0
    assert node.available(0.2, SERVICE, "s1") == 1
    assert node.is_usable(0.2, tokens[2])
    assert node.loan_expiry(0.2, tokens[2]) == 2.2
    node.set_documents({SERVICE: with_state(document(), AdminState.LEAVING)})
    assert not node.is_usable(0.2, tokens[2])
    node.set_documents({SERVICE: document(servers=1)})
    node.tick(0.3, view)
    assert node.available(0.3, SERVICE, "s1") == 0
    assert node.available(0.3, SERVICE, "s0") == 2
    assert node.acquire(0.3, SERVICE, "s0", 99.0) is None, "a deadline beyond the longest"


def test_loan_is_over_once_the_lender_knows() -> None:
    """Guards against a former owner that stops before its last give-back has arrived."""
    slots, borrower = borrowed()
    sources = slots.acquire(0.1, (POOL,), 2.0, None)
    borrower.statement(0.4, "l", 2, SERVICE, False)
    borrower.on_answer("l", 2, AnswerItem(SERVICE, 2, False, 5000, {}))
    slots.release(sources)
    borrower.statement(0.8, "l", 3, SERVICE, False)
    assert not borrower.is_idle
    borrower.on_answer("l", 3, AnswerItem(SERVICE, 2, False, 5000, None))
    assert borrower.is_idle


def test_unchanged_grant_is_not_repeated() -> None:
    """Guards against renewals whose answers list every token each time."""
    lender = lender_of()
    version = grant(lender, 0.0, "x", 1, 0).version
    assert grant(lender, 0.4, "x", 2, version).granted is None


def test_tokens_of_an_emptied_domain_wait() -> None:
    """Guards against tokens of the last VM that nobody else took over and settled."""
    roster = roster_of(1).without((member(0),), is_graceful=False).with_joined(member(1))
    item = Settlement(SERVICE, member(1).key)
    item.adopt(5.0, roster)
    assert (settled(item, 14.9), settled(item, 15.0)) == (0, 40)


def test_paused_home_neither_lends_nor_vouches() -> None:
    """Guards against loans by a home whose successor may already lend the same tokens."""
    node, _ = single_node()
    node.set_roster(0.0, roster_of(2))
    peer = PeerIdentity("vm1", "a", "d", "r", "10.0.0.1", 7001)
    renewal = LoanRenewal(1, 2, (RenewalItem(SERVICE, 0, True, {}).packed,))
    assert len(node.on_message(1.9, peer, renewal)) == 1
    assert node.on_message(2.0, peer, LoanRenewal(2, 2, renewal.items)) == ()
    for now, is_member in ((1.9, True), (2.0, False)):
        (report,) = node.on_message(now, peer, SettleQuery(9, 2, ()))
        assert report.message.is_member == is_member


def test_incarnations_do_not_share_numbers() -> None:
    """Guards against a response to a former incarnation that is taken for one's own."""
    numbers = set()
    for incarnation in "ab":
        node = SlotNode(PeerIdentity("vm1", incarnation, "d", "r", "10.0.0.1", 7001))
        node.set_documents({SERVICE: document()})
        node.set_roster(0.0, roster_of(1).with_joined(member(1, incarnation)))
        peer = PeerIdentity("vm0", "a", "d", "r", "10.0.0.1", 7000)
        sent = node.tick(0.0, View({"vm0": Member("vm0", MemberState.UP, peer)}))
        numbers |= {item.message.seq // 1000 for item in sent}
    assert len(numbers) == 2
