"""Choice of backend servers under the load that it is meant for."""

import random

from hibiscushaven.discovery import Registry, ServerRecord
from hibiscushaven.fleet import FleetView, VmState, token_of
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.placement import (
    Demand,
    NoRoom,
    Picker,
    PickerOptions,
    Placement,
    ServerLoads,
    hit_rate_name,
    known_rate_name,
)
from hibiscushaven.routing import (
    Configuration,
    OperatorState,
    RequestKind,
    Route,
    ServiceOptions,
    SplitPart,
)

REGIONS = {"serra-a": "serra", "serra-b": "serra", "vale-a": "vale"}
ROUTE = Route(
    "r", "h", "/", RequestKind.SAFE, (SplitPart("stock", 1),), 0.8, 0.25, 2, is_sticky=True
)


def make_record(server_id, domain="serra-a", **fields):
    return ServerRecord(server_id, "stock", Endpoint("10.0.0.1", 80), domain, 4, **fields)


class World:
    """One VM's picker with servers of its own making."""

    def __init__(self, *records, evacuated=()):
        self.registry = Registry()
        self.registry.replace_all(0.0, 10, records, gap_s=0.5)
        self.view = FleetView("vm-1", "serra", "serra-a")
        self.loads = ServerLoads()
        options = PickerOptions("vm-1", "serra", REGIONS, 0.05)
        self.picker = Picker(options, self.registry, self.view, self.loads)
        services = {"stock": ServiceOptions("stock", warmup_s=3.0, warmup_per_s=8.0)}
        self.picker.set_operator(
            OperatorState(1, Configuration(1, (ROUTE,), services), frozenset(evacuated))
        )
        # The servers have known their objects for a while, so that each has a second one.
        names = known_rate_name("stock", "serra"), hit_rate_name("stock", "serra")
        rates = {token_of(name): 50.0 for name in names}
        for before_s in range(20, -1, -1):
            self.picker.move_shares(float(-before_s), rates)

    def pick(self, now=0.0, key="17", route=ROUTE, **fields):
        defaults = {"objective_left_s": 0.25, "time_left_s": 0.8}
        return self.picker.pick(now, Demand(route, "stock", key, **{**defaults, **fields}))

    def start(self, server_id, count=1, now=0.0):
        load = self.loads.of(server_id)
        for _ in range(count):
            load.started[len(load.started) + 1000] = now


def serra(count):
    return [make_record(f"s{number}") for number in range(count)]


def test_requests_for_an_object_meet_at_one_server():
    world = World(*serra(10))
    for key in map(str, range(80)):
        chosen = {world.pick(key=key).server.record.server_id for _ in range(3)}
        assert len(chosen) == 1


def test_busy_server_of_an_object_is_passed_over():
    world = World(*serra(4))
    first = world.pick().server.record.server_id
    world.start(first, 4)
    second = world.pick()
    assert isinstance(second, Placement)
    assert second.server.record.server_id != first


def test_loads_of_other_vms_count():
    world = World(*serra(4))
    first = world.pick().server.record.server_id
    state = VmState(
        "vm-2", 1, 1, "serra", "serra-a", "a:1", "b:1", in_progress={token_of(first): 4}
    )
    world.view.on_state(0.0, state)
    assert world.pick().server.record.server_id != first


def test_full_servers_refuse_at_once_with_a_time_to_return():
    world = World(*serra(2))
    for name in ("s0", "s1"):
        world.start(name, 8)
    refused = world.pick()
    assert isinstance(refused, NoRoom)
    assert 0.0 < refused.retry_after_s < 0.8


def test_leaving_evacuated_and_excluded_servers_get_nothing():
    world = World(
        make_record("leaving", is_leaving=True),
        make_record("out", "serra-b"),
        make_record("good"),
        evacuated=["serra-b"],
    )
    for key in map(str, range(20)):
        assert world.pick(key=key).server.record.server_id == "good"
    assert isinstance(world.pick(excluded=frozenset({"good"})), NoRoom)


def test_homes_bind_also_when_they_are_full():
    homed = Route(
        "r", "h", "/", RequestKind.SAFE, (SplitPart("stock", 1),), 0.8, 0.25, 2, 0, True,
        frozenset({"serra"}),
    )  # fmt: skip
    world = World(make_record("near"), make_record("far", "vale-a"))
    world.start("near", 8)
    assert isinstance(world.pick(route=homed), NoRoom)


def test_lost_server_is_avoided_and_tried_again_later():
    world = World(*serra(2))
    first = world.pick().server.record.server_id
    world.loads.of(first).on_loss(1.0)
    assert world.pick(now=1.1).server.record.server_id != first
    assert world.pick(now=1.4).server.record.server_id == first


