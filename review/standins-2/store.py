"""Stand-in for the platform's metadata store: rows in memory behind the calls that gateways make."""

import asyncio
import base64
import contextlib
import json
import urllib.parse


class Store:
    """Rows of the empty part, with a feed of their changes.

    :ivar rows: value and version of each row, by table and key.
    """

    def __init__(self):
        self.rows = {}
        self._log = []
        self._version = 100
        self._changed = asyncio.Event()
        self._writers = set()

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def put(self, table, key, value):
        """Write a row, as a backend server, the operator or another writer does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._version += 1
        self.rows[table, key] = raw, self._version
        self._note(table, key, raw)

    def delete(self, table, key):
        """Remove a row."""
        if self.rows.pop((table, key), None) is not None:
            self._version += 1
            self._note(table, key, None)

    def _note(self, table, key, raw):
        self._log.append((self._version, table, key, raw))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = 0
                for line in head.split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = await reader.readexactly(length)
                path, _, query = head.split(" ")[1].partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await self._answer(path, fields, body)
                payload = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        writer.close()

    async def _answer(self, path, query, body):
        if path == "/v1/rows-tx":
            transaction = json.loads(body)
            for row in transaction["SetKeys"]:
                self.put(row["Table"], row["Key"], base64.b64decode(row["Value"]))
            for row in transaction["DeleteKeys"]:
                self.delete(row["Table"], row["Key"])
            return self._with_version({})
        if path == "/v1/rows-get":
            table, start = query["Table"], query.get("From", "")
            rows = [
                self._row(table, key, raw, version)
                for (name, key), (raw, version) in sorted(self.rows.items())
                if name == table and key >= start
            ]
            limit = int(query.get("Limit", 500))
            return self._with_version({"Rows": rows[:limit], "HasMore": len(rows) > limit})
        if path == "/v1/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _feed(self, query):
        table, after = query["Table"], int(query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get("WaitMs", 0)) / 1000
        while True:
            changes = {
                key: self._row(table, key, raw, version)
                for version, name, key, raw in self._log
                if name == table and version > after
            }
            if changes or loop.time() >= deadline:
                return self._with_version({"Rows": list(changes.values())})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()

    def _with_version(self, answer):
        return 200, {**answer, "Ver": self._version, "Now": "1ms"}

    def _row(self, table, key, raw, version):
        row = {"Table": table, "part": "", "Key": key, "Ver": version}
        if raw is None:
            return {**row, "Deleted": True}
        return {**row, "Value": base64.b64encode(raw).decode()}
