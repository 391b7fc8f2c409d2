"""Stand-in for a backend server that registers itself and runs one request for 0.1 s."""

import asyncio
import contextlib
import json

from deployment import entry, header

HEARTBEAT_S = 1.5
WORK_S = 0.1


class Server:
    """Sound backend server of one service.

    :ivar has_beaten: set at each heartbeat.
    :ivar runs: ids of the requests that it began to run, with their paths.
    """

    def __init__(self, name, service, zone, born, note):
        self.name, self.service = name, service
        self._zone, self._born, self._note = zone, born, note
        self._sequence = 0
        self.has_beaten = asyncio.Event()
        self._writers = set()
        self.runs = []

    async def start(self, host, store):
        self._store = store
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self._beating = asyncio.create_task(self._beat())

    def close(self):
        self._beating.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _beat(self):
        """Write the entry every heartbeat; it changes only if more than the sequence differs."""
        while True:
            self._sequence += 1
            own = entry(self.service, self.address, self._zone, self._born)
            raw, _ = self._store.rows.get(("servers", self.name), (b"", 0))
            if raw != json.dumps(own).encode():
                self._note(f"{self.name} ({self.service}) writes its entry")
                self._store.put("servers", self.name, own)
            self.has_beaten.set()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await reader.readexactly(int(header(head, "Content-Length") or 0))
                key, path = header(head, "Request-Id"), head.split(" ")[1]
                if header(head, "Expect-Instance") not in (None, self.name):
                    self._note(f"{self.name} answers {key} with 421")
                    fields = f"Request-Id: {key}\r\nInstance-Id: {self.name}"
                    writer.write(f"HTTP/1.1 421 X\r\n{fields}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self._note(f"{self.name} ({self.service}) runs {key} {path}")
                self.runs.append((key, path))
                await asyncio.sleep(WORK_S)
                body = f"done by {self.service}".encode()
                writer.write(
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {key}\r\nResponse-Seal: 1.2.3\r\n"
                    f"Server-Load: 1,0,8\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        self._writers.discard(writer)
        writer.close()
