"""A small deployment of separate processes, for tests."""

import asyncio
import contextlib
import signal
import socket
import sys
from dataclasses import astuple
from pathlib import Path

import aiohttp

from hibiscushaven.client import ServiceClient
from hibiscushaven.settings import load_deployment

TEST_TIMEOUT_S = 120  # ends a test that hangs

# Limit on the log of one process in the report of a failed test, in bytes.
MAX_SHOWN_LOG_BYTES = 64 * 1024

DOCUMENT = """
[service]
name = stock
tenant = example
team = stock-team
lookup_ttl_s = 0.5
[class pull]
path = /bundles*
methods = GET
idempotent = yes
size = long
deadline_ms = 30000
[class order]
path = /orders
methods = POST
idempotent = no
size = short
deadline_ms = 8000
[class read]
path = /*
methods = GET
idempotent = yes
size = short
deadline_ms = 3000
"""


class ProcessLogs:
    """Files with the output of processes, to be shown if a test fails."""

    def __init__(self, directory: Path):
        self._directory = directory

    def path(self, name):
        return self._directory / f"{name}.log"

    async def start(self, name, *arguments):
        """Start the program with arguments, and return its process."""
        command = (sys.executable, "-m", "hibiscushaven", *map(str, arguments))
        with self.path(name).open("ab") as log:
            return await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=asyncio.subprocess.STDOUT
            )

    def show(self):
        """Write all logs to standard output, where the report of a failed test has them."""
        for path in sorted(self._directory.glob("*.log")):
            log = path.read_bytes()
            print(f"--- {path.name}, {len(log)} bytes")
            print(log[-MAX_SHOWN_LOG_BYTES:].decode(errors="replace"))


def free_port():
    with socket.socket() as item:
        item.bind(("127.0.0.1", 0))
        return item.getsockname()[1]


class Deployment:
    """Two failure domains, each with entry VMs and backend servers.

    :param arguments: further arguments of the entry VMs.
    """

    def __init__(
        self,
        directory: Path,
        entry_vms: int = 2,
        servers: int = 2,
        arguments: tuple[str, ...] = (),
    ):
        self._directory = directory
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self.logs = ProcessLogs(directory)
        second_octet = 100 + free_port() % 100
        self._hosts = [f"127.{second_octet}.{domain}" for domain in (1, 2)]
        self._entry_vms = entry_vms
        self._arguments = arguments
        self._servers = servers
        self._http_port, self._peer_port, self._backend_port = free_port(), free_port(), free_port()
        self._platform_port = free_port()
        self.path = directory / "deployment.ini"
        self.document = directory / "stock.ini"
        self.path.write_text(self._deployment_text())
        self.document.write_text(self.document_text())

    @property
    def vms(self):
        return [f"{d}-vm{n + 1}" for d in ("north", "south") for n in range(self._entry_vms)]

    @property
    def entry_urls(self):
        return [self.url(vm) for vm in self.vms]

    def url(self, vm):
        return f"http://{self._host(vm)}:{self._http_port}"

    def peers_at(self, vm):
        """Return the address on which a VM listens for the others."""
        return self._host(vm), self._peer_port

    def process_id(self, name):
        """Return the id of a process."""
        return self._processes[name].pid

    def is_running(self, name):
        """Return whether a process has not ended."""
        return self._processes[name].returncode is None

    def client(self):
        return ServiceClient("stock", self.entry_urls)

    def document_text(self, **changes):
        text = DOCUMENT
        for index, domain in enumerate(("north", "south")):
            text += (
                f"[place {domain}]\nregion = {domain}\nfailure_domain = {domain}\n"
                f"capacity = {2 * self._servers}\nstate = {changes.get(domain, 'active')}\n"
            )
            for number in range(self._servers):
                text += (
                    f"[server {domain}-{number + 1}]\nplace = {domain}\nslots = 2\n"
                    f"address = {self._hosts[index]}.{100 + number}:{self._backend_port}\n"
                )
        return text

    async def start_all(self):
        await self.start("platform", "standin", "platform", "--deployment", self.path)
        for domain in ("north", "south"):
            arguments = ("--deployment", self.path, "--failure-domain", domain)
            await self.start(f"backends-{domain}", "standin", "backend", *arguments)
        for vm in self.vms:
            await self.start_vm(vm)
        code, output = await self.run("standin", "load", "--deployment", self.path)
        assert code == 0, output

    async def start_vm(self, vm):
        await self.start(vm, "entry", "--settings", self.path, "--vm", vm, *self._arguments)

    async def start(self, name, *arguments):
        self._processes[name] = await self.logs.start(name, *arguments)

    async def run(self, *arguments, token="demo-stock-team"):
        """Run a command to its end and return its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hibiscushaven",
            *map(str, arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={"HIBISCUSHAVEN_TOKEN": token, "HIBISCUSHAVEN_ENTRY": self.entry_urls[0]},
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def remove_from_vm_list(self, vm):
        """Remove a VM from the platform's list, as the platform does when a VM died."""
        vm_records = load_deployment(str(self.path)).ok.vm_records
        rows = [
            [*astuple(item)[:5], item.state.value, item.http_port]
            for item in vm_records
            if item.name != vm
        ]
        url = f"http://127.0.0.1:{self._platform_port}/vms"
        async with aiohttp.ClientSession() as session, session.post(url, json=rows) as response:
            assert response.status == 200

    def signal(self, name, number):
        self._processes[name].send_signal(number)

    async def wait(self, name):
        return await self._processes[name].wait()

    async def stop(self):
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()

    def _host(self, vm):
        domain, _, number = vm.partition("-vm")
        return f"{self._hosts[domain == 'south']}.{number}"

    def _deployment_text(self):
        domains = "".join(
            f"[failure_domain {name}]\nregion = {name}\nentry_vms = {self._entry_vms}\n"
            f"first_host = {host}.1\n"
            for name, host in zip(("north", "south"), self._hosts, strict=True)
        )
        return (
            "[deployment]\nname = test\nplatform_region = north\n"
            f"http_port = {self._http_port}\npeer_port = {self._peer_port}\n"
            f"[platform]\nurl = http://127.0.0.1:{self._platform_port}\n"
            "[log]\nlevel = info\nformat = text\n"
            f"{domains}[service stock]\ndocument = stock.ini\n"
            "[team stock-team]\ntoken = demo-stock-team\n"
        )


def run_on(deployment, scenario):
    """Start a deployment, run a scenario on it and stop its processes."""

    async def run():
        try:
            await deployment.start_all()
            await scenario(deployment)
        except BaseException:
            deployment.logs.show()
            raise
        finally:
            await deployment.stop()

    asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_S))
