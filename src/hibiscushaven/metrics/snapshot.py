"""Snapshots of metrics, which processes exchange and merge."""

from collections.abc import Iterator
from typing import Any

import msgpack

from .registry import Counter, Gauge, Histogram, Metrics, SeriesKey

__all__ = ["SnapshotError", "encode_snapshot", "merge_snapshot"]

_TYPES_BY_NAME = {"counter": Counter, "gauge": Gauge, "histogram": Histogram}
_NAMES_BY_TYPE = {cls: name for name, cls in _TYPES_BY_NAME.items()}


class SnapshotError(Exception):
    """The bytes are not a valid snapshot."""


def encode_snapshot(metrics: Metrics) -> bytes:
    """Return all series, encoded with msgpack."""
    rows = []
    for key, item in metrics.items():
        labels = [_NAMES_BY_TYPE[type(item)], key.name, key.tenant, key.request_class]
        if isinstance(item, Histogram):
            rows.append([*labels, item.sum_s, item.encode()])
        else:
            rows.append([*labels, item.value, b""])
    return msgpack.packb(rows)


def merge_snapshot(metrics: Metrics, data: bytes) -> None:
    """Add the counts, sums and gauge values of a snapshot to the metrics.

    :raises SnapshotError: if the bytes are not a valid snapshot; then nothing is added.
    """
    try:
        rows = list(_decode(data))
        items = [metrics.get_or_create(cls, key) for cls, key, _, _ in rows]
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise SnapshotError(f"not a metrics snapshot: {data[:40]!r}: {error!r}") from error
    for item, (_, _, value, counts) in zip(items, rows, strict=True):
        if isinstance(item, Histogram):
            item.merge(counts, value)
        else:
            item.value += value


def _decode(data: bytes) -> Iterator[tuple[type, SeriesKey, float, Any]]:
    for type_name, name, tenant, request_class, value, encoded in msgpack.unpackb(data):
        cls = _TYPES_BY_NAME[type_name]
        if not all(isinstance(item, str) for item in (name, tenant, request_class)):
            raise ValueError(f"name and labels of series {name!r} are not all strings")
        counts = Histogram.decode(encoded) if cls is Histogram else None
        yield cls, SeriesKey(name, tenant, request_class), float(value), counts
