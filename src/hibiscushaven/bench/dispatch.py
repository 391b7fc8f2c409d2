"""Measurements of dispatch policies: ``python -m hibiscushaven.bench.dispatch``."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from hibiscushaven.dispatch import DispatchConfig, WorkItem

from .queueing import EventLoop, FakeShard
from .shards import LOOKUP, MANIFEST, Measures, Stream, build_shard, make_document, with_load

__all__ = ["main", "print_goodput", "print_head_of_line", "print_pooled_tail", "print_slow_tail"]

LOOKUP_S = 0.02
MANIFEST_S = 2.0
WARM_UP_S = 4.0
SEED = 11

# Relaying adds this twice; the failure domains 2n and 2n + 1 are in one region.
RELAY_S = 0.0015
# Own work is relayed when its predicted wait is longer than two more one-way trips are worth.
RELAY_WAIT_S = 0.004
DIGEST_EVERY_S = 1.0

BASELINE = DispatchConfig(
    queue_policy="fifo", balancing_policy="random", is_hedging=False, is_setting_aside=False
)
REPORTED = replace(BASELINE, balancing_policy="least_reported")
OURS = DispatchConfig()


@dataclass(frozen=True, slots=True)
class Service:
    """A service split over six failure domains.

    :ivar split: backend servers per failure domain.
    """

    name: str
    split: tuple[int, ...]
    slots: int


ESTOQUE = Service("estoque", (4, 4, 3, 3, 3, 3), 4)
ADATKERESO = Service("adatkereso", (3, 3, 3, 3, 2, 2), 9)


def run_shard(
    servers: int,
    slots: int,
    config: DispatchConfig,
    loads: Sequence[tuple[Stream, float]],
    seconds: float,
    slowed: Sequence[str] = (),
) -> Measures:
    """Run one shard; each stream offers a share of all slots."""
    loop = EventLoop()
    measures = Measures(WARM_UP_S)
    streams = [with_load(stream, servers * slots, load) for stream, load in loads]
    document = make_document(servers, slots)
    build_shard(loop, document, config, streams, measures, SEED, slowed)
    loop.run(WARM_UP_S + seconds)
    return measures


class Relay:
    """Relays work from a failure domain whose shard is behind to the other one of its region.

    A stand-in for the flows between failure domains, planned from digests.
    """

    def __init__(self, loop: EventLoop, measures: Measures) -> None:
        self.shards: list[FakeShard] = []
        self._loop = loop
        self._measures = measures
        self._free: list[int] = []

    def update(self) -> None:
        """Take the digests of all failure domains."""
        now = self._loop.now
        self._free = [shard.dispatcher.snapshot(now).free_slots for shard in self.shards]
        self._loop.call_at(now + DIGEST_EVERY_S, self.update)

    def submit(self, home: int, work: WorkItem) -> None:
        other = home ^ 1
        now = self._loop.now
        snapshot = self.shards[home].dispatcher.snapshot(now)
        is_behind = snapshot.predicted_wait_s[work.request_class.size] > RELAY_WAIT_S
        if not is_behind or not self._free[other]:
            self.shards[home].submit(work)
            return
        self._measures.on_submit(now, work)
        self._measures.relay_s[work.id] = RELAY_S
        foreign = replace(work, is_foreign=True)
        self._loop.call_at(now + RELAY_S, lambda: self.shards[other].submit(foreign))


def run_service(
    service: Service,
    config: DispatchConfig,
    load: float,
    seconds: float,
    slowed: Iterable[tuple[int, str]] = (),
    is_relaying: bool = False,
) -> Measures:
    """Run all shards of a service.

    :param slowed: failure domains and the backend servers slowed there.
    """
    loop = EventLoop()
    measures = Measures(WARM_UP_S)
    relay = Relay(loop, measures)
    slowed = list(slowed)
    for home, servers in enumerate(service.split):
        stream = with_load(Stream(LOOKUP, 1, LOOKUP_S), servers * service.slots, load)
        document = make_document(servers, service.slots, (LOOKUP,), service.name)
        names = [name for domain, name in slowed if domain == home]
        submit = (lambda work, home=home: relay.submit(home, work)) if is_relaying else None
        seed = SEED + 100 * home
        shard = build_shard(loop, document, config, [stream], measures, seed, names, submit=submit)
        relay.shards.append(shard)
    relay.update()
    loop.run(WARM_UP_S + seconds)
    return measures


def quarter_slowed(service: Service) -> list[tuple[int, str]]:
    """Return a quarter of the backend servers, spread over the failure domains."""
    count = sum(service.split) // 4
    return [(number, "s0") for number in range(count)]


def print_head_of_line(seconds: float = 40.0) -> None:
    """Print the p99 of short work with and without long work that fills its share."""
    print("head-of-line blocking: short work at 25% of the slots, long work offered at 75%")
    for servers, slots in ((4, 4), (3, 4), (3, 9)):
        short, long = Stream(LOOKUP, 1, LOOKUP_S), Stream(MANIFEST, 1, MANIFEST_S)
        for queue in ("fifo", "class_shares"):
            config = replace(OURS, queue_policy=queue)
            alone = run_shard(servers, slots, config, [(short, 0.25)], seconds)
            mixed = run_shard(servers, slots, config, [(short, 0.25), (long, 0.75)], seconds)
            before, after = _p99_ms(alone), _p99_ms(mixed)
            print(
                f"  {servers} x {slots} {queue:12} p99 {before:7.1f} -> {after:7.1f} ms,"
                f" ratio {after / before:6.2f}, long answered {mixed.answered['manifest']}"
                f" of {mixed.submitted['manifest']}"
            )


def print_slow_tail(
    seconds: float = 4.0, services: Sequence[Service] = (ESTOQUE, ADATKERESO)
) -> None:
    """Print the p99 with a quarter of the backend servers slowed ten times.

    At 70% of all slots, a failure domain with one of three backend servers slowed is offered
    more than its other two can serve, whatever the policy. At 55% it is not.
    """
    print("tail with a quarter of the servers slowed ten times, reports 5 s late")
    for service in services:
        for load, name, config, is_relaying in (
            (0.7, "random", BASELINE, False),
            (0.7, "least_reported", REPORTED, False),
            (0.7, "latency_aware", OURS, False),
            (0.7, "latency_aware+relay", OURS, True),
            (0.55, "random", BASELINE, False),
            (0.55, "least_reported", REPORTED, False),
            (0.55, "latency_aware", OURS, False),
        ):
            clean = run_service(service, config, load, seconds, (), is_relaying)
            slowed = quarter_slowed(service)
            slow = run_service(service, config, load, seconds, slowed, is_relaying)
            _print_tail(f"{service.name} {load:.0%} {name}", clean, slow)


def print_pooled_tail(seconds: float = 4.0) -> None:
    """Print the same for all backend servers of a service in one shard, at 70%."""
    print("the same in one shard of 20 servers with 4 slots, 70% load")
    names = [f"s{number}" for number in range(5)]
    streams = [(Stream(LOOKUP, 1, LOOKUP_S), 0.7)]
    for name, config in (("random", BASELINE), ("latency_aware", OURS)):
        clean = run_shard(20, 4, config, streams, seconds)
        slow = run_shard(20, 4, config, streams, seconds, names)
        _print_tail(name, clean, slow)


def _print_tail(name: str, clean: Measures, slow: Measures) -> None:
    before, after = _p99_ms(clean), _p99_ms(slow)
    hedges = slow.hedges / slow.submitted["lookup"]
    print(
        f"  {name:32} p99 {before:6.1f} -> {after:7.1f} ms, ratio {after / before:6.2f},"
        f" hedges {hedges:.3f}, refused {slow.refused.total()}"
    )


def print_goodput(seconds: float = 10.0) -> None:
    """Print the answers in time at 150% offered load over those at 100%."""
    print("goodput at 150% of the capacity over that at 100%")
    stream = Stream(LOOKUP, 1, LOOKUP_S)
    for servers, slots in ((4, 4), (3, 9)):
        full, over = (
            run_shard(servers, slots, OURS, [(stream, load)], seconds) for load in (1.0, 1.5)
        )
        ratio = over.answered["lookup"] / full.answered["lookup"]
        print(f"  {servers} x {slots} ratio {ratio:.3f}, p50 at 150% {_p50_ms(over):.0f} ms")


def _p99_ms(measures: Measures) -> float:
    return 1000 * measures.latency_s("lookup", 99)


def _p50_ms(measures: Measures) -> float:
    return 1000 * measures.latency_s("lookup", 50)


def main() -> None:
    """Print all measurements."""
    print_head_of_line()
    print_goodput()
    print_slow_tail()
    print_pooled_tail()


if __name__ == "__main__":
    main()
