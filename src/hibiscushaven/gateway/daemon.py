"""Lifecycle of a gateway: HTTP servers, start, reload of options and graceful shutdown."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import fields, replace
from math import inf
from typing import Any, Protocol

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp

from hibiscushaven.delivery import BackendClient, ClientTimeouts, Dialect
from hibiscushaven.forwarding import (
    CallerApp,
    CallerDialect,
    Forwarder,
    NoticeReader,
    PeerRelay,
    RelayDialect,
    RelayedCallers,
    RetryBudgetOptions,
)
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.metrics import Metrics
from hibiscushaven.metrics.exposition import to_text
from hibiscushaven.process import (
    BudgetLimits,
    Clock,
    ConnectionBudget,
    ConnectionLimits,
    HttpServer,
    MachineLimits,
    Part,
    spawn,
)
from hibiscushaven.routing import CallerLimits, OperatorState

from .directory import choose_addresses
from .node import GatewayNode
from .options import GatewayOptions
from .ports import PlatformStore

__all__ = ["DirectoryDialect", "GatewayDaemon", "make_forwarder"]

_LOG = logging.getLogger(__name__)

# Idle timeout of callers' connections before the first configuration arrives. It exceeds all
# configurable timeouts, so that no connection is closed earlier than the caller expects.
CALLER_IDLE_S = 120

# Length of the header fields that VMs add to a relayed request.
RELAY_FIELDS_BYTES = 1024

# Idle timeout of connections to backend servers, which close idle connections after 10 s
# themselves. The gateway closes them first, so that it sends no request on a closing connection.
BACKEND_IDLE_S = 8.0

# Connecting takes milliseconds within a region and about 0.1 s between regions.
CONNECT_TIMEOUT_S = 0.35

# A server that is silent within its response may be at work, so that only deadlines end a response.
PROGRESS_TIMEOUT_S = inf

# Fraction of the grace time for which new requests are still accepted: callers may use directory
# responses that name this VM for a while.
SERVING_FRACTION = 0.5

# Time by which the process may take note of the signal to stop too late.
SIGNAL_LAG_S = 0.1

# Fraction of the grace time at which requests that arrived during it reach their deadline.
DEADLINE_FRACTION = 0.9

# Fraction of the grace time after which requests in progress are aborted.
ABORT_FRACTION = 0.95

# Longest wait for the store at the end, which is that for one response.
DEREGISTER_WAIT_S = 1.0

# Longest wait for the closing of connections at the end.
CLOSE_WAIT_S = 0.2

# Time without requests after which no more callers are expected during shutdown.
QUIET_S = 1.0

# Interval between checks for requests during shutdown.
_QUIET_CHECK_INTERVAL_S = 0.05

# Options that can be changed at run time; the others require a restart.
_RELOADABLE_OPTIONS = frozenset({"regions", "answer_ttl_s", "grace_s", "shift_cap", "budget"})


class DirectoryDialect(Protocol):
    """Port for the format of the directory, which returns addresses of VMs to callers.

    :ivar path: path of directory requests.
    :ivar readiness_path: path of the readiness check.
    """

    path: str
    readiness_path: str

    def read(self, request: Request) -> tuple[str, str, str]:
        """Return the requested host, and the caller's region and failure domain."""

    def write(self, addresses: list[str], ttl_s: float) -> object:
        """Return the response body, to be encoded as JSON.

        :param ttl_s: time for which callers may cache the response.
        """


