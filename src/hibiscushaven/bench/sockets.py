"""Commands of scripts/bench_sockets.sh: baseline proxy, backend stand-ins and load generator."""

import asyncio
import json
import os
import statistics
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

import aiohttp
import click

from hibiscushaven.process import HttpServer
from hibiscushaven.standins import BackendConfig, BackendStandIn

from .http_load import LoadResult, run_load
from .local_deployment import free_port
from .measures import Bound, Finding
from .pass_through import pass_through_app
from .socket_entry import HOST, SERVER_HOSTS, SERVICE, SLOTS

__all__ = ["cli", "socket_findings"]

_ROUND_COUNT = 5
_CONNECTIONS = 16
_LOOKUP_SHARE = 0.9  # of all requests; the others are proxied
_READY_TIMEOUT_S = 30.0
_PROXIED = f"/v1/services/{SERVICE}/items/42"
_MB = 1e6


@click.group()
def cli() -> None:
    """Processes of the measurements on real sockets."""


@cli.command()
@click.argument("count", type=int)
def ports(count: int) -> None:
    """Print free ports."""
    click.echo(" ".join(str(free_port()) for _ in range(count)))


@cli.command()
@click.argument("http_port", type=int)
@click.argument("server_port", type=int)
def baseline(http_port: int, server_port: int) -> None:
    """Serve the pass-through proxy."""
    asyncio.run(_serve_baseline(http_port, server_port))


async def _serve_baseline(http_port: int, server_port: int) -> None:
    servers = tuple(f"http://{host}:{server_port}" for host in SERVER_HOSTS)
    async with aiohttp.ClientSession() as session:
        server = HttpServer(pass_through_app(session, servers), HOST, http_port)
        await server.start()
        await asyncio.get_running_loop().create_future()


@cli.command()
@click.argument("server_port", type=int)
@click.argument("number", type=click.IntRange(0, len(SERVER_HOSTS) - 1))
def backend(server_port: int, number: int) -> None:
    """Serve one backend stand-in."""
    asyncio.run(_serve_backend(server_port, number))


async def _serve_backend(server_port: int, number: int) -> None:
    stand_in = BackendStandIn(BackendConfig(slots=2 * SLOTS, body_bytes=256))
    await stand_in.start(SERVER_HOSTS[number], server_port)
    await asyncio.get_running_loop().create_future()


@cli.command()
@click.argument("entry_pid", type=int)
@click.argument("entry_port", type=int)
@click.argument("baseline_pid", type=int)
@click.argument("baseline_port", type=int)
@click.option("--requests", type=int, default=100_000, show_default=True)
def drive(
    entry_pid: int, entry_port: int, baseline_pid: int, baseline_port: int, requests: int
) -> None:
    """Load the processes and print findings as JSON, one a line."""
    entry_process = _Process(entry_pid, entry_port)
    baseline_process = _Process(baseline_pid, baseline_port)
    for item in asyncio.run(_run_rounds(entry_process, baseline_process, requests)):
        click.echo(json.dumps(asdict(item)))


