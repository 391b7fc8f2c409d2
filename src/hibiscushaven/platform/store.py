"""Client of the platform's metadata store."""

import asyncio
import base64
import binascii
import logging
import re
import socket
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from hibiscushaven.discovery import ServerRecord
from hibiscushaven.eras import MAX_ERA, era_of, number_of, version_of
from hibiscushaven.gateway import ServerListing, StoreError, VmAddress
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.process import socket_factory
from hibiscushaven.routing import Configuration, OperatorState

from .decode import (
    FIELD_ERRORS,
    DecodeError,
    decode_configuration,
    decode_server,
    describe,
    parse_address,
    parse_json,
)

__all__ = ["StoreClient"]

_LOG = logging.getLogger(__name__)

# The store usually responds within 4 ms, and within about 0.25 s when it is slow.
CALL_TIMEOUT_S = 0.8

# Maximum number of rows in one response.
PAGE_ROWS = 500

# Closes an idle connection to an unreachable store after about 3 s.
_KEEPALIVE_IDLE_S, _KEEPALIVE_INTERVAL_S, _KEEPALIVE_PROBES = 1, 1, 2
_keepalive_socket = socket_factory(
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
)

_OPERATOR_TABLE, _SERVERS_TABLE, _VMS_TABLE = "op", "servers", "vms"
_CONFIG_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"
_HISTORY_GONE_STATUS = 410

# Rises by one each time the store is restored from a copy.
_ERA_HEADER = "Store-Era"
_ERA = re.compile(r"[0-9]{1,7}")


class _ChangesUnknownError(StoreError):
    """The store does not have all changes since the last read, or counts in another era."""


# Value and version of each changed row by key; the value is ``None`` for a deleted row.
_Changes = Mapping[str, tuple[bytes | None, int]]


@dataclass(slots=True)
class _TableCopy:
    """Rows of a table as of the last read.

    :ivar version: version of which the rows are, as in ``version_of``; 0 before the first read.
    :ivar changed_keys: keys that changed and whose rows have not been decoded since.
    """

    table: str
    version: int = 0
    rows: dict[str, bytes] = field(default_factory=dict)
    changed_keys: set[str] = field(default_factory=set)

    def replace(self, rows: Mapping[str, bytes], version: int) -> None:
        self.changed_keys |= {
            key for key in {*rows, *self.rows} if rows.get(key) != self.rows.get(key)
        }
        self.rows = dict(rows)
        self.version = version

    def update(self, rows: Mapping[str, bytes | None], version: int) -> None:
        for key, value in rows.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value
        self.changed_keys |= set(rows)
        self.version = version


