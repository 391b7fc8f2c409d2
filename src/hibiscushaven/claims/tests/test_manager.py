"""Tests of claims on one or two VMs, with single faults of the table."""

import asyncio
from collections.abc import Coroutine

import pytest

from hibiscushaven.bench.claims import measure_claims
from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.claims import (
    MAX_RESPONSE_BYTES,
    RETENTION_S,
    ClaimExpiredError,
    ClaimManager,
    ClaimReleasedError,
    ClaimRequest,
    ClaimRow,
    ClaimSentError,
    DeadlineError,
    InProgressError,
    KeyReusedError,
    Outcome,
    RecordedResponse,
    Replay,
    RowState,
    TableRateLimiter,
    TableUnavailableError,
)
from hibiscushaven.tablestore import MemoryPlatform


def manager_on(platform: MemoryPlatform, incarnation: str = "a") -> ClaimManager:
    loop = asyncio.get_running_loop()
    return ClaimManager(
        platform, incarnation, loop.time, TableRateLimiter(loop.time, asyncio.sleep), lambda: 1000.0
    )


def request(key: str = "1", body: str = "body", caller: str = "shop-a") -> ClaimRequest:
    return ClaimRequest("pedidos", "retalho-sul", caller, key, body)


def scenario(work) -> Coroutine:
    """Return a test that runs on virtual time with a platform and two managers."""

    def test() -> None:
        async def run() -> None:
            platform = MemoryPlatform()
            await work(platform, manager_on(platform, "a"), manager_on(platform, "b"))

        run_virtual(run())

    test.__name__, test.__doc__ = work.__name__, work.__doc__
    return test


@scenario
async def test_resends_get_the_first_response(platform, one, two) -> None:
    """Guards against a resend through another VM that runs the request again."""
    claim = (await one.claim(request(), 9)).ok
    assert isinstance((await two.claim(request(), 9)).error, InProgressError)
    claim.mark_sent()
    await one.complete(claim, Outcome.RUN, RecordedResponse(201, (("A", "b"),), b"done"))
    await one.drain()
    replay = Replay(Outcome.RUN, 201, RecordedResponse(201, (("A", "b"),), b"done"))
    assert (await two.claim(request(), 9)).ok == replay
    assert isinstance((await two.claim(request(body="other"), 9)).error, KeyReusedError)
    assert not isinstance((await two.claim(request(caller="shop-b"), 9)).ok, Replay)


@scenario
async def test_large_responses_are_recorded_as_status_only(platform, one, two) -> None:
    """Guards against rows larger than the table allows, and against rows that never expire."""
    for size, is_recorded in ((MAX_RESPONSE_BYTES, True), (MAX_RESPONSE_BYTES + 1, False)):
        claim = (await one.claim(request(str(size)), 9)).ok
        claim.mark_sent()
        await one.complete(claim, Outcome.RUN, RecordedResponse(200, (), b"x" * size))
        await one.drain()
        replay = (await two.claim(request(str(size)), 9)).ok
        assert (replay.status, replay.response is not None) == (200, is_recorded)
        row = ClaimRow.decode((await platform.read(request(str(size)).row_key)).value)
        assert row.expires_at == 1000 + RETENTION_S


@scenario
async def test_conflict_fails_no_other_claim_of_the_batch(platform, one, two) -> None:
    """Guards against a conflicting resend that fails the other claims of its transaction."""
    await two.claim(request("held"), 9)
    before = one.counts.transactions
    keys = ("held", *map(str, range(20)))
    results = await asyncio.gather(*(one.claim(request(key), 9) for key in keys))
    assert [result.is_ok() for result in results] == [False] + [True] * 20
    assert one.counts.transactions - before == 2
    assert one.counts.reads == 1


@scenario
async def test_concurrent_claims_of_one_key_at_one_vm(platform, one, two) -> None:
    """Guards against two writes of one row in a transaction, which would grant both claims."""
    results = await asyncio.gather(*(one.claim(request(), 9) for _ in range(5)))
    assert sum(result.is_ok() for result in results) == 1


@scenario
async def test_claims_are_refused_immediately_in_an_outage(platform, one, two) -> None:
    """Guards against requests that wait for an unavailable table, and against lost releases."""
    claim = (await one.claim(request(), 9)).ok
    platform.faults.is_down = True
    start = asyncio.get_running_loop().time()
    refused = (await one.claim(request("2"), start + 9)).error
    assert isinstance(refused, TableUnavailableError)
    assert refused.outcome is Outcome.NOT_RUN
    assert asyncio.get_running_loop().time() - start < 0.01
    assert not await one.release(claim)
    platform.faults.is_down = False
    await one.drain()
    assert (await two.claim(request(), 99)).is_ok()


