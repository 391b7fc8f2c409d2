"""Tests of the quarantine of requests that crash backend servers."""

from hibiscushaven.bench.shards import ORDER
from hibiscushaven.dispatch import CrashLedger, Outcome, RefusalReason, ResultKind
from hibiscushaven.quarantine.crashes import MAX_FINGERPRINTS

from .driver import Driver, refusals, starts


def _crash(driver, *affected):
    """Report a crash of a server for the attempts that were in progress on it."""
    actions = []
    for start in affected:
        actions += driver.end(start, ResultKind.CRASHED, after_s=0.001)
    return actions


def test_second_crash_on_another_server_quarantines():
    """Guards against a request that crashes one backend server after another."""
    driver = Driver(4, 2)
    first = driver.submit(fingerprint="poison")
    driver.send(first)
    second = starts(_crash(driver, first))[0]
    driver.send(second)
    refusal = refusals(_crash(driver, second))[0]
    assert (refusal.reason, refusal.outcome) == (RefusalReason.QUARANTINED, Outcome.UNKNOWN)
    refused = driver.submit(fingerprint="poison")
    assert (refused.reason, refused.outcome) == (RefusalReason.QUARANTINED, Outcome.NOT_RUN)
    assert refused.retry_after_s > 500
    driver.now += 601
    assert driver.submit(fingerprint="poison").server


def test_request_beside_a_crashing_one_is_not_quarantined():
    """Guards against quarantine of a request that ran beside a crashing one or its retry."""
    driver = Driver(4, 4)
    fingerprints = ("poison", "neighbour")
    while True:
        pair = [driver.submit(ORDER, fingerprint=name) for name in fingerprints]
        if pair[0].server == pair[1].server:
            break
        for start in pair:
            driver.run(start, 0.02)
    for start in pair:
        driver.send(start)
    _crash(driver, *pair)
    retries = [driver.submit(fingerprint=name) for name in fingerprints]
    assert retries[0].server != retries[1].server
    for start in retries:
        driver.send(start)
    _crash(driver, retries[0])
    assert driver.dispatcher.crashes.is_quarantined(driver.now, "poison")
    assert not driver.dispatcher.crashes.is_quarantined(driver.now, "neighbour")


def test_unwritten_request_is_not_suspected():
    """Guards against suspecting a request that was assigned to a crashed server but not sent."""
    driver = Driver(1, 2)
    written, unwritten = (driver.submit(fingerprint=name) for name in ("sent", "unsent"))
    driver.send(written)
    _crash(driver, written)
    ledger = driver.dispatcher.crashes
    assert ledger.is_suspect(driver.now, "sent") and not ledger.is_suspect(driver.now, "unsent")
    assert unwritten.server == written.server


def test_one_copy_of_a_suspect_at_a_time():
    """Guards against copies of a suspect that crash several servers at the same time."""
    driver = Driver(4, 2)
    first = driver.submit(ORDER, fingerprint="poison")
    driver.send(first)
    _crash(driver, first)
    copies = [driver.submit(ORDER, fingerprint="poison") for _ in range(3)]
    assert [item is not None for item in copies] == [True, False, False]
    many = [driver.submit(ORDER, fingerprint="poison") for _ in range(5)]
    assert many[-1].reason is RefusalReason.SUSPECT_BUSY
    following = starts(driver.run(copies[0], 0.02))
    assert len(following) == 4  # the response cleared the suspicion


def test_suspect_is_sent_on_a_new_connection():
    """Guards against a kept connection of a dead server, whose loss counts as a second crash."""
    driver = Driver(4, 2)
    first = driver.submit(ORDER, fingerprint="innocent")
    driver.send(first)
    _crash(driver, first)
    assert not first.use_new_connection
    assert driver.submit(fingerprint="innocent").use_new_connection


def test_suspects_do_not_share_a_server():
    """Guards against two suspects on one server, whose crash would quarantine both."""
    driver = Driver(3, 4)
    driver.dispatcher.crashes.record(driver.now, "gone", dict.fromkeys("abcd", driver.now))
    results = [driver.submit(ORDER, fingerprint=name) for name in "abcd"]
    assert {item.server for item in results[:3]} == {"s0", "s1", "s2"} and results[3] is None


def test_same_server_or_same_moment_is_one_crash():
    """Guards against quarantine after repeated crashes of one server, or a failure of a rack."""
    ledger = CrashLedger()
    ledger.record(1.0, "a", {"x": 1.0})
    ledger.record(2.0, "a", {"x": 2.0})
    ledger.record(1.0, "a", {"y": 0.5})
    ledger.record(1.0, "b", {"y": 0.5})
    assert not ledger.is_quarantined(2.0, "x") and not ledger.is_quarantined(2.0, "y")


def test_ledger_is_bounded_and_keeps_quarantines():
    """Guards against memory growth, and against many new suspects evicting a quarantine."""
    ledger = CrashLedger()
    ledger.record(1.0, "a", {"poison": 1.0})
    ledger.record(2.0, "b", {"poison": 2.0})
    for number in range(MAX_FINGERPRINTS + 200):
        ledger.record(3.0, "c", {f"f{number}": 3.0})
    assert len(ledger) == MAX_FINGERPRINTS and ledger.is_quarantined(3.0, "poison")


def test_merged_quarantines_are_not_exported_again():
    """Guards against endless quarantines that failure domains keep exporting to each other."""
    here, there = CrashLedger(), CrashLedger()
    here.record(1.0, "a", {"poison": 1.0})
    here.record(2.0, "b", {"poison": 2.0})
    there.merge(50.0, here.export(2.0))
    assert there.is_quarantined(649.0, "poison") and not there.is_quarantined(651.0, "poison")
    assert there.export(51.0) == {}


def test_one_event_that_ends_both_attempts_of_a_hedge_is_one_crash() -> None:
    """Guards against quarantine of a hedged request when one event takes down both servers."""
    ledger = CrashLedger()
    ledger.record(1.0, "a", {"hedged": 0.8})
    ledger.record(1.001, "b", {"hedged": 0.9})
    assert not ledger.is_quarantined(1.1, "hedged")
    ledger.record(3.0, "c", {"hedged": 2.0})
    assert ledger.is_quarantined(3.1, "hedged")