def test_server_that_stays_silent_is_avoided():
    world = World(*serra(2))
    first = world.pick().server.record.server_id
    world.start(first, 1, now=1.0)
    assert world.pick(now=1.2).server.record.server_id == first
    assert world.pick(now=2.1).server.record.server_id != first


def test_server_that_lets_requests_run_into_their_limit_is_set_aside_and_tried_again():
    world = World(*serra(4))
    first = world.pick().server.record.server_id
    for number in range(4):
        world.start(f"s{number}", 3, now=1.9)
    for step in range(6):
        world.loads.of(first).on_timeout(1.0 + step / 10, 8.0)
    chosen = set()
    for _ in range(2):
        choice = world.pick(now=2.0)
        assert choice.is_known_object
        chosen.add(choice.server.record.server_id)
        world.start(choice.server.record.server_id, 1, now=2.0)
    assert first not in chosen
    assert world.loads.of(first).measured_slowness(20.0) < 1.2


def test_slowness_of_most_servers_sets_none_aside():
    world = World(*serra(4))
    for number in range(4):
        for _ in range(6):
            world.loads.of(f"s{number}").on_timeout(1.0, 8.0)
    first = world.pick(now=1.0, objective_left_s=2.0, time_left_s=2.0)
    assert isinstance(first, Placement) and first.is_known_object


def test_slow_server_gets_less():
    world = World(*serra(2))
    first = world.pick().server.record.server_id
    for _ in range(30):
        world.loads.of(first).on_answer(0.0, 6.0, False, None)
    assert world.pick().server.record.server_id != first


def test_cold_server_gets_only_its_rate_and_only_from_its_keepers():
    world = World(make_record("cold", cold_left_s=3.0), make_record("full"))
    world.start("full", 8)
    sent = 0
    for step in range(200):
        now = step * 0.005
        choice = world.pick(now=now, key=str(step))
        if isinstance(choice, Placement):
            assert choice.server.record.server_id == "cold"
            assert world.picker.take(now, choice.server)
            sent += 1
    assert 1 <= sent <= 8
    far = World(make_record("cold", "vale-a", cold_left_s=3.0))
    assert isinstance(far.pick(), NoRoom)


def test_region_without_servers_uses_another_one():
    world = World(make_record("far", "vale-a"))
    assert world.pick().server.record.server_id == "far"


def test_overflow_to_another_region_stays_rare():
    world = World(make_record("near"), make_record("far", "vale-a"))
    world.start("near", 8)
    for _ in range(5):
        world.picker.move_shares(0.0, {token_of("stock"): 1.0})
    rng = random.Random(1)
    keys = [str(rng.random()) for _ in range(100)]
    near_keys = [key for key in keys if _region(world, key) == "serra"]
    served = sum(isinstance(world.pick(key=key), Placement) for key in near_keys)
    assert served <= 3 + 0.05 * len(near_keys)


def _region(world, key):
    from hibiscushaven.placement.affinity import position_of

    share = world.picker.region_shares("stock").get("serra", 0.0)
    return "serra" if position_of(key) < share else "vale"


def test_caller_that_comes_back_may_wait_where_others_are_refused():
    world = World(*serra(2))
    for name in ("s0", "s1"):
        world.start(name, 8)
    assert isinstance(world.pick(objective_left_s=0.2), NoRoom)
    assert isinstance(world.pick(time_left_s=1.6, is_return=True), Placement)
    assert isinstance(world.pick(time_left_s=0.2, is_return=True), NoRoom)


def test_slowness_that_other_vms_tell_counts_while_it_is_fresh():
    world = World(*serra(4))
    first = world.pick().server.record.server_id
    report = {token_of(first): (250, 0.02)}
    state = VmState("vm-2", 1, 1, "serra", "serra-a", "a:1", "b:1", slowness=report)
    world.view.on_state(0.0, state)
    assert world.pick(now=0.1).server.record.server_id != first
    assert world.pick(now=1.0).server.record.server_id == first


def test_known_objects_stay_where_they_are_under_load():
    world = World(*serra(10))
    chosen = {world.pick(key="17").server.record.server_id}
    for number in range(10):
        world.start(f"s{number}", 3)
    home = set()
    for _ in range(4):
        choice = world.pick(key="17")
        home.add(choice.server.record.server_id)
        world.start(choice.server.record.server_id)
    assert chosen <= home and len(home) <= 2


def test_server_that_was_lost_is_cold_for_the_next_choice():
    world = World(make_record("s0"))
    world.pick()
    world.registry.mark_server_cold("s0", 9.0)
    (server,) = world.picker.usable("stock")["serra"]
    assert world.picker.is_cold(1.0, server)
