"""Random runs of gateways as processes, whose store is away and restored again and again.

Routes are added, backend servers leave or are removed, and VMs are interrupted meanwhile. Run
``python -m tests.processes.random_restores --help``; exits with 1 if a run breaks a bound. The
logs of the VMs are kept.
"""

import asyncio
import contextlib
import random
import signal
import sys
import tempfile
from collections import Counter, deque
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import click

from hibiscushaven.platform.tests.backend_standin import header
from hibiscushaven.platform.tests.samples import configuration_row, route_item, server_row
from hibiscushaven.platform.tests.store_standin import Fault

from .gateways import Gateways, sound_response

CALLERS = 24
SERVERS = 5
LOOKUP_DELAY_S = 4.0  # time for the VMs to read the store
APPLY_S = 3.0  # bound from the acknowledgement of a route to its use
DRAIN_S = 3.0  # bound from the acknowledgement that a server leaves to the last request to it
EXIT_S = 8.0  # time from then until the server ends
MAX_FREEZE_S = 1.5
RECORD_EXPIRY_S = 4.5  # time after a restore until the record of a server that is gone expires


class Outage(deque):
    """Faults of a store that rejects all calls."""

    def __bool__(self):
        return True

    def popleft(self):
        return Fault.DOWN


class RecordingServer:
    """Backend server that records its requests.

    :ivar gone_at: time at which the store acknowledged that it leaves or is gone.
    :ivar arrivals: time and id of each request.
    """

    def __init__(self, name, host, store):
        self.name, self._host, self._store = name, host, store
        self.gone_at = float("inf")
        self.state = "ready"
        self.arrivals = []
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._host, 9000)
        self.register()

    def register(self):
        """Write the record of the server, unless it has been removed."""
        if self.state != "removed":
            row = server_row(address=f"{self._host}:9000", state=self.state, born=7)
            self._store.put("servers", self.name, row)
        if self.state == "draining":
            self._acknowledge()

    def remove(self):
        """Remove the record of the server, if the store has it."""
        self.state = "removed"
        if ("servers", self.name) in self._store.rows:
            self._store.delete("servers", self.name)
            self._acknowledge()

    def _acknowledge(self):
        self.gone_at = min(self.gone_at, asyncio.get_running_loop().time())

    def forget_late_acknowledgement(self, now):
        """Discard an acknowledgement that the VMs may not have read before the store is away."""
        if self.gone_at > now - DRAIN_S:
            self.gone_at = float("inf")

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if header(head, "Expect-Instance") not in (None, self.name):
                    break
                request_id = header(head, "Request-Id")
                self.arrivals.append((asyncio.get_running_loop().time(), request_id))
                await asyncio.sleep(0.02)
                writer.write(sound_response(request_id))
        self._writers.discard(writer)
        writer.close()