@scenario
async def test_lost_response_is_resolved_by_reading_the_row(platform, one, two) -> None:
    """Guards against a claim that fails although its row is held by the attempt."""
    platform.faults.lost_answers = 1
    platform.faults.stale_reads = 1
    claim = (await one.claim(request(), 9)).ok
    assert isinstance((await two.claim(request(), 9)).error, InProgressError)
    claim.mark_sent()


@scenario
async def test_uncertain_claim_is_released_after_the_outage(platform, one, two) -> None:
    """Guards against a row that stays held by an attempt that was reported as not run."""
    loop = asyncio.get_running_loop()
    for key, deadline_s, expected in (("a", 1, DeadlineError), ("b", 9, TableUnavailableError)):
        await asyncio.sleep(1)
        platform.faults.lost_answers = 1
        start = loop.time()
        claim_task = asyncio.ensure_future(one.claim(request(key), start + deadline_s))
        while platform.faults.lost_answers:
            assert not claim_task.done()
            await asyncio.sleep(0)
        platform.faults.is_down = True
        assert isinstance((await claim_task).error, expected)
        assert loop.time() - start < 3
        cell = platform._rows[request(key).row_key]
        assert ClaimRow.decode(cell.current.value).state is RowState.ACQUIRED
        await asyncio.sleep(60)
        platform.faults.is_down = False
        await one.drain()
        assert (await two.claim(request(key), loop.time() + 9)).is_ok()


@scenario
async def test_sending_and_release_exclude_each_other(platform, one, two) -> None:
    """Guards against sending after a release, after the deadline, or twice."""
    sent = (await one.claim(request("sent"), 9)).ok
    sent.mark_sent()
    with pytest.raises(ClaimSentError):
        sent.mark_sent()
    with pytest.raises(ClaimSentError):
        await one.release(sent)
    released = (await one.claim(request("released"), 9)).ok
    assert await one.release(released)
    with pytest.raises(ClaimReleasedError):
        released.mark_sent()
    paused = (await one.claim(request("paused"), 9)).ok
    await asyncio.sleep(9)
    with pytest.raises(ClaimExpiredError):
        paused.mark_sent()


@scenario
async def test_held_claim_does_not_expire_within_days(platform, one, two) -> None:
    """Guards against granting a held claim to another attempt after a timeout."""
    (await one.claim(request(), 9)).ok.mark_sent()
    await asyncio.sleep(6 * 24 * 3600)
    now = asyncio.get_running_loop().time()
    assert isinstance((await two.claim(request(), now + 9)).error, InProgressError)


@scenario
async def test_deadline_within_the_expected_wait_is_refused(platform, one, two) -> None:
    """Guards against claims that use a transaction but cannot meet their deadline."""
    one.set_live_vms(2700)
    await one.claim(request("1"), 99)
    assert isinstance((await one.claim(request("2"), 5)).error, DeadlineError)
    assert asyncio.get_running_loop().time() == 0


@scenario
async def test_claims_are_refused_immediately_under_overload(platform, one, two) -> None:
    """Guards against a queue so long that claims are granted too late to send their requests."""
    loop = asyncio.get_running_loop()
    one.set_live_vms(27)  # ten transactions a second

    async def claim_at(key: str) -> tuple[bool, float]:
        result = await one.claim(request(key), 1.0)
        return result.is_ok(), loop.time()

    responses = await asyncio.gather(*(claim_at(str(number)) for number in range(2000)))
    granted = [time for is_granted, time in responses if is_granted]
    refused = [time for is_granted, time in responses if not is_granted]
    assert len(granted) > 400
    assert max(granted) <= 0.5
    assert len(refused) > 1000
    assert max(refused) == 0


@scenario
async def test_reads_are_rate_limited(platform, one, two) -> None:
    """Guards against resends that use up the reads available to other VMs."""
    keys = [str(number) for number in range(5)]
    for key in keys:
        await two.claim(request(key), 9)
    one.set_live_vms(600)  # two reads a second
    start = asyncio.get_running_loop().time()
    results = await asyncio.gather(*(one.claim(request(key), start + 99) for key in keys))
    assert all(isinstance(result.error, InProgressError) for result in results)
    assert asyncio.get_running_loop().time() - start >= 2


def test_transactions_are_shared_under_load() -> None:
    """Guards against a number of table calls that grows in proportion to the load."""
    low, high = (measure_claims(load, duration_s=5) for load in (20, 200))
    assert high.claims_per_transaction > 5 * low.claims_per_transaction
    assert max(low.transactions_per_s, high.transactions_per_s) < 300
    assert high.refused == 0
