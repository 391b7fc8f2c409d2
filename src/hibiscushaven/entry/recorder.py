"""Metrics of callers' requests."""

from hibiscushaven.metrics import MetricRegistry

from .problems import Problem
from .requests import ClassifiedRequest

__all__ = ["RequestRecorder"]


class RequestRecorder:
    """Records the latency and the outcome of requests by tenant and class."""

    def __init__(self, metrics: MetricRegistry) -> None:
        self._metrics = metrics

    def head(self, item: ClassifiedRequest, seconds: float) -> None:
        """Record the time to the first byte of an answer."""
        tenant, name = _labels(item)
        self._metrics.record("request_head_seconds", tenant, name, seconds)

    def finished(self, item: ClassifiedRequest, seconds: float, is_complete: bool) -> None:
        """Record the end of an answer."""
        tenant, name = _labels(item)
        outcome = "complete" if is_complete else "cut-short"
        self._metrics.record("request_seconds", tenant, name, seconds)
        self._metrics.count(f"requests_{outcome.replace('-', '_')}_total", tenant, name)

    def refused(self, item: ClassifiedRequest, problem: Problem, seconds: float) -> None:
        """Record a request that got a problem."""
        tenant, name = _labels(item)
        outcome = problem.outcome.replace("-", "_")
        self._metrics.record("refusal_seconds", tenant, name, seconds)
        self._metrics.count(f"requests_refused_{outcome}_total", tenant, name)


def _labels(item: ClassifiedRequest) -> tuple[str, str]:
    document = item.entry.document
    return document.tenant, f"{document.name}/{item.request_class.name}"
