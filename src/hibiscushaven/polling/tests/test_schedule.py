"""The reads go on when VMs fail, and a healthy region sends no redundant ones."""

import itertools
import random

import pytest

from hibiscushaven.polling import READ_INTERVAL_S, ReadSchedule


def simulate_reads(vm_count, duration_s, is_down, propagation_s=0.002, seed=1):
    """Return the reads of VMs that share their results, as pairs of time and VM.

    :param is_down: returns whether a VM is down, or cannot read, at a time.
    """
    rng = random.Random(seed)
    schedules = [ReadSchedule() for _ in range(vm_count)]
    confirmed_at = 0.0
    reads = []
    now = 0.0
    while now < duration_s:
        vms_up = [vm for vm in range(vm_count) if not is_down(vm, now)]
        for rank, vm in enumerate(vms_up):
            if schedules[vm].wait_s(now, rank, confirmed_at) <= 0:
                reads.append((now, vm))
                confirmed_at = now + propagation_s
        now += rng.uniform(0.005, 0.02)
    return reads


def test_only_the_first_vm_reads_at_the_interval():
    """Guards against redundant reads while all VMs are up."""
    reads = simulate_reads(8, 30.0, lambda vm, now: False)
    assert {vm for _, vm in reads} == {0}
    assert len(reads) <= 30.0 / READ_INTERVAL_S + 1


@pytest.mark.parametrize("seed", range(10))
def test_reads_continue_while_readers_fail_in_sequence(seed):
    """Guards against a gap in the reads when one reader after the other goes down."""
    reads = simulate_reads(8, 30.0, lambda vm, now: vm < 6 and now > 3.0 * (vm + 1), seed=seed)
    times = [read_at for read_at, _ in reads]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert max(gaps) < 2 * READ_INTERVAL_S


def test_backoff_grows_up_to_its_limit_and_ends_on_success():
    """Guards against retries that load a failing store or outlast its outage."""
    schedule = ReadSchedule()
    waits = []
    now = 0.0
    for _ in range(10):
        schedule.record_failure(now)
        waits.append(schedule.wait_s(now, 0, -1e6))
        now += waits[-1]
    assert waits == sorted(waits)
    assert waits[-1] <= 1.0
    schedule.record_success()
    assert schedule.wait_s(now, 0, -1e6) == 0