@dataclass(frozen=True, slots=True)
class _Process:
    """A process under load."""

    pid: int
    port: int

    @property
    def cpu_s(self) -> float:
        """CPU time used so far, in user and kernel mode."""
        parts = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def memory_mb(self) -> float:
        """Resident memory."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / _MB

    async def load(self, target: str, requests: int) -> tuple[LoadResult, float]:
        """Send requests; return the result and the requests per second of CPU time."""
        before = self.cpu_s
        result = await run_load(HOST, self.port, target, requests, _CONNECTIONS)
        return result, result.requests / max(0.01, self.cpu_s - before)


async def _run_rounds(
    entry_process: _Process, baseline_process: _Process, requests: int
) -> list[Finding]:
    for target in (entry_process, baseline_process):
        await _wait_until_ready(target.port)
    idle_mb = entry_process.memory_mb
    idle_cpu = entry_process.cpu_s
    await asyncio.sleep(3.0)
    idle_percent = 100 * (entry_process.cpu_s - idle_cpu) / 3.0
    lookups = int(requests * _LOOKUP_SHARE / _ROUND_COUNT)
    proxied = requests // _ROUND_COUNT - lookups
    lookup_rounds, proxied_rounds, baseline_rounds, memory = [], [], [], []
    for _ in range(_ROUND_COUNT):
        lookup_rounds.append(await entry_process.load(f"/v1/lookup/{SERVICE}", lookups))
        proxied_rounds.append(await entry_process.load(_PROXIED, proxied))
        for reason, count in proxied_rounds[-1][0].failed:
            click.echo(f"{count} times: {reason}", err=True)
        baseline_rounds.append(await baseline_process.load(_PROXIED, proxied))
        memory.append(entry_process.memory_mb)
    findings = list(socket_findings(lookup_rounds, proxied_rounds, baseline_rounds))
    findings.append(Finding("memory", "idle daemon", "MB", idle_mb, bound=Bound(64.0)))
    findings.append(
        Finding("memory", f"after {requests // _ROUND_COUNT:,} requests", "MB", memory[0])
    )
    case = f"after {requests:,} requests"
    findings.append(Finding("memory", case, "MB", memory[-1], bound=Bound(64.0)))
    findings.append(Finding("memory", "idle daemon CPU, no peers", "% core", idle_percent))
    return findings


LoadRounds = list[tuple[LoadResult, float]]


def socket_findings(
    lookup_rounds: LoadRounds, proxied_rounds: LoadRounds, baseline_rounds: LoadRounds
) -> Iterator[Finding]:
    """Yield the findings for look-ups and for proxied requests next to the baseline proxy."""
    rates = [result.requests / result.seconds for result, _ in lookup_rounds]
    spread = f"{min(rates):.0f}..{max(rates):.0f}"
    bound = Bound(2000.0, is_least=True)
    yield Finding("lookups", f"one core ({spread})", "1/s", statistics.median(rates), bound=bound)
    per_cpu = statistics.median(rate for _, rate in lookup_rounds)
    yield Finding("lookups", "per second of CPU", "1/s", per_cpu)
    p99 = statistics.median(result.p99_ms for result, _ in lookup_rounds)
    yield Finding("lookups", f"p99 with {_CONNECTIONS} connections", "ms", p99)
    rates, baseline_rates = (
        [result.requests / result.seconds for result, _ in rounds]
        for rounds in (proxied_rounds, baseline_rounds)
    )
    spread = f"{min(rates):.0f}..{max(rates):.0f}"
    medians = statistics.median(rates), statistics.median(baseline_rates)
    yield Finding("proxied", f"one core ({spread})", "1/s", medians[0], "pass-through", medians[1])
    p99s_ms = [
        statistics.median(result.p99_ms for result, _ in rounds)
        for rounds in (proxied_rounds, baseline_rounds)
    ]
    case = f"p99 with {_CONNECTIONS} connections"
    yield Finding("proxied", case, "ms", p99s_ms[0], "pass-through", p99s_ms[1])
    sent = sum(result.requests + _count_failed(result, "") for result, _ in proxied_rounds)
    for outcome in ("not-run", "unknown"):
        failed = sum(_count_failed(result, outcome) for result, _ in proxied_rounds)
        case = f"failed as {outcome} of {sent:,}"
        yield Finding("proxied", case, "requests", failed, bound=Bound(0.0))
    medians = tuple(
        statistics.median(rate for _, rate in rounds)
        for rounds in (proxied_rounds, baseline_rounds)
    )
    yield Finding("proxied", "per second of CPU", "1/s", medians[0], "pass-through", medians[1])


def _count_failed(result: LoadResult, outcome: str) -> int:
    """Return the number of requests that failed with an outcome, or of all if it is empty."""
    return sum(count for reason, count in result.failed if reason.startswith(outcome))


async def _wait_until_ready(port: int) -> None:
    """Wait until a proxied request is answered."""
    async with asyncio.timeout(_READY_TIMEOUT_S), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(f"http://{HOST}:{port}{_PROXIED}") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                await asyncio.sleep(0)
            await asyncio.sleep(0.1)


if __name__ == "__main__":
    cli()