class GatewayDaemon:
    """A gateway with its node, forwarder and HTTP servers.

    :param callers: format of callers' requests.
    :param backends: format of requests to backend servers.
    :param notice_reader: reads what backend servers say about themselves.
    :param directory: format of the directory.
    :param machine: memory and descriptors of the process.
    """

    def __init__(
        self,
        options: GatewayOptions,
        store: PlatformStore,
        callers: CallerDialect,
        backends: Dialect,
        notice_reader: NoticeReader,
        directory: DirectoryDialect,
        clock: Clock,
        machine: MachineLimits | None = None,
    ) -> None:
        self._options = options
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = Metrics()
        self._budget = ConnectionBudget(
            BudgetLimits.of(machine or MachineLimits.detect()), on_eviction=self._count_eviction
        )
        timeouts = ClientTimeouts(
            connect_s=CONNECT_TIMEOUT_S, progress_s=PROGRESS_TIMEOUT_S, idle_s=BACKEND_IDLE_S
        )
        self._client = BackendClient(timeouts=timeouts, dialect=backends)
        self._relay_client = BackendClient(timeouts=timeouts, dialect=RelayDialect())
        self.node = GatewayNode(
            options,
            store,
            clock,
            self._on_operator,
            self._drain_arrival_counts,
            self._client.retire_connections,
            self._metrics,
            self._on_links_change,
            self._budget,
        )
        self._forwarder = make_forwarder(
            self.node,
            self._client,
            notice_reader,
            options.budget,
            self._metrics,
            clock,
            self._relay_client,
        )
        self._app = CallerApp(self._forwarder, callers, clock)
        relay_app = CallerApp(self._forwarder, RelayedCallers(callers), clock)
        self._set_limits(CallerLimits(idle_timeout_s=CALLER_IDLE_S))
        self._servers = [
            self._make_server(
                self._app,
                options.callers_at,
                lambda: self._caller_limits,
                id_header=callers.id_header,
            ),
            self._make_server(Starlette(routes=[self._readiness_route()]), options.readiness_at),
            self._make_server(Starlette(routes=[self._directory_route()]), options.directory_at),
            self._make_server(
                relay_app,
                options.relay_at,
                lambda: self._relay_limits,
                id_header=callers.id_header,
                echoed_headers=(RelayDialect.id_header,),
            ),
        ]
        for address in (options.status_at, options.metrics_at):
            if address is not None:
                app = Starlette(routes=self._status_routes())
                self._servers.append(self._make_server(app, address))

    async def start(self) -> None:
        """Start the node and the HTTP servers.

        :raises OSError: when listening on an address fails; what was opened until then is closed.
        """
        try:
            await self.node.start()
            for server in self._servers:
                await server.start()
        except OSError:
            await asyncio.gather(*(server.stop(is_forced=True) for server in self._servers))
            await self._close_connections()
            raise
        _LOG.info(
            "gateway started",
            extra={
                "region": self._options.region,
                "failure_domain": self._options.failure_domain,
                "callers_at": str(self._options.callers_at),
            },
        )

    def apply_options(self, options: GatewayOptions) -> None:
        """Apply the changed options that need no restart, and log the others."""
        changed = {
            item.name
            for item in fields(GatewayOptions)
            if getattr(options, item.name) != getattr(self._options, item.name)
        }
        applied = {name: getattr(options, name) for name in sorted(changed & _RELOADABLE_OPTIONS)}
        self._options = replace(self._options, **applied)
        self._forwarder.set_budget(self._options.budget)
        self.node.apply_options(self._options)
        _LOG.info(
            "options adopted",
            extra={"taken": sorted(applied), "need_restart": sorted(changed - _RELOADABLE_OPTIONS)},
        )

    async def stop(self) -> None:
        """Shut down gracefully, so that requests in progress can finish.

        Explanation
        ===========

        Directory responses name this VM no more. It still accepts requests for half of the grace
        time, or until no more arrive, unless they would not end in time. Later ones are rejected,
        whatever else the shutdown waits for. Then the HTTP servers stop, and the requests in
        progress finish or are aborted shortly before the grace time ends.
        """
        started, grace_s = self._clock.now(), self._options.grace_s
        _LOG.info("gateway stopping", extra={"in_progress": self._app.in_progress})
        self._limit_requests(
            accepts_until=started + SERVING_FRACTION * grace_s - SIGNAL_LAG_S,
            ends_at=started + DEADLINE_FRACTION * grace_s,
        )
        self.node.leave()
        deregistration = spawn("deregistration", self.node.deregister())
        await self._wait_until_quiet(self._forwarder.accepts_until)
        abort_at = started + ABORT_FRACTION * grace_s
        stops = [asyncio.create_task(server.stop()) for server in self._servers]
        _, unfinished = await asyncio.wait(stops, timeout=max(0.0, abort_at - self._clock.now()))
        if unfinished:
            _LOG.warning(
                "requests aborted at the end of the grace time",
                extra={"in_progress": self._app.in_progress},
            )
            for stop in unfinished:
                stop.cancel()
        left_s = max(0.0, self._forwarder.ends_at - self._clock.now())
        await asyncio.wait((deregistration,), timeout=min(DEREGISTER_WAIT_S, left_s))
        deregistration.cancel()
        self._forwarder.close()
        await self._close_connections()
        _LOG.info("gateway stopped", extra={"after_s": round(self._clock.now() - started, 2)})

    async def _close_connections(self) -> None:
        """Close what is open; a connection whose peer reads nothing may never close."""
        try:
            async with asyncio.timeout(CLOSE_WAIT_S):
                await self.node.close()
                for item in (self._client, self._relay_client, self._store):
                    await item.close()
        except TimeoutError:
            _LOG.warning("connections left open at the end", extra={"waited_s": CLOSE_WAIT_S})

    def _limit_requests(self, accepts_until: float, ends_at: float) -> None:
        """Reject requests after a time, and those that would not end by another time."""
        self._forwarder.accepts_until, self._forwarder.ends_at = accepts_until, ends_at
        self._app.is_leaving = True

    async def _wait_until_quiet(self, deadline: float) -> None:
        """Wait for ``QUIET_S`` without requests, at most until a deadline."""
        earliest = self._clock.now() + QUIET_S
        while self._clock.now() < deadline:
            now = self._clock.now()
            is_quiet = now - self._app.last_request_at > QUIET_S and not self._app.in_progress
            if now >= earliest and is_quiet:
                return
            await asyncio.sleep(min(_QUIET_CHECK_INTERVAL_S, deadline - now))

    def _on_operator(self, operator: OperatorState) -> None:
        if operator.configuration is not None:
            self._forwarder.set_configuration(operator.configuration)
            self._set_limits(operator.configuration.limits)

    def _set_limits(self, limits: CallerLimits) -> None:
        """Apply the configuration's limits to the connections of each port."""
        self._caller_limits = ConnectionLimits(
            limits.max_header_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
            limits.max_body_bytes,
        )
        self._service_limits = replace(self._caller_limits, idle_timeout_s=CALLER_IDLE_S)
        # Each field of a relayed head can be a byte longer, and there are those between VMs. The
        # body is checked once it is known that the peer's configuration is not newer.
        self._relay_limits = ConnectionLimits(
            2 * limits.max_header_bytes + RELAY_FIELDS_BYTES,
            limits.header_timeout_s,
            CALLER_IDLE_S,
        )

    def _on_links_change(self, is_isolated: bool) -> None:
        if is_isolated:
            # They may stay silent for good, also when the links are back.
            self._client.retire_all_connections()

    def _drain_arrival_counts(self) -> dict[str, int]:
        return self._forwarder.drain_arrival_counts()

    def _count_eviction(self, reason: str) -> None:
        self._metrics.counter("connections_evicted_total", request_class=reason).add()

    def _make_server(
        self,
        app: ASGIApp,
        address: Endpoint,
        limits: Callable[[], ConnectionLimits] | None = None,
        **options: Any,
    ) -> HttpServer:
        return HttpServer(
            app,
            address.host,
            address.port,
            CALLER_IDLE_S,
            adds_date_header=False,
            limits=limits or (lambda: self._service_limits),
            budget=self._budget,
            **options,
        )

    def _readiness_route(self) -> Route:
        async def readiness(request: Request) -> Response:
            return PlainTextResponse("", 200 if self.node.is_ready else 503)

        return Route(self._directory.readiness_path, readiness)

    def _directory_route(self) -> Route:
        async def directory(request: Request) -> Response:
            host, region, failure_domain = self._directory.read(request)
            route_table = self._forwarder.route_table
            own = str(self._options.callers_at) if self.node.is_ready else None
            addresses = choose_addresses(
                self._clock.now(),
                self.node.view,
                own,
                region,
                failure_domain,
                route_table.home_regions(host) if route_table is not None else frozenset(),
            )
            if not addresses:
                return PlainTextResponse("no VM is ready", 503)
            return JSONResponse(self._directory.write(addresses, self._options.answer_ttl_s))

        return Route(self._directory.path, directory)

    def _status_routes(self) -> list[Route]:
        async def metrics(request: Request) -> Response:
            for part in Part:
                gauge = self._metrics.gauge("callers_held_bytes", request_class=part.label)
                gauge.set(self._budget.held_bytes(part))
            self._metrics.gauge("callers_connections").set(self._budget.connections)
            return PlainTextResponse(to_text(self._metrics))

        async def status(request: Request) -> Response:
            return JSONResponse(self._status())

        return [Route("/metrics", metrics), Route("/v1/status", status)]

    def _status(self) -> dict[str, object]:
        node = self.node
        now = self._clock.now()
        configuration = node.operator.configuration
        services = configuration.services if configuration is not None else {}
        return {
            "vm": self._options.name,
            "is_ready": node.is_ready,
            "configuration": configuration.version if configuration is not None else None,
            "evacuated": sorted(node.operator.evacuated),
            "servers": len(node.registry.servers),
            "servers_age_s": round(node.servers_age_s, 3),
            "vms": [state.name for state in node.view.live_peers(now)],
            "region_shares": {name: dict(node.picker.region_shares(name)) for name in services},
            "copy_levels": {name: dict(node.picker.replication_factors(name)) for name in services},
            "in_progress": self._app.in_progress,
        }


def make_forwarder(
    node: GatewayNode,
    client: BackendClient,
    notice_reader: NoticeReader,
    budget: RetryBudgetOptions,
    metrics: Metrics,
    clock: Clock,
    relay_client: BackendClient,
) -> Forwarder:
    """Return a forwarder that decides by the state of a node and keeps it up to date.

    :param client: client for backend servers.
    :param relay_client: client for other VMs.
    """
    node.links.can_connect = client.can_connect
    return Forwarder(
        node.picker,
        node.loads,
        client,
        notice_reader,
        budget,
        metrics,
        node.vm_count,
        clock,
        node.on_load_change,
        node.is_configuration_old,
        node.crashes,
        node.crash_exchange.gossip.share_now,
        node.rate_limit_exchange.gossip.share_now,
        node.links,
        PeerRelay(relay_client, node.relay_peers, metrics, clock.now),
    )
