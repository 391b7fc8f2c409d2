"""Cost of claims in calls to the platform table, simulated on virtual time at rising load."""

import asyncio
import random
import statistics
from collections import Counter
from dataclasses import dataclass

from hibiscushaven.claims import (
    Claim,
    ClaimManager,
    ClaimRequest,
    Outcome,
    RecordedResponse,
    TableRateLimiter,
)
from hibiscushaven.tablestore import MemoryPlatform

from .faulty_table import FaultRates, FaultyTable
from .virtual_time import run_virtual

__all__ = ["ClaimCost", "measure_claims", "print_claims"]

LOADS_PER_S = (1, 5, 10, 20, 50, 100, 200, 500, 1000)
DURATION_S = 20.0
LIVE_VM_COUNT = 23
# Mean one-way delay to the table from another region; delays are drawn up to twice this value.
TABLE_DELAY_S = 0.035
DEADLINE_S = 2.0
WORK_S = 0.1


@dataclass(frozen=True, slots=True)
class ClaimCost:
    """Result of simulating one VM at one load.

    :ivar claims_per_s: claims offered to the VM per second.
    :ivar round_trips: transactions and reads per claim, including its completion.
    :ivar claims_per_transaction: granted claims per transaction.
    :ivar transactions_per_s: transactions per second of all VMs, each at this load.
    :ivar median_ms: median latency of a claim.
    :ivar p99_ms: 99th percentile of the latency of a claim.
    :ivar refused: share of the claims that were refused as not run.
    :ivar duplicates: number of runs of work beyond the first run of each key.
    """

    claims_per_s: float
    round_trips: float
    claims_per_transaction: float
    transactions_per_s: float
    median_ms: float
    p99_ms: float
    refused: float
    duplicates: int


class _ClaimClient:
    def __init__(self, seed: int, live_vms: int) -> None:
        loop = asyncio.get_running_loop()
        self.now = loop.time
        self.rng = random.Random(seed)
        table = FaultyTable(MemoryPlatform(), self.rng, FaultRates(delay_s=2 * TABLE_DELAY_S))
        rate_limiter = TableRateLimiter(self.now, asyncio.sleep)
        rate_limiter.set_live_vms(live_vms)
        self.manager = ClaimManager(table, "bench", self.now, rate_limiter, self.now)
        self.latencies_s: list[float] = []
        self.granted = 0
        self.refused = 0
        self.runs: Counter[str] = Counter()

    async def request(self, key: str) -> None:
        start = self.now()
        request = ClaimRequest("pedidos", "retalho-sul", "shop-a", key, "body")
        result = await self.manager.claim(request, start + DEADLINE_S)
        self.latencies_s.append(self.now() - start)
        if result.is_error():
            self.refused += result.error.outcome is Outcome.NOT_RUN
        elif isinstance(result.ok, Claim):
            self.granted += 1
            result.ok.mark_sent()
            self.runs[key] += 1
            await asyncio.sleep(WORK_S)
            await self.manager.complete(result.ok, Outcome.RUN, RecordedResponse(200, (), b"ok"))


async def _simulate(
    claims_per_s: float, resend_share: float, live_vms: int, seed: int, duration_s: float
) -> ClaimCost:
    client = _ClaimClient(seed, live_vms)
    tasks = []
    for number in range(max(1, round(claims_per_s * duration_s))):
        await asyncio.sleep(client.rng.expovariate(claims_per_s))
        is_resend = number and client.rng.random() < resend_share
        key = str(client.rng.randrange(number) if is_resend else number)
        tasks.append(asyncio.ensure_future(client.request(key)))
    await asyncio.gather(*tasks)
    await client.manager.drain()
    counts = client.manager.counts
    return ClaimCost(
        claims_per_s,
        (counts.transactions + counts.reads) / len(tasks),
        client.granted / counts.transactions,
        counts.transactions / client.now() * live_vms,
        1000 * statistics.median(client.latencies_s),
        1000 * sorted(client.latencies_s)[int(len(client.latencies_s) * 0.99)],
        client.refused / len(tasks),
        client.runs.total() - len(client.runs),
    )


def measure_claims(
    claims_per_s: float,
    resend_share: float = 0.0,
    live_vms: int = LIVE_VM_COUNT,
    seed: int = 1,
    duration_s: float = DURATION_S,
) -> ClaimCost:
    """Simulate the claims of one VM at one load.

    :param resend_share: share of the claims that repeat the key of an earlier claim.
    :param live_vms: number of VMs that share the table's transaction rate.
    """
    return run_virtual(_simulate(claims_per_s, resend_share, live_vms, seed, duration_s))


def print_claims() -> None:
    """Print the cost of claims at rising load, without and with resends."""
    print(
        f"{LIVE_VM_COUNT} VMs, delay to the table {1000 * TABLE_DELAY_S:g} ms on average each way"
    )
    print("claims/s  resends  trips/claim  claims/txn  txn/s of all  median ms  p99 ms  refused")
    for resend_share in (0.0, 0.1):
        for load in LOADS_PER_S:
            cost = measure_claims(load, resend_share)
            print(
                f"{load:8}  {resend_share:7.0%}  {cost.round_trips:11.2f}"
                f"  {cost.claims_per_transaction:10.2f}  {cost.transactions_per_s:12.1f}"
                f"  {cost.median_ms:9.1f}  {cost.p99_ms:6.1f}  {cost.refused:7.1%}"
            )
