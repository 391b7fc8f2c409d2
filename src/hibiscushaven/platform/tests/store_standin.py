"""In-memory stand-in for the platform's metadata store, with fault injection."""

import asyncio
import base64
import contextlib
import json
from collections import deque
from dataclasses import dataclass
from enum import StrEnum, auto

from aiohttp import web


class Fault(StrEnum):
    """Fault of one call."""

    BUSY = auto()
    DOWN = auto()
    RESET = auto()
    SILENT = auto()
    LOST_RESPONSE = auto()
    LATE_WRITE = auto()
    HISTORY_GONE = auto()
    MALFORMED = auto()
    OTHER_TABLE = auto()


@dataclass(frozen=True)
class StoreCopy:
    """Content of the store at one version."""

    rows: dict
    log: tuple
    version: int


class StoreStandIn:
    """Tables in memory behind the store's HTTP interface.

    The store may be restored from a copy, as after the loss of its newest data: what was written
    since is gone, and its versions are given out again. All responses name the era, which rises by
    one.

    The feeds may hide changes for a time, and the history of changes may be dropped.

    :ivar log: version, table, key and value of each change, ``None`` for a deletion.
    :ivar faults: faults of the next calls, one each.
    :ivar calls: names of the calls so far.
    :ivar late_writes: writes that are applied later, whose connections were reset.
    :ivar raw_values: values of rows as they are sent, by key, in place of their base64.
    :ivar part: part that the rows of the feeds name.
    :ivar shown_version: version after which the feeds hide all changes; ``None`` if they hide none.
    :ivar dropped_version: version up to which the history was dropped.
    :ivar era: 1, and one more after each restore; named by no response if it is ``None``.
    """

    def __init__(self):
        self.era = 1
        self.rows = {}
        self.log = []
        self.version = 100
        self.faults = deque()
        self.calls = []
        self.late_writes = []
        self.raw_values = {}
        self.part = ""
        self.shown_version = None
        self.dropped_version = 0
        self.port = 0
        self._runner = None
        self._changed = asyncio.Event()

    async def start(self):
        app = web.Application()
        app.router.add_route("*", "/v1/{call}", self._handle)
        self._runner = web.AppRunner(app, shutdown_timeout=0.01)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = self._runner.addresses[0][1]
        return self.port

    async def close(self):
        await self._runner.cleanup()

    def put(self, table, key, value):
        """Write a row, as the operator or a backend server does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.rows[table, key] = raw, self.version
        self._log_change(table, key, raw)

    def delete(self, table, key):
        self.version += 1
        self.rows.pop((table, key), None)
        self._log_change(table, key, None)

    def hide_changes(self):
        """Hide the changes from now on from the feeds."""
        self.shown_version = self.version

    def show_changes(self, *, is_history_dropped):
        """Hide no changes any more; what was hidden may be dropped from the history."""
        self.shown_version = None
        if is_history_dropped:
            self.log.clear()
            self.dropped_version = self.version
        self._wake_feeds()

    def copy(self):
        """Return a copy to restore later."""
        return StoreCopy(dict(self.rows), tuple(self.log), self.version)

    def restore(self, copy):
        """Return to a copy, and begin another era."""
        self.rows, self.log, self.version = dict(copy.rows), list(copy.log), copy.version
        self.era += 1
        self.dropped_version = min(self.dropped_version, copy.version)
        self._wake_feeds()

    def _log_change(self, table, key, raw):
        self.log.append((self.version, table, key, raw))
        self._wake_feeds()

    def _wake_feeds(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        response = await self._respond_to(request)
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        return response

    async def _respond_to(self, request):
        call = request.match_info["call"]
        self.calls.append(call)
        fault = self.faults.popleft() if self.faults else None
        statuses = {Fault.BUSY: 429, Fault.DOWN: 503, Fault.HISTORY_GONE: 410}
        if fault in statuses:
            return web.json_response({}, status=statuses[fault])
        if fault is Fault.RESET:
            request.transport.abort()
            return web.Response()
        if fault is Fault.SILENT:
            await asyncio.sleep(3600)
        if fault is Fault.LATE_WRITE:
            self.late_writes.append(await request.json())
            request.transport.abort()
            return web.Response()
        if fault is Fault.MALFORMED:
            return web.Response(body=b'{"Rows": [7]}')
        if fault is Fault.OTHER_TABLE:
            row = self._encode_row("other", "s9", b"{}", self.version)
            return self._respond({"Rows": [row], "HasMore": False})
        response = await getattr(self, "_" + call.replace("-", "_"))(request)
        if fault is Fault.LOST_RESPONSE:
            request.transport.abort()
        return response

    async def _rows_tx(self, request):
        self._apply_transaction(await request.json())
        return self._respond({})

    def apply_late_writes(self):
        """Apply the delayed writes, as the store may do seconds after a failed call."""
        while self.late_writes:
            self._apply_transaction(self.late_writes.pop(0))

    def _apply_transaction(self, body):
        for row in body["SetKeys"]:
            self.put(row["Table"], row["Key"], base64.b64decode(row["Value"]))
        for row in body["DeleteKeys"]:
            self.delete(row["Table"], row["Key"])

    async def _rows_get(self, request):
        table, start = request.query["Table"], request.query.get("From", "")
        limit = int(request.query.get("Limit", 500))
        matches = sorted(
            (key, raw, version)
            for (name, key), (raw, version) in self.rows.items()
            if name == table and key >= start
        )
        rows = [self._encode_row(table, key, raw, version) for key, raw, version in matches[:limit]]
        return self._respond({"Rows": rows, "HasMore": len(matches) > limit})

    async def _rows_feed(self, request):
        table, after = request.query["Table"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["WaitMs"]) / 1000
        while True:
            if not self.dropped_version <= after <= self.version:
                return web.json_response({}, status=410)
            changes = {}
            for version, name, key, raw in self.log:
                is_hidden = self.shown_version is not None and version > self.shown_version
                if name == table and version > after and not is_hidden:
                    row = self._encode_row(table, key, raw, version)
                    changes[key] = {**row, "part": self.part}
            if changes or loop.time() >= deadline:
                return self._respond({"Rows": list(changes.values())})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()

    def _respond(self, body):
        return web.json_response({**body, "Ver": self.version, "Now": "1ms"})

    def _encode_row(self, table, key, raw, version):
        row = {"Table": table, "part": "", "Key": key, "Ver": version}
        if raw is None:
            return {**row, "Deleted": True}
        value = base64.b64encode(raw).decode()
        return {**row, "Value": self.raw_values.get(key, value)}
