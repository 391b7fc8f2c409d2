"""Simulated comparison of dispatch policies.

Run with ``python -m hibiscushaven.bench.dispatch``.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from hibiscushaven.dispatch import DispatchConfig, WorkItem

from .queueing import EventLoop, FakeShard
from .shards import LOOKUP, MANIFEST, RunStatistics, Stream, build_shard, make_document, with_load

__all__ = ["main", "print_goodput", "print_head_of_line", "print_pooled_tail", "print_slow_tail"]

LOOKUP_MEAN_S = 0.02
MANIFEST_MEAN_S = 2.0
WARM_UP_S = 4.0
SEED = 11

# One-way delay between failure domains; a relayed work item pays it in both directions.
RELAY_DELAY_S = 0.0015
# Work is relayed when its predicted wait exceeds this: more than the two one-way trips cost.
RELAY_WAIT_THRESHOLD_S = 0.004
DIGEST_INTERVAL_S = 1.0

BASELINE_CONFIG = DispatchConfig(
    queue_policy="fifo", balancing_policy="random", is_hedging=False, is_ejecting_outliers=False
)
LEAST_REPORTED_CONFIG = replace(BASELINE_CONFIG, balancing_policy="least_reported")
DEFAULT_CONFIG = DispatchConfig()


@dataclass(frozen=True, slots=True)
class Service:
    """A service with backend servers in six failure domains.

    :ivar servers_per_domain: number of backend servers in each failure domain.
    :ivar slots: slots of each backend server.
    """

    name: str
    servers_per_domain: tuple[int, ...]
    slots: int


ESTOQUE = Service("estoque", (4, 4, 3, 3, 3, 3), 4)
ADATKERESO = Service("adatkereso", (3, 3, 3, 3, 2, 2), 9)


def run_shard(
    servers: int,
    slots: int,
    config: DispatchConfig,
    loads: Sequence[tuple[Stream, float]],
    duration_s: float,
    slowed_servers: Sequence[str] = (),
) -> RunStatistics:
    """Simulate one shard and return its statistics.

    :param loads: streams with their offered loads, as shares of all slots.
    :param duration_s: virtual seconds after the warm-up.
    :param slowed_servers: names of the backend servers whose service times are multiplied.
    """
    loop = EventLoop()
    stats = RunStatistics(WARM_UP_S)
    streams = [with_load(stream, servers * slots, load) for stream, load in loads]
    document = make_document(servers, slots)
    build_shard(loop, document, config, streams, stats, SEED, slowed_servers)
    loop.run(WARM_UP_S + duration_s)
    return stats


class RegionRelay:
    """Relays work between the two failure domains of a region when the predicted wait is long.

    Simplified model of the traffic flows between failure domains that VMs compute from digests.
    Failure domains 2n and 2n + 1 are in one region.
    """

    def __init__(self, loop: EventLoop, stats: RunStatistics) -> None:
        self.shards: list[FakeShard] = []
        self._loop = loop
        self._stats = stats
        self._free_slots: list[int] = []

    def collect_digests(self) -> None:
        """Record the free slots of all failure domains and schedule the next update."""
        now = self._loop.now
        self._free_slots = [shard.dispatcher.snapshot(now).free_slots for shard in self.shards]
        self._loop.call_at(now + DIGEST_INTERVAL_S, self.collect_digests)

    def submit(self, domain_number: int, work: WorkItem) -> None:
        other_domain = domain_number ^ 1
        now = self._loop.now
        snapshot = self.shards[domain_number].dispatcher.snapshot(now)
        is_wait_long = snapshot.predicted_wait_s[work.request_class.size] > RELAY_WAIT_THRESHOLD_S
        if not is_wait_long or not self._free_slots[other_domain]:
            self.shards[domain_number].submit(work)
            return
        self._stats.on_submit(now, work)
        self._stats.return_delay_s[work.id] = RELAY_DELAY_S
        relayed = replace(work, is_foreign=True)
        self._loop.call_at(now + RELAY_DELAY_S, lambda: self.shards[other_domain].submit(relayed))


def run_service(
    service: Service,
    config: DispatchConfig,
    load: float,
    duration_s: float,
    slowed_servers: Iterable[tuple[int, str]] = (),
    is_relaying: bool = False,
) -> RunStatistics:
    """Simulate all shards of a service and return their combined statistics.

    :param load: offered load as a share of all slots.
    :param duration_s: virtual seconds after the warm-up.
    :param slowed_servers: pairs of failure domain number and name of a slowed backend server.
    :param is_relaying: whether shards relay work within their region.
    """
    loop = EventLoop()
    stats = RunStatistics(WARM_UP_S)
    relay = RegionRelay(loop, stats)
    slowed_servers = list(slowed_servers)
    for domain_number, servers in enumerate(service.servers_per_domain):
        stream = with_load(Stream(LOOKUP, 1, LOOKUP_MEAN_S), servers * service.slots, load)
        document = make_document(servers, service.slots, (LOOKUP,), service.name)
        names = [name for domain, name in slowed_servers if domain == domain_number]
        submit = (
            (lambda work, domain_number=domain_number: relay.submit(domain_number, work))
            if is_relaying
            else None
        )
        seed = SEED + 100 * domain_number
        shard = build_shard(loop, document, config, [stream], stats, seed, names, submit=submit)
        relay.shards.append(shard)
    relay.collect_digests()
    loop.run(WARM_UP_S + duration_s)
    return stats


def select_slowed_servers(service: Service) -> list[tuple[int, str]]:
    """Return a quarter of the backend servers, one in each of the first failure domains."""
    count = sum(service.servers_per_domain) // 4
    return [(number, "s0") for number in range(count)]


def print_head_of_line(duration_s: float = 40.0) -> None:
    """Print the p99 latency of short work with and without long work offered at 75%."""
    print("head-of-line blocking: short work at 25% of the slots, long work offered at 75%")
    for servers, slots in ((4, 4), (3, 4), (3, 9)):
        short, long = Stream(LOOKUP, 1, LOOKUP_MEAN_S), Stream(MANIFEST, 1, MANIFEST_MEAN_S)
        for queue in ("fifo", "class_shares"):
            config = replace(DEFAULT_CONFIG, queue_policy=queue)
            short_only = run_shard(servers, slots, config, [(short, 0.25)], duration_s)
            mixed = run_shard(servers, slots, config, [(short, 0.25), (long, 0.75)], duration_s)
            short_only_ms, mixed_ms = _p99_ms(short_only), _p99_ms(mixed)
            print(
                f"  {servers} x {slots} {queue:12} p99 {short_only_ms:7.1f} -> {mixed_ms:7.1f} ms,"
                f" ratio {mixed_ms / short_only_ms:6.2f},"
                f" long answered {mixed.answered['manifest']} of {mixed.submitted['manifest']}"
            )


def print_slow_tail(
    duration_s: float = 4.0, services: Sequence[Service] = (ESTOQUE, ADATKERESO)
) -> None:
    """Print the p99 latency with a quarter of the backend servers slowed ten times.

    At 70% load, a failure domain with one of three backend servers slowed is offered more than
    its other two can serve, whatever the policy. At 55% it is not.
    """
    print("tail with a quarter of the servers slowed ten times, reports 5 s late")
    for service in services:
        for load, name, config, is_relaying in (
            (0.7, "random", BASELINE_CONFIG, False),
            (0.7, "least_reported", LEAST_REPORTED_CONFIG, False),
            (0.7, "latency_aware", DEFAULT_CONFIG, False),
            (0.7, "latency_aware+relay", DEFAULT_CONFIG, True),
            (0.55, "random", BASELINE_CONFIG, False),
            (0.55, "least_reported", LEAST_REPORTED_CONFIG, False),
            (0.55, "latency_aware", DEFAULT_CONFIG, False),
        ):
            unslowed_run = run_service(service, config, load, duration_s, (), is_relaying)
            slowed_servers = select_slowed_servers(service)
            slowed_run = run_service(service, config, load, duration_s, slowed_servers, is_relaying)
            _print_tail(f"{service.name} {load:.0%} {name}", unslowed_run, slowed_run)


def print_pooled_tail(duration_s: float = 4.0) -> None:
    """Print the p99 latency of a shard of 20 backend servers, five of them slowed, at 70% load."""
    print("the same in one shard of 20 servers with 4 slots, 70% load")
    names = [f"s{number}" for number in range(5)]
    streams = [(Stream(LOOKUP, 1, LOOKUP_MEAN_S), 0.7)]
    for name, config in (("random", BASELINE_CONFIG), ("latency_aware", DEFAULT_CONFIG)):
        unslowed_run = run_shard(20, 4, config, streams, duration_s)
        slowed_run = run_shard(20, 4, config, streams, duration_s, names)
        _print_tail(name, unslowed_run, slowed_run)


def _print_tail(name: str, unslowed_run: RunStatistics, slowed_run: RunStatistics) -> None:
    unslowed_ms, slowed_ms = _p99_ms(unslowed_run), _p99_ms(slowed_run)
    hedges = slowed_run.hedges / slowed_run.submitted["lookup"]
    print(
        f"  {name:32} p99 {unslowed_ms:6.1f} -> {slowed_ms:7.1f} ms,"
        f" ratio {slowed_ms / unslowed_ms:6.2f},"
        f" hedges {hedges:.3f}, refused {slowed_run.refused.total()}"
    )


def print_goodput(duration_s: float = 10.0) -> None:
    """Print the ratio of answers within the deadline at 150% load to those at 100% load."""
    print("goodput at 150% of the capacity over that at 100%")
    stream = Stream(LOOKUP, 1, LOOKUP_MEAN_S)
    for servers, slots in ((4, 4), (3, 9)):
        saturated, overloaded = (
            run_shard(servers, slots, DEFAULT_CONFIG, [(stream, load)], duration_s)
            for load in (1.0, 1.5)
        )
        ratio = overloaded.answered["lookup"] / saturated.answered["lookup"]
        print(f"  {servers} x {slots} ratio {ratio:.3f}, p50 at 150% {_p50_ms(overloaded):.0f} ms")


def _p99_ms(stats: RunStatistics) -> float:
    return 1000 * stats.latency_s("lookup", 99)


def _p50_ms(stats: RunStatistics) -> float:
    return 1000 * stats.latency_s("lookup", 50)


def main() -> None:
    """Run and print all comparisons."""
    print_head_of_line()
    print_goodput()
    print_slow_tail()
    print_pooled_tail()


if __name__ == "__main__":
    main()
