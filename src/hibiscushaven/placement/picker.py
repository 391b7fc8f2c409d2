"""Selection of the backend server for a request."""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from hibiscushaven.discovery import KnownServer, Registry
from hibiscushaven.fleet import FleetView, token_of
from hibiscushaven.routing import Configuration, OperatorState

from .admission import PlacementRequest, is_admissible
from .affinity import (
    RendezvousOrder,
    ReplicationFactor,
    cache_hit_counter,
    cache_lookup_counter,
    position_of,
)
from .groups import ServerGroups
from .loads import DEFAULT_OBJECTIVE_S, ProcessingTimes, ServerLoad, ServerLoads
from .notices import ServerNotices
from .rate_limits import RateLimitTable, SharedRateLimiter
from .region_shares import ASSUMED_UTILIZATION, RegionShares, slots_of_rate, target_shares
from .warmup import SENDERS_PER_SERVER, WarmupRateLimiter

__all__ = ["Picker", "PickerOptions", "Placement", "PlacementRejection"]

# Measured slowness above which a server no longer counts as a replica for its objects, so that
# the next servers in their order cache them instead.
DEPRIORITIZED_SLOWNESS = 3.0

# If more than this fraction of a region's servers is slow, none of them is deprioritized.
MAX_DEPRIORITIZED_FRACTION = 1 / 2

# Utilization of a region's slots up to which a request may go to a server that does not have its
# object cached. The miss occupies a slot for about three times as long and evicts another object;
# under load, misses would cause further misses until no cache is of any use.
MAX_MISS_UTILIZATION = 0.5

# Cost of each rank in the rendezvous order of an object, as a fraction of the processing time. It
# only decides between servers that are otherwise about equal.
RANK_PENALTY = 0.25

# Cost of a server whose slots are all in use for requests without an object, as a fraction of the
# processing time. It spreads them over the servers that are otherwise about equal.
UTILIZATION_PENALTY = 0.25

# Slowness of a server that has just started: processing takes about twice as long.
COLD_SLOWNESS = 2.0

# Fraction of the requests that may be sent to another region than the one selected by the region
# shares, if that one has no free capacity.
OVERFLOW_FRACTION = 0.03

# Largest burst of requests that may overflow to another region.
OVERFLOW_BURST = 3.0

# Lower bound on the retry delay, so that callers do not retry before the load has changed.
MIN_RETRY_AFTER_S = 0.05

# Retry delay when no server is usable; the server records are read every 0.5 s.
UNAVAILABLE_RETRY_AFTER_S = 0.5

# A request is overdue when it has taken this many times the expected processing time, and at least
# this long.
OVERDUE_FACTOR = 1.5
MIN_OVERDUE_S = 0.5

# Cost of a failed response, in processing times.
FAILURE_PENALTY = 2.0

# Cost of a server to which another VM could not connect, while it is not known whether the server
# or the link of that VM is down, in processing times. It decides only while other servers are free.
SUSPICION_PENALTY = 4.0

# Cost of a server that has served nothing since its last pause, in processing times, for a request
# that cannot bear a rejection. It decides only while other servers are free.
RELUCTANCE_PENALTY = 4.0


@dataclass(frozen=True, slots=True)
class PickerOptions:
    """Options of the deployment that the picker depends on.

    :ivar name: name of this VM.
    :ivar region: region of this VM.
    :ivar regions: region by failure domain.
    :ivar max_shift_per_s: largest fraction of a region's requests that may move to other regions
        per second.
    """

    name: str
    region: str
    regions: Mapping[str, str]
    max_shift_per_s: float


@dataclass(frozen=True, slots=True)
class Placement:
    """The backend server chosen for an attempt, with the inputs of the decision.

    :ivar in_progress: requests of all VMs in progress on the server.
    :ivar processing_s: predicted processing time.
    :ivar wait_s: predicted wait for a slot.
    :ivar candidates: number of usable servers in the region.
    """

    server: KnownServer
    region: str
    is_cache_hit_expected: bool
    in_progress: int
    processing_s: float
    wait_s: float
    candidates: int

    @property
    def predicted_s(self) -> float:
        return self.processing_s + self.wait_s


