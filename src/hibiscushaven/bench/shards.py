"""Services, arrivals and measures for discrete-event runs of dispatchers."""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from hdrh.histogram import HdrHistogram

from hibiscushaven.dispatch import (
    DispatchConfig,
    Dispatcher,
    Finish,
    RefusalReason,
    Refuse,
    ResultKind,
    StartAttempt,
    WorkItem,
)
from hibiscushaven.dispatch.work import AttemptResult
from hibiscushaven.documents import (
    AdminState,
    Place,
    RequestClass,
    RequestSize,
    Server,
    ServiceDocument,
)
from hibiscushaven.ini.fields import Endpoint

from .queueing import AttemptFate, EventLoop, FakeServer, FakeShard, LocalSlots, Observer

__all__ = [
    "LOOKUP",
    "MANIFEST",
    "ORDER",
    "Measures",
    "Stream",
    "build_shard",
    "make_document",
    "with_load",
]

LOOKUP = RequestClass("lookup", "/items/*", frozenset({"GET"}), True, RequestSize.SHORT, 1000, 5)
ORDER = RequestClass("order", "/orders", frozenset({"POST"}), False, RequestSize.SHORT, 5000, 5)
MANIFEST = RequestClass(
    "manifest", "/manifests/*", frozenset({"GET"}), True, RequestSize.LONG, 60000, 5
)

Submit = Callable[[WorkItem], None]

_MICROSECONDS = 1_000_000
_LONGEST_US = 600 * _MICROSECONDS
_SUCCESS = AttemptResult(ResultKind.SUCCESS, size_bytes=1)


def make_document(
    servers: int,
    slots: int,
    classes: Sequence[RequestClass] = (LOOKUP, ORDER, MANIFEST),
    name: str = "estoque",
) -> ServiceDocument:
    """Return a document of one place with equal backend servers."""
    place = Place("serra-a", "serra", "serra-a", servers * slots, 1.0, AdminState.ACTIVE)
    return ServiceDocument(
        name=name,
        tenant="retalho-sul",
        team="stock",
        shift_cap=0.1,
        shift_interval_s=10.0,
        lookup_ttl_s=5.0,
        retry_budget=0.1,
        hedge_budget=0.05,
        classes=tuple(classes),
        places=(place,),
        servers=tuple(
            Server(
                f"s{number}",
                place.name,
                Endpoint("10.0.0.1", 8000 + number),
                slots,
                800,
                AdminState.ACTIVE,
            )
            for number in range(servers)
        ),
        links=(),
        callers=(),
    )


@dataclass(frozen=True, slots=True)
class Stream:
    """Poisson arrivals of one class and caller.

    :ivar rate: requests a second.
    :ivar mean_s: mean service time of an attempt.
    :ivar sigma: spread of the service times, which are log-normal.
    """

    request_class: RequestClass
    rate: float
    mean_s: float
    sigma: float = 0.5
    tenant: str = "retalho-sul"
    caller: str = "shop"
    share: float = 1.0

    def service_s(self, rng: random.Random) -> float:
        return self.mean_s * rng.lognormvariate(-self.sigma * self.sigma / 2, self.sigma)


@dataclass
class Measures(Observer):
    """Latencies and outcomes by class, of what happens after a warm-up.

    :ivar answered: answers within their deadlines.
    :ivar relay_s: time that the way back adds to the answer of a relayed work item.
    """

    warm_up_s: float = 0.0
    submitted: Counter[str] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)
    refused: Counter[RefusalReason] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)
    hedges: int = 0
    relay_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._since: dict[str, float] = {}
        self._latencies: dict[str, HdrHistogram] = {}

    def on_submit(self, now: float, work: WorkItem) -> None:
        if work.id not in self._since:
            self._since[work.id] = now
            self.submitted[work.request_class.name] += now >= self.warm_up_s

    def on_start(self, now: float, work: WorkItem, start: StartAttempt) -> None:
        if now >= self.warm_up_s:
            self.attempts[work.request_class.name] += 1
            self.hedges += start.is_hedge

    def on_refuse(self, now: float, work: WorkItem, refuse: Refuse) -> None:
        del self._since[work.id]
        self.refused[refuse.reason] += now >= self.warm_up_s

    def on_finish(self, now: float, work: WorkItem, finish: Finish) -> None:
        since = self._since.pop(work.id) - self.relay_s.pop(work.id, 0.0)
        if now < self.warm_up_s:
            return
        name = work.request_class.name
        self.answered[name] += now <= work.deadline
        histogram = self._latencies.get(name)
        if histogram is None:
            histogram = self._latencies[name] = HdrHistogram(1, _LONGEST_US, 3)
        histogram.record_value(max(1, int((now - since) * _MICROSECONDS)))

    def latency_s(self, name: str, percentile: float) -> float:
        """Return a percentile of the time from submission to the answer."""
        histogram = self._latencies.get(name)
        return histogram.get_value_at_percentile(percentile) / _MICROSECONDS if histogram else 0.0


def build_shard(
    loop: EventLoop,
    document: ServiceDocument,
    config: DispatchConfig,
    streams: Sequence[Stream],
    observer: Observer,
    seed: int,
    slowed: Sequence[str] = (),
    slowdown: float = 10.0,
    submit: Submit | None = None,
) -> FakeShard:
    """Return a shard whose arrivals and load reports are planned on the loop.

    :param submit: takes the arrivals; by default the shard itself.
    """
    rng = random.Random(seed)
    totals = {server.name: server.slots for server in document.servers}
    slots = LocalSlots(totals)
    servers = [
        FakeServer(server, slowdown if server.name in slowed else 1.0)
        for server in document.servers
    ]
    by_class = {stream.request_class.name: stream for stream in streams}

    def fate_of(now: float, work: WorkItem, server: FakeServer) -> AttemptFate:
        service_s = by_class[work.request_class.name].service_s(rng) * server.slowdown
        return AttemptFate(service_s, _SUCCESS)

    dispatcher = Dispatcher(config, slots, random.Random(seed + 1))
    shard = FakeShard(loop, dispatcher, slots, servers, fate_of, observer)
    shard.set_document(document, document.servers)
    shard.report_loads()
    for number, stream in enumerate(streams):
        prefix = f"{seed}-{number}"
        arrivals = random.Random(f"{prefix} arrivals")
        _plan_arrivals(loop, submit or shard.submit, stream, document.name, prefix, arrivals)
    return shard


def _plan_arrivals(
    loop: EventLoop,
    submit: Submit,
    stream: Stream,
    service: str,
    prefix: str,
    rng: random.Random,
) -> None:
    count = 0

    def arrive() -> None:
        nonlocal count
        count += 1
        now = loop.now
        submit(_work(stream, service, f"{prefix}-{count}", now))
        loop.call_at(now + rng.expovariate(stream.rate), arrive)

    if stream.rate > 0:
        loop.call_at(loop.now + rng.expovariate(stream.rate), arrive)


def _work(stream: Stream, service: str, key: str, now: float) -> WorkItem:
    deadline = now + stream.request_class.deadline_ms / 1000
    return WorkItem(
        id=key,
        service=service,
        tenant=stream.tenant,
        caller=stream.caller,
        caller_share=stream.share,
        request_class=stream.request_class,
        deadline=deadline,
        fingerprint=key,
    )


def with_load(stream: Stream, slots: int, load: float) -> Stream:
    """Return a stream whose arrivals need a share of some slots."""
    return replace(stream, rate=load * slots / stream.mean_s)
