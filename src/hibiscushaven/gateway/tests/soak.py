"""Random runs of simulated regions, for longer than the tests: crashing requests, limits, cuts,
interruptions, notices.

Run ``python -m hibiscushaven.gateway.tests.soak --help``; exits with 1 if a run breaks a bound.
"""

import asyncio
import logging
import random
import sys

import click

from hibiscushaven.routing import RequestKind

from .interruptions import ConfigurationInterruptions
from .simulated_backends import Cut, SimulatedBackends, SimulatedTraffic
from .simulated_region import LoopClock, SimulatedRegion
from .test_crashing_request import (
    CRASHING_INTERVAL_S,
    MAX_LATE_ARRIVALS,
    SIZES,
    late_arrivals,
)
from .test_lost_links import Results
from .test_rate_limits import LIMITED, STABLE_S, allowed, busiest_window
from .test_server_notices import MAX_IN_PAUSE, arrivals_while_leaving, most_arrivals_in_pause

ADOPTION_S = 3.0
DURATION_S = 15.0
INTERRUPTIONS_S = 60.0
SERVERS = {"serra-a": 8, "vale-a": 8}


def run(rng, seed, kind, scenario, loss_rate):
    """Run a scenario with unequal callers of all VMs; return its result."""

    async def main(region):
        region.loss_rate = loss_rate
        backends = SimulatedBackends(region, SERVERS)
        traffic = SimulatedTraffic(region, backends, kind, seed)
        for name, node in region.nodes.items():
            traffic.add_vm(name, node, rng.choice([0.2, 1.0, 1.0, 5.0, 12.0]))
        await asyncio.sleep(ADOPTION_S)
        return await scenario(backends, traffic)

    return SimulatedRegion.run(SIZES, main)


def crash(rng, seed):
    """Return what a request that crashes servers did, and whether it broke the bound."""
    kind = rng.choice([RequestKind.SAFE, RequestKind.UNSAFE])
    rate = rng.choice([4.0, 30.0, 100.0])
    loss_rate = rng.choice([0.0, 0.1, 0.3])

    async def scenario(backends, traffic):
        await traffic.run(DURATION_S, CRASHING_INTERVAL_S, rate)
        return backends, traffic.quarantined_objects()

    backends, refused = run(rng, seed, kind, scenario, loss_rate)
    late = late_arrivals(backends)
    text = f"{kind.value}, {rate:g} a second, loss {loss_rate}: {len(backends.crashes)} crashes, "
    text += f"{late} late arrivals, objects refused in the end: {refused}"
    return text, late > MAX_LATE_ARRIVALS


def limit(rng, seed):
    """Return how often limited servers were asked, and whether that broke the bound."""
    per_s = rng.choice([0.3, 1.0, 2.0, 4.5, 8.3, 15.0])
    rate = rng.choice([60.0, 150.0, 300.0])
    loss_rate = rng.choice([0.0, 0.1, 0.3])

    async def scenario(backends, traffic):
        await traffic.run(2.0, arrivals_per_s=rate)
        announced_at = LoopClock().now()
        backends.limits_per_s = dict.fromkeys(LIMITED, per_s)
        await traffic.run(DURATION_S, arrivals_per_s=rate)
        return backends, announced_at

    backends, announced_at = run(rng, seed, RequestKind.SAFE, scenario, loss_rate)
    windows = [busiest_window(backends, server, announced_at) for server in LIMITED]
    late = sum(time > announced_at + STABLE_S for time, _, _ in backends.limited_arrivals)
    used = late / (len(LIMITED) * per_s * (DURATION_S - STABLE_S))
    text = f"limit {per_s}, {rate:g} a second, loss {loss_rate}: busiest windows {windows} of "
    text += f"{allowed(per_s):g}, {used:.0%} of the limit used"
    return text, max(windows) > allowed(per_s)


