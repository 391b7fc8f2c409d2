"""Client of the platform's metadata store."""

import asyncio
import base64
import binascii
import json
import logging
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from hibiscushaven.discovery import ServerRecord
from hibiscushaven.gateway import ServerListing, StoreError, VmAddress
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.process import socket_factory
from hibiscushaven.routing import Configuration, OperatorState

from .decode import DecodeError, decode_configuration, decode_server

__all__ = ["StoreClient"]

_LOG = logging.getLogger(__name__)

# Time for an answer; the store takes 4 ms on a normal day and some 0.25 s on a slow one.
CALL_TIMEOUT_S = 0.8

# Rows in one answer at most.
PAGE_ROWS = 500

# Probes of idle connections, so that one that has gone silent ends within about 3 s.
_KEEPALIVE_IDLE_S, _KEEPALIVE_INTERVAL_S, _KEEPALIVE_PROBES = 1, 1, 2
_probing_socket = socket_factory(
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
)

_OPERATOR, _SERVERS, _VMS = "op", "servers", "vms"
_CONFIG_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"
_HISTORY_GONE = 410


class _HistoryGoneError(StoreError):
    """Changes since the last read are no longer kept."""


@dataclass(slots=True)
class _TableCopy:
    """Rows of a table as of the last read.

    :ivar version: version of the last read; 0 before the first.
    :ivar changed_at: version at which a row last differed.
    """

    table: str
    version: int = 0
    changed_at: int = 0
    rows: dict[str, bytes] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)

    def replace(self, rows: Mapping[str, bytes], version: int) -> None:
        differing = {key for key in {*rows, *self.rows} if rows.get(key) != self.rows.get(key)}
        if differing or not self.version:
            self.changed_at = version
        self.changed |= differing
        self.rows = dict(rows)
        self.version = version

    def update(self, rows: Mapping[str, bytes | None], version: int) -> None:
        for key, value in rows.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value
        if rows:
            self.changed_at = version
        self.changed |= set(rows)
        self.version = version


class StoreClient:
    """Reads what the operator and the backend servers wrote, and keeps the VMs' addresses.

    The first read of a table fetches all rows, later ones only the changes. A row that cannot
    be decoded is logged once and left out; the others hold.
    """

    def __init__(self, address: Endpoint) -> None:
        self._url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self._operator = _TableCopy(_OPERATOR)
        self._servers = _TableCopy(_SERVERS)
        self._configuration: Configuration | None = None
        self._records: dict[str, ServerRecord] = {}

    async def read_operator(self, wait_s: float) -> OperatorState:
        copy = self._operator
        await self._refresh(copy, wait_s)
        if _CONFIG_KEY in copy.changed:
            self._configuration = self._decode_configuration(copy.rows.get(_CONFIG_KEY))
        copy.changed.clear()
        evacuated = (
            key.removeprefix(_EVACUATION_PREFIX)
            for key in copy.rows
            if key.startswith(_EVACUATION_PREFIX)
        )
        return OperatorState(copy.changed_at, self._configuration, frozenset(evacuated))

    async def read_servers(self) -> ServerListing:
        copy = self._servers
        await self._refresh(copy, 0.0)
        for key in copy.changed:
            record = _decode_record(key, copy.rows.get(key))
            if record is None:
                self._records.pop(key, None)
            else:
                self._records[key] = record
        copy.changed.clear()
        return ServerListing(copy.version, tuple(self._records.values()))

    async def register(self, address: VmAddress) -> None:
        value = base64.b64encode(address.peers_at.encode()).decode()
        row = {"Table": _VMS, "part": "", "Key": address.name, "Value": value}
        await self._write({"ExpectedRev": [], "SetKeys": [row], "DeleteKeys": []})

    async def deregister(self, name: str) -> None:
        row = {"Table": _VMS, "part": "", "Key": name}
        await self._write({"ExpectedRev": [], "SetKeys": [], "DeleteKeys": [row]})

    async def list_vms(self) -> tuple[VmAddress, ...]:
        rows, _ = await self._get_all(_VMS)
        return tuple(VmAddress(key, value.decode("latin-1")) for key, value in rows.items())

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def _refresh(self, copy: _TableCopy, wait_s: float) -> None:
        if copy.version:
            try:
                await self._feed(copy, wait_s)
                return
            except _HistoryGoneError:
                _LOG.info("history of the store gone", extra={"table": copy.table})
        rows, version = await self._get_all(copy.table)
        copy.replace(rows, version)

    async def _feed(self, copy: _TableCopy, wait_s: float) -> None:
        query = {"Table": copy.table, "after": copy.version, "WaitMs": round(wait_s * 1000)}
        body = await self._call("GET", "/v1/rows-feed", query, timeout_s=wait_s + CALL_TIMEOUT_S)
        try:
            rows = {row["Key"]: None if row.get("Deleted") else _value(row) for row in body["Rows"]}
            copy.update(rows, max(copy.version, int(body["Ver"])))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreError(f"changes of {copy.table!r}: {error!r}") from error

    async def _get_all(self, table: str) -> tuple[dict[str, bytes], int]:
        rows: dict[str, bytes] = {}
        version = 0
        start = ""
        while True:
            query = {"Table": table, "part": "", "Limit": PAGE_ROWS}
            if start:
                query["From"] = start
            body = await self._call("GET", "/v1/rows-get", query)
            try:
                page = {row["Key"]: _value(row) for row in body["Rows"]}
                # Pages are of different moments; changes after the first one are fed later.
                version = version or int(body["Ver"])
                has_more = bool(body["HasMore"])
            except (KeyError, TypeError, ValueError) as error:
                raise StoreError(f"rows of {table!r}: {error!r}") from error
            rows |= page
            if not has_more or not page:
                return rows, version
            start = max(page) + "\0"

    async def _write(self, transaction: Mapping[str, Any]) -> None:
        await self._call("POST", "/v1/rows-tx", {}, transaction)

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, Any],
        body: Mapping[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._open().request(method, self._url + path, params=query, json=body) as answer,
            ):
                text = await answer.read()
                if answer.status == _HISTORY_GONE:
                    raise _HistoryGoneError(f"{path}: history gone")
                if answer.status != 200:
                    raise StoreError(f"{path}: status {answer.status}")
                return json.loads(text)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # TimeoutError is an OSError.
            raise StoreError(f"{path}: {error!r}") from error

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=4, socket_factory=_probing_socket)
            self._session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar(), trust_env=False
            )
            # aiohttp repeats a call on a reused connection that was closed; every call counts
            # against the store's rates, and ``ReadSchedule`` spaces repeats.
            self._session._retry_connection = False
        return self._session

    def _decode_configuration(self, value: bytes | None) -> Configuration | None:
        if value is None:
            return self._configuration
        try:
            return decode_configuration(_json(value))
        except DecodeError as error:
            _LOG.error("configuration not adopted", extra={"why": str(error)})
            return self._configuration


def _value(row: Mapping[str, Any]) -> bytes:
    try:
        return base64.b64decode(row["Value"])
    except (binascii.Error, TypeError) as error:
        raise ValueError(f"value of {row['Key']!r}") from error


def _decode_record(key: str, value: bytes | None) -> ServerRecord | None:
    if value is None:
        return None
    try:
        return decode_server(key, _json(value))
    except DecodeError as error:
        _LOG.warning("record left out", extra={"why": str(error)})
        return None


def _json(value: bytes) -> Any:
    try:
        return json.loads(value)
    except ValueError as error:
        raise DecodeError(f"{value[:80]!r} is no JSON") from error
