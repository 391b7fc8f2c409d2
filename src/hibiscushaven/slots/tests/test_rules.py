"""Tests of the lender, borrower, fence, settlement and inventory without a network."""

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
        roster = roster.with_member(member(number))
    return roster


def grant(
    lender: Lender, now: float, borrower_name: str, seq: int, ack: int, **fields
) -> AnswerItem | None:
    item = RenewalItem(SERVICE, ack, fields.pop("is_needed", True), fields.get("retained", {}))
    return lender.renew(now, borrower_name, seq, item, 5.0, lambda pool: 3)


def lender_of(count: int = 3) -> Lender:
    lender = Lender()
    lender.set_owned({POOL: count})
    return lender


def test_lender_waits_for_loan_term_and_deadline() -> None:
    """Guards against lending a token again while a request under the old loan may be running."""
    lender = lender_of()
    assert grant(lender, 0.0, "x", 1, 0).granted == {POOL: 3}
    assert grant(lender, 7.4, "y", 1, 0).granted == {}
    answer = grant(lender, 7.6, "y", 2, 0)
    assert grant(lender, 7.7, "y", 3, answer.version).granted == {POOL: 3}


def test_returned_tokens_are_free_only_after_the_grant_was_acknowledged() -> None:
    """Guards against tokens freed by a renewal that was sent before their grant arrived."""
    lender = lender_of()
    version = grant(lender, 0.0, "x", 1, 0).version
    grant(lender, 0.1, "x", 2, version - 1, retained={POOL: 0}, is_needed=False)
    assert lender.unallocated(POOL) == 0
    grant(lender, 0.2, "x", 3, version, retained={POOL: 1}, is_needed=False)
    assert lender.unallocated(POOL) == 2


def test_lender_reduces_grants_when_it_has_fewer_tokens() -> None:
    """Guards against a lender that goes on lending tokens that moved to another home."""
    lender = lender_of()
    version = grant(lender, 0.0, "x", 1, 0).version
    lender.set_owned({POOL: 1})
    assert not lender.is_within_owned
    answer = grant(lender, 0.4, "x", 2, version)
    assert answer.granted == {POOL: 1}
    grant(lender, 0.5, "x", 3, answer.version, retained={POOL: 2})
    assert not lender.is_within_owned
    grant(lender, 0.6, "x", 4, answer.version)
    assert lender.is_within_owned


def borrowed(count: int = 2) -> tuple[ServiceSlots, Borrower]:
    slots = ServiceSlots(SERVICE, ("x", "x"))
    slots.borrower.renewal_item(0.0, "l", 1, SERVICE, True)
    slots.borrower.on_answer("l", 1, AnswerItem(SERVICE, 1, True, 5000, {POOL: count}))
    return slots, slots.borrower


def test_loan_term_starts_with_the_renewal_and_limits_deadlines() -> None:
    """Guards against a loan that expires after the lender's account of it.

    Also guards against requests that end after the lender has stopped waiting for them.
    """
    slots, borrower = borrowed()
    assert borrower.free_count(1.99, POOL) == 2
    assert borrower.free_count(2.0, POOL) == 0
    assert slots.acquire(1.0, (POOL,), 7.1, None) is None
    assert slots.acquire(1.0, (POOL,), 7.0, None) is not None


def test_owner_applies_reduced_slots_before_its_lenders_do() -> None:
    """Guards against exceeding reduced slots while lenders still lend by the old document."""
    slots, _ = borrowed(4)
    assert slots.available(0.1, POOL, 2, True) == 2
    slots.acquire(0.1, (POOL,), 2.0, None)
    assert slots.available(0.1, POOL, 2, True) == 1


def test_returned_tokens_need_a_newer_grant() -> None:
    """Guards against a delayed response that makes returned tokens usable again."""
    _, borrower = borrowed()
    borrower.renewal_item(0.4, "l", 2, SERVICE, True)
    borrower.return_unused()
    assert borrower.renewal_item(0.5, "l", 3, SERVICE, False).retained == {POOL: 0}
    borrower.on_answer("l", 2, AnswerItem(SERVICE, 1, True, 5000, None))
    assert borrower.free_count(0.6, POOL) == 0
    borrower.on_answer("l", 3, AnswerItem(SERVICE, 2, True, 5000, {POOL: 1}))
    borrower.on_answer("l", 1, AnswerItem(SERVICE, 1, True, 5000, {POOL: 2}))
    assert borrower.free_count(0.6, POOL) == 1


def test_token_of_a_lapsed_loan_is_void_after_its_renewal() -> None:
    """Guards against starting a request with a token of a loan that lapsed and was renewed."""
    slots, borrower = borrowed()
    token = Token(1, SERVICE, "s0", 30.0, slots.acquire(0.1, (POOL,), 6.0, None))
    borrower.renewal_item(20.0, "l", 2, SERVICE, True)
    borrower.on_answer("l", 2, AnswerItem(SERVICE, 2, True, 50_000, {POOL: 2}))
    assert min(slots.expiries(token, 0, 0.0)) < 20.0
    assert borrower.free_count(20.0, POOL) == 1


def test_fence_after_a_pause() -> None:
    """Guards against using home tokens after a successor may have replaced this VM."""
    fence = Fence()
    fence.tick(0.0)
    fence.tick(1.9)
    assert fence.is_valid(3.0)
    fence.tick(10.0)
    assert not fence.is_valid(10.0)
    fence.confirm(requested_at=9.0)
    assert not fence.is_valid(10.1), "confirmed by the response to a query from before the pause"
    fence.confirm(requested_at=10.1)
    assert fence.is_valid(10.2)
    assert fence.epoch == 1