@dataclass
class Run:
    """One random run.

    :ivar acked_at: time at which the store acknowledged each added route, by its path.
    :ivar restored_at: times at which the store was restored.
    :ivar started_at: time of the latest start of each VM.
    :ivar interrupted_at: times at which VMs were killed or frozen, by VM.
    :ivar late_routes: VM, path and delay of each 404 for a route that was acknowledged long ago.
    :ivar lost: ids of the requests that ran and got no response, and were not interrupted.
    """

    gateways: Gateways
    rng: random.Random
    end: float
    acked_at: dict = field(default_factory=dict)
    restored_at: list = field(default_factory=list)
    started_at: Counter = field(default_factory=Counter)
    interrupted_at: dict = field(default_factory=dict)
    late_routes: list = field(default_factory=list)
    lost: list = field(default_factory=list)
    statuses: Counter = field(default_factory=Counter)

    def __post_init__(self):
        self.store = self.gateways.store
        self.servers = list(self.gateways.servers)
        self._tasks = set()
        self._is_up = asyncio.Event()
        self._is_up.set()

    async def play(self):
        """Let requests arrive beside all changes."""
        self._put_configuration()
        await asyncio.gather(
            self._add_routes(),
            self._replace_servers(),
            self._restore_store(),
            self._interrupt_vms(),
            *(self._call(number) for number in range(CALLERS)),
        )
        await asyncio.gather(*self._tasks)

    def late_arrivals(self):
        """Return VM, server and delay of each request that is late for a server that is gone."""
        return [
            (vm, server.name, round(time - server.gone_at, 2))
            for server in self.servers
            for time, request_id in server.arrivals
            if time > server.gone_at + DRAIN_S
            and not self._may_not_know(vm := int(request_id.split("-")[0]), server.gone_at)
        ]

    def _may_not_know(self, vm, gone_at):
        """Return whether a VM started after a removal, which a copy of the store undid."""
        return self.started_at[vm] > gone_at and any(at > gone_at for at in self.restored_at)

    def _now(self):
        return asyncio.get_running_loop().time()

    def _later(self, work):
        self._tasks.add(asyncio.create_task(work))

    def _put_configuration(self):
        routes = [route_item(f"r{path}", Prefix=path, Timeout="2500ms") for path in self.acked_at]
        base = route_item(Timeout="2500ms")
        self.store.put("op", "config", configuration_row(8 + len(routes), [base, *routes]))

    async def _steps(self, shortest_s, longest_s):
        while self._now() < self.end:
            yield
            await asyncio.sleep(self.rng.uniform(shortest_s, longest_s))

    async def _add_routes(self):
        async for _ in self._steps(1.0, 4.0):
            await self._is_up.wait()
            self.acked_at[f"/n{len(self.acked_at)}/"] = self._now()
            self._put_configuration()

    async def _replace_servers(self):
        async for _ in self._steps(1.0, 3.0):
            await self._is_up.wait()
            leaving = self.rng.choice([item for item in self.servers if item.state == "ready"])
            if self.rng.random() < 0.5:
                leaving.remove()
            else:
                leaving.state = "draining"
                leaving.register()
            self._later(self._end_server(leaving))
            host = f"{self.gateways.network}.{100 + len(self.servers)}"
            server = RecordingServer(f"i-{len(self.servers)}", host, self.store)
            await server.start()
            self.servers.append(server)

    async def _end_server(self, server):
        await asyncio.sleep(EXIT_S)
        await self._is_up.wait()
        server.remove()
        server.close()

    async def _restore_store(self):
        copies = deque(maxlen=8)
        async for _ in self._steps(0.5, 1.0):
            copies.append(self.store.copy())
            if len(copies) == copies.maxlen and self.rng.random() < 0.2:
                self.store.faults = Outage()
                self._is_up.clear()
                for server in self.servers:
                    server.forget_late_acknowledgement(self._now())
                await asyncio.sleep(self.rng.uniform(0.3, 2.0))
                self.store.faults = deque()
                self.store.restore(self.rng.choice(list(copies)[2:]))
                copies.clear()
                self.restored_at.append(self._now())
                self._is_up.set()
                await asyncio.gather(self._write_again(), *map(self._register, self.servers))
                self._later(self._expire_records())

    async def _write_again(self):
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        self._put_configuration()

    async def _register(self, server):
        await asyncio.sleep(self.rng.uniform(0.0, 1.8))
        server.register()

    async def _expire_records(self):
        await asyncio.sleep(RECORD_EXPIRY_S - 1.8)
        for server in self.servers:
            if server.state == "removed":
                server.remove()

    async def _interrupt_vms(self):
        gateways = self.gateways
        async for _ in self._steps(1.0, 4.0):
            vm = self.rng.choice(gateways.vms)
            match self.rng.choice(["freeze", "reload", "stop", "stop", "kill"]):
                case "freeze":
                    self.interrupted_at.setdefault(vm, []).append(self._now())
                    gateways.signal(vm, signal.SIGSTOP)
                    await asyncio.sleep(self.rng.uniform(0.1, MAX_FREEZE_S))
                    gateways.signal(vm, signal.SIGCONT)
                case "reload":
                    gateways.signal(vm, signal.SIGHUP)
                case "stop":
                    await self._restart(vm, signal.SIGTERM)
                case "kill":
                    self.interrupted_at.setdefault(vm, []).append(self._now())
                    await self._restart(vm, signal.SIGKILL)

    async def _restart(self, vm, number):
        await self.gateways.restart(vm, number)
        self.started_at[vm] = self._now()

    async def _call(self, number):
        """Send requests one after the other, on connections that are kept while they work."""
        async with aiohttp.ClientSession() as session:
            count = 0
            async for _ in self._steps(0.0, 0.1):
                vm, count = self.rng.choice(self.gateways.vms), count + 1
                await self._request(session, vm, f"{vm}-{number}-{count}")

    async def _request(self, session, vm, request_id):
        path, sent_at = self.rng.choice(["/x/", *self.acked_at]), self._now()
        headers = {"Host": "a.example", "Request-Id": request_id, "Deadline-Ms": "2500"}
        url = f"{self.gateways.url(vm)}{path}{self.rng.randrange(30)}"
        try:
            async with asyncio.timeout(3.0), session.get(url, headers=headers) as response:
                self.statuses[response.status] += 1
                await response.read()
                delay_s = sent_at - self.acked_at.get(path, sent_at)
                if response.status == 404 and delay_s > APPLY_S:
                    self.late_routes.append((vm, path, round(delay_s, 2)))
        except (aiohttp.ClientError, TimeoutError):
            times = self.interrupted_at.get(vm, ())
            is_interrupted = any(sent_at - MAX_FREEZE_S < at < self._now() for at in times)
            has_run = any(request_id == key for item in self.servers for _, key in item.arrivals)
            if has_run and not is_interrupted:
                self.lost.append(request_id)


async def play(seed, vms, duration_s):
    """Return the run with a seed, and the directory of its logs."""
    rng = random.Random(seed)
    directory = Path(tempfile.mkdtemp(prefix=f"random-restores-{seed}-"))
    route = {"Timeout": "2500ms"}
    async with Gateways(directory, vms, SERVERS, RecordingServer, route) as gateways:
        await asyncio.sleep(LOOKUP_DELAY_S)
        run = Run(gateways, rng, asyncio.get_running_loop().time() + duration_s)
        await run.play()
    return run, directory


@click.command()
@click.option("--seeds", default=1, help="Number of runs.")
@click.option("--first", default=1, help="First seed.")
@click.option("--vms", default=4, help="Number of VMs.")
@click.option("--seconds", default=40.0, help="Duration of each run.")
def main(seeds: int, first: int, vms: int, seconds: float) -> None:
    """Play random restores with consecutive seeds."""
    is_broken = False
    for seed in range(first, first + seeds):
        run, directory = asyncio.run(play(seed, vms, seconds))
        late = run.late_arrivals()
        print(
            f"seed {seed}: {dict(run.statuses)}, {len(run.restored_at)} restores, late requests at "
            f"servers that are gone: {len(late)} {late[:3]}, late routes: {len(run.late_routes)} "
            f"{run.late_routes[:3]}, lost: {len(run.lost)} {run.lost[:3]}, logs in {directory}",
            flush=True,
        )
        is_broken = is_broken or bool(late or run.late_routes or run.lost)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    main()
