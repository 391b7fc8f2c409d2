"""HTTP attempts on backend servers."""

import asyncio
import logging
import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any
from urllib.parse import quote

import aiohttp
from yarl import URL

from hibiscushaven.ini.fields import Endpoint

from .attempts import AttemptHead, AttemptRequest
from .dialect import Dialect, NativeDialect
from .headers import end_to_end
from .outcome import AttemptError, Stop
from .pools import NotSentError, Pool, Transmission

__all__ = ["BackendClient", "ClientTimeouts"]

_LOG = logging.getLogger(__name__)
_METHOD = re.compile(r"(?!CONNECT$)[A-Z][A-Z-]*")
_TARGET = re.compile(r"/[!-\"$-~\x80-\uffff]*")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_MAX_CONTROL_BYTES = 16 * 1024
_DEFAULT_CONNECTIONS = 64
_NOT_FOUND = 404
# Set by the client itself; a caller's value would contradict it.
_OWN_REQUEST_HEADERS = frozenset({"content-length", "expect"})


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """Times in seconds.

    :ivar connect: time to open a connection.
    :ivar progress: time without a byte after which a connection counts as silent.
    :ivar idle: time after which an idle connection is closed.
    :ivar control: time of a call of a ``/-/`` endpoint.
    """

    connect: float = 1.0
    progress: float = 2.0
    idle: float = 15.0
    control: float = 1.0


_NOT_FOUND = 404


class BackendClient:
    """Sends attempts to backend servers, each on connections of its own tenant and server.

    Explanation
    ===========

    The client never repeats a request: redirects are passed on, cookies are not kept, bodies
    are passed on as they are encoded, and a request on a reused connection that was closed
    fails. Whether it is sent again is the dispatcher's decision.

    See Also
    ========

    hibiscushaven.delivery.bodies.resumed : complete bodies over several attempts

    :param connection_limit: most connections to a server, from the document; a changed value
        is used from the next request on.
    :param dialect: headers that the backend servers understand.
    """

    def __init__(
        self,
        connection_limit: Callable[[Endpoint], int] = lambda server: _DEFAULT_CONNECTIONS,
        timeouts: ClientTimeouts | None = None,
        dialect: Dialect | None = None,
    ) -> None:
        self._connection_limit = connection_limit
        self._dialect = dialect or NativeDialect()
        self._timeouts = timeouts or ClientTimeouts()
        self._pools: dict[tuple[str, Endpoint], Pool] = {}
        self._retirements: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        for pool in self._pools.values():
            await pool.close()
        self._pools.clear()
        await asyncio.gather(*self._retirements, return_exceptions=True)

    async def attempt(self, request: AttemptRequest) -> AttemptHead:
        """Send a request and return the head of its response.

        :raises AttemptError: when there is no response that belongs to the attempt.
        """
        _check_request(request)
        transmission = Transmission(request.guard, request.deadline)
        pool = self._pool(request.tenant, request.server)
        session = await _enter(pool, request)
        response = await self._send(pool, session, request, transmission)
        head = AttemptHead(
            response,
            end_to_end(tuple(response.headers.items())),
            request,
            self._timeouts.progress,
            partial(self._end, pool),
        )
        try:
            self._dialect.check_head(head, request)
        except AttemptError as error:
            await head.close(error.stop)
            raise
        return head

    async def cancel(
        self, server: Endpoint, attempt_id: str, tenant: str = "", has_answered: bool = False
    ) -> bool:
        """Ask a backend server to stop an attempt; return whether it has stopped.

        :param has_answered: whether the head of the response has arrived. An attempt that the
            server does not know then has ended; otherwise it may still be on its way.
        """
        path = "/-/attempts/" + quote(attempt_id, safe="")
        answer = await self.call_control(server, "DELETE", path, tenant)
        if answer is None:
            return False
        return answer[0] < 300 or (has_answered and answer[0] == _NOT_FOUND)

    async def call_control(
        self, server: Endpoint, method: str, path: str, tenant: str = ""
    ) -> tuple[int, bytes] | None:
        """Call a ``/-/`` endpoint; return status and body, or ``None`` without a response."""
        pool = self._pool(tenant, server)
        deadline = asyncio.get_running_loop().time() + self._timeouts.control
        transmission = Transmission(lambda: True, deadline)
        try:
            async with asyncio.timeout_at(deadline):
                return await _exchange_control(pool, server, method, path, transmission)
        except (TimeoutError, aiohttp.ClientError, OSError, NotSentError) as error:
            if transmission.is_sent and isinstance(error, TimeoutError):
                self._empty(pool)
            _LOG.debug("no answer", extra={"server": str(server), "why": repr(error)})
            return None

    def empty_pool(self, server: Endpoint) -> None:
        """Let no later request use a connection to the server that is open now.

        Requests in progress keep their connections until they end.
        """
        for pool in [pool for (_, at), pool in self._pools.items() if at == server]:
            self._empty(pool)

    def idle_connections(self, server: Endpoint) -> int:
        """Return the number of idle connections that a request could reuse."""
        return sum(pool.idle for (_, at), pool in self._pools.items() if at == server)

    def _pool(self, tenant: str, server: Endpoint) -> Pool:
        key = (tenant, server)
        limit = self._connection_limit(server)
        pool = self._pools.get(key)
        if pool is not None and pool.limit != limit:
            self._empty(pool)
            pool = None
        if pool is None:
            pool = self._pools[key] = Pool(limit, self._timeouts.idle)
        return pool

    def _empty(self, pool: Pool) -> None:
        for key in [key for key, item in self._pools.items() if item is pool]:
            del self._pools[key]
        pool.drop_idle()
        task = asyncio.create_task(pool.retire())
        self._retirements.add(task)
        task.add_done_callback(self._retirements.discard)

    async def _end(self, pool: Pool, stop: Stop | None) -> None:
        """Give back the connection of a response that ended."""
        # A complete response was given back to the pool before its id was looked at, so that
        # after a wrong id the pool is emptied to close its connection.
        if stop in (Stop.SILENT, Stop.WRONG_ATTEMPT_ID):
            self._empty(pool)
        await pool.leave()

    async def _send(
        self,
        pool: Pool,
        session: aiohttp.ClientSession,
        request: AttemptRequest,
        transmission: Transmission,
    ) -> aiohttp.ClientResponse:
        try:
            async with asyncio.timeout_at(request.deadline):
                return await _open(session, request, transmission, self._timeouts, self._dialect)
        except BaseException as error:
            stop = _stop_of(error, transmission)
            is_suspect = stop is Stop.DEADLINE and transmission.is_reused
            if stop is Stop.SILENT or is_suspect:
                self._empty(pool)
            await pool.leave()
            if stop is None:
                raise
            raise AttemptError(stop, f"{request.server}: {error!r}") from error