def settled(item: Settlement, now: float, count: int = 40) -> int:
    item.advance(now, 10.0)
    return item.settled_count(now, 10.0, POOL, count)


def test_new_home_waits_for_the_report_of_the_previous_home() -> None:
    """Guards against a token used by its new home and by its previous home.

    The previous home may not have read the new roster yet.
    """
    roster = roster_of(3)
    item = Settlement(SERVICE, member(2).key)
    item.adopt(0.0, roster)
    assert settled(item, 99.0) == 0
    assert {peer.vm for peer in item.awaited} == {"vm0", "vm1"}
    item.on_report(member(0).key, 3, 3)
    item.on_report(member(1).key, 2, 3)
    homes = token_homes(roster, SERVICE, POOL, 40)
    before = token_homes(roster.at_version(2), SERVICE, POOL, 40)
    from_first = sum(new == "vm2" and old == "vm0" for new, old in zip(homes, before, strict=True))
    assert 0 < settled(item, 99.0) == from_first
    item.on_report(member(1).key, 3, 3)
    assert settled(item, 99.0) == homes.count("vm2")


def test_home_reports_a_version_only_after_its_tokens_were_settled() -> None:
    """Guards against a home that reports tokens as released which its predecessor still uses."""
    middle = Settlement(SERVICE, member(1).key)
    middle.adopt(0.0, roster_of(2))
    middle.advance(0.0, 10.0)
    middle.adopt(1.0, roster_of(3))
    middle.advance(1.0, 10.0)
    assert middle.report(is_within_owned=True) == (2, 3)
    middle.on_report(member(0).key, 2, 3)
    middle.advance(1.0, 10.0)
    assert middle.report(is_within_owned=False)[0] == 2
    assert middle.report(is_within_owned=True) == (3, 3)


def test_new_home_waits_unless_the_previous_one_left_gracefully() -> None:
    """Guards against using tokens of a crashed VM while its requests are running."""
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
    replaced.adopt(5.0, roster_of(1).with_member(member(0, "b")))
    assert (settled(replaced, 14.9), settled(replaced, 15.0)) == (0, 40)


def test_missed_versions_require_reports_of_all_members() -> None:
    """Guards against ignoring a home that was a member only in missed roster versions."""
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


def test_server_from_another_failure_domain_is_held_back() -> None:
    """Guards against slots used by two failure domains while a document is propagated."""
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


def test_single_vm_applies_documents() -> None:
    """Guards against exceeding new limits and against requests to leaving or removed servers."""
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


def test_loan_is_closed_after_the_lender_answered_its_return() -> None:
    """Guards against a former owner that stops before the lender received its last tokens."""
    slots, borrower = borrowed()
    sources = slots.acquire(0.1, (POOL,), 2.0, None)
    borrower.renewal_item(0.4, "l", 2, SERVICE, False)
    borrower.on_answer("l", 2, AnswerItem(SERVICE, 2, False, 5000, {}))
    slots.release(sources)
    borrower.renewal_item(0.8, "l", 3, SERVICE, False)
    assert not borrower.is_idle
    borrower.on_answer("l", 3, AnswerItem(SERVICE, 2, False, 5000, None))
    assert borrower.is_idle


def test_unchanged_grant_is_not_repeated() -> None:
    """Guards against responses that repeat the whole grant for every renewal."""
    lender = lender_of()
    version = grant(lender, 0.0, "x", 1, 0).version
    assert grant(lender, 0.4, "x", 2, version).granted is None


def test_tokens_wait_after_all_members_were_removed() -> None:
    """Guards against using tokens of the last member while its requests are running."""
    roster = roster_of(1).without((member(0),), is_graceful=False).with_member(member(1))
    item = Settlement(SERVICE, member(1).key)
    item.adopt(5.0, roster)
    assert (settled(item, 14.9), settled(item, 15.0)) == (0, 40)


def test_fenced_home_neither_lends_nor_confirms_members() -> None:
    """Guards against a paused home that lends tokens that its successor may already lend."""
    node, _ = single_node()
    node.set_roster(0.0, roster_of(2))
    peer = PeerIdentity("vm1", "a", "d", "r", "10.0.0.1", 7001)
    renewal = LoanRenewal(1, 2, (RenewalItem(SERVICE, 0, True, {}).packed,))
    assert len(node.on_message(1.9, peer, renewal)) == 1
    assert node.on_message(2.0, peer, LoanRenewal(2, 2, renewal.items)) == ()
    for now, is_member in ((1.9, True), (2.0, False)):
        (report,) = node.on_message(now, peer, SettleQuery(9, 2, ()))
        assert report.message.is_member == is_member


def test_incarnations_use_different_message_numbers() -> None:
    """Guards against accepting a response to a request of a former incarnation."""
    numbers = set()
    for incarnation in "ab":
        node = SlotNode(PeerIdentity("vm1", incarnation, "d", "r", "10.0.0.1", 7001))
        node.set_documents({SERVICE: document()})
        node.set_roster(0.0, roster_of(1).with_member(member(1, incarnation)))
        peer = PeerIdentity("vm0", "a", "d", "r", "10.0.0.1", 7000)
        sent = node.tick(0.0, View({"vm0": Member("vm0", MemberState.UP, peer)}))
        numbers |= {item.message.seq // 1000 for item in sent}
    assert len(numbers) == 2
