"""When a VM reads the store, and how it handles failures of the store or of a peer."""

import asyncio
from functools import partial

import pytest

from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.gateway import ServerListing
from hibiscushaven.gateway.reader import CHECK_INTERVAL_S, StoreReader
from hibiscushaven.gateway.sync_reporter import SyncReporter
from hibiscushaven.metrics import Metrics
from hibiscushaven.polling import RANK_DELAY_S, READ_INTERVAL_S
from hibiscushaven.polling.schedule import MAX_BACKOFF_S
from hibiscushaven.process.tests.support import VirtualClock
from hibiscushaven.routing import OperatorState

from .simulated_region import LoopClock
from .support import FakeStore, make_operator, make_record


class ReaderHarness:
    """A reader with its fake store, and the results that it reports."""

    def __init__(self, rank=0, clock=None):
        self.clock = clock or VirtualClock()
        self.store = FakeStore()
        self.store.listing = ServerListing(10, (make_record(),))
        self.store.operator = make_operator(5)
        self.listings, self.operators, self.availability_changes = [], [], []
        self.reader = StoreReader(
            self.store,
            self.clock,
            lambda can_read: rank,
            OperatorState,
            lambda listing, gap_s: self.listings.append((listing, gap_s)),
            lambda operator, source: self.operators.append(operator),
            lambda: self.availability_changes.append(True),
            SyncReporter(Metrics()),
        )


def run(harness, before=lambda reader: None, after=lambda reader: None):
    """Run the loops until they wait for the clock, before and after a call of ``after``."""

    async def main():
        before(harness.reader)
        harness.reader.start()
        for _ in range(20):
            await asyncio.sleep(0)
        after(harness.reader)
        for _ in range(20):
            await asyncio.sleep(0)
        await harness.reader.close()

    asyncio.run(main())


def confirm_all(harness):
    """Return a function that confirms the reader's data as of now, as a peer would."""

    def confirm(reader):
        reader.confirm_servers(harness.clock.now())
        reader.confirm_operator(harness.clock.now())

    return confirm


def test_first_vm_without_data_reads_at_once():
    """Guards against a start that waits for peers although there are none."""
    harness = ReaderHarness(rank=0)
    run(harness)
    assert harness.listings and harness.operators


async def _delayed(read, *arguments):
    """Let the time of the event loop advance, as a call of the store does."""
    await asyncio.sleep(CHECK_INTERVAL_S)
    return await read(*arguments)


@pytest.mark.parametrize("call", ["read_servers", "read_operator"])
def test_reads_go_on_after_an_unexpected_error(call):
    """Guards against a VM that never learns of a change again, without a line in the log."""
    harness = ReaderHarness(clock=LoopClock())
    harness.store.read_operator = partial(_delayed, harness.store.read_operator)
    read, errors = getattr(harness.store, call), [RecursionError("nested too deeply")]

    async def fail_once(*arguments):
        if errors:
            raise errors.pop()
        return await read(*arguments)

    setattr(harness.store, call, fail_once)

    async def main():
        harness.reader.start()
        await asyncio.sleep(2.0)
        await harness.reader.close()

    run_virtual(main())
    assert not errors and harness.listings and harness.operators


def test_first_vm_reads_although_others_confirm_its_data():
    """Guards against confirmations over a busy link, repeated by all, in place of reads."""
    harness = ReaderHarness(clock=LoopClock())
    harness.store.read_operator = partial(_delayed, harness.store.read_operator)

    async def main():
        harness.reader.start()
        for _ in range(20):
            await asyncio.sleep(0.1)
            harness.reader.confirm_servers(harness.clock.now() - 0.2)
        await harness.reader.close()

    run_virtual(main())
    assert len(harness.listings) >= 3


def test_later_vm_without_data_waits_for_the_first_one():
    """Guards against a burst of reads when all VMs of a region start together."""
    harness = ReaderHarness(rank=3)
    run(harness)
    assert harness.store.calls == 0
    assert harness.reader._wait_s() == pytest.approx(3 * RANK_DELAY_S)
    harness.clock.time += 3 * RANK_DELAY_S
    assert harness.reader._wait_s() == 0.0


def test_vm_with_confirmed_data_does_not_read():
    """Guards against redundant reads of the store."""
    harness = ReaderHarness(rank=1)
    run(harness, before=confirm_all(harness))
    assert harness.store.calls == 0


def test_requested_read_does_not_wait_for_its_rank():
    """Guards against stale data when the peer with the newer data cannot be reached."""
    harness = ReaderHarness(rank=3)
    run(harness, before=confirm_all(harness), after=lambda reader: reader.request_servers_read())
    assert len(harness.listings) == 1 and harness.operators == []


def test_requested_read_of_the_operator_state_does_not_wait_for_its_rank():
    """Guards against an old configuration at a VM of high rank whose pulls are slow."""
    harness = ReaderHarness(rank=33)
    run(harness, before=confirm_all(harness), after=lambda reader: reader.request_operator_read())
    assert len(harness.operators) == 1 and harness.listings == []


def test_requested_read_is_repeated_after_a_failure_and_its_backoff():
    """Guards against a request that is forgotten when the store does not answer once."""
    harness = ReaderHarness(rank=33)
    harness.store.is_down = True
    run(harness, before=confirm_all(harness), after=lambda reader: reader.request_servers_read())
    assert harness.listings == [] and harness.store.calls == 1
    assert 0 < harness.reader._wait_s() <= MAX_BACKOFF_S
    harness.store.is_down = False
    harness.clock.time += MAX_BACKOFF_S
    run(harness, before=confirm_all(harness))
    assert len(harness.listings) == 1


def test_cancelled_read_is_not_made():
    """Guards against reads of data that a peer has delivered meanwhile."""
    harness = ReaderHarness(rank=33)

    def request_and_cancel(reader):
        reader.request_servers_read()
        reader.cancel_servers_read()
        reader.request_operator_read()
        reader.cancel_operator_read()

    run(harness, before=confirm_all(harness), after=request_and_cancel)
    assert harness.store.calls == 0


def test_requested_read_is_not_counted_as_an_outage():
    """Guards against a grace time for missing records although the store was available."""
    harness = ReaderHarness(rank=3)
    run(harness, before=confirm_all(harness), after=lambda reader: reader.request_servers_read())
    _, gap_s = harness.listings[0]
    assert gap_s < 1.0


def test_outage_of_the_store_is_reported_once_with_its_length():
    """Guards against repeated reports, and against records that are dropped after an outage."""
    harness = ReaderHarness()
    harness.store.is_down = True
    run(harness)
    assert harness.availability_changes == [True] and not harness.reader.can_read
    harness.store.is_down = False
    harness.clock.time += 6.0
    harness.reader.confirm_servers(harness.clock.now() - 6.0)
    run(harness)
    assert harness.reader.can_read
    assert round(harness.listings[0][1], 3) == 6.0


def test_vm_that_takes_over_the_servers_reads_the_operator_state_too():
    """Guards against a reader that fails unnoticed while its operator state still looks fresh."""
    harness = ReaderHarness(rank=1, clock=LoopClock())

    async def read_operator(known, wait_s):
        await asyncio.sleep(wait_s + 0.1)
        return harness.store.operator

    async def main():
        harness.store.read_operator = read_operator
        harness.reader.start()
        confirm_all(harness)(harness.reader)
        await asyncio.sleep(READ_INTERVAL_S + RANK_DELAY_S + 2 * CHECK_INTERVAL_S)
        await harness.reader.close()

    run_virtual(main())
    assert harness.listings and harness.operators
