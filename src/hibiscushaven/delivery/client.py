"""HTTP client for attempts on backend servers."""

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
from hibiscushaven.process import spawn

from .attempts import AttemptRequest, AttemptResponse
from .connection_pool import ConnectionPool, NotSentError, Transmission
from .dialect import Dialect, NativeDialect
from .headers import end_to_end
from .outcome import AttemptError, FailureKind

__all__ = ["BackendClient", "ClientTimeouts"]

_LOG = logging.getLogger(__name__)
_METHOD = re.compile(r"(?!CONNECT$)[A-Z][A-Z-]*")
_TARGET = re.compile(r"/[!-\"$-~\x80-\uffff]*")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_MAX_CONTROL_RESPONSE_BYTES = 16 * 1024
_DEFAULT_CONNECTIONS = 64

# Lateness of a time limit above which this process was paused, so that the limit says nothing about
# the server.
MAX_TIMER_LAG_S = 0.5
_NOT_FOUND = 404

# Time for which a probe keeps its connection. A process that ends closes its listening socket
# within some milliseconds.
PROBE_DURATION_S = 0.05

# Failure kinds after which no connection to the server's address is used again. After
# ``MISDIRECTED`` another server has the address, and the same request may be sent to it.
_RETIRED_AFTER = frozenset(
    {FailureKind.SILENT, FailureKind.WRONG_ATTEMPT_ID, FailureKind.MISDIRECTED}
)
# Set by the client itself; values supplied by a caller could contradict them.
_CLIENT_HEADERS = frozenset({"content-length", "expect"})


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """Timeouts of the client.

    :ivar connect_s: maximum time to open a connection.
    :ivar progress_s: time without a received byte after which a connection counts as silent;
        infinite for none.
    :ivar idle_s: time after which an idle connection is closed.
    :ivar control_s: maximum time of a call of a ``/-/`` endpoint.
    """

    connect_s: float = 1.0
    progress_s: float = 2.0
    idle_s: float = 15.0
    control_s: float = 1.0


