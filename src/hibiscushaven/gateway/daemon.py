"""Life cycle of a gateway: servers, start and graceful stop."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Protocol

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from hibiscushaven.delivery import BackendClient, ClientTimeouts, Dialect
from hibiscushaven.forwarding import CallerApp, CallerDialect, Forwarder, LoadReader
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.metrics import Metrics
from hibiscushaven.metrics.exposition import to_text
from hibiscushaven.process import Clock, ConnectionLimits, HttpServer
from hibiscushaven.routing import CallerLimits, OperatorState

from .directory import choose_addresses
from .node import GatewayNode
from .options import GatewayOptions
from .ports import PlatformStore

__all__ = ["DirectoryDialect", "GatewayDaemon"]

_LOG = logging.getLogger(__name__)

# Time that idle connections of callers are kept before the first configuration; longer than
# what configurations allow, so that no caller is surprised.
CALLER_IDLE_S = 120

# Idle connections to backend servers are closed before the servers close them, which they do
# after 10 s.
BACKEND_IDLE_S = 8.0

# A connection within a region is made in milliseconds, between regions in a tenth of a second.
CONNECT_TIMEOUT_S = 0.35

# Time without a byte of a body that has begun.
PROGRESS_TIMEOUT_S = 2.0

# Part of the grace time in which callers that were sent here before are still served, and the
# part after which requests in progress are given up.
SERVING_PART = 0.5
ENDING_PART = 0.9

# Quiet time after which no more callers are expected during a stop.
QUIET_S = 1.0

_CHECK_S = 0.05

# Options that can change while the gateway runs; the others need a restart.
_CHANGEABLE = frozenset({"regions", "answer_ttl_s", "grace_s", "shift_cap", "budget"})


class DirectoryDialect(Protocol):
    """Port to the questions of callers that ask where to connect.

    :ivar path: path of the question.
    :ivar readiness_path: path of the readiness check.
    """

    path: str
    readiness_path: str

    def read(self, request: Request) -> tuple[str, str, str]:
        """Return the host that is asked for, and the caller's region and failure domain."""

    def write(self, addresses: list[str], ttl_s: float) -> object:
        """Return the body of an answer."""


