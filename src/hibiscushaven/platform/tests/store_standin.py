"""Stand-in for the platform's metadata store, with the faults that it may show."""

import asyncio
import base64
import contextlib
import json
from collections import deque
from enum import StrEnum, auto

from aiohttp import web


class Fault(StrEnum):
    """What happens to one call."""

    BUSY = auto()
    DOWN = auto()
    RESET = auto()
    SILENT = auto()
    LOST_ANSWER = auto()
    LATE_WRITE = auto()
    HISTORY_GONE = auto()
    GARBAGE = auto()


class StoreStandIn:
    """Tables in memory behind the store's HTTP interface.

    :ivar faults: faults of the next calls, one each.
    :ivar calls: paths of the calls so far.
    :ivar late: writes whose calls got no answer and that are performed later.
    """

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 100
        self.faults = deque()
        self.calls = []
        self.late = []
        self._runner = None
        self._changed = asyncio.Event()

    async def start(self):
        app = web.Application()
        app.router.add_route("*", "/v1/{call}", self._handle)
        self._runner = web.AppRunner(app, shutdown_timeout=0.01)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return self._runner.addresses[0][1]

    async def close(self):
        await self._runner.cleanup()

    def put(self, table, key, value):
        """Write a row as the operator or a backend server does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.rows[table, key] = raw, self.version
        self._note(table, key, raw)

    def drop(self, table, key):
        self.version += 1
        self.rows.pop((table, key), None)
        self._note(table, key, None)

    def _note(self, table, key, raw):
        self.log.append((self.version, table, key, raw))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        call = request.match_info["call"]
        self.calls.append(call)
        fault = self.faults.popleft() if self.faults else None
        answers = {Fault.BUSY: 429, Fault.DOWN: 503, Fault.HISTORY_GONE: 410}
        if fault in answers:
            return web.json_response({}, status=answers[fault])
        if fault is Fault.RESET:
            request.transport.abort()
            return web.Response()
        if fault is Fault.SILENT:
            await asyncio.sleep(3600)
        if fault is Fault.LATE_WRITE:
            self.late.append(await request.json())
            request.transport.abort()
            return web.Response()
        if fault is Fault.GARBAGE:
            return web.Response(body=b'{"Rows": [7]}')
        answer = await getattr(self, "_" + call.replace("-", "_"))(request)
        if fault is Fault.LOST_ANSWER:
            request.transport.abort()
        return answer

    async def _rows_tx(self, request):
        self._write(await request.json())
        return self._answer({})

    def perform_late_writes(self):
        """Perform the writes that were put off, as the store may do seconds later."""
        while self.late:
            self._write(self.late.pop(0))

    def _write(self, body):
        for row in body["SetKeys"]:
            self.put(row["Table"], row["Key"], base64.b64decode(row["Value"]))
        for row in body["DeleteKeys"]:
            self.drop(row["Table"], row["Key"])

    async def _rows_get(self, request):
        table, start = request.query["Table"], request.query.get("From", "")
        limit = int(request.query.get("Limit", 500))
        found = sorted(
            (key, raw, version)
            for (name, key), (raw, version) in self.rows.items()
            if name == table and key >= start
        )
        rows = [_row(table, key, raw, version) for key, raw, version in found[:limit]]
        return self._answer({"Rows": rows, "HasMore": len(found) > limit})

    async def _rows_feed(self, request):
        table, after = request.query["Table"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query["WaitMs"]) / 1000
        while True:
            changes = {}
            for version, name, key, raw in self.log:
                if name == table and version > after:
                    changes[key] = _row(table, key, raw, version)
            if changes or loop.time() >= until:
                return self._answer({"Rows": list(changes.values())})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until):
                    await self._changed.wait()

    def _answer(self, body):
        return web.json_response({**body, "Ver": self.version, "Now": "1ms"})


def _row(table, key, raw, version):
    row = {"Table": table, "part": "", "Key": key, "Ver": version}
    if raw is None:
        return {**row, "Deleted": True}
    return {**row, "Value": base64.b64encode(raw).decode()}
