"""Random runs of gateways as processes, beside faulty servers and interrupted VMs.

A request that was refused as not run must not have run, and none may run twice. Run ``python -m
tests.processes.random_faults --help``; exits with 1 if a run shows either. The logs of the VMs
are kept.
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

from .faulty_servers import FaultyServer, Mode
from .gateways import Gateways

CALLERS = 40
SERVERS = 6
LOOKUP_DELAY_S = 4.0  # time for the VMs to read the store
MAX_FREEZE_S = 3.0


async def call(gateways, rng, number, end, statuses):
    """Send requests one after the other, on connections that are kept while they work."""
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession() as session:
        for count in range(10**6):
            if loop.time() >= end:
                return
            request_id = f"{number}-{count}"
            left_s = rng.choice([0.6, 1.5, 2.5])
            headers = {
                "Host": "a.example",
                "Request-Id": request_id,
                "Deadline-Ms": str(round(1000 * left_s)),
            }
            body = b"x" * rng.choice([5, 50, 700])
            url = f"{gateways.url(rng.choice(gateways.vms))}/x/{rng.randrange(30)}"
            data = body if rng.random() < 0.5 else _pieces(rng, body)
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with (
                    asyncio.timeout(left_s),
                    session.post(url, data=data, headers=headers) as response,
                ):
                    statuses[request_id] = response.status
                    await response.read()
            await asyncio.sleep(rng.choice([0.0, 0.02, 0.1]))


async def _pieces(rng, body):
    for piece in (body[:3], body[3:]):
        await asyncio.sleep(rng.choice([0.0, 0.0, 0.05]))
        yield piece


async def interrupt_vms(gateways, rng, end):
    """Freeze, slow down, stop and kill VMs, one after the other."""
    loop = asyncio.get_running_loop()
    while loop.time() < end - MAX_FREEZE_S:
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        vm = rng.choice(gateways.vms)
        match rng.choice(["freeze", "slow", "slow", "stop", "kill"]):
            case "freeze":
                await _pause(gateways, vm, rng.uniform(0.1, MAX_FREEZE_S))
            case "slow":
                for _ in range(30):
                    await _pause(gateways, vm, 0.06)
                    await asyncio.sleep(0.015)
            case "stop":
                await gateways.restart(vm, signal.SIGTERM)
            case "kill":
                await gateways.restart(vm, signal.SIGKILL)


async def _pause(gateways, vm, seconds):
    gateways.signal(vm, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    gateways.signal(vm, signal.SIGCONT)


async def change_servers(servers, rng, end):
    """Change what servers do, one or all at once, and replace some."""
    loop = asyncio.get_running_loop()
    while loop.time() < end:
        await asyncio.sleep(rng.uniform(0.1, 0.5))
        chosen = servers if rng.random() < 0.15 else [rng.choice(servers)]
        for server in chosen:
            server.mode = rng.choice(list(Mode))
        if rng.random() < 0.1:
            await chosen[0].replace()


async def play(seed, vms, duration_s):
    """Return the statuses of all responses, and the requests that were misreported."""
    rng = random.Random(seed)
    directory = Path(tempfile.mkdtemp(prefix=f"random-faults-{seed}-"))

    def make_server(*arguments):
        return FaultyServer(*arguments, rng)

    statuses = {}
    route = {"Kind": "unsafe", "Timeout": "2500ms", "MaxAttempts": 2}
    async with Gateways(directory, vms, SERVERS, make_server, route) as gateways:
        await asyncio.sleep(LOOKUP_DELAY_S)
        end = asyncio.get_running_loop().time() + duration_s
        await asyncio.gather(
            interrupt_vms(gateways, rng, end),
            change_servers(gateways.servers, rng, end),
            *(call(gateways, rng, number, end, statuses) for number in range(CALLERS)),
        )
        runs = sum((server.runs for server in gateways.servers), Counter())
    refused = [key for key, status in statuses.items() if status in NOT_RUN_STATUSES and runs[key]]
    repeated = [key for key, count in runs.items() if count > 1]
    return Counter(statuses.values()), refused, repeated, directory


@click.command()
@click.option("--seeds", default=1, help="Number of runs.")
@click.option("--first", default=1, help="First seed.")
@click.option("--vms", default=3, help="Number of VMs.")
@click.option("--seconds", default=25.0, help="Duration of each run.")
def main(seeds: int, first: int, vms: int, seconds: float) -> None:
    """Play random faults with consecutive seeds."""
    is_broken = False
    for seed in range(first, first + seeds):
        statuses, refused, repeated, directory = asyncio.run(play(seed, vms, seconds))
        print(
            f"seed {seed}: {dict(statuses)}, refused as not run but ran: {len(refused)} "
            f"{refused[:3]}, ran twice: {len(repeated)} {repeated[:3]}, logs in {directory}",
            flush=True,
        )
        is_broken = is_broken or bool(refused or repeated)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    main()
