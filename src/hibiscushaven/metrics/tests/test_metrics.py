"""Tests of histograms, counters, gauges, their exposition and their snapshots."""

import json
from random import Random

import msgpack
import pytest
from hdrh.histogram import HdrHistogram
from pytest import approx

from hibiscushaven.metrics import (
    Counter,
    Histogram,
    Metrics,
    SnapshotError,
    encode_snapshot,
    merge_snapshot,
    to_json,
    to_text,
)


def sample(seed: int, count: int = 5000) -> list[float]:
    rng = Random(seed)
    return [rng.lognormvariate(-4, 1.5) for _ in range(count)]


def test_quantiles_are_within_one_percent() -> None:
    """Guards against values that the direct update of the counts distorts or drops."""
    metrics, values = Metrics(), sorted(sample(1))
    item = metrics.histogram("latency_seconds", "t", "c")
    for value in values:
        item.record(value)
    assert item.count == len(values)
    assert item.sum_s == approx(sum(values), rel=1e-3)
    for quantile in (0.5, 0.9, 0.99, 0.999):
        assert item.quantile_s(quantile) == approx(
            values[round(quantile * len(values)) - 1], rel=0.015
        )


def test_counts_equal_those_of_record_value() -> None:
    """Guards against an index that differs from the library's layout of the counts."""
    ours, theirs = Histogram(), HdrHistogram(1, 3_600_000_000, 2)
    edges = [(1 << bits) + change for bits in range(32) for change in (-1, 0, 1)]
    for value in (*edges, *(int(item * 1e6) for item in sample(2))):
        if 1 <= value <= 3_600_000_000:
            ours.record((value + 0.5) / 1e6)
            theirs.record_value(value)
    assert Histogram.decode(ours.encode()).equals(theirs)
    assert ours.encode() == theirs.encode()


def test_values_out_of_range_are_clamped() -> None:
    """Guards against durations out of range that are not counted."""
    item = Metrics().histogram("latency_seconds")
    for value in (-1.0, 0.0, 1e9):
        item.record(value)
    assert item.count == 3
    assert item.quantile_s(1.0) == approx(3600, rel=0.01)


def test_merged_snapshots_equal_one_registry() -> None:
    """Guards against merges that lose counts, and against quantiles averaged over VMs."""
    merged, single = Metrics(), Metrics()
    for metrics in (merged, single):
        metrics.histogram("latency_seconds", "t", "c").record(0.5)
    for seed in range(3):
        part = Metrics()
        for metrics in (part, single):
            for value in sample(seed, 500):
                metrics.histogram("latency_seconds", "t", "c").record(value * (1 + seed))
            metrics.counter("requests_total", "t").add(seed)
        part.gauge("in_progress").set(2)
        merge_snapshot(merged, encode_snapshot(part))
    single.gauge("in_progress").set(6)
    encoded = [item.histogram("latency_seconds", "t", "c").encode() for item in (merged, single)]
    assert encoded[0] == encoded[1]
    ours, theirs = json.loads(to_json(merged)), json.loads(to_json(single))
    assert [item["name"] for item in ours] == ["in_progress", "latency_seconds", "requests_total"]
    for one, other in zip(ours, theirs, strict=True):
        assert one.pop("sum_s", 0) == approx(other.pop("sum_s", 0))
        assert one == other


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgpack.packb([1]),
        msgpack.packb(
            [["counter", "b", "", "", 1, b""], ["histogram", "a", "", "", 1.0, b"HISTx"]]
        ),
        msgpack.packb([["counter", "a", "", "", 1, b""], ["gauge", "a", "", "", 1, b""]]),
        msgpack.packb([["counter", "a", 7, "", 1, b""]]),
    ],
)
def test_malformed_snapshots_add_nothing(data: bytes) -> None:
    """Guards against a VM that crashes on a malformed snapshot or merges half of it."""
    metrics = Metrics()
    with pytest.raises(SnapshotError):
        merge_snapshot(metrics, data)
    assert all(item.value == 0 for _, item in metrics.items())


def test_number_of_series_is_bounded() -> None:
    """Guards against callers that exhaust the memory with new tenants or classes."""
    metrics = Metrics(max_series=10)
    for number in range(1000):
        metrics.counter("requests_total", f"tenant-{number}").add()
    assert metrics.series_count == 11
    assert metrics.counter("requests_total", "other", "other").value == 990
    assert metrics.counter("requests_total", "tenant-3").value == 1
    assert metrics.overflowed.value == 990
    with pytest.raises(ValueError, match="is a Counter"):
        metrics.gauge("requests_total")
    with pytest.raises(ValueError, match="bad-name"):
        metrics.gauge("bad-name")
    with pytest.raises(ValueError, match="cannot fall"):
        Counter().add(-1)


def test_text_format_is_exact() -> None:
    """Guards against text that a scraper rejects: wrong types, label escapes or large counts."""
    metrics = Metrics()
    metrics.counter("requests_total", 'a"b\\c\nd', "get").add(12_345_678_901)
    metrics.counter("requests_total").add()
    metrics.gauge("in_progress").set(0.5)
    metrics.histogram("latency_seconds", "t").record(0.001)
    assert to_text(metrics).splitlines() == [
        "# TYPE in_progress gauge",
        "in_progress 0.5",
        "# TYPE latency_seconds summary",
        *(
            f'latency_seconds{{tenant="t",quantile="{quantile}"}} 0.001003'
            for quantile in (0.5, 0.9, 0.95, 0.99, 0.999)
        ),
        'latency_seconds_sum{tenant="t"} 0.001',
        'latency_seconds_count{tenant="t"} 1',
        "# TYPE requests_total counter",
        "requests_total 1",
        'requests_total{tenant="a\\"b\\\\c\\nd",class="get"} 12345678901',
        "# TYPE metrics_overflowed_total counter",
        "metrics_overflowed_total 0",
    ]
