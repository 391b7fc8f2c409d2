"""Detection that this VM has lost its links to the backend servers."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping
from functools import partial

from hibiscushaven.discovery import Registry
from hibiscushaven.fleet import UptimeProofs, token_of
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.metrics import Metrics
from hibiscushaven.process import Clock, keep_running, spawn

__all__ = ["LinkMonitor"]

_LOG = logging.getLogger(__name__)

# Servers that this VM must fail to reach, although they respond to other VMs, before its own links
# count as lost. A single server may accept no connection of this VM for other reasons.
MIN_PROVEN_SERVERS = 2

# The same without responses of these servers to other VMs, for a region whose VMs have all lost
# their links. Some server must then respond to some VM.
MIN_FAILED_SERVERS = 6

# Time without a response of any server after which requests that take longer than expected count
# as failures of their servers.
SILENCE_S = 0.4

# Lag of the event loop above which silence says nothing about the servers.
MAX_LAG_S = 0.1

# Time for which a failed connection says something about the path.
FAILURE_LIFETIME_S = 3.0

# Interval between probes while this VM is isolated, and connections in a row after which it is not.
PROBE_INTERVAL_S = 0.5
MIN_CONNECTIONS = 2

# Servers from which the next one to probe is drawn: those that responded to other VMs last.
PROBE_CANDIDATES = 5

_NEVER = float("-inf")


class LinkMonitor:
    """Tells a failure of this VM's links from failures of backend servers.

    Explanation
    ===========

    A VM is isolated if it reaches no server while servers respond to other VMs. Every response to
    this VM ends that, and while there is none, it probes some servers.

    Links may also fail for new connections only. Then responses on open ones continue, and
    ``has_failing_paths`` tells that some servers are out of reach of this VM alone.

    :param overdue: returns the start of the oldest request in progress by server, for servers that
        have left it unanswered for longer than expected.
    :param on_change: called when the VM has become isolated, or is so no longer.
    :ivar can_connect: probe of a server; there are no probes without one.
    """

    def __init__(
        self,
        registry: Registry,
        uptime: UptimeProofs,
        clock: Clock,
        metrics: Metrics,
        overdue: Callable[[float], Mapping[str, float]],
        on_change: Callable[[bool], None],
    ) -> None:
        self._registry = registry
        self._uptime = uptime
        self._now = clock.now
        self._gauge = metrics.gauge("isolated")
        self._overdue = overdue
        self._on_change = on_change
        self._failed_at: dict[str, float] = {}
        self._responded_at = _NEVER
        self._is_isolated = False
        self._probing: asyncio.Task[None] | None = None
        self.can_connect: Callable[[Endpoint], Awaitable[bool]] | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether this VM reaches no backend server, although other VMs do."""
        return self._is_isolated

    def has_failing_paths(self) -> bool:
        """Return whether servers that respond to other VMs accept no connections of this one."""
        return len(self._proven(self._recent_failures())) >= MIN_PROVEN_SERVERS

    def on_response(self, server_id: str) -> None:
        """Record a response of a server."""
        self._responded_at = self._now()
        self._failed_at.pop(server_id, None)
        if self._is_isolated:
            self._set_isolated(False, {})

    def on_failure(self, server_id: str) -> None:
        """Record a connection to a server that failed or broke."""
        self._failed_at.setdefault(server_id, self._now())
        self._check(self._failures_since_response())

    def step(self, lag_s: float = 0.0) -> None:
        """Check for silence; runs several times a second.

        :param lag_s: time by which the event loop is late. Responses may have arrived meanwhile.
        """
        if lag_s > MAX_LAG_S:
            return
        failures = self._failures_since_response()
        now = self._now()
        if now - self._responded_at >= SILENCE_S:
            overdue = self._overdue(now).items()
            failures |= {name: max(at, self._responded_at) for name, at in overdue}
        self._check(failures)

    def close(self) -> None:
        """Stop probing."""
        if self._probing is not None:
            self._probing.cancel()

    def _check(self, failures: Mapping[str, float]) -> None:
        """Find out whether this VM is isolated, by the time of each server's failure."""
        if self._is_isolated or len(failures) < MIN_PROVEN_SERVERS:
            return
        proven = self._proven(failures)
        is_isolated = len(proven) >= MIN_PROVEN_SERVERS or (
            len(failures) >= MIN_FAILED_SERVERS
            and self._uptime.has_any_responded_since(min(failures.values()))
        )
        if is_isolated:
            self._set_isolated(True, {"failed": len(failures), "running": len(proven)})

    def _failures_since_response(self) -> dict[str, float]:
        return {
            server_id: failed_at
            for server_id, failed_at in self._recent_failures().items()
            if failed_at > self._responded_at
        }

    def _recent_failures(self) -> dict[str, float]:
        now = self._now()
        self._failed_at = {
            server_id: failed_at
            for server_id, failed_at in self._failed_at.items()
            if now - failed_at <= FAILURE_LIFETIME_S and server_id in self._registry.servers
        }
        return self._failed_at

    def _proven(self, failures: Mapping[str, float]) -> list[str]:
        """Return the servers that have responded to other VMs after they failed here."""
        return [
            server_id
            for server_id, failed_at in failures.items()
            if self._uptime.has_responded_since(token_of(server_id), failed_at)
        ]

    def _set_isolated(self, is_isolated: bool, details: Mapping[str, int]) -> None:
        self._is_isolated = is_isolated
        self._failed_at.clear()
        self._gauge.set(is_isolated)
        if is_isolated:
            _LOG.warning("links to all backend servers lost", extra=dict(details))
            if self.can_connect is not None:
                probe = partial(self._probe, self.can_connect)
                self._probing = spawn("probes", keep_running("probes", probe))
        else:
            _LOG.info("links to backend servers regained")
            self.close()
        self._on_change(is_isolated)

    async def _probe(self, can_connect: Callable[[Endpoint], Awaitable[bool]]) -> None:
        connections = 0
        while connections < MIN_CONNECTIONS:
            await asyncio.sleep(PROBE_INTERVAL_S)
            candidates = self._probe_candidates()
            if candidates:
                is_connected = await can_connect(random.choice(candidates))
                connections = connections + 1 if is_connected else 0
        self._responded_at = self._now()
        self._probing = None
        self._set_isolated(False, {})

    def _probe_candidates(self) -> list[Endpoint]:
        """Return the addresses of the servers that responded to any VM last."""
        servers = self._registry.servers.items()
        latest = sorted(
            servers, key=lambda item: self._uptime.last_response_at(token_of(item[0])), reverse=True
        )
        return [server.record.address for _, server in latest[:PROBE_CANDIDATES]]
