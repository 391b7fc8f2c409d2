"""Text and JSON forms of the metrics."""

import json
from collections.abc import Iterator
from typing import Any

from .registry import Counter, Gauge, Histogram, Metrics, SeriesKey

__all__ = ["QUANTILES", "to_json", "to_text"]

QUANTILES = (0.5, 0.9, 0.95, 0.99, 0.999)

_TYPES = {Counter: "counter", Gauge: "gauge", Histogram: "summary"}

# The text format writes these in label values with a backslash.
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


def to_text(metrics: Metrics) -> str:
    """Return the Prometheus text format; histograms appear as summaries.

    Examples
    ========

    >>> metrics = Metrics()
    >>> metrics.counter("requests_total", "retalho-sul").add(3)
    >>> print(to_text(metrics), end="")
    # TYPE requests_total counter
    requests_total{tenant="retalho-sul"} 3
    # TYPE metrics_overflowed_total counter
    metrics_overflowed_total 0

    """
    return "".join(f"{line}\n" for line in _lines(metrics))


def _lines(metrics: Metrics) -> Iterator[str]:
    last = None
    for key, item in metrics.items():
        if key.name != last:
            yield f"# TYPE {key.name} {_TYPES[type(item)]}"
            last = key.name
        if isinstance(item, Histogram):
            yield from _summary_lines(key, item)
        else:
            yield f"{key.name}{_labels(key)} {item.value:.17g}"
    yield "# TYPE metrics_overflowed_total counter"
    yield f"metrics_overflowed_total {metrics.overflowed.value:.17g}"


def _summary_lines(key: SeriesKey, item: Histogram) -> Iterator[str]:
    for part in QUANTILES:
        yield f"{key.name}{_labels(key, quantile=f'{part:g}')} {item.quantile_s(part):.9g}"
    yield f"{key.name}_sum{_labels(key)} {item.sum_s:.9g}"
    yield f"{key.name}_count{_labels(key)} {item.count}"


def _labels(key: SeriesKey, **more: str) -> str:
    values = {"tenant": key.tenant, "class": key.request_class, **more}
    pairs = [f'{name}="{value.translate(_ESCAPES)}"' for name, value in values.items() if value]
    return "{" + ",".join(pairs) + "}" if pairs else ""


def to_json(metrics: Metrics) -> str:
    """Return a JSON list with one object for each series."""
    return json.dumps([_series(key, item) for key, item in metrics.items()])


def _series(key: SeriesKey, item: Counter | Gauge | Histogram) -> dict[str, Any]:
    values: dict[str, Any] = {
        "name": key.name,
        "type": _TYPES[type(item)],
        "tenant": key.tenant,
        "class": key.request_class,
    }
    if not isinstance(item, Histogram):
        return {**values, "value": item.value}
    quantiles = {f"{part:g}": item.quantile_s(part) for part in QUANTILES}
    return {**values, "count": item.count, "sum_s": item.sum_s, "quantiles_s": quantiles}
