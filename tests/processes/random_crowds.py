"""Random runs of gateways beside crowds of clients that don't keep to the protocol.

Processes are stopped, killed and frozen, and limits changed, while ordinary callers keep their
connections. No process may end by itself, exceed its memory or descriptors, or log an error. A
request that was refused as not run must not have run, and none may run twice. Run ``python -m
tests.processes.random_crowds --help``; exits with 1 if a run shows any of it.
"""

import asyncio
import contextlib
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import aiohttp
import click

from hibiscushaven.forwarding.refusals import NOT_RUN_STATUSES

from .crowds import (
    CROWDS,
    LIMITS,
    CrowdClients,
    limit_descriptors,
    open_descriptors,
    peak_memory_bytes,
    random_crowd,
)
from .faulty_servers import FaultyServer
from .gateways import Gateways

VMS = 2
SERVERS = 3
CALLERS = 8
MEMORY_MB = 128
MAX_DESCRIPTORS = 400
MAX_PAUSE_S = 1.0
ROUTE = {"Kind": "unsafe", "Timeout": "2500ms", "MaxAttempts": 2}


class Run:
    """One run and what it has shown.

    :ivar statuses: statuses of the responses to ordinary requests, by their id.
    :ivar faults: what must not be.
    """

    def __init__(self, gateways, rng, duration_s):
        self._gateways = gateways
        self._rng = rng
        self._end = asyncio.get_running_loop().time() + duration_s
        self.statuses = {}
        self.faults = []

    async def play(self):
        for vm in self._gateways.vms:
            self._limit_descriptors(vm)
        await asyncio.gather(
            *(self._call(number) for number in range(CALLERS)),
            *(self._send_crowds() for _ in range(2)),
            self._interrupt_vms(),
            self._change_limits(),
        )
        for vm in self._gateways.vms:
            self._check_process(vm)
            if '"levelname": "ERROR"' in self._gateways.log(vm):
                self.faults.append(f"vm-{vm} logged an error")
        await self._gateways.wait_until_served("/x/1")

    def check_requests(self, runs):
        for request_id, status in self.statuses.items():
            if status in NOT_RUN_STATUSES and runs[request_id]:
                self.faults.append(f"{request_id} was refused with {status} and ran")
            if runs[request_id] > 1:
                self.faults.append(f"{request_id} ran {runs[request_id]} times")

    def _is_over(self):
        return asyncio.get_running_loop().time() >= self._end

    async def _call(self, number):
        """Send requests on connections that are kept until the process closes them."""
        rng = self._rng
        async with aiohttp.ClientSession() as session:
            for count in range(10**6):
                if self._is_over():
                    return
                request_id = f"o-{number}-{count}"
                headers = {
                    "Host": "a.example",
                    "Request-Id": request_id,
                    "Deadline-Ms": "2500",
                }
                body = b"x" * rng.choice([0, 5, 700, 30_000])
                url = f"{self._gateways.url(rng.choice(self._gateways.vms))}/x/{rng.randrange(30)}"
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with (
                        asyncio.timeout(3.0),
                        session.post(url, data=body, headers=headers) as response,
                    ):
                        self.statuses[request_id] = response.status
                        await response.read()
                await asyncio.sleep(rng.choice([0.0, 0.02, 0.1]))

    async def _send_crowds(self):
        rng = self._rng
        while not self._is_over():
            made = random_crowd(rng)
            if rng.random() < 0.5:
                made = CROWDS[rng.choice(list(CROWDS))]()
            clients = CrowdClients(self._gateways.host(rng.choice(self._gateways.vms)))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(rng.uniform(0.2, 3.0)):
                    await clients.send(made)
                    await asyncio.sleep(3.0)
            clients.close()

    async def _interrupt_vms(self):
        rng, gateways = self._rng, self._gateways
        while not self._is_over():
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            vm = rng.choice(gateways.vms)
            self._check_process(vm)
            match rng.choice(["pause", "stop", "kill", "reload", "none"]):
                case "pause":
                    gateways.signal(vm, signal.SIGSTOP)
                    await asyncio.sleep(rng.uniform(0.1, MAX_PAUSE_S))
                    gateways.signal(vm, signal.SIGCONT)
                case "stop":
                    await gateways.restart(vm, signal.SIGTERM)
                    self._limit_descriptors(vm)
                case "kill":
                    await gateways.restart(vm, signal.SIGKILL)
                    self._limit_descriptors(vm)
                case "reload":
                    gateways.signal(vm, signal.SIGHUP)

    async def _change_limits(self):
        rng = self._rng
        for version in range(8, 10**6):
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            if self._is_over():
                return
            self._gateways.configure(
                version,
                {
                    "MaxHeaderBytes": rng.choice([4096, 16384, 65536]),
                    "MaxBodyBytes": rng.choice([50_000, 1_000_000, 8_000_000]),
                    "HeaderTimeout": rng.choice(["500ms", "3000ms"]),
                    "IdleTimeout": rng.choice(["1000ms", "15000ms"]),
                },
            )

    def _limit_descriptors(self, vm):
        limit_descriptors(self._gateways.process_id(vm), MAX_DESCRIPTORS)

    def _check_process(self, vm):
        if not self._gateways.is_running(vm):
            self.faults.append(f"vm-{vm} has ended")
            return
        process_id = self._gateways.process_id(vm)
        if (peak := peak_memory_bytes(process_id)) >= MEMORY_MB * 1024 * 1024:
            self.faults.append(f"vm-{vm} took {peak} bytes")
        if (descriptors := open_descriptors(process_id)) >= MAX_DESCRIPTORS:
            self.faults.append(f"vm-{vm} has {descriptors} descriptors open")


async def play(seed, duration_s, directory):
    """Return the statuses of the responses to ordinary requests, and the faults of a run."""
    rng = random.Random(seed)
    arguments = ["--memory-mb", str(MEMORY_MB), "--max-descriptors", str(MAX_DESCRIPTORS)]

    def make_server(*arguments):
        return FaultyServer(*arguments, rng)

    async with Gateways(directory, VMS, SERVERS, make_server, ROUTE, LIMITS, arguments) as gateways:
        await gateways.wait_until_served("/x/1")
        run = Run(gateways, rng, duration_s)
        await run.play()
        run.check_requests(sum((server.runs for server in gateways.servers), Counter()))
    return Counter(run.statuses.values()), run.faults


@click.command()
@click.option("--seeds", default=1, help="Number of runs.")
@click.option("--first", default=1, help="First seed.")
@click.option("--seconds", default=10.0, help="Duration of each run.")
def main(seeds: int, first: int, seconds: float) -> None:
    """Play random crowds with consecutive seeds."""
    is_broken = False
    for seed in range(first, first + seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"random-crowds-{seed}-"))
        statuses, faults = asyncio.run(play(seed, seconds, directory))
        print(f"seed {seed}: {dict(statuses)}, faults: {faults}, logs in {directory}", flush=True)
        is_broken = is_broken or bool(faults)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    main()
