"""Service documents, request arrivals and statistics for discrete-event runs of dispatchers."""

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

from .queueing import EventLoop, FakeServer, FakeShard, LocalSlots, Observer, SimulatedAttempt

__all__ = [
    "LOOKUP",
    "MANIFEST",
    "ORDER",
    "RunStatistics",
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

_US_PER_S = 1_000_000
_MAX_LATENCY_US = 600 * _US_PER_S
_SUCCESS = AttemptResult(ResultKind.SUCCESS, size_bytes=1)


def make_document(
    servers: int,
    slots: int,
    classes: Sequence[RequestClass] = (LOOKUP, ORDER, MANIFEST),
    name: str = "estoque",
) -> ServiceDocument:
    """Return a document with one place and identical backend servers.

    :param servers: number of backend servers.
    :param slots: slots of each backend server.
    """
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

    :ivar rate: mean arrivals a second.
    :ivar mean_s: mean service time of an attempt.
    :ivar sigma: shape parameter of the log-normal distribution of service times.
    :ivar share: share of the caller among the callers of its tenant.
    """

    request_class: RequestClass
    rate: float
    mean_s: float
    sigma: float = 0.5
    tenant: str = "retalho-sul"
    caller: str = "shop"
    share: float = 1.0

    def sample_service_s(self, rng: random.Random) -> float:
        # The term -sigma^2 / 2 makes the mean of the log-normal factor 1.
        return self.mean_s * rng.lognormvariate(-self.sigma * self.sigma / 2, self.sigma)


@dataclass
class RunStatistics(Observer):
    """Latencies and outcomes by request class, counted after a warm-up.

    :ivar answered: number of answers within their deadlines, by class.
    :ivar return_delay_s: one-way delay added to the answer of a relayed work item, by its id.
    """

    warm_up_s: float = 0.0
    submitted: Counter[str] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)
    refused: Counter[RefusalReason] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)
    hedges: int = 0
    return_delay_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._submitted_at: dict[str, float] = {}
        self._latencies: dict[str, HdrHistogram] = {}

    def on_submit(self, now: float, work: WorkItem) -> None:
        if work.id not in self._submitted_at:
            self._submitted_at[work.id] = now
            self.submitted[work.request_class.name] += now >= self.warm_up_s

    def on_start(self, now: float, work: WorkItem, start: StartAttempt) -> None:
        if now >= self.warm_up_s:
            self.attempts[work.request_class.name] += 1
            self.hedges += start.is_hedge

    def on_refuse(self, now: float, work: WorkItem, refuse: Refuse) -> None:
        del self._submitted_at[work.id]
        self.refused[refuse.reason] += now >= self.warm_up_s

    def on_finish(self, now: float, work: WorkItem, finish: Finish) -> None:
        submitted_at = self._submitted_at.pop(work.id) - self.return_delay_s.pop(work.id, 0.0)
        if now < self.warm_up_s:
            return
        name = work.request_class.name
        self.answered[name] += now <= work.deadline
        histogram = self._latencies.get(name)
        if histogram is None:
            histogram = self._latencies[name] = HdrHistogram(1, _MAX_LATENCY_US, 3)
        histogram.record_value(max(1, int((now - submitted_at) * _US_PER_S)))

    def latency_s(self, name: str, percentile: float) -> float:
        """Return a percentile of the latency of a class; 0 if nothing was answered."""
        histogram = self._latencies.get(name)
        return histogram.get_value_at_percentile(percentile) / _US_PER_S if histogram else 0.0


def build_shard(
    loop: EventLoop,
    document: ServiceDocument,
    config: DispatchConfig,
    streams: Sequence[Stream],
    observer: Observer,
    seed: int,
    slowed_servers: Sequence[str] = (),
    slowdown: float = 10.0,
    submit: Submit | None = None,
) -> FakeShard:
    """Return a shard whose arrivals and load reports are scheduled on the loop.

    :param slowed_servers: names of backend servers whose service times are multiplied by
        ``slowdown``.
    :param submit: callback for arrivals; by default ``submit`` of the shard.
    """
    rng = random.Random(seed)
    totals = {server.name: server.slots for server in document.servers}
    slots = LocalSlots(totals)
    servers = [
        FakeServer(server, slowdown if server.name in slowed_servers else 1.0)
        for server in document.servers
    ]
    by_class = {stream.request_class.name: stream for stream in streams}

    def simulate_attempt(now: float, work: WorkItem, server: FakeServer) -> SimulatedAttempt:
        service_s = by_class[work.request_class.name].sample_service_s(rng) * server.slowdown
        return SimulatedAttempt(service_s, _SUCCESS)

    dispatcher = Dispatcher(config, slots, random.Random(seed + 1))
    shard = FakeShard(loop, dispatcher, slots, servers, simulate_attempt, observer)
    shard.set_document(document, document.servers)
    shard.report_loads()
    for number, stream in enumerate(streams):
        prefix = f"{seed}-{number}"
        arrivals = random.Random(f"{prefix} arrivals")
        _schedule_arrivals(loop, submit or shard.submit, stream, document.name, prefix, arrivals)
    return shard


def _schedule_arrivals(
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
        submit(_make_work(stream, service, f"{prefix}-{count}", now))
        loop.call_at(now + rng.expovariate(stream.rate), arrive)

    if stream.rate > 0:
        loop.call_at(loop.now + rng.expovariate(stream.rate), arrive)


def _make_work(stream: Stream, service: str, key: str, now: float) -> WorkItem:
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
    """Return a stream whose arrival rate keeps a share ``load`` of the slots busy."""
    return replace(stream, rate=load * slots / stream.mean_s)
