"""Calls to one service through the entry VMs returned by a look-up."""

import asyncio
import json
import random
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

import aiohttp

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.lookups import AnswerError, LookupAnswer

from .errors import AlreadyRunError, CallError, NoEntryError, OutcomeUnknownError, RefusedError

__all__ = ["ServiceClient", "ServiceResponse"]

_CONNECT_TIMEOUT_S = 1.0
# Entry VMs detect a silent peer within 3 s, so a longer silence means that the entry VM failed.
_DEFAULT_SILENCE_TIMEOUT_S = 5.0
_DEFAULT_PAUSE_S = 0.2
_MAX_PAUSE_S = 5.0
_ALREADY_RUN_PROBLEM = (409, "already run")
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A complete response.

    :ivar tries: number of entry VMs that the request was sent to.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    tries: int


class ServiceClient:
    """Sends requests to one service and tries other entry VMs when one fails.

    Explanation
    ===========

    A request refused with the outcome ``not-run`` is retried after the delay in the response. A
    request with an unknown outcome is retried if it is idempotent or has an idempotency key; with
    a key, entry VMs return the result of the first run instead of running the request again.

    :param entries: URLs of some entry VMs, such as ``http://127.0.0.1:8080``.
    :param silence_timeout_s: time without a byte after which another entry VM is tried; must
        exceed the time that the service takes until its first byte.
    """

    def __init__(
        self,
        service: str,
        entries: Iterable[str],
        token: str | None = None,
        rng: random.Random | None = None,
        silence_timeout_s: float = _DEFAULT_SILENCE_TIMEOUT_S,
    ) -> None:
        self._service = service
        self._entries = tuple(entries)
        self._token = token
        self._silence_timeout_s = silence_timeout_s
        self._rng = rng or random.Random()
        self._session: aiohttp.ClientSession | None = None
        self._cached_entries: tuple[str, ...] = ()
        self._cache_expires_at = 0.0

    async def __aenter__(self) -> "ServiceClient":
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S, sock_read=self._silence_timeout_s
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
        )
        # Keeps aiohttp from resending idempotent requests when a reused connection was closed.
        self._session._retry_connection = False
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def look_up(self) -> tuple[str, ...]:
        """Return the URLs of the entry VMs to use, in order of preference.

        :raises NoEntryError: when no entry VM answers and no earlier result is cached.
        """
        now = asyncio.get_running_loop().time()
        if now < self._cache_expires_at:
            return self._cached_entries
        for entry in (*self._cached_entries, *self._shuffled()):
            answer = await self._fetch_lookup(entry)
            if answer is not None:
                self._cached_entries = tuple(
                    f"http://{Endpoint(vm.address, vm.port)}" for vm in answer.entries
                )
                self._cache_expires_at = now + answer.keep_s
                return self._cached_entries
        if self._cached_entries:
            return self._cached_entries
        raise NoEntryError(f"no entry VM answers a look-up of {self._service!r}")

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = 10.0,
        key: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> ServiceResponse:
        """Send a request and return its complete response.

        :param key: idempotency key; generated for methods that are not idempotent.
        :raises RefusedError: when the request was refused or could not be run in time.
        :raises AlreadyRunError: when an earlier run's response was too large to store.
        :raises OutcomeUnknownError: when the request may have run but no response is available.
        """
        if key is None and method not in _IDEMPOTENT_METHODS:
            key = secrets.token_hex(16)
        outgoing = _OutgoingRequest(method, path, body, key, dict(headers or {}))
        error: CallError = RefusedError(504, "no time left")
        tries = 0
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    for entry in await self.look_up():
                        tries += 1
                        result = await self._send(entry, outgoing, tries)
                        if isinstance(result, ServiceResponse):
                            return result
                        error = result.error
                        if result.is_final:
                            raise error
                        await asyncio.sleep(result.pause_s * self._rng.uniform(1.0, 1.2))
                    self._cache_expires_at = 0.0
                    # Without a pause, VMs that refuse connections would be retried in a busy loop.
                    await asyncio.sleep(_DEFAULT_PAUSE_S * self._rng.uniform(1.0, 1.2))
        except TimeoutError as timeout:
            if outgoing.may_have_run:
                detail = f"no answer within {timeout_s:g} s; last: {error}"
                raise OutcomeUnknownError(detail) from timeout
            raise error from timeout

    async def _send(
        self, entry: str, outgoing: "_OutgoingRequest", tries: int
    ) -> "ServiceResponse | _Failure":
        url = f"{entry}/v1/services/{self._service}/{outgoing.path.lstrip('/')}"
        may_have_run_before = outgoing.may_have_run
        outgoing.may_have_run = True
        try:
            async with self._require_session().request(
                outgoing.method,
                url,
                data=outgoing.body,
                headers=self._request_headers(outgoing),
                allow_redirects=False,
            ) as response:
                response_body = await response.read()
                response_headers = {name.lower(): value for name, value in response.headers.items()}
        except aiohttp.ClientConnectorError as error:
            outgoing.may_have_run = may_have_run_before
            self._cache_expires_at = 0.0
            return _Failure(RefusedError(503, str(error)), False, 0.0)
        except (aiohttp.ClientError, OSError) as error:
            self._cache_expires_at = 0.0
            return _Failure(OutcomeUnknownError(str(error)), not outgoing.is_retryable, 0.0)
        if "problem+json" not in response_headers.get("content-type", ""):
            return ServiceResponse(response.status, response_headers, response_body, tries)
        failure = _classify_problem(
            response.status, response_headers, response_body, outgoing, may_have_run_before
        )
        return failure or ServiceResponse(response.status, response_headers, response_body, tries)

    def _require_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise CallError("use the client with 'async with'")
        return self._session

    def _request_headers(self, outgoing: "_OutgoingRequest") -> dict[str, str]:
        headers = dict(outgoing.headers)
        if self._token is not None:
            headers["Authorization"] = f"Bearer {self._token}"
        if outgoing.key is not None:
            headers["Idempotency-Key"] = outgoing.key
        return headers

    async def _fetch_lookup(self, entry: str) -> LookupAnswer | None:
        try:
            async with (
                asyncio.timeout(_CONNECT_TIMEOUT_S),
                self._require_session().get(f"{entry}/v1/lookup/{self._service}") as response,
            ):
                if response.status != 200:
                    return None
                return LookupAnswer.from_json(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError, AnswerError):
            return None

    def _shuffled(self) -> list[str]:
        entries = list(self._entries)
        self._rng.shuffle(entries)
        return entries


