"""Tests of attempts: retries, tokens, outcomes and cancellations."""

from dataclasses import replace

import pytest

from hibiscushaven.bench.shards import LOOKUP, MANIFEST, ORDER
from hibiscushaven.dispatch import (
    CancelReason,
    DispatchConfig,
    DuplicateWorkError,
    Outcome,
    RefusalReason,
    ResultKind,
    StartAttempt,
)
from hibiscushaven.documents import AdminState

from .driver import Driver, cancels, finishes, refusals, starts


@pytest.mark.parametrize("kind", [ResultKind.FAILED, ResultKind.WRONG_ID, ResultKind.TRUNCATED])
def test_idempotent_work_is_retried_elsewhere(kind):
    """Guards against a retry on the same server, or on a pooled connection that may be dead."""
    driver = Driver()
    first = driver.submit()
    driver.send(first)
    retry = starts(driver.end(first, kind))[0]
    assert retry.server != first.server and retry.use_new_connection and not retry.is_hedge


@pytest.mark.parametrize("kind", [ResultKind.FAILED, ResultKind.TIMED_OUT, ResultKind.CRASHED])
def test_non_idempotent_work_is_not_resent(kind):
    """Guards against a non-idempotent request that runs twice."""
    driver = Driver()
    first = driver.submit(ORDER)
    driver.send(first)
    actions = driver.end(first, kind)
    assert not starts(actions) and refusals(actions)[0].outcome is Outcome.UNKNOWN


def test_refused_non_idempotent_work_is_retried():
    """Guards against failing a request that a backend server refused without running it."""
    driver = Driver(servers=2)
    first = driver.submit(ORDER)
    driver.send(first)
    second = starts(driver.end(first, ResultKind.REFUSED))[0]
    driver.send(second)
    actions = driver.end(second, ResultKind.REFUSED)
    assert refusals(actions)[0].outcome is Outcome.NOT_RUN


def test_retries_stay_within_the_budget_of_the_tenant():
    """Guards against a retry storm that doubles the load of a failing service."""
    driver = Driver(4, 4)
    count = 0
    for _ in range(100):
        start = driver.submit(tenant="failing")
        while isinstance(start, StartAttempt):
            driver.send(start)
            retries = starts(driver.end(start, ResultKind.TRUNCATED, after_s=0.05))
            count += len(retries)
            start = retries[0] if retries else None
    assert 5 <= count <= 13
    reasons = {action.reason for action in refusals(driver.actions)}
    assert RefusalReason.RETRY_BUDGET in reasons


def test_streaming_response_is_not_retried_unless_resumable():
    """Guards against a second response appended to the first part of another one."""
    driver = Driver()
    not_resumable, resumable = driver.submit(), driver.submit()
    for start, is_resumable in ((not_resumable, False), (resumable, True)):
        driver.send(start)
        driver.call("attempt_response_started", start.attempt_id, is_resumable=is_resumable)
    assert [action.work_id for action in finishes(driver.actions)] == [not_resumable.work_id]
    assert not starts(driver.end(not_resumable, ResultKind.TRUNCATED))
    assert len(starts(driver.end(resumable, ResultKind.TRUNCATED))) == 1


def test_lost_token_stops_the_attempt_before_it_is_written():
    """Guards against exceeding the slots when the loan of a token expires during a pause."""
    driver = Driver()
    first = driver.submit(ORDER)
    first.token.is_revoked = True
    assert cancels(driver.send(first)) == [first.attempt_id]
    retry = starts(driver.end(first, ResultKind.CANCELLED))[0]
    driver.run(retry, 0.02)
    assert len(finishes(driver.actions)) == 1 and not any(driver.slots.in_use.values())


def test_slot_stays_in_use_while_the_server_may_still_run():
    """Guards against reuse of a slot while the server still runs a request that timed out."""
    driver = Driver(1, 1)
    first = driver.submit(ORDER, deadline_s=2.0)
    driver.send(first)
    driver.end(first, ResultKind.TIMED_OUT, after_s=0.5)
    assert driver.slots.in_use[first.server] == 1
    driver.advance_clock(1.6)
    assert driver.slots.in_use[first.server] == 0
    second = driver.submit(ORDER)
    driver.end(second, ResultKind.TIMED_OUT, is_confirmed_stopped=True)
    assert driver.slots.in_use[second.server] == 0


