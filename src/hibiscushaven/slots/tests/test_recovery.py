"""Tests of the time until tokens are free again after a crash of their borrower."""

import pytest

from hibiscushaven.slots.borrower import Borrower
from hibiscushaven.slots.homes import PLACE_POOL
from hibiscushaven.slots.lender import Lender
from hibiscushaven.slots.messages import AnswerItem, RenewalItem

from .simulation import RECOVERY_S, SERVICE, TICK_S, World

POOL = "10.9.0.1:80"
HOLD_S, SHORT_S = 60.0, 5.0


def renew(lender: Lender, now: float, borrower_name: str, seq: int, ack: int, **long: int):
    item = RenewalItem(SERVICE, ack, True, {}, {POOL: long["long"]} if long else {})
    return lender.renew(now, borrower_name, seq, item, HOLD_S, lambda pool: 3, SHORT_S)


def lender_of() -> Lender:
    lender = Lender()
    lender.set_owned({POOL: 3})
    return lender


def test_tokens_for_short_work_are_freed_before_those_for_long_work() -> None:
    """Guards against unused tokens held back for the longest deadline.

    Also guards against lending tokens for long work again before that deadline.
    """
    lender = lender_of()
    renew(lender, 0.0, "x", 1, 0, long=1)
    lender.expire(7.4)
    assert lender.lent(POOL) == 3
    lender.expire(7.5)
    assert lender.lent(POOL) == 1
    lender.expire(62.4)
    assert lender.lent(POOL) == 1
    lender.expire(62.5)
    assert lender.lent(POOL) == 0


def test_returning_borrower_gets_a_new_grant_of_the_remaining_tokens() -> None:
    """Guards against renewing an old grant after its tokens were lent to another borrower."""
    lender = lender_of()
    old = renew(lender, 0.0, "x", 1, 0, long=1)
    answer = renew(lender, 8.0, "y", 1, 0)
    assert answer.granted == {POOL: 2}
    answer = renew(lender, 8.1, "x", 2, old.version)
    assert (answer.version > old.version, answer.granted) == (True, {POOL: 1})
    assert lender.lent(POOL) == 3


def test_returned_long_tokens_count_only_after_the_grant_was_acknowledged() -> None:
    """Guards against a shorter wait due to a renewal sent before the long grant arrived."""
    lender = lender_of()
    version = renew(lender, 0.0, "x", 1, 0, long=2).version
    renew(lender, 0.1, "x", 2, version - 1, long=0)
    lender.expire(8.0)
    assert lender.lent(POOL) == 2
    lender = lender_of()
    version = renew(lender, 0.0, "x", 1, 0, long=2).version
    renew(lender, 0.1, "x", 2, version, long=0)
    lender.expire(8.0)
    assert lender.lent(POOL) == 0


def borrower_of(long: int) -> Borrower:
    borrower = Borrower()
    borrower.renewal_item(0.0, "l", 1, SERVICE, True)
    item = AnswerItem(SERVICE, 1, True, 60_000, {POOL: 3}, {POOL: long} if long else {}, 5000)
    borrower.on_answer("l", 1, item)
    return borrower


def test_long_work_requires_and_requests_a_token_for_long_work() -> None:
    """Guards against long work with a token for short work, and long work that never starts."""
    borrower = borrower_of(0)
    assert borrower.acquire(0.1, POOL, 30.0) is None
    assert borrower.acquire(0.1, POOL, 7.1) is None
    assert borrower.acquire(0.1, POOL, 7.0) == ("l", False)
    assert borrower.renewal_item(0.1, "l", 2, SERVICE, True).long == {}
    borrower.record_shortage(0.1, POOL, 30.0)
    assert borrower.renewal_item(0.1, "l", 2, SERVICE, True).long == {POOL: 1}
    borrower = borrower_of(1)
    assert borrower.acquire(0.1, POOL, 30.0) == ("l", True)
    assert borrower.acquire(0.1, POOL, 30.0) is None
    assert borrower.free_count(0.1, POOL) == 2


def test_long_tokens_are_returned_without_demand() -> None:
    """Guards against tokens that stay reserved for long work after a single download."""
    borrower = borrower_of(2)
    assert borrower.acquire(0.1, POOL, 30.0) == ("l", True)
    assert borrower.renewal_item(0.2, "l", 2, SERVICE, True).long == {}
    borrower.release("l", POOL, True)
    assert borrower.renewal_item(20.0, "l", 3, SERVICE, True).long == {POOL: 0}
    assert borrower.acquire(1.0, POOL, 30.0) is None, "a returned token"


@pytest.mark.parametrize("seed", range(12))
def test_short_work_has_tokens_soon_after_a_crash(seed: int) -> None:
    """Guards against a place without requests for the longest deadline after an owner crash."""
    world = World(seed, load=0.0, longest_s=60.0, size=2 + seed % 3)
    world.run(4.0)
    (owner,) = world.owners()
    for step in range(4):
        now = owner.now(world)
        if step < seed % 4 + 1:
            owner.slots.acquire(now, SERVICE, "s0", now + 60.0)
            owner.slots.acquire(now, SERVICE, "s0", now + 60.0)
        world.run(world.now + 2 * TICK_S)
    loans = owner.slots._services[SERVICE].borrower.loans
    long_limits = {key: dict(loan.limit_long) for key, loan in loans.items()}
    world.crash(owner.identity.vm)
    world.run(world.now + RECOVERY_S)
    world.check_accounts()
    (new_owner,) = world.owners()
    lenders = {vm.identity.incarnation: vm.slots._services[SERVICE].lender for vm in world.live()}
    for pool in (POOL, "10.9.0.2:80", PLACE_POOL):
        home_tokens = sum(item.owned.get(pool, 0) for item in lenders.values())
        long = sum(long_limits[key].get(pool, 0) for key in lenders if key in long_limits)
        available = new_owner.slots._services[SERVICE].available(
            new_owner.now(world), pool, 8, True
        )
        assert available == home_tokens - long, pool


def test_long_work_gets_borrowed_tokens_within_a_tick() -> None:
    """Guards against long work that waits although borrowed tokens are free."""
    world = World(1, load=0.0, longest_s=60.0, size=2)
    world.run(4.0)
    (owner,) = world.owners()
    acquired = 0
    for _ in range(8):
        now = owner.now(world)
        while owner.slots.acquire(now, SERVICE, "s0", now + 60.0):
            acquired += 1
        world.run(world.now + 2 * TICK_S)
    assert acquired == 4
