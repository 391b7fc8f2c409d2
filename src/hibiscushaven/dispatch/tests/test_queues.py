"""Tests of the order, the limits and the refusals of queued work."""

from dataclasses import replace

import pytest

from hibiscushaven.bench.shards import LOOKUP, MANIFEST, make_document
from hibiscushaven.dispatch import DispatchConfig, Outcome, RefusalReason, StartAttempt

from .driver import Driver, refusals, starts, with_priority


def _driver_with_one_busy_slot(queue="class_shares", classes=(LOOKUP, MANIFEST)):
    driver = Driver(
        config=DispatchConfig(queue_policy=queue), document=make_document(1, 1, classes)
    )
    driver.warm_up()
    return driver, driver.submit(id="running")


def _start_order(driver, running, count):
    order = []
    for _ in range(count):
        running = starts(driver.run(running, 0.02))[0]
        order.append(running.work_id)
    return order


@pytest.mark.parametrize(
    ("queue", "expected"), [("fifo", ["late", "soon"]), ("deadline", ["soon", "late"])]
)
def test_baseline_queues_keep_their_order(queue, expected):
    """Guards against baseline policies without the order that benchmarks compare with."""
    driver, running = _driver_with_one_busy_slot(queue)
    driver.submit(id="late", deadline_s=0.9)
    driver.submit(id="soon", deadline_s=0.5)
    assert _start_order(driver, running, 2) == expected


def test_flooding_caller_does_not_delay_another():
    """Guards against a burst of one caller that delays all other callers."""
    driver, running = _driver_with_one_busy_slot()
    for _ in range(20):
        driver.submit(caller="flood")
    driver.submit(id="other", caller="quiet")
    assert "other" in _start_order(driver, running, 2)


def test_callers_share_by_weight_and_tenants_equally():
    """Guards against ignored shares, and against more service for tenants with more callers."""
    driver, running = _driver_with_one_busy_slot()
    for number in range(12):
        driver.submit(id=f"a{number}", tenant="x", caller="a", caller_share=3.0)
        driver.submit(id=f"b{number}", tenant="x", caller="b", caller_share=1.0)
        driver.submit(id=f"c{number}", tenant="y", caller="c", caller_share=1.0)
    served = "".join(name[0] for name in _start_order(driver, running, 16))
    counts = [served.count(letter) for letter in "abc"]
    assert abs(counts[0] - 6) <= 1 and abs(counts[1] - 2) <= 1 and abs(counts[2] - 8) <= 1


def test_lower_priority_is_refused_first():
    """Guards against refusing work of high priority while work of low priority waits."""
    low, high = with_priority(LOOKUP, 1), with_priority(LOOKUP, 8)
    driver, _ = _driver_with_one_busy_slot(classes=(LOOKUP, low, high))
    waiting = [driver.submit(low, id=f"low{number}") for number in range(10)]
    assert waiting == [None] * 10
    accepted = [driver.submit(high) for _ in range(15)]
    assert accepted == [None] * 15
    refused = [action.work_id for action in refusals(driver.advance_clock(0.06))]
    assert len(refused) >= 8 and all(name.startswith("low") for name in refused)


def test_work_that_cannot_meet_its_deadline_is_refused():
    """Guards against queueing work that cannot finish before its deadline."""
    driver, _ = _driver_with_one_busy_slot()
    results = [driver.submit(deadline_s=0.2) for _ in range(12)]
    refused = [item for item in results if item is not None]
    assert 2 <= len(results) - len(refused) <= 9
    assert {item.reason for item in refused} == {RefusalReason.QUEUE_TOO_LONG}
    assert {item.outcome for item in refused} == {Outcome.NOT_RUN}
    assert len({item.retry_after_s for item in refused}) > 1


def test_work_is_refused_when_servers_are_removed():
    """Guards against work that stays queued although too few backend servers remain."""
    driver = Driver(3, 1)
    driver.warm_up()
    for _ in range(3 + 15):
        driver.submit(deadline_s=0.2)
    actions = driver.call("set_document", driver.document, driver.document.servers[:1])
    assert 3 <= len(refusals(actions)) < 15


def test_expired_work_is_never_started():
    """Guards against a start after the deadline, when no event arrived for a long time."""
    driver, running = _driver_with_one_busy_slot()
    driver.submit(id="waiting", deadline_s=0.3)
    actions = driver.run(running, 5.0)
    assert not starts(actions)
    assert [action.work_id for action in refusals(actions)] == ["waiting"]


def test_long_work_leaves_slots_for_short_work():
    """Guards against short work that waits for long work, in the shard or on one server."""
    driver = Driver(4, 4)
    driver.warm_up()
    for _ in range(16):
        driver.submit(MANIFEST)
    running = driver.dispatcher.snapshot(driver.now).in_progress
    assert sum(running.values()) <= 12 and max(running.values()) <= 3
    assert all(isinstance(driver.submit(), StartAttempt) for _ in range(4))
    ten_slots_each = Driver(2, 10)
    ten_slots_each.submit()
    results = [ten_slots_each.submit(MANIFEST) for _ in range(20)]
    assert sum(isinstance(item, StartAttempt) for item in results) == 15


def test_long_work_uses_idle_slots_without_short_work():
    """Guards against slots reserved for short work that does not arrive."""
    driver = Driver(4, 4)
    results = [driver.submit(MANIFEST) for _ in range(16)]
    assert sum(isinstance(item, StartAttempt) for item in results) == 12
    without_short_classes = Driver(document=make_document(4, 4, (MANIFEST,)))
    assert all(isinstance(without_short_classes.submit(MANIFEST), StartAttempt) for _ in range(16))


def test_overlong_request_of_short_class_counts_as_long():
    """Guards against long requests of a short class that occupy all slots of the shard."""
    driver = Driver(2, 2)
    driver.warm_up()
    manifest = driver.submit(path="/items/all")
    driver.send(manifest)
    driver.advance_clock(0.9)
    assert driver.dispatcher.snapshot(driver.now).in_progress[manifest.server] == 1
    driver.submit(path="/items/all")
    driver.submit(path="/items/all")
    queued = driver.dispatcher.snapshot(driver.now).queued
    assert queued["long"] >= 1 and isinstance(driver.submit(), StartAttempt)


def test_relayed_work_waits_behind_local_work():
    """Guards against work relayed by another failure domain that displaces local work."""
    driver, running = _driver_with_one_busy_slot()
    driver.submit(id="foreign", is_foreign=True)
    driver.submit(id="own")
    assert _start_order(driver, running, 2) == ["own", "foreign"]
    driver.call("set_foreign_limit", 0)
    assert driver.submit(is_foreign=True).reason is RefusalReason.FOREIGN_LIMIT


def test_place_capacity_limits_its_servers():
    """Guards against exceeding the capacity of a place with more slots than capacity."""
    document = make_document(3, 2)
    document = replace(document, places=(replace(document.places[0], capacity=4),))
    driver = Driver(document=document)
    results = [driver.submit() for _ in range(6)]
    assert sum(isinstance(item, StartAttempt) for item in results) == 4