class StoreClient:
    """Reads the operator's state and the backend servers, and registers the VMs' addresses.

    The first read of the backend servers fetches all rows, later ones only the changes. The
    operator's state is read as changes to the state that the VM has, whoever read that. A malformed
    row is logged once and ignored, without effect on the others.

    A store that is restored from a copy begins another era. Tables are then read whole, since its
    feeds know only the changes of the new era. A response of an earlier era is an error, and one
    that names no valid era counts as one of the latest era.
    """

    def __init__(self, address: Endpoint) -> None:
        self._url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self._servers = _TableCopy(_SERVERS_TABLE)
        # Version of the operator's state as last read, and the one up to which that is complete.
        self._operator_read = 0, 0
        self._records: dict[str, ServerRecord] = {}
        # Latest era of all responses; 0 before the first one.
        self._era = 0
        self._is_era_missing = False

    async def read_operator(self, known: OperatorState, wait_s: float) -> OperatorState:
        if known.version:
            # An empty response is no proof that its version has no change: feeds may hide changes.
            state_version, read_version = self._operator_read
            after = read_version if known.version == state_version else known.version
            try:
                rows, version = await self._fetch_changes(_OPERATOR_TABLE, after, wait_s)
            except _ChangesUnknownError as error:
                _log_complete_read(_OPERATOR_TABLE, error)
            else:
                state = _with_changes(known, rows)
                self._operator_read = state.version, version
                return state
        values, version = await self._read_all(_OPERATOR_TABLE)
        if version < known.version:
            raise StoreError(f"read at {_describe(version)}, known is {_describe(known.version)}")
        state = _as_of(version, values, known)
        self._operator_read = state.version, version
        return state

    async def read_servers(self) -> ServerListing:
        copy = self._servers
        await self._refresh(copy)
        for key in copy.changed_keys:
            record = _decode_record(key, copy.rows.get(key))
            if record is None:
                self._records.pop(key, None)
            else:
                self._records[key] = record
        copy.changed_keys.clear()
        return ServerListing(copy.version, tuple(self._records.values()))

    async def register(self, address: VmAddress) -> int:
        value = base64.b64encode(address.peers_at.encode()).decode()
        row = {"Table": _VMS_TABLE, "part": "", "Key": address.name, "Value": value}
        return await self._write_rows({"ExpectedRev": [], "SetKeys": [row], "DeleteKeys": []})

    async def deregister(self, name: str) -> None:
        row = {"Table": _VMS_TABLE, "part": "", "Key": name}
        await self._write_rows({"ExpectedRev": [], "SetKeys": [], "DeleteKeys": [row]})

    async def list_vms(self) -> tuple[VmAddress, ...]:
        rows, _ = await self._read_all(_VMS_TABLE)
        return tuple(_decode_vms(rows))

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def _refresh(self, copy: _TableCopy) -> None:
        if copy.version:
            try:
                rows, version = await self._fetch_changes(copy.table, copy.version, 0.0)
            except _ChangesUnknownError as error:
                _log_complete_read(copy.table, error)
            else:
                values = {key: value for key, (value, _) in rows.items()}
                copy.update(values, version)
                return
        values, version = await self._read_all(copy.table)
        copy.replace(values, version)

    async def _fetch_changes(self, table: str, after: int, wait_s: float) -> tuple[_Changes, int]:
        """Return the changed rows since a version, and the version up to which they are complete.

        The version that the response names may be later: a feed may hide changes for a time.
        """
        if self._era > era_of(after):
            raise _ChangesUnknownError(f"last read in era {era_of(after)}, now era {self._era}")
        query = {"Table": table, "after": number_of(after), "WaitMs": round(wait_s * 1000)}
        body, era = await self._call(
            "GET", "/v1/rows-feed", query, timeout_s=wait_s + CALL_TIMEOUT_S
        )
        if era != era_of(after):
            # The number may have been given out again, so that changes before it are missing.
            raise _ChangesUnknownError(f"last read in era {era_of(after)}, now era {era}")
        try:
            rows = {
                _key_of(row): (
                    None if row.get("Deleted") else _decode_value(row),
                    version_of(era, int(row["Ver"])),
                )
                for row in _of_empty_part(body["Rows"])
            }
            # Rows that are left out count as well: the feed would return them at once, for good.
            newest = max((int(row["Ver"]) for row in body["Rows"]), default=0)
            return rows, max(after, version_of(era, newest))
        except FIELD_ERRORS as error:
            raise StoreError(f"malformed changes of table {table!r}: {describe(error)}") from error

    async def _read_all(self, table: str) -> tuple[dict[str, bytes], int]:
        """Return all rows as of one version of the store."""
        rows: dict[str, bytes] = {}
        version = 0
        start = ""
        while True:
            query = {"Table": table, "part": "", "Limit": PAGE_ROWS}
            if start:
                query["From"] = start
            body, era = await self._call("GET", "/v1/rows-get", query)
            if version and era != era_of(version):
                raise StoreError(f"era changed during the read of table {table!r}")
            try:
                page = {_key_of(row): _decode_value(row) for row in _of_empty_part(body["Rows"])}
                page_version = version_of(era, int(body["Ver"]))
                version = version or page_version
                has_more = bool(body["HasMore"])
            except FIELD_ERRORS as error:
                raise StoreError(f"malformed rows of table {table!r}: {describe(error)}") from error
            rows |= page
            if not has_more:
                break
            if not page:
                raise StoreError(f"empty page of table {table!r}, although more rows follow")
            start = max(page) + "\0"
        if page_version == version:
            return rows, version
        # The pages are of several versions, whose changes bring all rows to the same one.
        changes, version = await self._fetch_changes(table, version, 0.0)
        for key, (value, _) in changes.items():
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = value
        return rows, version

    async def _write_rows(self, transaction: Mapping[str, Any]) -> int:
        """Apply a transaction, and return the era in which the store did so."""
        _, era = await self._call("POST", "/v1/rows-tx", {}, transaction)
        return era

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, Any],
        body: Mapping[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[Any, int]:
        """Return the body of a response, and its era."""
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._get_session().request(
                    method, self._url + path, params=query, json=body
                ) as response,
            ):
                content = await response.read()
                if response.status == _HISTORY_GONE_STATUS:
                    raise _ChangesUnknownError(f"{path}: change history expired")
                if response.status != 200:
                    raise StoreError(f"{path}: status {response.status}")
                parsed = parse_json(content)
            if _names_other_table(parsed, query.get("Table")):
                await self._close_connections()
                raise StoreError(f"{path}: rows of another table than {query['Table']!r}")
            return parsed, self._accept_era(response.headers.get(_ERA_HEADER))
        except (aiohttp.ClientError, OSError, ValueError, DecodeError) as error:
            # TimeoutError is an OSError.
            raise StoreError(f"{path}: {describe(error)}") from error

    def _accept_era(self, value: str | None) -> int:
        """Return the era of a response.

        :raises StoreError: when the response is of an earlier era than the latest one.
        """
        era = int(value) if value is not None and _ERA.fullmatch(value) else None
        is_missing = era is None or era > MAX_ERA
        if is_missing != self._is_era_missing:
            self._is_era_missing = is_missing
            if is_missing:
                _LOG.warning("store names no valid era", extra={"value": (value or "")[:40]})
        if era is None or is_missing:
            return self._era
        if era < self._era:
            raise StoreError(f"response of era {era}, the latest era is {self._era}")
        if era > self._era and self._era:
            _LOG.warning("store restored from a copy", extra={"era": era, "previous": self._era})
        self._era = era
        return era

    async def _close_connections(self) -> None:
        """Close all connections, so that calls in progress fail; later calls open new ones."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=4, socket_factory=_keepalive_socket)
            self._session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar(), trust_env=False
            )
            # By default aiohttp retries a call when a reused connection was closed. Each call
            # counts against the store's rate limits, and ``ReadSchedule`` schedules retries.
            self._session._retry_connection = False
        return self._session


def _log_complete_read(table: str, error: StoreError) -> None:
    _LOG.info("changes unknown, reading all rows", extra={"table": table, "why": str(error)})


def _describe(version: int) -> str:
    return f"version {number_of(version)} of era {era_of(version)}"


def _with_changes(known: OperatorState, rows: _Changes) -> OperatorState:
    """Return the operator's state after changes; its version is that of the latest change.

    Two VMs that read the same changes thus have the same version, whenever they read.
    """
    if not rows:
        return known
    configuration, evacuated = known.configuration, set(known.evacuated)
    for key, (value, _) in rows.items():
        domain = key.removeprefix(_EVACUATION_PREFIX)
        if key == _CONFIG_KEY:
            configuration = _decode_configuration(value, configuration)
        elif domain != key and value is None:
            evacuated.discard(domain)
        elif domain != key:
            evacuated.add(domain)
    version = max(version for _, version in rows.values())
    return OperatorState(version, configuration, frozenset(evacuated))


def _as_of(version: int, values: Mapping[str, bytes], known: OperatorState) -> OperatorState:
    """Return the operator's state in all rows, or the known one if it is the same."""
    rows = {key: (value, version) for key, value in values.items()}
    state = _with_changes(OperatorState(version, known.configuration), rows)
    known_version, read_version = (
        item.configuration.version if item.configuration is not None else None
        for item in (known, state)
    )
    is_same = known_version == read_version and known.evacuated == state.evacuated
    is_same_era = era_of(known.version) == era_of(version)
    return known if is_same and is_same_era and known.version else state


