"""Metrics of requests from callers."""

from hibiscushaven.metrics import Metrics

from .problems import Problem
from .requests import ClassifiedRequest

__all__ = ["RequestRecorder"]


class RequestRecorder:
    """Records latency and outcome of requests by tenant and request class."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_first_byte(self, classified: ClassifiedRequest, seconds: float) -> None:
        """Record the time to the first byte of a response."""
        tenant, name = _labels(classified)
        self._metrics.histogram("request_head_seconds", tenant, name).record(seconds)

    def record_end(self, classified: ClassifiedRequest, seconds: float, is_complete: bool) -> None:
        """Record the end of a response and whether its body was complete."""
        tenant, name = _labels(classified)
        outcome = "complete" if is_complete else "cut_short"
        self._metrics.histogram("request_seconds", tenant, name).record(seconds)
        self._metrics.counter(f"requests_{outcome}_total", tenant, name).add()

    def record_refusal(
        self, classified: ClassifiedRequest, problem: Problem, seconds: float
    ) -> None:
        """Record a request that was answered with a problem."""
        tenant, name = _labels(classified)
        outcome = problem.outcome.replace("-", "_")
        self._metrics.histogram("refusal_seconds", tenant, name).record(seconds)
        self._metrics.counter(f"requests_refused_{outcome}_total", tenant, name).add()


def _labels(classified: ClassifiedRequest) -> tuple[str, str]:
    document = classified.entry.document
    return document.tenant, f"{document.name}/{classified.request_class.name}"