@dataclass(frozen=True, slots=True)
class PlacementRejection:
    """Reason why no backend server was chosen.

    :ivar retry_after_s: time after which a server will probably have free capacity.
    :ivar candidates: number of usable servers in the region.
    """

    reason: str
    retry_after_s: float
    candidates: int


class _ServiceState:
    def __init__(self, options: PickerOptions, objective_s: float) -> None:
        self.times = ProcessingTimes(objective_s)
        self.shares = RegionShares(options.region, options.max_shift_per_s)
        # Replication factors by region.
        self.replication: dict[str, ReplicationFactor] = {}
        self.overflow = OVERFLOW_BURST


class Picker:
    """Chooses backend servers by the requests that this VM and its peers have in progress.

    Explanation
    ===========

    It is designed for services whose servers cache some of the objects, for a region with a third
    of the callers but a tenth of the servers, and for load peaks that reach one region after
    another.

    1. The region is determined by the hash of the object and the current shares of the regions.
    2. Within the region, the server with the shortest predicted time is chosen: the processing
       time, which is shorter on a cache hit, multiplied by the slowness of the server, plus the
       wait for a slot.
    3. A request that would have to wait and would miss its objective is refused at once, so that
       the requests in the queue are answered in time.

    :param is_suspected_lost: returns whether other VMs failed to connect to a server, given by its
        token, and nobody has heard from it since.
    """

    def __init__(
        self,
        options: PickerOptions,
        registry: Registry,
        view: FleetView,
        loads: ServerLoads,
        is_suspected_lost: Callable[[int], bool] = lambda token: False,
    ) -> None:
        self._is_suspected_lost = is_suspected_lost
        self._options = options
        self._registry = registry
        self._view = view
        self._loads = loads
        self._warmup_limiter = WarmupRateLimiter()
        self.notices = ServerNotices()
        self.rate_limits = RateLimitTable()
        self._rate_limiter = SharedRateLimiter(options.name, self.rate_limits, view.responsible_vms)
        self._order = RendezvousOrder()
        self._services: dict[str, _ServiceState] = {}
        self._operator = OperatorState()
        self._groups = ServerGroups(registry, options.regions)
        self._tokens: dict[str, int] = {}
        self._random = random.Random(options.name)

    def set_options(self, options: PickerOptions) -> None:
        """Apply changed options of the deployment."""
        self._options = options
        self._groups.set_regions(options.regions)
        for state in self._services.values():
            state.shares.max_shift_per_s = options.max_shift_per_s

    def set_operator_state(self, operator: OperatorState) -> None:
        """Apply a newer operator state."""
        self._operator = operator
        self._groups.set_evacuated(operator.evacuated)

    @property
    def configuration(self) -> Configuration | None:
        return self._operator.configuration

    def usable_servers(self, service: str) -> Mapping[str, tuple[KnownServer, ...]]:
        """Return the servers of a service that may receive requests, by region."""
        return self._groups.of_service(service)

    def region_shares(self, service: str) -> Mapping[str, float]:
        """Return the current shares of the regions for a service."""
        return self._state(service).shares.shares

    def in_progress(self, server_id: str) -> int:
        """Return the number of requests of all VMs in progress on a server."""
        return self._loads.of(server_id).in_progress + self._view.in_progress(
            self._token(server_id)
        )

    def overdue_requests(self, now: float) -> dict[str, float]:
        """Return the start of the oldest request of this VM by server, where it is overdue."""
        overdue = {}
        for server_id, load in self._loads.busy():
            server = self._registry.servers.get(server_id)
            if server is None:
                continue
            expected_s = self._state(server.record.service).times.miss_s
            started_at = next(iter(load.start_times.values()))
            if now - started_at > max(MIN_OVERDUE_S, OVERDUE_FACTOR * expected_s):
                overdue[server_id] = started_at
        return overdue

    def record_response(self, now: float, server_id: str) -> None:
        """Record that a server responded to this VM, whatever the status."""
        self._view.uptime.record(self._token(server_id), now)

    def last_response_at(self, server_id: str) -> float:
        """Return the time of the last response of a server to any VM of which this one knows."""
        _, peer_report_at = self._view.slowness(self._token(server_id))
        return max(self._loads.of(server_id).last_response_at, peer_report_at)

    def processing_times(self, service: str) -> ProcessingTimes:
        return self._state(service).times

    def pick(self, now: float, request: PlacementRequest) -> Placement | PlacementRejection:
        """Return the server for a request, or the reason why there is none."""
        groups = self._candidates_by_region(request)
        if not groups:
            return PlacementRejection(
                "no backend server is usable", self._unavailable_retry_after_s(request), 0
            )
        state = self._state(request.service)
        region = self._choose_region(now, request, groups, state)
        preferred = self._pick_in_region(now, request, region, groups[region], state)
        if isinstance(preferred, Placement):
            state.overflow = min(OVERFLOW_BURST, state.overflow + OVERFLOW_FRACTION)
            return preferred
        if state.overflow < 1.0:
            return preferred
        for other in sorted(groups, key=lambda name: self._utilization(groups[name])):
            if other == region:
                continue
            placement = self._pick_in_region(now, request, other, groups[other], state)
            if isinstance(placement, Placement):
                state.overflow -= 1.0
                return placement
        return preferred

    def try_admit(self, now: float, server: KnownServer) -> bool:
        """Count a request towards the rate limits of a server, and return whether it fits."""
        if self.is_excluded(now, server) or not self._may_send_to(now, server):
            return False
        if not self._rate_limiter.try_acquire(now, server.record.process_id):
            return False
        if not self.is_cold(now, server):
            return True
        return self._warmup_limiter.try_acquire(
            now, server.record.server_id, self._warmup_per_s(server)
        )

    def is_excluded(self, now: float, server: KnownServer) -> bool:
        """Return whether a server has told this VM to send it no requests now."""
        return self.notices.is_excluded(now, server.record.process_id)

    def is_cold(self, now: float, server: KnownServer) -> bool:
        """Return whether a server is cold, or may have restarted unnoticed."""
        return now < server.cold_until

    def update_region_shares(self, now: float, own_arrivals: Mapping[int, float]) -> None:
        """Adapt the region shares and replication factors to the load; runs several times a second.

        :param own_arrivals: arrival rates at this VM by token.
        """
        arrivals = {
            self._options.region: self._view.local_arrivals(now, dict(own_arrivals)),
            **self._view.remote_arrivals(),
        }
        configuration = self._operator.configuration
        for service in configuration.services if configuration else ():
            token = self._token(service)
            rates = {region: rates.get(token, 0.0) for region, rates in arrivals.items()}
            state = self._state(service)
            slots = {
                region: sum(self._usable_slots(now, item, state.times.mean_s) for item in servers)
                for region, servers in self.usable_servers(service).items()
            }
            if sum(rates.values()) < 1.0:
                rates = _assumed_arrivals(self._options.regions, slots, state.times.mean_s)
            targets = {
                region: target_shares(region, rates, slots, state.times.mean_s)
                for region in {*rates, self._options.region}
            }
            state.shares.update(now, targets[self._options.region])
            self._update_replication(now, service, arrivals.values(), state)

    def _usable_slots(self, now: float, server: KnownServer, processing_s: float) -> float:
        """Return the slots of a server, or as many as the rate that it takes is worth."""
        if self.is_excluded(now, server):
            return 0.0
        limit_per_s = self.rate_limits.limit_of(server.record.process_id)
        if limit_per_s is None:
            return server.record.slots
        return min(server.record.slots, slots_of_rate(limit_per_s, processing_s))

    def replication_factors(self, service: str) -> Mapping[str, float]:
        """Return the mean number of servers that should cache each object, by region."""
        return {name: factor.value for name, factor in self._state(service).replication.items()}

    def _update_replication(
        self,
        now: float,
        service: str,
        arrivals: Iterable[Mapping[int, float]],
        state: _ServiceState,
    ) -> None:
        rates = tuple(arrivals)
        for region in self.usable_servers(service):
            lookups, hits = (
                sum(of_region.get(self._token(name), 0.0) for of_region in rates)
                for name in (
                    cache_lookup_counter(service, region),
                    cache_hit_counter(service, region),
                )
            )
            state.replication.setdefault(region, ReplicationFactor()).update(now, lookups, hits)

    def retain_only(self, servers: Mapping[str, KnownServer]) -> None:
        """Discard the state of all servers that are not among the given ones.

        :param servers: servers by id.
        """
        server_ids = frozenset(servers)
        self._warmup_limiter.retain_only(server_ids)
        process_ids = frozenset(server.record.process_id for server in servers.values())
        self._rate_limiter.retain_only(process_ids)
        self.notices.retain_only(process_ids)
        for name in [name for name in self._tokens if name not in server_ids]:
            del self._tokens[name]

    def _state(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = _ServiceState(self._options, self._objective_s(service))
            self._services[service] = state
        return state

    def _objective_s(self, service: str) -> float:
        """Return the shortest objective among the routes to a service."""
        configuration = self._operator.configuration
        routes = configuration.routes if configuration is not None else ()
        objectives = (
            route.objective_s
            for route in routes
            if any(weighted.service == service for weighted in route.weighted_services)
        )
        return min(objectives, default=DEFAULT_OBJECTIVE_S)

    def _token(self, text: str) -> int:
        token = self._tokens.get(text)
        if token is None:
            token = self._tokens[text] = token_of(text)
        return token

    def _candidates_by_region(
        self, request: PlacementRequest
    ) -> dict[str, tuple[KnownServer, ...]]:
        home_regions = request.route.home_regions
        groups = {
            region: servers
            for region, servers in self.usable_servers(request.service).items()
            if not home_regions or region in home_regions
        }
        if not request.excluded:
            return groups
        remaining = {
            region: tuple(
                server for server in servers if server.record.server_id not in request.excluded
            )
            for region, servers in groups.items()
        }
        return {region: servers for region, servers in remaining.items() if servers}

    def _choose_region(
        self,
        now: float,
        request: PlacementRequest,
        groups: Mapping[str, tuple[KnownServer, ...]],
        state: _ServiceState,
    ) -> str:
        key = request.key if request.key is not None else str(now)
        region = state.shares.region_at(position_of(key))
        if region in groups and self._has_available(now, groups[region], state):
            return region
        if self._options.region in groups and self._has_available(
            now, groups[self._options.region], state
        ):
            return self._options.region
        return min(groups, key=lambda name: self._utilization(groups[name]))

    def _has_available(
        self, now: float, servers: tuple[KnownServer, ...], state: _ServiceState
    ) -> bool:
        return any(
            not self.is_excluded(now, server)
            and not self._loads.of(server.record.server_id).is_unavailable(now, state.times.miss_s)
            for server in servers
        )

    def _utilization(self, servers: tuple[KnownServer, ...]) -> float:
        slots = sum(server.record.slots for server in servers)
        return sum(self.in_progress(server.record.server_id) for server in servers) / max(1, slots)

    def _pick_in_region(
        self,
        now: float,
        request: PlacementRequest,
        region: str,
        servers: tuple[KnownServer, ...],
        state: _ServiceState,
    ) -> Placement | PlacementRejection:
        by_id = {server.record.server_id: server for server in servers}
        has_affinity = request.key is not None and request.route.is_sticky
        if request.key is None or not has_affinity:
            order, replicas = tuple(by_id), len(by_id)
        else:
            order = self._order.servers_for(request.key, tuple(by_id))
            factor = state.replication.get(region)
            replicas = factor.replicas_at(position_of(request.key)) if factor is not None else 1
        best: Placement | None = None
        best_cost = 0.0
        shortest_wait_s = request.time_left_s
        rank = -1
        is_miss_allowed = self._utilization(servers) < MAX_MISS_UTILIZATION
        deprioritized = self._deprioritized(now, servers)
        for server_id in order:
            server = by_id[server_id]
            load = self._loads.of(server_id)
            if load.is_unavailable(now, state.times.miss_s):
                continue
            if self.is_excluded(now, server):
                pause_left_s = self.notices.pause_left_s(now, server.record.process_id)
                shortest_wait_s = min(shortest_wait_s, pause_left_s)
                continue
            if not self._may_send_to(now, server):
                limit_wait_s = self._rate_limiter.wait_s(now, server.record.process_id)
                if limit_wait_s > 0:
                    shortest_wait_s = min(shortest_wait_s, limit_wait_s)
                continue
            in_progress = self.in_progress(server_id)
            is_cached = False
            if server_id not in deprioritized:
                rank += 1
                is_cached = rank < replicas
            if not is_cached and (not is_miss_allowed or in_progress >= server.record.slots):
                continue
            processing_s, wait_s = self._predict(now, server, load, in_progress, is_cached, state)
            shortest_wait_s = min(shortest_wait_s, wait_s)
            if not is_admissible(in_progress, server.record.slots, processing_s + wait_s, request):
                continue
            penalty = FAILURE_PENALTY * load.recent_failure_rate(now)
            if has_affinity:
                penalty += RANK_PENALTY * rank
            else:
                # At random among equal ones, so that the VMs don't all fill the same servers first.
                used_slots = in_progress + self._random.random()
                penalty += UTILIZATION_PENALTY * used_slots / max(1, server.record.slots)
            if self._is_suspected_lost(self._token(server_id)):
                penalty += SUSPICION_PENALTY
            is_reluctant = self.notices.is_reluctant(server.record.process_id)
            if is_reluctant and not request.can_bear_rejection:
                penalty += RELUCTANCE_PENALTY
            cost = processing_s * (1.0 + penalty) + wait_s
            if best is None or cost < best_cost:
                best_cost = cost
                best = Placement(
                    server, region, is_cached, in_progress, processing_s, wait_s, len(order)
                )
        if best is not None:
            return best
        return PlacementRejection(
            "all backend servers are busy", max(MIN_RETRY_AFTER_S, shortest_wait_s), len(order)
        )

    def _deprioritized(self, now: float, servers: tuple[KnownServer, ...]) -> frozenset[str]:
        """Return the servers that are much slower than expected, unless most servers are."""
        names = (server.record.server_id for server in servers)
        slow = frozenset(
            name
            for name in names
            if self._loads.of(name).measured_slowness(now) > DEPRIORITIZED_SLOWNESS
        )
        return slow if len(slow) <= MAX_DEPRIORITIZED_FRACTION * len(servers) else frozenset()

    def _predict(
        self,
        now: float,
        server: KnownServer,
        load: ServerLoad,
        in_progress: int,
        is_cached: bool,
        state: _ServiceState,
    ) -> tuple[float, float]:
        """Return the predicted processing time and the wait for a slot, in seconds."""
        token = self._token(server.record.server_id)
        slowness = load.slowness(now, *self._view.slowness(token))
        if self.is_cold(now, server):
            slowness = max(slowness, COLD_SLOWNESS)
        processing_s = state.times.expected_s(is_cached) * slowness
        slots = max(1, server.record.slots)
        ahead = max(0, in_progress - slots + 1)
        return processing_s, ahead * state.times.mean_s * slowness / slots

    def _may_send_to(self, now: float, server: KnownServer) -> bool:
        """Return whether this VM's shares of a server's rate limits allow another request."""
        is_cold = self.is_cold(now, server)
        is_limited = self.rate_limits.limit_of(server.record.process_id) is not None
        if not (is_cold or is_limited):
            return True
        server_id = server.record.server_id
        region = self._options.regions.get(server.record.failure_domain)
        if region != self._options.region:
            return False
        if self._rate_limiter.wait_s(now, server.record.process_id) > 0:
            return False
        if not is_cold:
            return True
        if self._options.name not in self._view.responsible_vms(now, server_id, SENDERS_PER_SERVER):
            return False
        return self._warmup_limiter.has_token(now, server_id, self._warmup_per_s(server))

    def _warmup_per_s(self, server: KnownServer) -> float:
        configuration = self._operator.configuration
        options = configuration.services.get(server.record.service) if configuration else None
        return options.warmup_per_s if options is not None else 1.0

    def _unavailable_retry_after_s(self, request: PlacementRequest) -> float:
        return max(MIN_RETRY_AFTER_S, min(UNAVAILABLE_RETRY_AFTER_S, request.time_left_s / 4))


def _assumed_arrivals(
    regions: Mapping[str, str], slots: Mapping[str, float], processing_s: float
) -> dict[str, float]:
    """Return equal arrival rates in all regions that add up to ``ASSUMED_UTILIZATION``."""
    names = set(regions.values())
    rate = ASSUMED_UTILIZATION * sum(slots.values()) / processing_s / max(1, len(names))
    return dict.fromkeys(names, rate)
