"""The whole path over separate processes: look-up, request, edited document.

Guards against parts that work alone and do not fit together.
"""

import asyncio
import contextlib
import json
import socket
import sys

import aiohttp

DOCUMENT = """
[service]
name = stock
tenant = example
team = stock-team
[class read]
path = /*
methods = GET POST
idempotent = yes
size = short
deadline_ms = 2000
[place a]
region = north
failure_domain = north-1
capacity = 4
[place b]
region = south
failure_domain = south-1
capacity = 4
"""


def free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]


async def until(condition):
    """Wait until an awaited condition holds; the test's outer limit ends a hang."""
    while not await condition():
        await asyncio.sleep(0.02)


class Deployment:
    def __init__(self, folder):
        self._folder = folder
        self._processes = []
        self.ports = free_ports(13)
        self.http = self.ports[5:9]

    @property
    def document(self):
        servers = (
            f"[server s{n}]\nplace = {'ab'[n % 2]}\naddress = 127.0.0.1:{port}\nslots = 2\n"
            for n, port in enumerate(self.ports[1:5])
        )
        return DOCUMENT + "".join(servers)

    async def start(self, *arguments):
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hibiscushaven", *map(str, arguments)
        )
        self._processes.append(process)

    async def start_all(self):
        await self.start("standin", "platform", "--port", self.ports[0])
        path = self._folder / "stock.ini"
        path.write_text(self.document)
        await self.start("standin", "backend", "--document", path)
        for n in range(4):
            path = self._folder / f"vm{n}.ini"
            region = ("north", "south")[n % 2]
            path.write_text(
                f"[vm]\nname = vm{n}\nregion = {region}\nfailure_domain = {region}-1\n"
                f"host = 127.0.0.1\nhttp_port = {self.http[n]}\npeer_port = {self.ports[9 + n]}\n"
                f"[platform]\nurl = http://127.0.0.1:{self.ports[0]}\n"
            )
            await self.start("entry", "--settings", path)

    def vms(self):
        regions = ("north", "south")
        return [
            [
                f"vm{n}",
                f"{regions[n % 2]}-1",
                regions[n % 2],
                "127.0.0.1",
                self.ports[9 + n],
                "live",
            ]
            for n in range(4)
        ]

    async def stop(self):
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            await process.wait()


async def check(folder):
    deployment = Deployment(folder)
    try:
        await deployment.start_all()
        async with aiohttp.ClientSession() as session:

            async def call(method, port, path, **options):
                try:
                    async with session.request(
                        method, f"http://127.0.0.1:{port}{path}", **options
                    ) as response:
                        return response.status, await response.read(), response.headers
                except aiohttp.ClientError:
                    return 0, b"", {}

            async def listed():
                vms = json.dumps(deployment.vms())
                return (await call("POST", deployment.ports[0], "/vms", data=vms))[0] == 204

            async def healthy():
                answers = [await call("GET", port, "/healthz") for port in deployment.http]
                return all(status == 200 for status, _, _ in answers)

            await until(listed)
            await until(healthy)
            first, *others = deployment.http
            status, _, headers = await call(
                "PUT", first, "/v1/documents/stock", data=deployment.document
            )
            assert status == 204

            async def served():
                return (await call("GET", others[-1], "/v1/services/stock/item"))[0] == 200

            await until(served)
            status, body, answer = await call("GET", others[-1], "/v1/services/stock/item")
            assert (status, answer["request-outcome"]) == (200, "run")
            assert b"/item" in body

            async def listed_everywhere():
                _, body, _ = await call("GET", first, "/v1/lookup/stock")
                return len(json.loads(body)["entry_vms"]) == 4

            await until(listed_everywhere)

            edited = deployment.document.replace("deadline_ms = 2000", "deadline_ms = 2500")
            status, _, headers = await call(
                "PUT",
                first,
                "/v1/documents/stock",
                data=edited,
                headers={"if-match": headers["etag"]},
            )
            assert status == 204

            async def in_force():
                answers = [await call("GET", p, "/v1/lookup/stock") for p in deployment.http]
                return all(json.loads(body).get("revision") == 2 for _, body, _ in answers)

            await until(in_force)
    finally:
        await deployment.stop()


def test_request_and_edit_pass_through_separate_processes(tmp_path):
    asyncio.run(asyncio.wait_for(check(tmp_path), 60))
