"""Snapshots that can be sent between processes and merged."""

from collections.abc import Iterator
from typing import Any

import msgpack

from .registry import Counter, Gauge, Histogram, Metrics, SeriesKey

__all__ = ["SnapshotError", "decode_into", "encode_snapshot"]

_KINDS = {"counter": Counter, "gauge": Gauge, "histogram": Histogram}
_KIND_NAMES = {cls: name for name, cls in _KINDS.items()}


class SnapshotError(Exception):
    """Bytes that are not a snapshot."""


def encode_snapshot(metrics: Metrics) -> bytes:
    """Return the msgpack form of all series."""
    rows = []
    for key, item in metrics.items():
        labels = [_KIND_NAMES[type(item)], key.name, key.tenant, key.request_class]
        if isinstance(item, Histogram):
            rows.append([*labels, item.sum_s, item.encode()])
        else:
            rows.append([*labels, item.value, b""])
    return msgpack.packb(rows)


def decode_into(metrics: Metrics, data: bytes) -> None:
    """Add a snapshot to the metrics: counts, sums and gauges all add up.

    :raises SnapshotError: when the bytes are no snapshot; then nothing is added.
    """
    try:
        rows = list(_decode(data))
        items = [metrics.series(cls, key) for cls, key, _, _ in rows]
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise SnapshotError(f"not a metrics snapshot: {data[:40]!r}: {error!r}") from error
    for item, (_, _, value, counts) in zip(items, rows, strict=True):
        if isinstance(item, Histogram):
            item.merge(counts, value)
        else:
            item.value += value


def _decode(data: bytes) -> Iterator[tuple[type, SeriesKey, float, Any]]:
    for kind, name, tenant, request_class, value, encoded in msgpack.unpackb(data):
        cls = _KINDS[kind]
        if not all(isinstance(item, str) for item in (name, tenant, request_class)):
            raise ValueError(f"labels of {name!r} are no texts")
        counts = Histogram.decode(encoded) if cls is Histogram else None
        yield cls, SeriesKey(name, tenant, request_class), float(value), counts