class BackendClient:
    """Sends attempts to backend servers over one connection pool per tenant and server.

    Explanation
    ===========

    The client never repeats a request: it returns redirects without following them, and a
    request on a reused connection that was closed fails. The dispatcher decides whether to
    retry. Cookies are not stored, and bodies are not decompressed.

    See Also
    ========

    hibiscushaven.delivery.resumable_response.ResumableResponse : one body from several attempts

    :param connection_limit: returns the maximum number of connections to a server, as set in
        the document; a changed value takes effect with the next request.
    :param dialect: header fields that the backend servers understand.
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
        self._pools: dict[tuple[str, Endpoint], ConnectionPool] = {}
        self._retire_tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        for pool in self._pools.values():
            await pool.close()
        self._pools.clear()
        await asyncio.gather(*self._retire_tasks, return_exceptions=True)

    async def attempt(self, request: AttemptRequest) -> AttemptResponse:
        """Send a request and return its response once status and headers have arrived.

        :raises AttemptError: when no valid response to the attempt arrives.
        """
        _check_request(request)
        transmission = Transmission(request.guard, request.deadline)
        pool = self._pool(request.tenant, request.server)
        session = await _acquire_session(pool, request)
        response = await self._send(pool, session, request, transmission)
        attempt_response = AttemptResponse(
            response,
            end_to_end(tuple(response.headers.items())),
            request,
            self._timeouts.progress_s,
            partial(self._on_response_end, pool),
        )
        try:
            self._dialect.check_response(attempt_response, request)
        except AttemptError as error:
            await attempt_response.close(error.kind)
            raise
        return attempt_response

    async def cancel(
        self,
        server: Endpoint,
        attempt_id: str,
        tenant: str = "",
        has_response_started: bool = False,
    ) -> bool:
        """Request cancellation of an attempt; return whether the attempt has stopped.

        :param has_response_started: whether the head of the response has arrived. If so, an
            attempt that the server does not know has ended; otherwise the request may still be
            in transit to the server.
        """
        path = "/-/attempts/" + quote(attempt_id, safe="")
        response = await self.call_control(server, "DELETE", path, tenant)
        if response is None:
            return False
        return response[0] < 300 or (has_response_started and response[0] == _NOT_FOUND)

    async def call_control(
        self, server: Endpoint, method: str, path: str, tenant: str = ""
    ) -> tuple[int, bytes] | None:
        """Call a ``/-/`` endpoint; return status and body, or ``None`` without a response."""
        pool = self._pool(tenant, server)
        deadline = asyncio.get_running_loop().time() + self._timeouts.control_s
        transmission = Transmission(lambda: True, deadline)
        try:
            async with asyncio.timeout_at(deadline):
                return await _send_control(pool, server, method, path, transmission)
        except (TimeoutError, aiohttp.ClientError, OSError, NotSentError) as error:
            if transmission.is_sent and isinstance(error, TimeoutError):
                self._retire_pool(pool)
            _LOG.debug(
                "control request to backend server failed",
                extra={"server": str(server), "why": repr(error)},
            )
            return None

    async def can_connect(self, server: Endpoint) -> bool:
        """Return whether the server runs, as far as a connection without a request shows it.

        Explanation
        ===========

        A process that ends still accepts connections until its listening socket is closed, and
        resets them then. A server may also reset them since it has too many. So after a connection
        that is ended at once, another one decides.

        A probe in which this process was paused is repeated.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeouts.control_s
        try:
            async with asyncio.timeout_at(deadline):
                if await _is_ended_at_once(server):
                    await _is_ended_at_once(server)
        except (TimeoutError, OSError) as error:
            if loop.time() - deadline > MAX_TIMER_LAG_S:
                return await self.can_connect(server)
            _LOG.debug(
                "backend server cannot be reached",
                extra={"server": str(server), "why": repr(error)},
            )
            return False
        return True

    def retire_connections(self, server: Endpoint) -> None:
        """Exclude all open connections to the server from reuse by later requests.

        Requests in progress keep their connections until they end.
        """
        for pool in [
            pool for (_, pool_server), pool in self._pools.items() if pool_server == server
        ]:
            self._retire_pool(pool)

    def retire_all_connections(self) -> None:
        """Exclude all open connections to any server from reuse by later requests."""
        for pool in list(self._pools.values()):
            self._retire_pool(pool)

    def idle_connections(self, server: Endpoint) -> int:
        """Return the number of idle connections available for reuse."""
        return sum(
            pool.idle_count
            for (_, pool_server), pool in self._pools.items()
            if pool_server == server
        )

    def _pool(self, tenant: str, server: Endpoint) -> ConnectionPool:
        key = (tenant, server)
        limit = self._connection_limit(server)
        pool = self._pools.get(key)
        if pool is not None and pool.limit != limit:
            self._retire_pool(pool)
            pool = None
        if pool is None:
            pool = self._pools[key] = ConnectionPool(
                limit, self._timeouts.idle_s, self._dialect.id_header
            )
        return pool

    def _retire_pool(self, pool: ConnectionPool) -> None:
        for key in [key for key, item in self._pools.items() if item is pool]:
            del self._pools[key]
        pool.close_idle()
        task = spawn("closing of connections", pool.retire())
        self._retire_tasks.add(task)
        task.add_done_callback(self._retire_tasks.discard)

    def _longest_wait_s(self, request: AttemptRequest, transmission: Transmission) -> float:
        """Return the time after which only a pause of this process explains an expired limit."""
        limit_s = self._timeouts.connect_s
        if transmission.is_sent:
            limit_s += request.head_timeout_s or self._timeouts.progress_s
        return limit_s + MAX_TIMER_LAG_S

    async def _on_response_end(self, pool: ConnectionPool, kind: FailureKind | None) -> None:
        """Release the connection of a response that ended."""
        # The connection of a complete response returns to the pool before the response is
        # checked, so the whole pool is retired to close that connection.
        if kind in _RETIRED_AFTER:
            self._retire_pool(pool)
        await pool.release()

    async def _send(
        self,
        pool: ConnectionPool,
        session: aiohttp.ClientSession,
        request: AttemptRequest,
        transmission: Transmission,
    ) -> aiohttp.ClientResponse:
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout_at(request.deadline):
                return await _send_on_session(
                    session, request, transmission, self._timeouts, self._dialect
                )
        except BaseException as error:
            kind = _classify_error(error, transmission)
            elapsed_s = asyncio.get_running_loop().time() - started
            if isinstance(error, TimeoutError) and elapsed_s > self._longest_wait_s(
                request, transmission
            ):
                sent, unsent = FailureKind.DEADLINE, FailureKind.DEADLINE_BEFORE_SENDING
                kind = sent if transmission.is_sent else unsent
            is_possibly_dead = kind is FailureKind.DEADLINE and transmission.is_reused
            if kind is FailureKind.SILENT or is_possibly_dead:
                self._retire_pool(pool)
            await pool.release()
            if kind is None:
                raise
            raise AttemptError(kind, f"{request.server}: {error!r}") from error


