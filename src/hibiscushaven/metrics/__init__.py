"""Histograms, counters and gauges, with text and JSON exposition."""

from .exposition import to_json, to_text
from .registry import Counter, Gauge, Histogram, Metrics, SeriesKey
from .snapshot import SnapshotError, encode_snapshot, merge_snapshot

__all__ = [
    "Counter",
    "Gauge",
    "Histogram",
    "Metrics",
    "SeriesKey",
    "SnapshotError",
    "encode_snapshot",
    "merge_snapshot",
    "to_json",
    "to_text",
]
