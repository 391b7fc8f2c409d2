"""Exposition of the metrics in the Prometheus text format and in JSON."""

import json
from collections.abc import Iterator
from typing import Any

from .registry import Counter, Gauge, Histogram, Metrics, SeriesKey

__all__ = ["QUANTILES", "to_json", "to_text"]

QUANTILES = (0.5, 0.9, 0.95, 0.99, 0.999)

_TYPES = {Counter: "counter", Gauge: "gauge", Histogram: "summary"}

# Characters that the text format escapes in label values.
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


def to_text(metrics: Metrics) -> str:
    """Return the metrics in the Prometheus text format, with histograms as summaries.

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
    return "".join(f"{line}\n" for line in _exposition_lines(metrics))


def _exposition_lines(metrics: Metrics) -> Iterator[str]:
    previous_name = None
    for key, metric in metrics.items():
        if key.name != previous_name:
            yield f"# TYPE {key.name} {_TYPES[type(metric)]}"
            previous_name = key.name
        if isinstance(metric, Histogram):
            yield from _summary_lines(key, metric)
        else:
            yield f"{key.name}{_labels(key)} {metric.value:.17g}"
    yield "# TYPE metrics_overflowed_total counter"
    yield f"metrics_overflowed_total {metrics.overflowed.value:.17g}"


def _summary_lines(key: SeriesKey, metric: Histogram) -> Iterator[str]:
    for level in QUANTILES:
        yield f"{key.name}{_labels(key, quantile=f'{level:g}')} {metric.quantile_s(level):.9g}"
    yield f"{key.name}_sum{_labels(key)} {metric.sum_s:.9g}"
    yield f"{key.name}_count{_labels(key)} {metric.count}"


def _labels(key: SeriesKey, **extra_labels: str) -> str:
    values = {"tenant": key.tenant, "class": key.request_class, **extra_labels}
    pairs = [f'{name}="{value.translate(_ESCAPES)}"' for name, value in values.items() if value]
    return "{" + ",".join(pairs) + "}" if pairs else ""


def to_json(metrics: Metrics) -> str:
    """Return the metrics as a JSON list with one object per series."""
    return json.dumps([_series_to_dict(key, metric) for key, metric in metrics.items()])


def _series_to_dict(key: SeriesKey, metric: Counter | Gauge | Histogram) -> dict[str, Any]:
    values: dict[str, Any] = {
        "name": key.name,
        "type": _TYPES[type(metric)],
        "tenant": key.tenant,
        "class": key.request_class,
    }
    if not isinstance(metric, Histogram):
        return {**values, "value": metric.value}
    quantiles = {f"{level:g}": metric.quantile_s(level) for level in QUANTILES}
    return {**values, "count": metric.count, "sum_s": metric.sum_s, "quantiles_s": quantiles}