def _decode_configuration(value: bytes | None, known: Configuration | None) -> Configuration | None:
    if value is None:
        return known
    try:
        return decode_configuration(parse_json(value))
    except DecodeError as error:
        _LOG.error("malformed configuration ignored", extra={"why": str(error)})
        return known


def _names_other_table(body: Any, table: str | None) -> bool:
    """Return whether a response has rows of another table, so that it is that of another read."""
    rows = body.get("Rows") if table and isinstance(body, Mapping) else None
    if not isinstance(rows, list):
        return False
    return any(isinstance(row, Mapping) and row.get("Table", table) != table for row in rows)


def _of_empty_part(rows: Any) -> Iterator[Mapping[str, Any]]:
    """Return the rows of the empty part, since a feed has those of all parts of its table.

    Those without a readable key are left out. A response whose rows are no list of objects is
    malformed as a whole, since it may lack rows as well.
    """
    if not isinstance(rows, list):
        raise TypeError(f"rows of type {type(rows).__name__}")
    for row in rows:
        if row.get("part", "") != "":
            continue
        try:
            # Lone surrogates cannot be sent to other VMs, nor in the query for the next page.
            _key_of(row).encode()
        except FIELD_ERRORS as error:
            _LOG.warning("row without a readable key ignored", extra={"why": describe(error)})
            continue
        yield row


def _key_of(row: Mapping[str, Any]) -> str:
    key = row["Key"]
    if not isinstance(key, str):
        raise ValueError(f"key {key!r} is not a text")
    return key


def _decode_value(row: Mapping[str, Any]) -> bytes:
    """Return the value of a row; an unreadable one is empty, which no decoder accepts."""
    try:
        return base64.b64decode(row["Value"])
    except (binascii.Error, KeyError, TypeError, ValueError) as error:
        _LOG.warning(
            "unreadable value of a row", extra={"key": _key_of(row), "why": describe(error)}
        )
        return b""


def _decode_vms(rows: Mapping[str, bytes]) -> Iterator[VmAddress]:
    for name, value in rows.items():
        try:
            address = parse_address(value.decode("ascii"))
            # Messages are sent without a look-up of names, which an address in brackets needs.
            if ":" in address.host:
                raise ValueError(f"{address} is not of IPv4")
            yield VmAddress(name, str(address))
        except ValueError as error:
            _LOG.warning(
                "malformed address of a VM ignored", extra={"vm": name, "why": describe(error)}
            )


def _decode_record(key: str, value: bytes | None) -> ServerRecord | None:
    if value is None:
        return None
    try:
        return decode_server(key, parse_json(value))
    except DecodeError as error:
        _LOG.warning("malformed backend server record ignored", extra={"why": str(error)})
        return None
