"""Targets of dispatch in short discrete-event runs; figures come from the benchmark."""

from hibiscushaven.bench.dispatch import BASELINE, OURS, run_shard
from hibiscushaven.bench.shards import LOOKUP, MANIFEST, Stream

SHORT = Stream(LOOKUP, 1, 0.02)
LONGER = Stream(LOOKUP, 1, 0.04)
LONG = Stream(MANIFEST, 1, 2.0)


def _p99(measures):
    return measures.latency_s("lookup", 99)


def test_long_work_does_not_delay_short_work():
    """Guards against head-of-line blocking, and a baseline that would hide it."""
    alone = run_shard(4, 4, OURS, [(SHORT, 0.25)], 4.0)
    mixed = run_shard(4, 4, OURS, [(SHORT, 0.25), (LONG, 0.75)], 4.0)
    fifo = run_shard(4, 4, BASELINE, [(SHORT, 0.25), (LONG, 0.75)], 4.0)
    assert _p99(mixed) <= 1.2 * _p99(alone) < 3 * _p99(alone) < _p99(fifo)
    assert mixed.answered["manifest"] > 0


def test_slowed_quarter_hardly_shows_in_the_tail():
    """Guards against stragglers in the tail while there is room on the other servers."""
    clean = run_shard(4, 4, OURS, [(LONGER, 0.6)], 3.0)
    slow = run_shard(4, 4, OURS, [(LONGER, 0.6)], 3.0, ["s0"])
    assert _p99(slow) <= 1.5 * _p99(clean)
    assert slow.hedges <= 0.05 * slow.submitted["lookup"]


def test_overload_keeps_goodput():
    """Guards against work that is started and then answered too late under overload."""
    full, over = (run_shard(2, 2, OURS, [(LONGER, load)], 4.0) for load in (1.0, 1.5))
    assert over.answered["lookup"] >= 0.95 * full.answered["lookup"]
    assert over.refused.total() > 0
