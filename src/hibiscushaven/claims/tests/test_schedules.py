"""Tests of seeded schedules of claims on several VMs, with faults of the table and of VMs."""

import asyncio
import random
from collections import Counter
from functools import cache
from itertools import pairwise

import pytest

from hibiscushaven.bench.faulty_table import FaultRates, FaultyTable
from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.claims import (
    Claim,
    ClaimExpiredError,
    ClaimManager,
    ClaimReleasedError,
    ClaimRequest,
    ClaimRow,
    KeyReusedError,
    Outcome,
    RecordedResponse,
    Replay,
    TableRateLimiter,
)
from hibiscushaven.tablestore import MemoryPlatform

SEEDS = 200
BODIES = ("body", "other")
ERRORS = ("KeyReusedError", "InProgressError", "TableUnavailableError", "DeadlineError")
VMS = 3
FAULT_RATES = FaultRates(
    lost_answers=0.15, lost_writes=0.08, late_writes=0.08, refused_calls=0.05, stale_reads=0.2
)


class World:
    """VMs that claim the same few keys, and a record of the requests that were sent."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.platform = MemoryPlatform()
        self.loop = asyncio.get_running_loop()
        self.starts = 0
        self.tables = [FaultyTable(self.platform, self.rng, FAULT_RATES) for _ in range(VMS)]
        self.managers = [self.start(vm) for vm in range(VMS)]
        self.runs: Counter[str] = Counter()
        self.responses: dict[str, bytes] = {}
        self.results: list[str] = []
        self.reused_keys: list[ClaimRequest] = []
        self.replays: list[tuple[str, Replay]] = []

    def start(self, vm: int) -> ClaimManager:
        self.starts += 1
        rate_limiter = TableRateLimiter(self.loop.time, asyncio.sleep)
        rate_limiter.set_live_vms(VMS)
        table = self.tables[vm]
        return ClaimManager(
            table, f"vm{vm}-{self.starts}", self.loop.time, rate_limiter, self.loop.time
        )

    async def crash(self, vm: int) -> None:
        old = self.managers[vm]
        self.managers[vm] = self.start(vm)
        await old.close()

    async def attempt(self, key: str, body: str) -> None:
        await asyncio.sleep(self.rng.uniform(0, 6))
        vm = self.rng.randrange(VMS)
        manager = self.managers[vm]
        deadline = self.loop.time() + self.rng.choice((0.05, 0.3, 1.0, 4.0))
        request = ClaimRequest("orders", "tenant", "caller", key, body)
        claim_task = asyncio.ensure_future(manager.claim(request, deadline))
        if self.rng.random() < 0.1:
            self.loop.call_later(self.rng.uniform(0, 0.1), claim_task.cancel)
        done, _ = await asyncio.wait({claim_task}, timeout=10)
        assert done, "a claim had no result within 10 s"
        if claim_task.cancelled():
            return
        result = claim_task.result()
        if result.is_error():
            self.results.append(type(result.error).__name__)
            assert self.loop.time() <= deadline + 0.001
            if isinstance(result.error, KeyReusedError):
                self.reused_keys.append(request)
        elif isinstance(result.ok, Replay):
            self.results.append("replayed")
            self.replays.append((key, result.ok))
        else:
            self.results.append("granted")
            await self.use(manager, vm, result.ok, key)

    async def use(self, manager: ClaimManager, vm: int, claim: Claim, key: str) -> None:
        if self.rng.random() < 0.2:
            await asyncio.sleep(self.rng.uniform(0, 5))
        if self.rng.random() < 0.3:
            release_task = asyncio.ensure_future(manager.release(claim))
            await asyncio.sleep(self.rng.choice((0, 0.05)))
            with pytest.raises(ClaimReleasedError):
                claim.mark_sent()
            await release_task
            return
        try:
            claim.mark_sent()
        except ClaimExpiredError:
            await manager.release(claim)
            return
        if self.rng.random() < 0.15:
            claim.mark_refused()
            await manager.release(claim)
            return
        self.runs[key] += 1
        self.responses[key] = f"{key} by {claim.holder}".encode()
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        if self.rng.random() < 0.15:
            await self.crash(vm)
            return
        await manager.complete(claim, Outcome.RUN, RecordedResponse(200, (), self.responses[key]))

    async def outages(self) -> None:
        for _ in range(2):
            await asyncio.sleep(self.rng.uniform(0, 3))
            self.platform.faults.is_down = True
            await asyncio.sleep(self.rng.uniform(0, 2))
            self.platform.faults.is_down = False


async def run_schedule(seed: int) -> World:
    world = World(seed)
    keys = [f"key-{number}" for number in range(4)]
    attempts = [
        world.attempt(world.rng.choice(keys), world.rng.choices(BODIES, (7, 1))[0])
        for _ in range(16)
    ]
    await asyncio.gather(world.outages(), *attempts)
    for table in world.tables:
        table.rates = FaultRates()
    for manager in world.managers:
        async with asyncio.timeout(60):
            await manager.drain()
    await asyncio.sleep(FAULT_RATES.late_s)
    for request in world.reused_keys:
        row = await world.platform.read(request.row_key)
        assert ClaimRow.decode(row.value).fingerprint != request.fingerprint
    return world


async def find_blocked(world: World) -> list[str]:
    """Return the keys that were not run and that no resend can claim."""
    blocked = []
    for key in (f"key-{number}" for number in range(4)):
        requests = [ClaimRequest("orders", "tenant", "caller", key, body) for body in BODIES]
        results = [await world.managers[0].claim(item, world.loop.time() + 5) for item in requests]
        if not world.runs[key] and not any(result.is_ok() for result in results):
            blocked.append(key)
    return blocked


@cache
def outcome_of(seed: int) -> tuple[World, list[str]]:
    async def run() -> tuple[World, list[str]]:
        world = await run_schedule(seed)
        return world, await find_blocked(world)

    return run_virtual(run())


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_request_is_sent_twice(seed: int) -> None:
    """Guards against duplicate runs and against replays of another run's response."""
    world, _ = outcome_of(seed)
    assert all(count == 1 for count in world.runs.values())
    assert all(replay.response.body == world.responses[key] for key, replay in world.replays)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_claims_that_were_not_run_are_released(seed: int) -> None:
    """Guards against rows that stay held by attempts that were reported as not run."""
    world, blocked = outcome_of(seed)
    assert not blocked or world.starts > VMS


def test_schedules_cover_every_result() -> None:
    """Guards against schedules in which some results or crashes are too rare to be tested."""
    worlds = [outcome_of(seed)[0] for seed in range(SEEDS)]
    kinds = Counter(kind for world in worlds for kind in world.results)
    assert min(kinds[kind] for kind in ("granted", "replayed", *ERRORS)) >= 20
    assert sum(world.starts > VMS for world in worlds) >= 20


def test_one_transaction_is_outstanding_per_vm() -> None:
    """Guards against concurrent transactions of a VM, and against exceeding its rate limit."""
    for world, _ in map(outcome_of, range(SEEDS)):
        if world.starts > VMS:
            continue
        for table in world.tables:
            gaps = [after - before for before, after in pairwise(table.transaction_starts)]
            assert table.max_outstanding <= 1
            assert min(gaps, default=1) >= VMS / 300
