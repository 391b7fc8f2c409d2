"""Detection of requests that crash backend servers, with its log lines and metrics."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hibiscushaven.discovery import ServerRecord
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.metrics import Metrics
from hibiscushaven.process import spawn

from .crashes import CrashLedger
from .suspects import CrashSuspects

__all__ = ["CrashDetector", "ServerProbe"]

_LOG = logging.getLogger(__name__)

# Time after the loss of a connection in which a response or a failed connection shows without a
# probe whether the server crashed. A crashed server takes longer to start again.
CONFIRMATION_DELAY_S = 0.25


class ServerProbe(Protocol):
    """Port to a check of whether a backend server runs."""

    async def can_connect(self, server: Endpoint) -> bool:
        """Return whether a connection to the server can be opened."""


@dataclass(slots=True)
class _Confirmation:
    """Check of whether a server crashed when its connections broke.

    :ivar is_urgent: set when the check may not wait for other evidence.
    """

    is_urgent: asyncio.Event
    task: asyncio.Task[None]


class CrashDetector:
    """Attributes crashes of backend servers to requests, and reports what it decides.

    Explanation
    ===========

    A broken connection counts as a crash if the server cannot be reached afterwards. Requests
    that are sent to the server show that, but one VM sends few of them, so that the server is
    probed unless it has responded in the meantime. It is probed at once if the same request has
    lost connections before.

    ``crash_evidence_total`` counts lost connections by what became of them: ``lost`` when the
    connection broke, ``confirmed`` when the server was then found unreachable, ``dismissed`` when
    it was found running, ``quarantined`` when the request is refused from then on, and ``refused``
    for each request refused since.

    :param probe: checks whether a server can be reached.
    :param now: returns the seconds since boot.
    :param last_response_at: returns the time of the last known response of a server by its id.
    :param on_evidence: called when the ledger has changed, so that other VMs can be told.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        metrics: Metrics,
        probe: ServerProbe,
        now: Callable[[], float],
        last_response_at: Callable[[str], float],
        on_evidence: Callable[[], None] = lambda: None,
    ) -> None:
        self._ledger = ledger
        self._metrics = metrics
        self._probe = probe
        self._now = now
        self._last_response_at = last_response_at
        self._on_evidence = on_evidence
        self._suspects = CrashSuspects()
        self._confirmations: dict[str, _Confirmation] = {}

    def is_quarantined(self, now: float, fingerprint: str) -> bool:
        """Return whether a request must not be sent."""
        is_quarantined = self._ledger.is_quarantined(now, fingerprint)
        if is_quarantined:
            self._count("refused")
        return is_quarantined

    def on_connection_loss(
        self, now: float, server: ServerRecord, fingerprint: str, sent_at: float
    ) -> None:
        """Record a request whose connection broke after it was sent."""
        self._count("lost")
        self._suspects.on_connection_loss(now, server.process_id, fingerprint, sent_at)
        if server.process_id not in self._confirmations:
            self._start_confirmation(server)
        lossy_servers = self._suspects.servers_of(fingerprint)
        if len(lossy_servers) > 1 or self._ledger.is_suspect(now, fingerprint):
            for confirmation in self._confirmations_of(lossy_servers):
                confirmation.is_urgent.set()

    async def wait_for_confirmation(self, fingerprint: str) -> None:
        """Wait until the urgent checks that concern a request have ended."""
        confirmations = self._confirmations_of(self._suspects.servers_of(fingerprint))
        tasks = [item.task for item in confirmations if item.is_urgent.is_set()]
        if tasks:
            await asyncio.wait(tasks)

    def on_unreachable(self, now: float, server: ServerRecord) -> None:
        """Record that no connection to a server could be established."""
        crashes = self._suspects.pop_recent(now, server.process_id)
        if not crashes:
            return
        self._count("confirmed", len(crashes))
        _LOG.info(
            "backend server crashed with requests in progress",
            extra={"server": server.server_id, "fingerprints": sorted(crashes)},
        )
        for fingerprint, crash in crashes.items():
            if not self._ledger.add(fingerprint, crash):
                continue
            self._count("quarantined")
            _LOG.warning(
                "request is refused since it crashes backend servers",
                extra={"fingerprint": fingerprint, "server": server.server_id},
            )
        self._on_evidence()

    def on_success(self, now: float, fingerprint: str) -> None:
        """Record that a request completed."""
        self._suspects.discard_request(fingerprint)
        if self._ledger.record_completion(fingerprint, now):
            self._on_evidence()

    def close(self) -> None:
        """Cancel the checks in progress."""
        for confirmation in self._confirmations.values():
            confirmation.task.cancel()

    def _start_confirmation(self, server: ServerRecord) -> None:
        is_urgent = asyncio.Event()
        task = spawn("crash confirmation", self._confirm(server, is_urgent))
        self._confirmations[server.process_id] = _Confirmation(is_urgent, task)
        task.add_done_callback(lambda _: self._confirmations.pop(server.process_id, None))

    def _confirmations_of(self, process_ids: list[str]) -> list[_Confirmation]:
        return [self._confirmations[key] for key in process_ids if key in self._confirmations]

    async def _confirm(self, server: ServerRecord, is_urgent: asyncio.Event) -> None:
        """Find out whether a server crashed when its connections broke."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRMATION_DELAY_S):
                await is_urgent.wait()
        lost_at = self._suspects.last_loss_at(server.process_id)
        if lost_at is None:
            return
        started = self._now()
        has_responded = self._last_response_at(server.server_id) > lost_at
        if has_responded or await self._probe.can_connect(server.address):
            self._count("dismissed", len(self._suspects.pop_recent(started, server.process_id)))
        else:
            self.on_unreachable(started, server)

    def _count(self, event: str, amount: int = 1) -> None:
        self._metrics.counter("crash_evidence_total", request_class=event).add(amount)
