"""Detection of requests that crash backend servers, with its log lines and metrics."""

import logging

from hibiscushaven.metrics import Metrics

from .crashes import CrashLedger
from .suspects import CrashSuspects

__all__ = ["CrashDetector"]

_LOG = logging.getLogger(__name__)


class CrashDetector:
    """Attributes crashes of backend servers to requests, and reports what it decides.

    Explanation
    ===========

    ``crash_evidence_total`` counts lost connections by what became of them: ``lost`` when the
    connection broke, ``confirmed`` when the server was then found unreachable, ``quarantined``
    when the request is refused from then on, and ``refused`` for each request refused since.

    Examples
    ========

    >>> detector = CrashDetector(CrashLedger(), Metrics())
    >>> for now, server in ((1.0, "a"), (2.0, "b")):
    ...     detector.on_connection_loss(now, server, "poison", sent_at=now - 0.1)
    ...     detector.on_unreachable(now + 0.2, server)
    >>> detector.is_quarantined(2.3, "poison")
    True

    """

    def __init__(self, ledger: CrashLedger, metrics: Metrics) -> None:
        self._ledger = ledger
        self._metrics = metrics
        self._suspects = CrashSuspects()

    def is_quarantined(self, now: float, fingerprint: str) -> bool:
        """Return whether a request must not be sent."""
        is_quarantined = self._ledger.is_quarantined(now, fingerprint)
        if is_quarantined:
            self._count("refused")
        return is_quarantined

    def on_connection_loss(
        self, now: float, server_id: str, fingerprint: str, sent_at: float
    ) -> None:
        """Record a request whose connection broke after it was sent."""
        self._count("lost")
        self._suspects.on_connection_loss(now, server_id, fingerprint, sent_at)

    def on_unreachable(self, now: float, server_id: str) -> None:
        """Record that no connection to a server could be established."""
        crashes = self._suspects.pop_recent(now, server_id)
        if not crashes:
            return
        self._count("confirmed", len(crashes))
        _LOG.info(
            "backend server crashed with requests in progress",
            extra={"server": server_id, "fingerprints": sorted(crashes)},
        )
        for fingerprint, crash in crashes.items():
            if not self._ledger.add(fingerprint, crash):
                continue
            self._count("quarantined")
            _LOG.warning(
                "request is refused since it crashes backend servers",
                extra={"fingerprint": fingerprint, "server": server_id},
            )

    def on_success(self, fingerprint: str) -> None:
        """Record that a request completed."""
        self._ledger.clear_suspicion(fingerprint)

    def _count(self, event: str, amount: int = 1) -> None:
        self._metrics.counter("crash_evidence_total", request_class=event).add(amount)