def cut(rng, seed):
    """Return what VMs without links served, beside a request that crashes servers or without."""
    kind = rng.choice([RequestKind.SAFE, RequestKind.UNSAFE])
    rate = rng.choice([60.0, 120.0, 200.0])
    loss_rate = rng.choice([0.0, 0.1, 0.3])
    interval_s = rng.choice([CRASHING_INTERVAL_S, float("inf")])
    share = rng.choice([0.1, 0.3, 0.6])
    kinds = list(Cut)

    async def scenario(backends, traffic):
        await traffic.run(2.0, arrivals_per_s=rate)
        for name in rng.sample(sorted(traffic.vms), round(share * len(traffic.vms))):
            backends.cut(name, rng.choice(kinds))
        counted_from = LoopClock().now() + STABLE_S
        await traffic.run(DURATION_S, interval_s, rate)
        results = Results.of(traffic.responses, backends.cuts, counted_from)
        return backends, results, traffic.quarantined_objects(), traffic.misreported_requests()

    backends, results, refused, misreported = run(rng, seed, kind, scenario, loss_rate)
    late = late_arrivals(backends) if len(backends.crashes) >= 3 else 0
    served, others = results.served_fraction(True), results.served_fraction(False)
    text = (
        f"{kind.value}, {rate:g} a second, loss {loss_rate}, {share:.0%} cut: served {served:.3f}, "
    )
    text += f"others {others:.3f}, {len(backends.crashes)} crashes, {late} late arrivals, "
    text += f"objects refused in the end: {refused}, {len(misreported)} misreported requests"
    is_served = results.keeps_rule()
    return text, not is_served or late > MAX_LATE_ARRIVALS or bool(misreported)


def interrupt(rng, seed):
    """Return which removed servers and earlier configurations VMs used late, and if any did."""
    size = rng.choice([6, 18, 34])

    async def scenario(region):
        region.loss_rate = rng.choice([0.0, 0.02, 0.1])
        interruptions = ConfigurationInterruptions(region, rng)
        await interruptions.run(INTERRUPTIONS_S)
        return sorted(interruptions.late), sorted(interruptions.late_configurations)

    late, late_configurations = SimulatedRegion.run(size, scenario)
    text = f"{size} VMs: removed servers used late: {len(late)} {late[:3]}, "
    text += f"configurations adopted late: {len(late_configurations)} {late_configurations[:3]}"
    return text, bool(late or late_configurations)


def notice(rng, seed):
    """Return how often servers were asked that leave or want a pause, beside lost datagrams."""
    pause_s = rng.choice([0.2, 1.0, 5.0, 20.0])
    rate = rng.choice([60.0, 150.0, 300.0])
    loss_rate = rng.choice([0.0, 0.1, 0.3])
    is_store_down = rng.random() < 0.3
    restarted = rng.choice(["serra-1", "vale-3"]) if rng.random() < 0.5 else None

    async def scenario(backends, traffic):
        region = traffic.region
        await traffic.run(2.0, arrivals_per_s=rate)
        changed = rng.sample(backends.servers, 8)
        backends.leaving = set(changed[:4])
        backends.pauses_s = dict.fromkeys(changed[4:], pause_s)
        region.is_store_down = is_store_down
        await traffic.run(DURATION_S / 2, arrivals_per_s=rate)
        if restarted:
            traffic.remove_vm(restarted)
            async with region.killed(restarted):
                await traffic.run(2.0, arrivals_per_s=rate)
            traffic.add_vm(restarted, region.nodes[restarted])
        await traffic.run(DURATION_S / 2, arrivals_per_s=rate)
        return backends, traffic.responses

    backends, responses = run(rng, seed, RequestKind.SAFE, scenario, loss_rate)
    late, in_pause = arrivals_while_leaving(backends), most_arrivals_in_pause(backends, {restarted})
    served = sum(response.status == 200 for response in responses) / len(responses)
    text = f"pause {pause_s}, {rate:g} a second, loss {loss_rate}, restarted {restarted}, "
    text += f"store {'down' if is_store_down else 'up'}: served {served:.3f}, late requests at "
    text += f"leaving servers: {len(late)}, most in a pause: {in_pause}"
    return text, bool(late) or in_pause > MAX_IN_PAUSE


SCENARIOS = (crash, limit, cut, interrupt, notice)


@click.command()
@click.option("--seeds", default=50, help="Number of runs of each scenario.")
@click.option("--first", default=1, help="First seed.")
@click.option(
    "--scenario",
    "names",
    multiple=True,
    type=click.Choice([scenario.__name__ for scenario in SCENARIOS]),
    help="Scenario to run; all by default.",
)
def main(seeds, first, names):
    """Run scenarios with consecutive seeds."""
    logging.disable(logging.CRITICAL)
    failed = 0
    scenarios = [item for item in SCENARIOS if not names or item.__name__ in names]
    for scenario in scenarios:
        for seed in range(first, first + seeds):
            # The nodes draw their delays from the generator of the module.
            random.seed(seed)
            text, is_failure = scenario(random.Random(seed), seed)
            failed += is_failure
            click.echo(f"{scenario.__name__} {seed}: {text}{' FAILED' if is_failure else ''}")
    click.echo(f"{failed} of {len(scenarios) * seeds} runs failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
