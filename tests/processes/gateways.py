"""Gateways as separate processes, with a store and backend servers of the test's own process."""

import asyncio
import contextlib
import random
import signal

import aiohttp

from hibiscushaven.platform.tests.backend_standin import header
from hibiscushaven.platform.tests.samples import configuration_row, route_item, server_row
from hibiscushaven.platform.tests.store_standin import StoreStandIn

from .deployment import ProcessLogs

CRASHING_PATH = "/x/crash"

SETTINGS = """
[vm]
name = {name}
region = serra
failure_domain = serra-a
host = {host}
failure_domains = serra-a:serra
[listen]
callers = {host}:8001
readiness = {host}:8002
directory = {host}:8003
status = {host}:8004
metrics_port = 8005
peer_port = 7540
[store]
address = 127.0.0.1:{store_port}
"""


class RegisteredServer:
    """Backend server that registers itself; subclasses answer its requests."""

    def __init__(self, name, host, store):
        self._name, self._host, self._store = name, host, store
        self._writers = set()
        self._starts = 0

    async def start(self):
        """Listen and register, as a new process does."""
        self._starts += 1
        self._server = await asyncio.start_server(self._serve, self._host, 9000)
        row = server_row(address=f"{self._host}:9000", born=self._starts)
        self._store.put("servers", self._name, row)

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if not await self._answer(head, reader, writer):
                    break
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


class CrashableServer(RegisteredServer):
    """Backend server that ends when it runs the crashing request, and starts again later.

    :param on_crash: called at each crash.
    """

    def __init__(self, name, host, store, on_crash):
        super().__init__(name, host, store)
        self._on_crash = on_crash

    async def _answer(self, head, reader, writer):
        if f" {CRASHING_PATH} " in head:
            self._on_crash()
            self.close()
            return False
        writer.write(sound_response(header(head, "Request-Id")))
        return True


def sound_response(request_id):
    """Return the bytes of a whole response to a request."""
    lines = (
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        "Response-Seal: 1",
        "Server-Load: 1,0,4,100",
        "Content-Length: 2",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\nok"


class Gateways:
    """Processes of one region, on loopback addresses of their own.

    :param make_server: makes a server from its name, its host and the store; by default one that a
        request can crash.
    :param route: fields of the route that differ from the usual ones.
    :param limits: limits of callers that differ from the usual ones.
    :param arguments: further arguments of the command.
    :ivar store: the store, which the test's own process serves.
    :ivar servers: the backend servers.
    :ivar crashes: number of servers that the crashing request has ended.
    """

    def __init__(
        self, directory, vms, servers, make_server=None, route=None, limits=None, arguments=()
    ):
        self._directory = directory
        self._logs = ProcessLogs(directory)
        self.network = f"127.{random.randint(100, 250)}.{random.randint(1, 250)}"
        self._vms = vms
        self._server_count = servers
        self.store = StoreStandIn()
        self._make_server = make_server or (
            lambda *arguments: CrashableServer(*arguments, self._count_crash)
        )
        self._route = {"Timeout": "5000ms", "MaxAttempts": 3, **(route or {})}
        self._limits = limits or {}
        self._arguments = arguments
        self._processes = {}
        self.servers = []
        self._numbers = iter(range(10**6))
        self.crashes = 0

    @property
    def vms(self):
        return range(self._vms)

    async def __aenter__(self):
        self._store_port = await self.store.start()
        self.configure(7, {})
        for number in range(self._server_count):
            host = f"{self.network}.{200 + number}"
            server = self._make_server(f"i-{number}", host, self.store)
            await server.start()
            self.servers.append(server)
        for number in self.vms:
            await self._start_vm(number)
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, error_type, error, traceback):
        if error is not None:
            self._logs.show()
        await self._session.close()
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
        for process in self._processes.values():
            await process.wait()
        for server in self.servers:
            server.close()
        await self.store.close()

    def configure(self, version, limits):
        """Put a configuration in force whose limits of callers differ from those of the others."""
        configuration = configuration_row(version, [route_item(**self._route)])
        configuration["Resources"][-1]["Spec"].update({**self._limits, **limits})
        self.store.put("op", "config", configuration)

    def log(self, vm):
        """Return what the processes of a VM have logged."""
        return self._logs.path(f"vm-{vm}").read_text(errors="replace")

    def signal(self, vm, number):
        """Send a signal to the process of a VM."""
        self._processes[vm].send_signal(number)

    async def restart(self, vm, number):
        """End the process of a VM by a signal, and start it again."""
        self.signal(vm, number)
        await self._processes[vm].wait()
        await self._start_vm(vm)

    def process_id(self, vm):
        """Return the id of the process of a VM."""
        return self._processes[vm].pid

    def is_running(self, vm):
        """Return whether the process of a VM has not ended."""
        return self._processes[vm].returncode is None

    def url(self, vm):
        """Return the URL at which a VM serves callers."""
        return f"http://{self.host(vm)}:8001"

    async def request(self, vm, path):
        """Send a request to a VM; return the status of its response."""
        headers = {
            "Host": "a.example",
            "Request-Id": f"id-{next(self._numbers)}",
            "Deadline-Ms": "5000",
        }
        async with self._session.get(f"{self.url(vm)}{path}", headers=headers) as reply:
            await reply.read()
            return reply.status

    async def wait_until_served(self, path):
        """Wait until each VM serves a request."""
        for vm in self.vms:
            while not await self._is_served(vm, path):
                pass

    async def _is_served(self, vm, path):
        try:
            return await self.request(vm, path) == 200
        except aiohttp.ClientError:
            return False

    async def _start_vm(self, vm):
        path = self._directory / f"vm-{vm}.ini"
        name, host = f"vm-{vm}", self.host(vm)
        path.write_text(SETTINGS.format(name=name, host=host, store_port=self._store_port))
        self._processes[vm] = await self._logs.start(
            name, "gateway", "--settings", path, *self._arguments
        )

    def _count_crash(self):
        self.crashes += 1

    def host(self, vm):
        """Return the address of a VM."""
        return f"{self.network}.{vm + 1}"
