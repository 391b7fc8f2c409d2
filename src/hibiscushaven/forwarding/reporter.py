"""Log lines and metrics of requests."""

import logging

from hibiscushaven.delivery import AttemptError
from hibiscushaven.metrics import Metrics
from hibiscushaven.process import Clock

from .course import Course
from .messages import Answer, CallerRequest

__all__ = ["Reporter"]

_LOG = logging.getLogger(__name__)


class Reporter:
    """Tells what was decided about requests, and from what."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._now = clock.now

    def attempt_failed(self, course: Course, server_id: str, error: AttemptError) -> None:
        """Log and count an attempt without an answer."""
        _LOG.info(
            "attempt failed",
            extra={
                "request_id": course.request.request_id,
                "server": server_id,
                "stop": error.kind.value,
                "why": str(error),
                "left_s": round(course.deadline - self._now(), 3),
            },
        )
        self._metrics.counter("attempts_failed_total", course.service, error.kind.value).add()

    def ended(
        self, request: CallerRequest, course: Course | None, answer: Answer | None, version: int
    ) -> None:
        elapsed_s = self._now() - request.received_at
        status = answer.status if answer is not None else 0
        extra = {
            "request_id": request.request_id,
            "status": status,
            "elapsed_s": round(elapsed_s, 4),
            "configuration": version,
        }
        if course is not None:
            label = course.route.kind.value
            self._metrics.histogram("request_seconds", course.service, label).record(elapsed_s)
            self._metrics.counter(
                "requests_total", course.service, f"{label}-{status or 'left'}"
            ).add()
            extra |= {
                "route": course.route.name,
                "service": course.service,
                "sent": course.sent,
                "is_return": course.is_return,
                "limit_s": round(course.deadline - request.received_at, 3),
                "why": course.last,
                "object": request.object_key,
            }
            extra |= _inputs(course)
        _LOG.info("request ended", extra=extra)


def _inputs(course: Course) -> dict[str, object]:
    """Return what the last choice of a backend server was made from, for the log."""
    inputs: dict[str, object] = {}
    placed, no_room = course.placement, course.no_room
    if placed is not None:
        inputs |= {
            "server": placed.server.record.server_id,
            "region": placed.region,
            "busy": placed.busy,
            "slots": placed.server.record.slots,
            "predicted_s": round(placed.predicted_s, 3),
            "known_object": placed.is_known_object,
        }
    if no_room is not None:
        inputs |= {
            "candidates": no_room.candidates,
            "retry_after_s": round(no_room.retry_after_s, 3),
        }
    return inputs
