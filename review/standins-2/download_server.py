"""Stand-in for a backend server that produces a long body piece by piece while it sends it."""

import asyncio
import contextlib

from deployment import entry, header

PIECE_BYTES, PIECES, PAUSE_S = 60_000, 50, 0.05


class DownloadServer:
    """Sound backend server; it stops work on a download when its connection closes.

    :ivar ended_at: time at which work on each request ended, by its id.
    :ivar whole: ids of the requests whose whole body was produced.
    """

    def __init__(self, name, service, zone, born, note):
        self.name, self._service = name, service
        self._zone, self._born, self._note = zone, born, note
        self._writers = set()
        self.ended_at, self.whole = {}, set()

    async def start(self, host, store):
        self._server = await asyncio.start_server(self._serve, host, 0)
        address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        store.put("servers", self.name, entry(self._service, address, self._zone, self._born))

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                key = header(head, "Request-Id")
                self._note(f"{self.name} begins {key}")
                writer.write(
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {key}\r\nResponse-Seal: 1.2.3\r\n"
                    f"Server-Load: 1,0,8\r\nContent-Length: {PIECE_BYTES * PIECES}\r\n\r\n".encode()
                )
                try:
                    for _ in range(PIECES):
                        writer.write(b"x" * PIECE_BYTES)
                        await writer.drain()
                        await asyncio.sleep(PAUSE_S)
                    self.whole.add(key)
                finally:
                    self.ended_at[key] = asyncio.get_running_loop().time()
                    self._note(f"{self.name} ends {key}, whole: {key in self.whole}")
        self._writers.discard(writer)
        writer.close()
