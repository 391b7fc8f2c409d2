"""Backend servers that get no requests by what the store, they themselves or other VMs said."""

import logging
from collections import Counter
from enum import StrEnum

from hibiscushaven.discovery import Registry
from hibiscushaven.eras import era_of
from hibiscushaven.metrics import Metrics
from hibiscushaven.placement import ServerNotice, ServerNotices

from .removed_servers import RemovedServers

__all__ = ["REPORT_INTERVAL_S", "ExclusionReason", "ServerExclusions"]

_LOG = logging.getLogger(__name__)

# Interval at which the reasons are worked out for all servers.
REPORT_INTERVAL_S = 1.0


class ExclusionReason(StrEnum):
    """Why a backend server gets no requests."""

    RECORD = "record"
    LEAVING = "leaving"
    PAUSE = "pause"


class ServerExclusions:
    """Excludes servers that leave or were removed, and reports which ones get no requests.

    Explanation
    ===========

    A server is excluded since its record says that it leaves (``RECORD``), since responses say so
    although its record does not (``LEAVING``), or for a time, since it asked for a pause or its
    record came back with a copy of the store (``PAUSE``).

    :param renewal_interval_s: interval at which backend servers renew their records.
    :ivar reasons: why each excluded process gets no requests, as of the latest report.
    """

    def __init__(
        self,
        notices: ServerNotices,
        registry: Registry,
        metrics: Metrics,
        renewal_interval_s: float,
    ) -> None:
        self._notices = notices
        self._registry = registry
        self._metrics = metrics
        self._removed_servers = RemovedServers(renewal_interval_s)
        self._excluded_at: dict[str, float] = {}
        self._reported_at = float("-inf")
        self.reasons: dict[str, ExclusionReason] = {}

    def on_registry_change(self, now: float) -> None:
        """Exclude processes that leave or were removed, which a restored store lists as before."""
        # Without its start time, a record may be that of a later process under the same id.
        records = [
            server.record
            for server in self._registry.servers.values()
            if server.record.started_unix_ms
        ]
        for record in records:
            if record.is_leaving:
                self._notices.record(now, record.process_id, ServerNotice(is_leaving=True))
        era = era_of(self._registry.version)
        process_ids = {record.process_id for record in records}
        pause_s = self._removed_servers.return_delay_s
        returned = self._removed_servers.on_listing(now, era, process_ids)
        for process_id in returned:
            self._notices.record(now, process_id, ServerNotice(pause_s=pause_s))
        if returned:
            _LOG.warning(
                "restored store lists removed servers, which get no requests for now",
                extra={"era": era, "servers": sorted(returned), "pause_s": pause_s},
            )

    def step(self, now: float) -> None:
        """Report which servers get requests again, and how many get none, once an interval."""
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        listed = [server.record for server in self._registry.servers.values()]
        reasons = {
            record.process_id: reason
            for record in listed
            if (reason := self._reason(now, record.process_id, record.is_leaving)) is not None
        }
        known = {record.process_id for record in listed}
        for process_id in sorted((self.reasons.keys() - reasons.keys()) & known):
            _LOG.info(
                "backend server gets requests again",
                extra={
                    "server": process_id,
                    "reason": self.reasons[process_id].value,
                    "elapsed_s": round(now - self._excluded_at[process_id], 3),
                },
            )
        self._excluded_at = {key: self._excluded_at.get(key, now) for key in reasons}
        self.reasons = reasons
        counts = Counter(reasons.values())
        for reason in ExclusionReason:
            self._metrics.gauge("servers_left_out", request_class=reason.value).set(counts[reason])

    def _reason(self, now: float, process_id: str, is_leaving: bool) -> ExclusionReason | None:
        if is_leaving:
            return ExclusionReason.RECORD
        if not self._notices.is_excluded(now, process_id):
            return None
        if process_id in self._notices.leaving_since:
            return ExclusionReason.LEAVING
        return ExclusionReason.PAUSE
