"""Deployment of entry daemons and backend stand-ins in one process on loopback addresses."""

import asyncio
import re
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

import aiohttp

from hibiscushaven.commands.backends import close_backends, start_backends
from hibiscushaven.commands.standin import preloaded_platform
from hibiscushaven.documents import ServiceDocument, parse_document
from hibiscushaven.documents.distribution import DocumentPush
from hibiscushaven.entry import EntryDaemon
from hibiscushaven.settings import Deployment, load_deployment
from hibiscushaven.standins import BackendStandIn
from hibiscushaven.tablestore import MemoryPlatform, Row, VmRecord, Write

__all__ = ["DEPLOYMENTS", "LocalDeployment", "SlowPlatform", "free_port", "running_deployment"]

_EXAMPLES = Path(__file__).parents[3] / "examples"
_READY_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class Example:
    """A deployment of ``examples/`` and its measured service.

    :ivar path: deployment file in ``examples/``.
    :ivar target: path of a request to the service.
    :ivar token: bearer token of the caller.
    :ivar vm_network: second octet of the VMs' addresses.
    :ivar server_network: second octet of the backend servers' addresses.
    """

    path: str
    service: str
    target: str
    token: str
    vm_network: int
    server_network: int


DEPLOYMENTS = {
    "retalho-sul": Example("retalho_sul.ini", "estoque", "/stock/42", "demo-shop-a", 131, 141),
    "szovetseg": Example(
        "szovetseg.ini", "adatkereso", "/approvals/42", "demo-workshop-a", 132, 142
    ),
}


def free_port() -> int:
    """Return a port that is free on all loopback addresses at this moment."""
    with socket.socket() as item:
        item.bind(("0.0.0.0", 0))
        return item.getsockname()[1]


class SlowPlatform:
    """Platform with slow calls: half of ``delay_s`` before and half after a call takes effect."""

    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform
        self.delay_s = 0.0
        self.on_commit: Callable[[tuple[Write, ...]], None] = lambda writes: None

    async def read(self, key: str) -> Row | None:
        return await self._delayed(lambda: self._platform.read(key))

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        return await self._delayed(lambda: self._platform.read_prefix(prefix))

    async def transact(self, writes: tuple[Write, ...]) -> dict[str, int]:
        async def commit() -> dict[str, int]:
            versions = await self._platform.transact(writes)
            self.on_commit(writes)
            return versions

        return await self._delayed(commit)

    async def get(self, name: str) -> bytes | None:
        return await self._delayed(lambda: self._platform.get(name))

    async def put(self, name: str, value: bytes) -> None:
        await self._delayed(lambda: self._platform.put(name, value))

    async def list_vms(self) -> tuple[VmRecord, ...]:
        return await self._delayed(self._platform.list_vms)

    async def _delayed(self, call):
        if self.delay_s:
            await asyncio.sleep(self.delay_s / 2)
        value = await call()
        if self.delay_s:
            await asyncio.sleep(self.delay_s / 2)
        return value