async def _enter(pool: Pool, request: AttemptRequest) -> aiohttp.ClientSession:
    try:
        async with asyncio.timeout_at(request.deadline):
            return await pool.enter(request.use_new_connection)
    except TimeoutError:
        detail = f"{pool.limit} connections to {request.server} in use"
        raise AttemptError(Stop.NO_FREE_CONNECTION, detail) from None


async def _open(
    session: aiohttp.ClientSession,
    request: AttemptRequest,
    transmission: Transmission,
    timeouts: ClientTimeouts,
    dialect: Dialect,
) -> aiohttp.ClientResponse:
    head_timeout_s = request.head_timeout_s or timeouts.progress
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=timeouts.connect, sock_read=head_timeout_s
    )
    response = await session.request(
        request.method,
        URL(f"http://{request.server}{request.target}", encoded=True),
        headers=_request_headers(request, dialect),
        data=request.body or None,
        allow_redirects=False,
        timeout=timeout,
        trace_request_ctx=transmission,
        middlewares=(partial(_attach, transmission),),
    )
    if response.connection is not None:
        # Reading the body has a timeout of its own, which leaves out a slow caller's time.
        response.connection.protocol.read_timeout = None
        response.connection.protocol.start_timeout()
    return response


async def _attach(transmission: Transmission, request: Any, handler: Any) -> Any:
    """Hand the transmission to the request object that aiohttp made."""
    request.transmission = transmission
    return await handler(request)


def _check_request(request: AttemptRequest) -> None:
    """Refuse what would not arrive as one request with these headers."""
    if not (_METHOD.fullmatch(request.method) and _TARGET.fullmatch(request.target)):
        raise AttemptError(Stop.INVALID, f"request {request.method!r} {request.target!r}")
    for name, value in request.headers:
        if not _HEADER_NAME.fullmatch(name) or _CONTROL_CHARACTER.search(value):
            raise AttemptError(Stop.INVALID, f"header {name!r}")


def _request_headers(request: AttemptRequest, dialect: Dialect) -> list[tuple[str, str]]:
    own = _OWN_REQUEST_HEADERS | dialect.own_headers
    headers = [item for item in end_to_end(request.headers) if item[0].lower() not in own]
    now = asyncio.get_running_loop().time()
    left_ms = max(0, int((request.deadline - now) * 1000))
    headers.extend(dialect.request_headers(request, left_ms))
    return headers


def _stop_of(error: BaseException, transmission: Transmission) -> Stop | None:
    """Return where an attempt stopped, or ``None`` for an error that is not its own."""
    if not isinstance(error, Exception):
        return None
    if transmission.is_late:
        return Stop.DEADLINE_BEFORE_SENDING
    if transmission.is_refused:
        return Stop.GUARD_REFUSED
    if not transmission.is_sent:
        return _stop_before_sending(error)
    match error:
        case aiohttp.SocketTimeoutError():
            return Stop.SILENT
        case TimeoutError():
            return Stop.DEADLINE
        case aiohttp.ClientResponseError():
            return Stop.MALFORMED
        case aiohttp.ClientError() | OSError():
            return Stop.CONNECTION_LOST
    return None


def _stop_before_sending(error: Exception) -> Stop | None:
    if type(error) is TimeoutError:
        return Stop.DEADLINE_BEFORE_SENDING
    return Stop.NOT_CONNECTED if isinstance(error, aiohttp.ClientError | OSError) else None


async def _exchange_control(
    pool: Pool, server: Endpoint, method: str, path: str, transmission: Transmission
) -> tuple[int, bytes]:
    session = await pool.enter(use_new_connection=False)
    try:
        async with session.request(
            method,
            URL(f"http://{server}{path}", encoded=True),
            allow_redirects=False,
            trace_request_ctx=transmission,
            middlewares=(partial(_attach, transmission),),
        ) as response:
            body = b""
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > _MAX_CONTROL_BYTES:
                    raise aiohttp.ClientPayloadError(f"more than {_MAX_CONTROL_BYTES} bytes")
            return response.status, body
    finally:
        await pool.leave()
