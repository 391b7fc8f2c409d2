"""Checks the latency and goodput targets of dispatch in short discrete-event runs.

The published figures come from the benchmark, not from these tests.
"""

from hibiscushaven.bench.dispatch import BASELINE_CONFIG, DEFAULT_CONFIG, run_shard
from hibiscushaven.bench.shards import LOOKUP, MANIFEST, Stream

SHORT = Stream(LOOKUP, 1, 0.02)
LONGER = Stream(LOOKUP, 1, 0.04)
LONG = Stream(MANIFEST, 1, 2.0)


def _p99(stats):
    return stats.latency_s("lookup", 99)


def test_long_work_does_not_delay_short_work():
    """Guards against head-of-line blocking, which the FIFO baseline must show in the same run."""
    short_only = run_shard(4, 4, DEFAULT_CONFIG, [(SHORT, 0.25)], 4.0)
    mixed = run_shard(4, 4, DEFAULT_CONFIG, [(SHORT, 0.25), (LONG, 0.75)], 4.0)
    fifo = run_shard(4, 4, BASELINE_CONFIG, [(SHORT, 0.25), (LONG, 0.75)], 4.0)
    assert _p99(mixed) <= 1.2 * _p99(short_only) < 3 * _p99(short_only) < _p99(fifo)
    assert mixed.answered["manifest"] > 0


def test_slowed_server_hardly_raises_p99():
    """Guards against a p99 set by one slow server while the other servers have free slots."""
    unslowed = run_shard(4, 4, DEFAULT_CONFIG, [(LONGER, 0.6)], 3.0)
    slowed = run_shard(4, 4, DEFAULT_CONFIG, [(LONGER, 0.6)], 3.0, ["s0"])
    assert _p99(slowed) <= 1.5 * _p99(unslowed)
    assert slowed.hedges <= 0.05 * slowed.submitted["lookup"]


def test_overload_keeps_goodput():
    """Guards against starting work under overload that is answered only after its deadline."""
    saturated, overloaded = (
        run_shard(2, 2, DEFAULT_CONFIG, [(LONGER, load)], 4.0) for load in (1.0, 1.5)
    )
    assert overloaded.answered["lookup"] >= 0.95 * saturated.answered["lookup"]
    assert overloaded.refused.total() > 0