async def _acquire_session(pool: ConnectionPool, request: AttemptRequest) -> aiohttp.ClientSession:
    try:
        async with asyncio.timeout_at(request.deadline):
            return await pool.acquire(request.use_new_connection)
    except TimeoutError:
        detail = f"{pool.limit} connections to {request.server} in use"
        raise AttemptError(FailureKind.NO_FREE_CONNECTION, detail) from None


async def _send_on_session(
    session: aiohttp.ClientSession,
    request: AttemptRequest,
    transmission: Transmission,
    timeouts: ClientTimeouts,
    dialect: Dialect,
) -> aiohttp.ClientResponse:
    head_timeout_s = request.head_timeout_s or timeouts.progress_s
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=timeouts.connect_s, sock_read=head_timeout_s
    )
    response = await session.request(
        request.method,
        URL(f"http://{request.server}{request.target}", encoded=True),
        headers=_request_headers(request, dialect),
        data=request.body or None,
        allow_redirects=False,
        timeout=timeout,
        trace_request_ctx=transmission,
        middlewares=(partial(_attach_transmission, transmission),),
    )
    if response.connection is not None:
        # ``AttemptResponse`` applies its own timeout to each read of the body, which excludes
        # the time that a slow caller takes between reads.
        response.connection.protocol.read_timeout = None
        response.connection.protocol.start_timeout()
    return response


async def _attach_transmission(transmission: Transmission, request: Any, handler: Any) -> Any:
    """Attach the transmission to the request object that aiohttp created."""
    request.transmission = transmission
    return await handler(request)


async def _is_ended_at_once(server: Endpoint) -> bool:
    """Open a connection; return whether the server ends it within ``PROBE_DURATION_S``.

    :raises OSError: when it cannot be opened.
    """
    reader, writer = await asyncio.open_connection(server.host, server.port)
    try:
        async with asyncio.timeout(PROBE_DURATION_S):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True
    finally:
        writer.transport.abort()


def _check_request(request: AttemptRequest) -> None:
    """Reject a request that the server could parse differently, such as by header injection."""
    if not (_METHOD.fullmatch(request.method) and _TARGET.fullmatch(request.target)):
        raise AttemptError(FailureKind.INVALID, f"request {request.method!r} {request.target!r}")
    for name, value in request.headers:
        if not _HEADER_NAME.fullmatch(name) or _CONTROL_CHARACTER.search(value):
            raise AttemptError(FailureKind.INVALID, f"header {name!r}")


def _request_headers(request: AttemptRequest, dialect: Dialect) -> list[tuple[str, str]]:
    overridden = _CLIENT_HEADERS | dialect.own_headers
    headers = [item for item in end_to_end(request.headers) if item[0].lower() not in overridden]
    now = asyncio.get_running_loop().time()
    remaining_ms = max(0, int((request.deadline - now) * 1000))
    headers.extend(dialect.request_headers(request, remaining_ms))
    return headers


def _classify_error(error: BaseException, transmission: Transmission) -> FailureKind | None:
    """Return how an attempt failed, or ``None`` for an error unrelated to the attempt."""
    if not isinstance(error, Exception):
        return None
    if transmission.is_past_deadline:
        return FailureKind.DEADLINE_BEFORE_SENDING
    if transmission.is_guard_refused:
        return FailureKind.GUARD_REFUSED
    if not transmission.is_sent:
        return _classify_error_before_sending(error)
    match error:
        case aiohttp.SocketTimeoutError():
            return FailureKind.SILENT
        case TimeoutError():
            return FailureKind.DEADLINE
        case aiohttp.ClientResponseError():
            return FailureKind.MALFORMED
        case aiohttp.ClientError() | OSError():
            return FailureKind.CONNECTION_LOST
    return None


def _classify_error_before_sending(error: Exception) -> FailureKind | None:
    if type(error) is TimeoutError:
        return FailureKind.DEADLINE_BEFORE_SENDING
    return FailureKind.NOT_CONNECTED if isinstance(error, aiohttp.ClientError | OSError) else None


async def _send_control(
    pool: ConnectionPool, server: Endpoint, method: str, path: str, transmission: Transmission
) -> tuple[int, bytes]:
    session = await pool.acquire(use_new_connection=False)
    try:
        async with session.request(
            method,
            URL(f"http://{server}{path}", encoded=True),
            allow_redirects=False,
            trace_request_ctx=transmission,
            middlewares=(partial(_attach_transmission, transmission),),
        ) as response:
            body = b""
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > _MAX_CONTROL_RESPONSE_BYTES:
                    raise aiohttp.ClientPayloadError(
                        f"more than {_MAX_CONTROL_RESPONSE_BYTES} bytes"
                    )
            return response.status, body
    finally:
        await pool.release()
