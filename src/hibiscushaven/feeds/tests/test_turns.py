"""Reading in turns: someone reads soon whoever is gone, and few read when all is well."""

import itertools
import random

import pytest

from hibiscushaven.feeds import READ_INTERVAL_S, ReadingTurn


def simulate(vms, seconds, is_down, news_delay_s=0.002, seed=1):
    """Return the reads, as pairs of time and VM, of VMs that share what they read.

    :param is_down: tells whether a VM is down or cannot read at a time.
    """
    rng = random.Random(seed)
    turns = [ReadingTurn() for _ in range(vms)]
    confirmed = 0.0
    reads = []
    now = 0.0
    while now < seconds:
        living = [vm for vm in range(vms) if not is_down(vm, now)]
        for rank, vm in enumerate(living):
            if turns[vm].wait_s(now, rank, confirmed) <= 0:
                reads.append((now, vm))
                confirmed = now + news_delay_s
        now += rng.uniform(0.005, 0.02)
    return reads


def test_one_vm_reads_at_the_interval():
    reads = simulate(8, 30.0, lambda vm, now: False)
    assert {vm for _, vm in reads} == {0}
    assert len(reads) <= 30.0 / READ_INTERVAL_S + 1


@pytest.mark.parametrize("seed", range(10))
def test_reads_go_on_when_readers_go_down_one_after_the_other(seed):
    reads = simulate(8, 30.0, lambda vm, now: vm < 6 and now > 3.0 * (vm + 1), seed=seed)
    times = [at for at, _ in reads]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert max(gaps) < 2 * READ_INTERVAL_S


def test_failing_vm_waits_longer_and_longer_but_never_long():
    turn = ReadingTurn()
    waits = []
    now = 0.0
    for _ in range(10):
        turn.failed(now)
        waits.append(turn.wait_s(now, 0, -1e6))
        now += waits[-1]
    assert waits == sorted(waits)
    assert waits[-1] <= 1.0
    turn.succeeded()
    assert turn.wait_s(now, 0, -1e6) == 0