@dataclass(slots=True)
class _OutgoingRequest:
    method: str
    path: str
    body: bytes | None
    key: str | None
    headers: dict[str, str]
    may_have_run: bool = False

    @property
    def is_retryable(self) -> bool:
        return self.key is not None or self.method in _IDEMPOTENT_METHODS


@dataclass(frozen=True, slots=True)
class _Failure:
    error: CallError
    is_final: bool
    pause_s: float


def _classify_problem(
    status: int,
    headers: dict[str, str],
    body: bytes,
    outgoing: _OutgoingRequest,
    may_have_run_before: bool,
) -> _Failure | None:
    """Return the error for a problem response, and whether and when to retry.

    The result is ``None`` if the problem response comes from the service itself.
    """
    try:
        problem = json.loads(body)
    except ValueError:
        problem = None
    if not isinstance(problem, dict):
        problem = {}
    detail = f"{problem.get('title')}: {problem.get('detail')}"
    pause_s = min(float(problem.get("retry_after_s") or _DEFAULT_PAUSE_S), _MAX_PAUSE_S)
    if headers.get("request-outcome") == "not-run":
        outgoing.may_have_run = may_have_run_before
        is_final = 400 <= status < 500 and status != 429
        return _Failure(RefusedError(status, detail), is_final, pause_s)
    if headers.get("request-outcome") == "run":
        if (status, problem.get("title")) != _ALREADY_RUN_PROBLEM:
            return None
        return _Failure(AlreadyRunError(detail), True, pause_s)
    is_final_conflict = status == 409 and problem.get("retry_after_s") is None
    is_final = not outgoing.is_retryable or is_final_conflict
    return _Failure(OutcomeUnknownError(detail), is_final, pause_s)