@dataclass(slots=True)
class LocalDeployment:
    """Running daemons, with the commit times of documents and the times they came into force.

    :ivar commit_times: monotonic time of the commit, by revision of the service's document.
    :ivar in_force_times: monotonic time when a revision came into force, by revision and VM.
    """

    example: Example
    deployment: Deployment
    platform: SlowPlatform
    daemons: list[EntryDaemon]
    backends: dict[str, BackendStandIn]
    session: aiohttp.ClientSession
    text: str
    revision: int = 0
    commit_times: dict[int, float] = field(default_factory=dict)
    in_force_times: dict[int, dict[str, float]] = field(default_factory=dict)

    def url(self, number: int) -> str:
        vm = self.deployment.vms[number % len(self.daemons)]
        return f"http://{vm.host}:{vm.http_port}"

    def record_document_times(self) -> None:
        """Start to record the commit times of documents and the times they come into force."""
        service = f"documents/{self.example.service}"

        def on_commit(writes: tuple[Write, ...]) -> None:
            if any(write.key == service for write in writes):
                self.commit_times[self.revision + 1] = time.monotonic()

        self.platform.on_commit = on_commit
        for daemon in self.daemons:
            self._record_in_force(daemon.node)

    def _record_in_force(self, node) -> None:
        def on_change(entry) -> None:
            if entry.document.name == self.example.service:
                times = self.in_force_times.setdefault(entry.revision, {})
                times.setdefault(node.identity.vm, time.monotonic())

        node.documents.on_change = on_change

    def set_pushing(self, is_pushing: bool) -> None:
        """Enable or disable document pushes between VMs; without them VMs only poll."""
        for daemon in self.daemons:
            _set_document_push(daemon.node.control_sender, is_pushing)

    async def put(self, text: str, vm_index: int = 0) -> None:
        """Publish a new text of the document through one VM.

        :param vm_index: index of the VM.

            :raises RuntimeError: when the edit is refused.
        """
        token = next(iter(self.deployment.team_tokens.values()))
        headers = {"Authorization": f"Bearer {token}"}
        if self.revision:
            headers["If-Match"] = f'"{self.revision}"'
        url = f"{self.url(vm_index)}/v1/documents/{self.example.service}"
        async with self.session.put(url, data=text.encode(), headers=headers) as response:
            if response.status >= 400:
                raise RuntimeError(f"edit refused: {response.status} {await response.text()}")
        self.revision += 1
        self.text = text

    async def wait_until_in_force(self, timeout_s: float = 20.0) -> float:
        """Wait until the last edit is in force on all VMs; return the seconds since its commit."""
        count = len(self.daemons)
        async with asyncio.timeout(timeout_s):
            while len(self.in_force_times.get(self.revision, {})) < count:
                await asyncio.sleep(_POLL_INTERVAL_S)
        return max(self.in_force_times[self.revision].values()) - self.commit_times[self.revision]

    async def request(self, vm_index: int, target: str) -> tuple[int, str, bytes]:
        """Send a request as the caller and return its status, outcome and body."""
        url = f"{self.url(vm_index)}/v1/services/{self.example.service}{target}"
        headers = {"Authorization": f"Bearer {self.example.token}"}
        async with self.session.get(url, headers=headers) as response:
            body = await response.read()
            return response.status, response.headers.get("Request-Outcome", ""), body


def _set_document_push(control_sender, is_pushing: bool) -> None:
    vars(control_sender).pop("post", None)
    if is_pushing:
        return
    post = control_sender.post

    def post_without_pushes(endpoint, item) -> None:
        if not isinstance(item, DocumentPush):
            post(endpoint, item)

    control_sender.post = post_without_pushes


def _with_bench_addresses(text: str, example: Example, server_port: int) -> str:
    """Return a document with other server addresses, so that it can run next to the demo."""
    number = example.server_network
    moved = re.sub(r"address = 127\.\d+\.", f"address = 127.{number}.", text)
    return re.sub(r"(address = [\d.]+):\d+", rf"\1:{server_port}", moved)


def _with_free_ports(deployment: Deployment, example: Example, max_vms: int | None) -> Deployment:
    http_port, peer_port = free_port(), free_port()
    moved = tuple(
        replace(
            vm,
            host=re.sub(r"^127\.\d+\.", f"127.{example.vm_network}.", vm.host),
            http_port=http_port,
            peer_port=peer_port,
        )
        for vm in deployment.vms
    )
    return replace(deployment, vms=moved[:max_vms])


@asynccontextmanager
async def running_deployment(
    name: str, max_vms: int | None = None
) -> AsyncIterator[LocalDeployment]:
    """Run a deployment until the block ends.

    :param max_vms: limit of the entry VMs that are started; ``None`` for all.
    """
    example = DEPLOYMENTS[name]
    loaded = load_deployment(str(_EXAMPLES / example.path)).ok
    deployment = _with_free_ports(loaded, example, max_vms)
    path = deployment.documents[example.service]
    text = _with_bench_addresses(path.read_text(encoding="utf-8"), example, free_port())
    document: ServiceDocument = parse_document(text).ok
    backends = await start_backends((document,))
    memory = await asyncio.to_thread(preloaded_platform, deployment)
    platform = SlowPlatform(memory)
    daemons = [EntryDaemon(settings, platform) for settings in deployment.vms]
    session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=60))
    local = LocalDeployment(example, deployment, platform, daemons, backends, session, text)
    local.record_document_times()
    try:
        for daemon in daemons:
            await daemon.start()
        await _wait_until_ready(local)
        await local.put(text)
        await local.wait_until_in_force()
        yield local
    finally:
        await session.close()
        await asyncio.gather(*(daemon.stop(is_forced=True) for daemon in daemons))
        await close_backends(backends)


async def _wait_until_ready(local: LocalDeployment) -> None:
    async with asyncio.timeout(_READY_TIMEOUT_S):
        while not all(daemon.node.is_ready for daemon in local.daemons):
            await asyncio.sleep(_POLL_INTERVAL_S)
