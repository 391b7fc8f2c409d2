"""Metrics of callers' requests."""

from hibiscushaven.metrics import Metrics

from .problems import Problem
from .requests import ClassifiedRequest

__all__ = ["RequestRecorder"]


class RequestRecorder:
    """Records the latency and the outcome of requests by tenant and class."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def head(self, item: ClassifiedRequest, seconds: float) -> None:
        """Record the time to the first byte of an answer."""
        tenant, name = _labels(item)
        self._metrics.histogram("request_head_seconds", tenant, name).record(seconds)

    def finished(self, item: ClassifiedRequest, seconds: float, is_complete: bool) -> None:
        """Record the end of an answer."""
        tenant, name = _labels(item)
        outcome = "complete" if is_complete else "cut_short"
        self._metrics.histogram("request_seconds", tenant, name).record(seconds)
        self._metrics.counter(f"requests_{outcome}_total", tenant, name).add()

    def refused(self, item: ClassifiedRequest, problem: Problem, seconds: float) -> None:
        """Record a request that got a problem."""
        tenant, name = _labels(item)
        outcome = problem.outcome.replace("-", "_")
        self._metrics.histogram("refusal_seconds", tenant, name).record(seconds)
        self._metrics.counter(f"requests_refused_{outcome}_total", tenant, name).add()


def _labels(item: ClassifiedRequest) -> tuple[str, str]:
    document = item.entry.document
    return document.tenant, f"{document.name}/{item.request_class.name}"