def test_late_and_repeated_results_are_ignored():
    """Guards against releasing a token twice, or delivering a response to an ended request."""
    driver = Driver()
    first = driver.submit()
    driver.run(first, 0.02)
    assert driver.end(first) == [] and driver.end(first, ResultKind.CRASHED) == []


def test_outcome_of_cancelled_work_is_unknown_only_if_written():
    """Guards against the outcome "not run" for a request that was already written."""
    driver = Driver()
    unwritten, written = driver.submit(ORDER), driver.submit(ORDER)
    driver.send(written)
    outcomes = []
    for start in (unwritten, written):
        actions = driver.call("cancel", start.work_id)
        assert cancels(actions) == [start.attempt_id]
        outcomes.append(refusals(actions)[0].outcome)
    assert outcomes == [Outcome.NOT_RUN, Outcome.UNKNOWN]
    stopped = driver.send(unwritten)
    assert stopped[0].reason is CancelReason.CALLER_GONE


def test_deadline_ends_work_in_progress():
    """Guards against callers that wait for an attempt beyond the deadline."""
    driver = Driver()
    start = driver.submit(deadline_s=0.2)
    driver.send(start)
    actions = driver.advance_clock(0.3)
    assert cancels(actions) == [start.attempt_id]
    assert refusals(actions)[0].outcome is Outcome.UNKNOWN


def test_leaving_server_gets_no_new_work():
    """Guards against new work on a leaving server, and against cancelling its attempts."""
    driver = Driver(2, 3)
    first = driver.submit()
    kept = tuple(item for item in driver.document.servers if item.name != first.server)
    actions = driver.call("set_document", driver.document, kept)
    assert not cancels(actions)
    assert {driver.submit().server for _ in range(3)} == {kept[0].name}
    assert driver.dispatcher.snapshot(driver.now).in_progress[first.server] == 1
    assert finishes(driver.run(first, 0.02))


def test_leaving_place_gets_no_new_work():
    """Guards against new or queued work in a place that is marked as leaving."""
    driver = Driver(1, 1)
    driver.submit()
    place = replace(driver.document.places[0], state=AdminState.LEAVING)
    driver.submit(id="waiting")
    leaving = replace(driver.document, places=(place,))
    actions = driver.call("set_document", leaving, leaving.servers)
    assert [action.work_id for action in refusals(actions)] == ["waiting"]
    refused = driver.submit()
    assert (refused.reason, refused.outcome) == (RefusalReason.NO_SERVER, Outcome.NOT_RUN)


def test_server_without_tokens_does_not_block_others():
    """Guards against a queue blocked by a server whose tokens were just withdrawn."""
    driver = Driver(2, 2, DispatchConfig(balancing_policy="least_loaded"))
    acquire = driver.slots.acquire
    driver.slots.acquire = lambda now, service, server, deadline: (
        None if server == "s0" else acquire(now, service, server, deadline)
    )
    assert [driver.submit().server for _ in range(2)] == ["s1", "s1"]


def test_long_work_without_tokens_does_not_block_short_work():
    """Guards against faults when no token can be acquired for long work.

    Short work must not wait behind it, it must start once tokens are available, and the
    dispatcher must not retry the acquisition in a busy loop.
    """
    driver = Driver(3, 4)
    acquire, refused_at = driver.slots.acquire, []
    is_long_granted = False

    def acquire_short(now, service, server, deadline):
        if deadline <= now + 10.0 or is_long_granted:
            return acquire(now, service, server, deadline)
        refused_at.append(now)
        assert len(refused_at) <= 3 * (1.0 / 0.02 + 1), "a busy loop"
        return None

    driver.slots.acquire = acquire_short
    assert driver.submit(MANIFEST) is None
    for _ in range(100):
        start = driver.submit()
        assert isinstance(start, StartAttempt)
        driver.advance_clock(0.005, step=0.005)
        driver.run(start, 0.005)
    assert len(refused_at) >= 25
    is_long_granted = True
    assert [item.work_id for item in starts(driver.advance_clock(0.04))] == ["w1"]


def test_duplicate_work_id_is_rejected():
    """Guards against two final actions for one id."""
    driver = Driver()
    work = driver.work(LOOKUP)
    driver.submit_work(work)
    with pytest.raises(DuplicateWorkError):
        driver.submit_work(work)
