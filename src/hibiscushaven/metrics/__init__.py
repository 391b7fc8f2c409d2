"""Histograms, counters and gauges, with text and JSON forms."""

from .exposition import to_json, to_text
from .registry import Counter, Gauge, Histogram, Metrics, SeriesKey
from .snapshot import SnapshotError, decode_into, encode_snapshot

__all__ = [
    "Counter",
    "Gauge",
    "Histogram",
    "Metrics",
    "SeriesKey",
    "SnapshotError",
    "decode_into",
    "encode_snapshot",
    "to_json",
    "to_text",
]
