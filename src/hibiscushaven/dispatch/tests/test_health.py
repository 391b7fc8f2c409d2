"""Tests of slow, cold and crashed backend servers, of hedges and of load reports."""

from dataclasses import replace

import pytest

from hibiscushaven.bench.shards import LOOKUP, ORDER, make_document
from hibiscushaven.dispatch import DispatchConfig, ResultKind, StartAttempt
from hibiscushaven.dispatch.servers import ServerState
from hibiscushaven.documents import Server

from .driver import Driver, cancels, starts


def _run_mixed(driver, count, slow, request_class=LOOKUP):
    """Run requests one after another; those on slow servers take ten times as long."""
    used = []
    for _ in range(count):
        start = driver.submit(request_class)
        used.append(start.server)
        driver.run(start, 0.2 if start.server in slow else 0.02)
        driver.advance_clock(0.02)
    return used


def test_slow_server_is_ejected_until_it_recovers():
    """Guards against a slow server that keeps its traffic, or gets none after its recovery."""
    driver = Driver(4, 2, DispatchConfig(is_hedging=False))
    _run_mixed(driver, 300, {"s1"})
    assert driver.dispatcher.snapshot(driver.now).ejected_servers == ("s1",)
    assert _run_mixed(driver, 100, {"s1"}).count("s1") <= 3
    for _ in range(600):
        _run_mixed(driver, 1, ())
    assert driver.dispatcher.snapshot(driver.now).ejected_servers == ()


def test_at_most_a_third_of_the_servers_is_ejected():
    """Guards against a shard that ejects most of its servers."""
    driver = Driver(6, 2, DispatchConfig(balancing_policy="round_robin", is_hedging=False))
    _run_mixed(driver, 120, {"s0", "s1", "s2"}, ORDER)
    assert len(driver.dispatcher.snapshot(driver.now).ejected_servers) <= 2


def test_hung_server_is_detected_by_overdue_attempts():
    """Guards against judging a hung server, which completes no attempts, by old latencies."""
    driver = Driver(3, 4, DispatchConfig(is_hedging=False))
    driver.warm_up()
    in_progress = [driver.submit() for _ in range(12)]
    for start in in_progress:
        driver.send(start)
    for start in in_progress:
        if start.server != "s2":
            driver.end(start, after_s=0.002)
    driver.advance_clock(0.3)
    assert driver.dispatcher.snapshot(driver.now).ejected_servers == ("s2",)


def test_hedge_uses_another_server_and_the_slower_attempt_is_cancelled():
    """Guards against latency tails of a slow server, and against both attempts continuing."""
    driver = Driver()
    driver.warm_up()
    first = driver.submit()
    driver.send(first)
    hedge = starts(driver.advance_clock(0.2))[0]
    assert hedge.is_hedge and hedge.server != first.server
    driver.send(hedge)
    assert cancels(driver.end(hedge)) == [first.attempt_id]


@pytest.mark.parametrize(("request_class", "hedge_budget"), [(ORDER, 0.05), (LOOKUP, 0.0)])
def test_no_hedge_without_budget_or_for_orders(request_class, hedge_budget):
    """Guards against hedges of non-idempotent requests, and against exceeding the budget."""
    document = replace(make_document(3, 2), hedge_budget=hedge_budget)
    driver = Driver(document=document)
    driver.warm_up()
    driver.warm_up(request_class=request_class)
    driver.send(driver.submit(request_class))
    assert not starts(driver.advance_clock(0.5))


def test_no_timer_is_left_without_hedging():
    """Guards against a driver that ticks forever for hedge timers that are never handled."""
    driver = Driver(config=DispatchConfig(is_hedging=False))
    driver.warm_up()
    driver.send(driver.submit())
    assert not starts(driver.advance_clock(0.3))
    assert driver.dispatcher.next_due(driver.now) > driver.now


def test_new_server_ramps_up():
    """Guards against a new server that gets its full share immediately with a cold cache.

    The servers of the first document are warm.
    """
    driver = Driver(1, 10)
    old = driver.document.servers[0]
    new = Server("new", old.place, old.address, 10, 800, old.state)
    driver.slots.totals["new"] = 10
    driver.call("set_document", driver.document, (old, new), place_capacity=100)
    used = [driver.submit(ORDER) for _ in range(20)]
    assert sum(start is not None and start.server == "new" for start in used) == 1
    driver.advance_clock(2.6)
    assert driver.dispatcher.snapshot(driver.now).in_progress["new"] == 5


def test_crashed_server_is_skipped_and_restarts_slowly():
    """Guards against new work on a crashed server, and full load on its cold cache later."""
    driver = Driver(2, 10)
    first = driver.submit(ORDER)
    driver.send(first)
    driver.end(first, ResultKind.CRASHED)
    assert first.server not in {driver.submit(ORDER).server for _ in range(8)}
    driver.advance_clock(0.3)
    submitted = [driver.submit(ORDER) for _ in range(6)]
    on_restarted_server = [
        item for item in submitted if item is not None and item.server == first.server
    ]
    assert len(on_restarted_server) == 1
    driver.run(on_restarted_server[0], 0.02)
    snapshot = driver.dispatcher.snapshot(driver.now)
    assert snapshot.in_progress[first.server] <= 1


def test_weight_of_load_reports_decays():
    """Guards against herding: VMs that all follow reports that are seconds old."""
    with_recent_report, with_old_report = Driver(2, 4), Driver(2, 4)
    for driver, age_s in ((with_recent_report, 0.0), (with_old_report, 20.0)):
        driver.call("load_report", "s0", 4, age_s)
    assert with_recent_report.submit().server == "s1"
    assert {with_old_report.submit().server, with_old_report.submit().server} == {"s0", "s1"}
    reported = Driver(2, 4, DispatchConfig(balancing_policy="least_reported"))
    reported.call("load_report", "s0", 4, 20.0)
    assert {reported.submit().server for _ in range(3)} == {"s1"}


def test_backoff_of_a_dead_server_grows():
    """Guards against a connection attempt per request while a server is down."""
    state = ServerState(make_document(1, 1).servers[0])
    pauses = []
    for _ in range(8):
        state.mark_down(0.0)
        pauses.append(state.down_until)
    assert pauses[0] < pauses[1] < pauses[2] and pauses[-1] <= 5.0


def test_pause_of_a_refusing_server_grows_until_it_responds():
    """Guards against retry budgets spent on a server that drains without being marked."""
    state = ServerState(make_document(1, 1).servers[0])
    pauses = []
    for _ in range(8):
        state.record_refusal(0.0)
        pauses.append(state.paused_until)
    assert pauses[0] < pauses[1] < pauses[2] and pauses[-1] == 2.0
    state.record_response(0.0)
    state.record_refusal(2.0)
    assert state.paused_until == 2.0 + pauses[0]


def test_retry_avoids_a_refusing_server():
    """Guards against more load on a server that refuses requests."""
    driver = Driver(2, 4)
    first = driver.submit()
    driver.send(first)
    driver.end(first, ResultKind.REFUSED)
    results = [driver.submit() for _ in range(3)]
    assert all(isinstance(item, StartAttempt) for item in results)
    assert first.server not in {item.server for item in results}
