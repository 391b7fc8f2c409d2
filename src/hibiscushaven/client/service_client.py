"""Calls to one service through the entry VMs that a look-up names."""

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

__all__ = ["Reply", "ServiceClient"]

_CONNECT_TIMEOUT_S = 1.0
# Entry VMs notice a silent peer within 3 s; a longer silence is the entry VM's own.
_SILENCE_S = 5.0
_DEFAULT_PAUSE_S = 0.2
_MOST_PAUSE_S = 5.0
_ALREADY_RUN = (409, "already run")
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer.

    :ivar tries: how many entry VMs were asked.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    tries: int


class ServiceClient:
    """Sends requests to one service and tries other entry VMs when one fails.

    Explanation
    ===========

    A request that was refused as not run is sent again after ``Retry-After``. A request with
    an unknown outcome is sent again if it is idempotent, or if it has an idempotency key:
    entry VMs then return the result of the first run instead of running it again.

    :param entries: addresses of some entry VMs, such as ``http://127.0.0.1:8080``.
    :param silence_s: time without a byte after which another entry VM is tried; longer than
        the service takes to its first byte.
    """

    def __init__(
        self,
        service: str,
        entries: Iterable[str],
        token: str | None = None,
        rng: random.Random | None = None,
        silence_s: float = _SILENCE_S,
    ) -> None:
        self._service = service
        self._entries = tuple(entries)
        self._token = token
        self._silence_s = silence_s
        self._rng = rng or random.Random()
        self._session: aiohttp.ClientSession | None = None
        self._kept: tuple[str, ...] = ()
        self._kept_until = 0.0

    async def __aenter__(self) -> "ServiceClient":
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S, sock_read=self._silence_s
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
        )
        # aiohttp resends some methods on a reused connection that was closed.
        self._session._retry_connection = False
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def look_up(self) -> tuple[str, ...]:
        """Return the addresses of the entry VMs to use, in order.

        :raises NoEntryError: when none answers.
        """
        now = asyncio.get_running_loop().time()
        if now < self._kept_until:
            return self._kept
        for entry in (*self._kept, *self._shuffled()):
            answer = await self._ask(entry)
            if answer is not None:
                self._kept = tuple(
                    f"http://{Endpoint(vm.address, vm.port)}" for vm in answer.entries
                )
                self._kept_until = now + answer.keep_s
                return self._kept
        if self._kept:
            return self._kept
        raise NoEntryError(f"no entry VM answers a look-up of {self._service!r}")

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = 10.0,
        key: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request and return its complete answer.

        :param key: idempotency key; one is made for methods that are not idempotent.
        :raises RefusedError: when it was not run in time.
        :raises OutcomeUnknownError: when it may have run, and no answer is to be had.
        """
        if key is None and method not in _IDEMPOTENT_METHODS:
            key = secrets.token_hex(16)
        sent = _Sent(method, path, body, key, dict(headers or {}))
        error: CallError = RefusedError(504, "no time left")
        tries = 0
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    for entry in await self.look_up():
                        tries += 1
                        result = await self._try(entry, sent, tries)
                        if isinstance(result, Reply):
                            return result
                        error = result.error
                        if result.is_final:
                            raise error
                        await asyncio.sleep(result.pause_s * self._rng.uniform(1.0, 1.2))
                    self._kept_until = 0.0
                    # Without a pause, VMs that refuse connections would be asked all the time.
                    await asyncio.sleep(_DEFAULT_PAUSE_S * self._rng.uniform(1.0, 1.2))
        except TimeoutError as timeout:
            if sent.may_have_run:
                detail = f"no answer within {timeout_s:g} s; last: {error}"
                raise OutcomeUnknownError(detail) from timeout
            raise error from timeout

    async def _try(self, entry: str, sent: "_Sent", tries: int) -> "Reply | _Failure":
        url = f"{entry}/v1/services/{self._service}/{sent.path.lstrip('/')}"
        may_have_run_before = sent.may_have_run
        sent.may_have_run = True
        try:
            async with self._open().request(
                sent.method,
                url,
                data=sent.body,
                headers=self._headers(sent),
                allow_redirects=False,
            ) as response:
                data = await response.read()
                answer = {name.lower(): value for name, value in response.headers.items()}
        except aiohttp.ClientConnectorError as error:
            sent.may_have_run = may_have_run_before
            self._kept_until = 0.0
            return _Failure(RefusedError(503, str(error)), False, 0.0)
        except (aiohttp.ClientError, OSError) as error:
            self._kept_until = 0.0
            return _Failure(OutcomeUnknownError(str(error)), not sent.is_repeatable, 0.0)
        if "problem+json" not in answer.get("content-type", ""):
            return Reply(response.status, answer, data, tries)
        failure = _failure(response.status, answer, data, sent, may_have_run_before)
        return failure or Reply(response.status, answer, data, tries)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise CallError("use the client with 'async with'")
        return self._session

    def _headers(self, sent: "_Sent") -> dict[str, str]:
        headers = dict(sent.headers)
        if self._token is not None:
            headers["Authorization"] = f"Bearer {self._token}"
        if sent.key is not None:
            headers["Idempotency-Key"] = sent.key
        return headers

    async def _ask(self, entry: str) -> LookupAnswer | None:
        try:
            async with (
                asyncio.timeout(_CONNECT_TIMEOUT_S),
                self._open().get(f"{entry}/v1/lookup/{self._service}") as response,
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
class _Sent:
    method: str
    path: str
    body: bytes | None
    key: str | None
    headers: dict[str, str]
    may_have_run: bool = False

    @property
    def is_repeatable(self) -> bool:
        return self.key is not None or self.method in _IDEMPOTENT_METHODS


@dataclass(frozen=True, slots=True)
class _Failure:
    error: CallError
    is_final: bool
    pause_s: float


def _failure(
    status: int, headers: dict[str, str], body: bytes, sent: _Sent, may_have_run_before: bool
) -> _Failure | None:
    """Return what a problem of an entry VM means for the next try.

    The result is ``None`` for a problem that the service itself answered with.
    """
    try:
        problem = json.loads(body)
    except ValueError:
        problem = None
    if not isinstance(problem, dict):
        problem = {}
    detail = f"{problem.get('title')}: {problem.get('detail')}"
    pause_s = min(float(problem.get("retry_after_s") or _DEFAULT_PAUSE_S), _MOST_PAUSE_S)
    if headers.get("request-outcome") == "not-run":
        sent.may_have_run = may_have_run_before
        is_final = 400 <= status < 500 and status != 429
        return _Failure(RefusedError(status, detail), is_final, pause_s)
    if headers.get("request-outcome") == "run":
        if (status, problem.get("title")) != _ALREADY_RUN:
            return None
        return _Failure(AlreadyRunError(detail), True, pause_s)
    is_settled = status == 409 and problem.get("retry_after_s") is None
    is_final = not sent.is_repeatable or is_settled
    return _Failure(OutcomeUnknownError(detail), is_final, pause_s)