class GatewayDaemon:
    """One gateway with its servers."""

    def __init__(
        self,
        options: GatewayOptions,
        store: PlatformStore,
        callers: CallerDialect,
        backends: Dialect,
        load_reader: LoadReader,
        directory: DirectoryDialect,
        clock: Clock,
    ) -> None:
        self._options = options
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = Metrics()
        timeouts = ClientTimeouts(
            connect_s=CONNECT_TIMEOUT_S, progress_s=PROGRESS_TIMEOUT_S, idle_s=BACKEND_IDLE_S
        )
        self._client = BackendClient(timeouts=timeouts, dialect=backends)
        self.node = GatewayNode(
            options,
            store,
            clock,
            self._on_operator,
            self._take_arrivals,
            self._client.retire_connections,
        )
        self._forwarder = Forwarder(
            self.node.picker,
            self.node.loads,
            self._client,
            load_reader,
            options.budget,
            self._metrics,
            self.node.vm_count,
            clock,
            self.node.on_load_change,
        )
        self._app = CallerApp(self._forwarder, callers, clock)
        self._caller_limits = _connection_limits(CallerLimits(idle_timeout_s=CALLER_IDLE_S))
        self._servers = [
            _server(self._app, options.callers_at, lambda: self._caller_limits),
            _server(Starlette(routes=[self._readiness_route()]), options.readiness_at),
            _server(Starlette(routes=[self._directory_route()]), options.directory_at),
        ]
        for address in (options.status_at, options.metrics_at):
            if address is not None:
                self._servers.append(_server(Starlette(routes=self._status_routes()), address))

    async def start(self) -> None:
        """Start to serve.

        :raises OSError: when an address cannot be used.
        """
        await self.node.start()
        for server in self._servers:
            await server.start()
        _LOG.info(
            "gateway started",
            extra={
                "region": self._options.region,
                "failure_domain": self._options.failure_domain,
                "callers_at": str(self._options.callers_at),
            },
        )

    def adopt(self, options: GatewayOptions) -> None:
        """Use changed options as far as that is possible without a restart."""
        changed = {
            item.name
            for item in fields(GatewayOptions)
            if getattr(options, item.name) != getattr(self._options, item.name)
        }
        taken = {name: getattr(options, name) for name in sorted(changed & _CHANGEABLE)}
        self._options = replace(self._options, **taken)
        self._forwarder.set_budget(self._options.budget)
        self.node.adopt(self._options)
        _LOG.info(
            "options adopted",
            extra={"taken": sorted(taken), "need_restart": sorted(changed - _CHANGEABLE)},
        )

    async def stop(self) -> None:
        """Stop without cutting off a request.

        Explanation
        ===========

        No caller is sent here any more, but those who were sent before are served for half of
        the grace time, or until they stay away. Then the requests in progress are finished.
        """
        started = self._clock.now()
        _LOG.info("gateway stopping", extra={"in_progress": self._app.in_progress})
        self.node.leave()
        self._app.is_leaving = True
        await self._until_quiet(started + SERVING_PART * self._options.grace_s)
        await self.node.deregister()
        ending = started + ENDING_PART * self._options.grace_s
        stops = [asyncio.create_task(server.stop()) for server in self._servers]
        _, unfinished = await asyncio.wait(stops, timeout=max(0.0, ending - self._clock.now()))
        if unfinished:
            _LOG.warning("requests cut off", extra={"in_progress": self._app.in_progress})
            for stop in unfinished:
                stop.cancel()
        await self.node.close()
        await self._client.close()
        await self._store.close()
        _LOG.info("gateway stopped", extra={"after_s": round(self._clock.now() - started, 2)})

    async def _until_quiet(self, until: float) -> None:
        least = self._clock.now() + QUIET_S
        while self._clock.now() < until:
            now = self._clock.now()
            is_quiet = now - self._app.last_request_at > QUIET_S and not self._app.in_progress
            if now >= least and is_quiet:
                return
            await asyncio.sleep(_CHECK_S)

    def _on_operator(self, operator: OperatorState) -> None:
        if operator.configuration is not None:
            self._forwarder.set_configuration(operator.configuration)
            self._caller_limits = _connection_limits(operator.configuration.limits)

    def _take_arrivals(self) -> dict[str, int]:
        return self._forwarder.take_arrivals()

    def _readiness_route(self) -> Route:
        async def readiness(request: Request) -> Response:
            return PlainTextResponse("", 200 if self.node.is_ready else 503)

        return Route(self._directory.readiness_path, readiness)

    def _directory_route(self) -> Route:
        async def directory(request: Request) -> Response:
            host, region, failure_domain = self._directory.read(request)
            table = self._forwarder.table
            own = str(self._options.callers_at) if self.node.is_ready else None
            addresses = choose_addresses(
                self._clock.now(),
                self.node.view,
                own,
                region,
                failure_domain,
                table.home_regions(host) if table is not None else frozenset(),
            )
            if not addresses:
                return PlainTextResponse("no VM is ready", 503)
            return JSONResponse(self._directory.write(addresses, self._options.answer_ttl_s))

        return Route(self._directory.path, directory)

    def _status_routes(self) -> list[Route]:
        async def metrics(request: Request) -> Response:
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
            "vms": [state.name for state in node.view.up(now)],
            "region_shares": {name: dict(node.picker.region_shares(name)) for name in services},
            "copy_levels": {name: dict(node.picker.copy_levels(name)) for name in services},
            "in_progress": self._app.in_progress,
        }


def _server(
    app: object, address: Endpoint, limits: Callable[[], ConnectionLimits] | None = None
) -> HttpServer:
    return HttpServer(
        app, address.host, address.port, CALLER_IDLE_S, adds_date_header=False, limits=limits
    )


def _connection_limits(limits: CallerLimits) -> ConnectionLimits:
    return ConnectionLimits(limits.max_header_bytes, limits.header_timeout_s, limits.idle_timeout_s)
