"""Cost of claims in calls to the table, at rising load on virtual time."""

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

from .faulty import FaultRates, FaultyTable
from .virtual import run_virtual

__all__ = ["ClaimLoad", "measure_claims", "print_claims"]

LOADS_PER_S = (1, 5, 10, 20, 50, 100, 200, 500, 1000)
DURATION_S = 20.0
LIVE_VMS = 23
# One-way delay to the table from another region.
DELAY_S = 0.035
DEADLINE_S = 2.0
WORK_S = 0.1


@dataclass(frozen=True, slots=True)
class ClaimLoad:
    """What one VM did at one load.

    :ivar claims_per_s: offered claims of the VM.
    :ivar round_trips: transactions and reads per claim, its completion included.
    :ivar claims_per_transaction: claims that were granted per transaction.
    :ivar transactions_per_s: transactions of all VMs at this load.
    :ivar median_ms: median time from asking to the answer.
    :ivar p99_ms: 99th percentile of that time.
    :ivar refused: share of the claims that were refused as not run.
    :ivar duplicates: runs of work beyond the first of each key.
    """

    claims_per_s: float
    round_trips: float
    claims_per_transaction: float
    transactions_per_s: float
    median_ms: float
    p99_ms: float
    refused: float
    duplicates: int


class _Run:
    def __init__(self, seed: int, live_vms: int) -> None:
        loop = asyncio.get_running_loop()
        self.now = loop.time
        self.rng = random.Random(seed)
        table = FaultyTable(MemoryPlatform(), self.rng, FaultRates(delay_s=2 * DELAY_S))
        pace = TableRateLimiter(self.now, asyncio.sleep)
        pace.set_live_vms(live_vms)
        self.keeper = ClaimManager(table, "bench", self.now, pace, self.now)
        self.times: list[float] = []
        self.granted = 0
        self.refused = 0
        self.runs: Counter[str] = Counter()

    async def request(self, key: str) -> None:
        start = self.now()
        request = ClaimRequest("pedidos", "retalho-sul", "shop-a", key, "body")
        result = await self.keeper.claim(request, start + DEADLINE_S)
        self.times.append(self.now() - start)
        if result.is_error():
            self.refused += result.error.outcome is Outcome.NOT_RUN
        elif isinstance(result.ok, Claim):
            self.granted += 1
            result.ok.mark_sent()
            self.runs[key] += 1
            await asyncio.sleep(WORK_S)
            await self.keeper.complete(result.ok, Outcome.RUN, RecordedResponse(200, (), b"ok"))


async def _run(
    claims_per_s: float, resends: float, live_vms: int, seed: int, duration_s: float
) -> ClaimLoad:
    run = _Run(seed, live_vms)
    tasks = []
    for number in range(max(1, round(claims_per_s * duration_s))):
        await asyncio.sleep(run.rng.expovariate(claims_per_s))
        is_resend = number and run.rng.random() < resends
        key = str(run.rng.randrange(number) if is_resend else number)
        tasks.append(asyncio.ensure_future(run.request(key)))
    await asyncio.gather(*tasks)
    await run.keeper.drain()
    counts = run.keeper.counts
    return ClaimLoad(
        claims_per_s,
        (counts.transactions + counts.reads) / len(tasks),
        run.granted / counts.transactions,
        counts.transactions / run.now() * live_vms,
        1000 * statistics.median(run.times),
        1000 * sorted(run.times)[int(len(run.times) * 0.99)],
        run.refused / len(tasks),
        run.runs.total() - len(run.runs),
    )


def measure_claims(
    claims_per_s: float,
    resends: float = 0.0,
    live_vms: int = LIVE_VMS,
    seed: int = 1,
    duration_s: float = DURATION_S,
) -> ClaimLoad:
    """Measure one VM at one load.

    :param resends: share of the claims that repeat an earlier key.
    """
    return run_virtual(_run(claims_per_s, resends, live_vms, seed, duration_s))


def print_claims() -> None:
    """Print the cost of claims at rising load, without and with resends."""
    print(f"{LIVE_VMS} VMs, delay to the table {1000 * DELAY_S:g} ms on average each way")
    print("claims/s  resends  trips/claim  claims/txn  txn/s of all  median ms  p99 ms  refused")
    for resends in (0.0, 0.1):
        for load in LOADS_PER_S:
            found = measure_claims(load, resends)
            print(
                f"{load:8}  {resends:7.0%}  {found.round_trips:11.2f}"
                f"  {found.claims_per_transaction:10.2f}  {found.transactions_per_s:12.1f}"
                f"  {found.median_ms:9.1f}  {found.p99_ms:6.1f}  {found.refused:7.1%}"
            )
