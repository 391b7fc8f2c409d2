"""Composition and life cycle of the daemon of one entry VM."""

import asyncio
import json
import logging
import secrets
import signal
from dataclasses import dataclass

import aiohttp
import msgpack
import uvicorn
import xxhash
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from hibiscushaven.documents import DocumentCatalog, Server, parse_document
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Lane, Message, PeerClosedError, PeerHub, PeerIdentity, message
from hibiscushaven.platform import ConflictError, HttpPlatform, PlatformError, VmEntry, Write
from hibiscushaven.settings import Settings

from .problems import Problem, problem_response

__all__ = ["EntryDaemon", "run_entry"]

_LOG = logging.getLogger(__name__)
_POLL_S = 0.5


@message("forward")
@dataclass(frozen=True, slots=True)
class Forward(Message):
    """A request for a backend server that the receiver owns."""

    id: str
    service: str
    server: str
    method: str
    path: str
    body: bytes


@message("forwarded")
@dataclass(frozen=True, slots=True)
class Forwarded(Message):
    """The answer to a forwarded request."""

    id: str
    status: int
    body: bytes
    outcome: str


class EntryDaemon:
    """One entry VM."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._platform = HttpPlatform(settings.platform_url, settings.platform_timeout_s)
        self._catalog = DocumentCatalog()
        self._vms: tuple[VmEntry, ...] = ()
        self._waiting: dict[str, asyncio.Future[Forwarded]] = {}
        self._in_progress: dict[str, int] = {}
        identity = PeerIdentity(
            settings.name,
            secrets.token_hex(8),
            settings.failure_domain,
            settings.region,
            settings.host,
            settings.peer_port,
        )
        self._hub = PeerHub(identity, self._receive)
        self._session: aiohttp.ClientSession | None = None

    def build_app(self) -> Starlette:
        methods = ["GET", "POST", "PUT", "DELETE"]
        return Starlette(
            routes=[
                Route("/healthz", lambda request: Response("ok\n")),
                Route("/v1/lookup/{service}", self._lookup),
                Route("/v1/services/{service}/{path:path}", self._carry, methods=methods),
                Route("/v1/documents/{service}", self._put, methods=["PUT"]),
            ]
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        # aiohttp resends idempotent methods on a reused connection that was closed.
        self._session._retry_connection = False
        await self._hub.listen()
        config = uvicorn.Config(
            self.build_app(),
            host=self._settings.host,
            port=self._settings.http_port,
            log_config=None,
            access_log=False,
        )
        server = uvicorn.Server(config)
        loop = asyncio.get_running_loop()
        poll = asyncio.create_task(self._poll())
        with_signals = asyncio.create_task(server.serve())
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, lambda: setattr(server, "should_exit", True))
        await with_signals
        poll.cancel()
        await self._hub.close()
        await self._session.close()
        await self._platform.close()

    async def _poll(self) -> None:
        while True:
            try:
                self._vms = await self._platform.list_vms() or self._vms
                for row in await self._platform.read_prefix("documents/"):
                    self._offer(row.key.removeprefix("documents/"), row.version, row.value)
            except PlatformError as error:
                _LOG.warning("platform poll failed", extra={"reason": str(error)})
            await asyncio.sleep(_POLL_S)

    def _offer(self, service: str, revision: int, value: bytes) -> None:
        self._catalog.offer(service, revision, msgpack.unpackb(value)["text"], value)

    async def _put(self, request: Request) -> Response:
        service = request.path_params["service"]
        source = (await request.body()).decode()
        result = parse_document(source)
        if result.is_error():
            problems = [str(item) for item in result.error]
            return JSONResponse({"problems": problems}, 422)
        expected = int(request.headers.get("if-match", '"0"').strip('"'))
        key = f"documents/{service}"
        value = msgpack.packb({"text": source})
        try:
            versions = await self._platform.transact((Write(key, value, expected),))
        except ConflictError:
            return problem_response(Problem(412, "another revision is in force"), "")
        self._offer(service, versions[key], value)
        return Response(status_code=204, headers={"etag": f'"{versions[key]}"'})

    async def _lookup(self, request: Request) -> Response:
        entry = self._catalog.get(request.path_params["service"])
        if entry is None:
            return problem_response(Problem(404, "no such service"), "")
        near = sorted(self._vms, key=lambda vm: vm.failure_domain != self._settings.failure_domain)
        vms = [{"vm": vm.name, "host": vm.host, "domain": vm.failure_domain} for vm in near]
        return JSONResponse({"revision": entry.revision, "entry_vms": vms})

    async def _carry(self, request: Request) -> Response:
        request_id = secrets.token_hex(8)
        service = request.path_params["service"]
        entry = self._catalog.get(service)
        if entry is None:
            return problem_response(Problem(404, "no such service"), request_id)
        path = "/" + request.path_params["path"]
        servers = [item for item in entry.document.servers if not item.is_leaving]
        server = servers[int(request_id, 16) % len(servers)]
        body = await request.body()
        work = Forward(request_id, service, server.name, request.method, path, body)
        answer = await self._forward(self._owner(service, server), work)
        headers = {"request-outcome": answer.outcome, "request-id": request_id}
        return Response(answer.body, answer.status, headers)

    def _owner(self, service: str, server: Server) -> Endpoint:
        domain = self._catalog.get(service).document.places_by_name[server.place].failure_domain
        candidates = [vm for vm in self._vms if vm.failure_domain == domain]
        best = max(
            candidates, key=lambda vm: xxhash.xxh64_intdigest(f"{vm.name} {server.name}".encode())
        )
        return Endpoint(best.host, best.peer_port)

    async def _forward(self, owner: Endpoint, work: Forward) -> Forwarded:
        if owner == self._hub.identity.endpoint:
            return await self._attempt(work)
        future = asyncio.get_running_loop().create_future()
        self._waiting[work.id] = future
        try:
            await self._hub.send(owner, Lane.SHORT, work)
            return await asyncio.wait_for(future, 5)
        except PeerClosedError:
            return Forwarded(work.id, 503, b"owner unreachable\n", "unknown")
        finally:
            del self._waiting[work.id]

    async def _receive(self, link, item: Message) -> None:
        if isinstance(item, Forward):
            link.stream.send_nowait(await self._attempt(item))
        elif isinstance(item, Forwarded) and item.id in self._waiting:
            self._waiting[item.id].set_result(item)

    async def _attempt(self, work: Forward) -> Forwarded:
        document = self._catalog.get(work.service).document
        server = next(item for item in document.servers if item.name == work.server)
        if self._in_progress.get(server.name, 0) >= server.slots:
            return Forwarded(work.id, 503, b"no free slot\n", "not-run")
        self._in_progress[server.name] = self._in_progress.get(server.name, 0) + 1
        url = f"http://{server.address}{work.path}"
        try:
            async with self._session.request(
                work.method,
                url,
                data=work.body,
                headers={"Attempt-Id": work.id},
                allow_redirects=False,
            ) as response:
                return Forwarded(work.id, response.status, await response.read(), "run")
        except aiohttp.ClientConnectorError:
            return Forwarded(work.id, 503, b"not connected\n", "not-run")
        except aiohttp.ClientError as error:
            return Forwarded(work.id, 502, json.dumps(str(error)).encode(), "unknown")
        finally:
            self._in_progress[server.name] -= 1


async def run_entry(settings: Settings) -> None:
    """Run the daemon of one entry VM."""
    await EntryDaemon(settings).run()
