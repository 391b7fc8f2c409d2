"""Client of the platform's HTTP interface with msgpack bodies; see ``docs/platform.md``."""

from typing import Any

import aiohttp
import msgpack

from .interfaces import (
    ConflictError,
    OutcomeUnknownError,
    Row,
    UnavailableError,
    VmRecord,
    VmState,
    Write,
)

__all__ = ["HttpPlatform"]


class HttpPlatform:
    """Client of the platform's HTTP interface.

    :param timeout_s: time after which a call fails because no response arrived.
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def read(self, key: str) -> Row | None:
        result = await self._read("/table/rows", {"key": key})
        row = result["row"]
        return None if row is None else Row(*row)

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        result = await self._read("/table/prefix", {"prefix": prefix})
        return tuple(Row(*row) for row in result["rows"])

    async def transact(self, writes: tuple[Write, ...]) -> dict[str, int]:
        body = {"writes": [[item.key, item.value, item.expected_version] for item in writes]}
        status, result = await self._write("/table/transactions", body)
        if status == 409:
            raise ConflictError(tuple(result["keys"]))
        return result["versions"]

    async def get(self, name: str) -> bytes | None:
        return (await self._read("/objects", {"name": name}))["value"]

    async def put(self, name: str, value: bytes) -> None:
        await self._write("/objects", {"name": name, "value": value})

    async def list_vms(self) -> tuple[VmRecord, ...]:
        result = await self._read("/vms", {})
        return tuple(VmRecord(*row[:5], VmState(row[5]), *row[6:7]) for row in result["vms"])

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=self._timeout, cookie_jar=aiohttp.DummyCookieJar()
            )
            # aiohttp resends idempotent methods on a reused connection that was closed.
            self._session._retry_connection = False
        return self._session

    async def _read(self, path: str, query: dict[str, str]) -> dict[str, Any]:
        try:
            async with self._open().get(
                self._url + path, params=query, allow_redirects=False
            ) as response:
                if response.status != 200:
                    raise UnavailableError(f"GET {path}: status {response.status}")
                return msgpack.unpackb(await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise UnavailableError(f"GET {path}: {error!r}") from error

    async def _write(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        try:
            async with self._open().post(
                self._url + path, data=msgpack.packb(body), allow_redirects=False
            ) as response:
                if response.status == 503 and "Not-Written" in response.headers:
                    raise UnavailableError(f"POST {path}: refused")
                if response.status not in (200, 409):
                    raise OutcomeUnknownError(f"POST {path}: status {response.status}")
                return response.status, msgpack.unpackb(await response.read())
        except aiohttp.ClientConnectorError as error:
            raise UnavailableError(f"POST {path}: {error!r}") from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise OutcomeUnknownError(f"POST {path}: {error!r}") from error
