"""Choice of the backend server for a request."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hibiscushaven.discovery import KnownServer, Registry
from hibiscushaven.fleet import FleetView, token_of
from hibiscushaven.routing import Configuration, OperatorState

from .affinity import (
    CopyLevel,
    ObjectOrder,
    hit_rate_name,
    known_rate_name,
    position_of,
)
from .demand import Demand, has_room
from .flows import PRIOR_PART, RegionShares, target_shares
from .groups import ServerGroups
from .loads import DEFAULT_OBJECTIVE_S, ServerLoad, ServerLoads, WorkTimes
from .warmup import KEEPERS, WarmupGate

__all__ = ["NoRoom", "Picker", "PickerOptions", "Placement"]

# Measured slowness from which a server is set aside, so that the next one in the order of its
# objects learns them; never more than half of a region's servers.
SET_ASIDE_SLOWNESS = 3.0
MOST_SET_ASIDE = 1 / 2

# Part of a region's slots in use up to which a request may go to a server that does not know
# its object. It takes a slot for about three times as long there, and makes the server forget
# another object; under load that would spread until no server knows anything.
SPREAD_PART = 0.5

# Advantage of each place in the order of an object over the next one, as a part of the work
# time: enough to decide between equals.
ORDER_BIAS = 0.25

# Work takes about twice as long on a server that has just started.
COLD_SLOWNESS = 2.0

# Part of the requests that may run in another region than their share says, when theirs has
# no room.
OVERFLOW_PART = 0.03
OVERFLOW_BURST = 3.0

# Shortest time to come back after, so that callers do not return before anything has changed.
LEAST_RETRY_AFTER_S = 0.05

# Time to come back after when no server is usable; records are read each 0.5 s.
PAUSE_S = 0.5

# Work times that a failed answer costs its caller.
FAILURE_WEIGHT = 2.0


@dataclass(frozen=True, slots=True)
class PickerOptions:
    """What the picker knows of the deployment.

    :ivar regions: region by failure domain.
    :ivar shift_per_s: part of a region's requests that may move to other regions in a second.
    """

    name: str
    region: str
    regions: Mapping[str, str]
    shift_per_s: float


@dataclass(frozen=True, slots=True)
class Placement:
    """The backend server of an attempt, with what decided it.

    :ivar work_s: predicted work time.
    :ivar wait_s: predicted wait for a slot.
    """

    server: KnownServer
    region: str
    is_known_object: bool
    busy: int
    work_s: float
    wait_s: float
    candidates: int

    @property
    def predicted_s(self) -> float:
        return self.work_s + self.wait_s


@dataclass(frozen=True, slots=True)
class NoRoom:
    """No backend server can answer in time.

    :ivar retry_after_s: when there will probably be room.
    """

    reason: str
    retry_after_s: float
    candidates: int


class _ServiceState:
    def __init__(self, options: PickerOptions, objective_s: float) -> None:
        self.times = WorkTimes(objective_s)
        self.shares = RegionShares(options.region, options.shift_per_s)
        # Servers that should know each object, by region.
        self.copies: dict[str, CopyLevel] = {}
        self.overflow = OVERFLOW_BURST


class Picker:
    """Chooses backend servers from what this VM and its peers have in progress.

    Explanation
    ===========

    The load it is meant for: services whose servers know some objects, a third of the callers
    in a region with a tenth of the servers, and peaks that reach the regions in turn.

    1. The region follows from the object's hash and the current shares of the regions.
    2. In the region, the server with the least predicted time is chosen: work time, shorter
       where the object is known, times the slowness of the server, and the wait for a slot.
    3. A request that would have to wait and could not be answered within its objective is
       refused at once, so that those that wait are answered in time.
    """

    def __init__(
        self, options: PickerOptions, registry: Registry, view: FleetView, loads: ServerLoads
    ) -> None:
        self._options = options
        self._view = view
        self._loads = loads
        self._gate = WarmupGate()
        self._order = ObjectOrder()
        self._services: dict[str, _ServiceState] = {}
        self._operator = OperatorState()
        self._groups = ServerGroups(registry, options.regions)
        self._tokens: dict[str, int] = {}

    def set_options(self, options: PickerOptions) -> None:
        """Use changed options of the deployment."""
        self._options = options
        self._groups.set_regions(options.regions)
        for state in self._services.values():
            state.shares.most_per_s = options.shift_per_s

    def set_operator(self, operator: OperatorState) -> None:
        """Use a newer state of the operator."""
        self._operator = operator
        self._groups.set_evacuated(operator.evacuated)

    @property
    def configuration(self) -> Configuration | None:
        return self._operator.configuration

    def usable(self, service: str) -> Mapping[str, tuple[KnownServer, ...]]:
        """Return the servers of a service that may get requests, by region."""
        return self._groups.of_service(service)

    def region_shares(self, service: str) -> Mapping[str, float]:
        """Return the current shares of the regions of a service."""
        return self._state(service).shares.shares

    def busy(self, server_id: str) -> int:
        """Return the requests in progress of all VMs on a server."""
        return self._loads.of(server_id).in_progress + self._view.in_progress(
            self._token(server_id)
        )

    def work_times(self, service: str) -> WorkTimes:
        return self._state(service).times

    def pick(self, now: float, demand: Demand) -> Placement | NoRoom:
        """Return a server for a request, or why there is none."""
        groups = self._allowed(demand)
        if not groups:
            return NoRoom("no backend server is usable", self._pause_s(demand), 0)
        state = self._state(demand.service)
        region = self._region(now, demand, groups, state)
        choice = self._pick_in(now, demand, region, groups[region], state)
        if isinstance(choice, Placement):
            state.overflow = min(OVERFLOW_BURST, state.overflow + OVERFLOW_PART)
            return choice
        if state.overflow < 1.0:
            return choice
        for other in sorted(groups, key=lambda name: self._filled(groups[name])):
            if other == region:
                continue
            found = self._pick_in(now, demand, other, groups[other], state)
            if isinstance(found, Placement):
                state.overflow -= 1.0
                return found
        return choice

    def take(self, now: float, server: KnownServer) -> bool:
        """Count a request towards the rate of a cold server; return whether it fits."""
        if not self.is_cold(now, server):
            return True
        return self._gate.try_pass(now, server.record.server_id, self._warmup_per_s(server))

    def is_cold(self, now: float, server: KnownServer) -> bool:
        """Return whether a server is cold, or may be without our knowing it."""
        return now < server.cold_until

    def move_shares(self, now: float, own_arrivals: Mapping[int, float]) -> None:
        """Move the shares of the regions with the load; called several times a second."""
        arrivals = {
            self._options.region: self._view.local_arrivals(now, dict(own_arrivals)),
            **self._view.remote_arrivals(),
        }
        names = self._operator.configuration
        for service in names.services if names else ():
            token = self._token(service)
            rates = {region: rates.get(token, 0.0) for region, rates in arrivals.items()}
            state = self._state(service)
            slots = {
                region: sum(item.record.slots for item in servers)
                for region, servers in self.usable(service).items()
            }
            if sum(rates.values()) < 1.0:
                rates = _prior(self._options.regions, slots, state.times.mean_s)
            rows = {
                region: target_shares(region, rates, slots, state.times.mean_s)
                for region in {*rates, self._options.region}
            }
            state.shares.move(now, rows[self._options.region])
            self._move_copies(now, service, arrivals.values(), state)

    def copy_levels(self, service: str) -> Mapping[str, float]:
        """Return how many servers of each region should know each object of a service."""
        return {name: copies.level for name, copies in self._state(service).copies.items()}

    def _move_copies(
        self,
        now: float,
        service: str,
        arrivals: Iterable[Mapping[int, float]],
        state: _ServiceState,
    ) -> None:
        rates = tuple(arrivals)
        for region in self.usable(service):
            known, hits = (
                sum(of_region.get(self._token(name), 0.0) for of_region in rates)
                for name in (known_rate_name(service, region), hit_rate_name(service, region))
            )
            state.copies.setdefault(region, CopyLevel()).move(now, known, hits)

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Forget servers that are not named."""
        self._gate.keep_only(server_ids)
        for name in [name for name in self._tokens if name not in server_ids]:
            del self._tokens[name]

    def _state(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = _ServiceState(self._options, self._objective_s(service))
            self._services[service] = state
        return state

    def _objective_s(self, service: str) -> float:
        """Return the shortest objective of the routes to a service."""
        configuration = self._operator.configuration
        routes = configuration.routes if configuration is not None else ()
        found = (
            route.objective_s
            for route in routes
            if any(part.service == service for part in route.parts)
        )
        return min(found, default=DEFAULT_OBJECTIVE_S)

    def _token(self, text: str) -> int:
        token = self._tokens.get(text)
        if token is None:
            token = self._tokens[text] = token_of(text)
        return token

    def _allowed(self, demand: Demand) -> dict[str, tuple[KnownServer, ...]]:
        homes = demand.route.home_regions
        groups = {
            region: servers
            for region, servers in self.usable(demand.service).items()
            if not homes or region in homes
        }
        if not demand.excluded:
            return groups
        left = {
            region: tuple(s for s in servers if s.record.server_id not in demand.excluded)
            for region, servers in groups.items()
        }
        return {region: servers for region, servers in left.items() if servers}

    def _region(
        self,
        now: float,
        demand: Demand,
        groups: Mapping[str, tuple[KnownServer, ...]],
        state: _ServiceState,
    ) -> str:
        key = demand.key if demand.key is not None else str(now)
        region = state.shares.region_at(position_of(key))
        if region in groups and self._has_living(now, groups[region], state):
            return region
        if self._options.region in groups and self._has_living(
            now, groups[self._options.region], state
        ):
            return self._options.region
        return min(groups, key=lambda name: self._filled(groups[name]))

    def _has_living(
        self, now: float, servers: tuple[KnownServer, ...], state: _ServiceState
    ) -> bool:
        return any(
            not self._loads.of(server.record.server_id).is_avoided(now, state.times.unknown_s)
            for server in servers
        )

    def _filled(self, servers: tuple[KnownServer, ...]) -> float:
        slots = sum(server.record.slots for server in servers)
        return sum(self.busy(server.record.server_id) for server in servers) / max(1, slots)

    def _pick_in(
        self,
        now: float,
        demand: Demand,
        region: str,
        servers: tuple[KnownServer, ...],
        state: _ServiceState,
    ) -> Placement | NoRoom:
        by_id = {server.record.server_id: server for server in servers}
        if demand.key is None or not demand.route.is_sticky:
            order, copies = tuple(by_id), len(by_id)
        else:
            order = self._order.of(demand.key, tuple(by_id))
            level = state.copies.get(region)
            copies = level.copies_at(position_of(demand.key)) if level is not None else 1
        best: Placement | None = None
        best_cost = 0.0
        soonest_s = demand.time_left_s
        place = -1
        may_spread = self._filled(servers) < SPREAD_PART
        set_aside = self._set_aside(now, servers)
        for server_id in order:
            server = by_id[server_id]
            load = self._loads.of(server_id)
            if load.is_avoided(now, state.times.unknown_s) or not self._may_send(now, server):
                continue
            busy = self.busy(server_id)
            is_known = False
            if server_id not in set_aside:
                place += 1
                is_known = place < copies
            if not is_known and (not may_spread or busy >= server.record.slots):
                continue
            work_s, wait_s = self._predict(now, server, load, busy, is_known, state)
            soonest_s = min(soonest_s, wait_s)
            if not has_room(busy, server.record.slots, work_s + wait_s, demand):
                continue
            cost = work_s * (1.0 + ORDER_BIAS * place + FAILURE_WEIGHT * load.failed_part) + wait_s
            if best is None or cost < best_cost:
                best_cost = cost
                best = Placement(server, region, is_known, busy, work_s, wait_s, len(order))
        if best is not None:
            return best
        return NoRoom(
            "all backend servers are busy", max(LEAST_RETRY_AFTER_S, soonest_s), len(order)
        )

    def _set_aside(self, now: float, servers: tuple[KnownServer, ...]) -> frozenset[str]:
        """Return the servers that are much slower than expected, unless they are many."""
        names = (server.record.server_id for server in servers)
        slow = frozenset(
            name
            for name in names
            if self._loads.of(name).measured_slowness(now) > SET_ASIDE_SLOWNESS
        )
        return slow if len(slow) <= MOST_SET_ASIDE * len(servers) else frozenset()

    def _predict(
        self,
        now: float,
        server: KnownServer,
        load: ServerLoad,
        busy: int,
        is_known: bool,
        state: _ServiceState,
    ) -> tuple[float, float]:
        """Return the predicted work time and the wait for a slot, in seconds."""
        token = self._token(server.record.server_id)
        slowness = load.slowness(now, *self._view.slowness(token))
        if self.is_cold(now, server):
            slowness = max(slowness, COLD_SLOWNESS)
        work_s = state.times.expected_s(is_known) * slowness
        slots = max(1, server.record.slots)
        ahead = max(0, busy - slots + 1)
        return work_s, ahead * state.times.mean_s * slowness / slots

    def _may_send(self, now: float, server: KnownServer) -> bool:
        if not self.is_cold(now, server):
            return True
        server_id = server.record.server_id
        region = self._options.regions.get(server.record.failure_domain)
        if region != self._options.region:
            return False
        if self._options.name not in self._view.responsible_vms(now, server_id, KEEPERS):
            return False
        return self._gate.may_pass(now, server_id, self._warmup_per_s(server))

    def _warmup_per_s(self, server: KnownServer) -> float:
        configuration = self._operator.configuration
        options = configuration.services.get(server.record.service) if configuration else None
        return options.warmup_per_s if options is not None else 1.0

    def _pause_s(self, demand: Demand) -> float:
        return max(LEAST_RETRY_AFTER_S, min(PAUSE_S, demand.time_left_s / 4))


def _prior(regions: Mapping[str, str], slots: Mapping[str, int], work_s: float) -> dict[str, float]:
    """Return equal arrivals in all regions that use a part of all slots."""
    names = set(regions.values())
    rate = PRIOR_PART * sum(slots.values()) / work_s / max(1, len(names))
    return dict.fromkeys(names, rate)
