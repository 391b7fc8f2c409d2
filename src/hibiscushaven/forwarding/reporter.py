"""Log lines and metrics of requests."""

import logging

from hibiscushaven.delivery import AttemptError
from hibiscushaven.metrics import Metrics
from hibiscushaven.placement import ServerNotice
from hibiscushaven.process import Clock

from .context import RequestContext
from .messages import CallerRequest, CallerResponse
from .refusals import deciding_source

__all__ = ["Reporter"]

_LOG = logging.getLogger(__name__)


class Reporter:
    """Logs and counts the results of attempts and requests, with the inputs of placements."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._now = clock.now

    def attempt_failed(self, context: RequestContext, server_id: str, error: AttemptError) -> None:
        """Log and count an attempt that got no response."""
        _LOG.info(
            "attempt failed",
            extra={
                "request_id": context.request.request_id,
                "server": server_id,
                "fingerprint": context.fingerprint,
                "stop": error.kind.value,
                "why": str(error),
                "outcome": error.outcome.value,
                "status": error.status,
                "names_request": error.names_request,
                "left_s": round(context.deadline - self._now(), 3),
            },
        )
        self._metrics.counter("attempts_failed_total", context.service, error.kind.value).add()

    def rate_limit_announced(self, server_id: str, per_s: float | None) -> None:
        """Log and count a changed rate limit of a backend server.

        :param per_s: requests per second, ``None`` if the limit has ended.
        """
        _LOG.info(
            "backend server changed its rate limit", extra={"server": server_id, "per_s": per_s}
        )
        self._metrics.counter(
            "rate_limit_changes_total", request_class="ended" if per_s is None else "announced"
        ).add()

    def server_excluded(self, process_id: str, notice: ServerNotice) -> None:
        """Log and count a backend server that told this VM to send it nothing."""
        reason = "leaving" if notice.is_leaving else "pause"
        _LOG.info(
            "backend server is left out as it says",
            extra={"server": process_id, "reason": reason, "pause_s": notice.pause_s},
        )
        self._metrics.counter("servers_left_out_total", request_class=reason).add()

    def request_ended(
        self,
        request: CallerRequest,
        context: RequestContext | None,
        response: CallerResponse | None,
        version: int,
    ) -> None:
        """Log and count a request.

        :param context: ``None`` if the request could not be forwarded.
        :param response: ``None`` if the request was cancelled or raised an exception.
        :param version: version of the configuration, for a request that could not be forwarded.
        """
        elapsed_s = self._now() - request.received_at
        status = response.status if response is not None else 0
        extra = {
            "request_id": request.request_id,
            "status": status,
            "elapsed_s": round(elapsed_s, 4),
            "configuration": version,
        }
        refusals = context.refusals if context is not None else []
        source = deciding_source(status, refusals)
        if source is not None:
            extra["not_run_by"] = source.value
        if context is not None:
            label = context.route.kind.value
            self._metrics.histogram("request_seconds", context.service, label).record(elapsed_s)
            self._metrics.counter(
                "requests_total", context.service, f"{label}-{status or 'left'}"
            ).add()
            extra |= {
                "configuration": context.configuration_version,
                "route": context.route.name,
                "service": context.service,
                "sent": context.sent_attempts,
                "is_return": context.is_caller_retry,
                "limit_s": round(context.deadline - request.received_at, 3),
                "why": context.last_error,
                "object": request.object_key,
            }
            if refusals:
                extra["refusals"] = [refusal.to_log() for refusal in refusals]
            extra |= _placement_fields(context)
            extra |= _relay_fields(context)
        _LOG.info("request ended", extra=extra)


def _placement_fields(context: RequestContext) -> dict[str, object]:
    """Return the inputs of the latest placement decisions as fields of a log line."""
    fields: dict[str, object] = {}
    placement, rejection = context.placement, context.rejection
    if placement is not None:
        fields |= {
            "server": placement.server.record.server_id,
            "region": placement.region,
            "busy": placement.in_progress,
            "slots": placement.server.record.slots,
            "predicted_s": round(placement.predicted_s, 3),
            "known_object": placement.is_cache_hit_expected,
        }
    if rejection is not None:
        fields |= {
            "candidates": rejection.candidates,
            "retry_after_s": round(rejection.retry_after_s, 3),
        }
    return fields


def _relay_fields(context: RequestContext) -> dict[str, object]:
    """Return the other VM on the way of a relayed request as a field of a log line."""
    if context.relayed_to is not None:
        return {"relayed_to": context.relayed_to}
    return {"relayed": True} if context.is_relayed else {}
