"""Selection of backend servers by affinity, load, health and region."""

import random

from hibiscushaven.discovery import Registry, ServerRecord
from hibiscushaven.fleet import FleetView, VmState, token_of
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.placement import (
    Picker,
    PickerOptions,
    Placement,
    PlacementRejection,
    PlacementRequest,
    RateLimit,
    ServerLoads,
    ServerNotice,
    cache_hit_counter,
    cache_lookup_counter,
)
from hibiscushaven.routing import (
    Configuration,
    OperatorState,
    RequestKind,
    Route,
    ServiceOptions,
    WeightedService,
)

REGIONS = {"serra-a": "serra", "serra-b": "serra", "vale-a": "vale"}
ROUTE = Route(
    "r", "h", "/", RequestKind.SAFE, (WeightedService("stock", 1),), 0.8, 0.25, 2, is_sticky=True
)


def make_record(server_id, domain="serra-a", **fields):
    return ServerRecord(server_id, "stock", Endpoint("10.0.0.1", 80), domain, 4, **fields)


class PickerFixture:
    """Picker of one VM with the given backend servers."""

    def __init__(self, *records, evacuated=()):
        self.registry = Registry()
        self.registry.replace_all(0.0, 10, records, gap_s=0.5)
        self.view = FleetView("vm-1", "serra", "serra-a")
        self.loads = ServerLoads()
        options = PickerOptions("vm-1", "serra", REGIONS, 0.05)
        self.picker = Picker(options, self.registry, self.view, self.loads)
        services = {"stock": ServiceOptions("stock", warmup_s=3.0, warmup_per_s=8.0)}
        self.picker.set_operator_state(
            OperatorState(1, Configuration(1, (ROUTE,), services), frozenset(evacuated))
        )
        # The hit rate has been high for 20 s, so that each object has a second server.
        names = cache_lookup_counter("stock", "serra"), cache_hit_counter("stock", "serra")
        rates = {token_of(name): 50.0 for name in names}
        for before_s in range(20, -1, -1):
            self.picker.update_region_shares(float(-before_s), rates)

    def pick(self, now=0.0, key="17", route=ROUTE, **fields):
        defaults = {"objective_left_s": 0.25, "time_left_s": 0.8}
        return self.picker.pick(
            now, PlacementRequest(route, "stock", key, **{**defaults, **fields})
        )

    def start(self, server_id, count=1, now=0.0):
        load = self.loads.of(server_id)
        for _ in range(count):
            load.start_times[len(load.start_times) + 1000] = now


def serra_records(count):
    return [make_record(f"s{number}") for number in range(count)]


def test_requests_for_an_object_go_to_the_same_server():
    """Guards against placements that spread an object over servers that do not have it cached."""
    fixture = PickerFixture(*serra_records(10))
    for key in map(str, range(80)):
        chosen = {fixture.pick(key=key).server.record.server_id for _ in range(3)}
        assert len(chosen) == 1


def test_request_that_cannot_bear_a_rejection_avoids_a_server_that_only_paused_so_far():
    """Guards against requests whose attempts all go to servers that reject everything."""
    fixture = PickerFixture(*serra_records(4))
    first = fixture.pick().server.record
    fixture.picker.notices.record(0.0, first.process_id, ServerNotice(pause_s=0.2))
    assert fixture.pick(now=0.3).server.record == first
    assert fixture.pick(now=0.3, can_bear_rejection=False).server.record != first
    fixture.picker.notices.record_served(0.3, first.process_id)
    assert fixture.pick(now=0.3, can_bear_rejection=False).server.record == first


def test_requests_without_an_object_spread_over_idle_servers():
    """Guards against VMs that all fill the servers in the order of the listing."""
    fixture = PickerFixture(*serra_records(8))
    chosen = [fixture.pick(key=None).server.record.server_id for _ in range(80)]
    assert all(chosen.count(f"s{number}") > 0 for number in range(8))
    fixture.start("s3", 2)
    assert all(fixture.pick(key=None).server.record.server_id != "s3" for _ in range(80))


def test_second_server_is_chosen_when_the_first_is_full():
    """Guards against requests that wait for the first server while the second one has slots."""
    fixture = PickerFixture(*serra_records(4))
    first = fixture.pick().server.record.server_id
    fixture.start(first, 4)
    second = fixture.pick()
    assert isinstance(second, Placement)
    assert second.server.record.server_id != first


def test_requests_in_progress_at_other_vms_count():
    """Guards against VMs that all choose the same server since each sees only its own requests."""
    fixture = PickerFixture(*serra_records(4))
    first = fixture.pick().server.record.server_id
    state = VmState(
        "vm-2", 1, 1, "serra", "serra-a", "a:1", "b:1", in_progress={token_of(first): 4}
    )
    fixture.view.on_state(0.0, state)
    assert fixture.pick().server.record.server_id != first


def test_request_is_rejected_with_a_retry_delay_when_all_servers_are_full():
    """Guards against queues that grow beyond the objective, and against immediate retries."""
    fixture = PickerFixture(*serra_records(2))
    for name in ("s0", "s1"):
        fixture.start(name, 8)
    refused = fixture.pick()
    assert isinstance(refused, PlacementRejection)
    assert 0.0 < refused.retry_after_s < 0.8


def test_rejected_request_may_return_when_a_limited_server_takes_another_one():
    """Guards against a retry delay as long as the deadline while servers are limited."""
    fixture = PickerFixture(*serra_records(2))
    for record in serra_records(2):
        fixture.picker.rate_limits.update(record.process_id, RateLimit(2.0, announced_at=0.0))
    refused = fixture.pick()
    assert isinstance(refused, PlacementRejection)
    assert refused.retry_after_s == 0.5
    assert isinstance(fixture.pick(now=0.5), Placement)


def test_requests_move_away_from_a_region_whose_servers_are_limited():
    """Guards against requests that stay, and are refused, where limits leave no room for them."""
    records = [*serra_records(4), *(make_record(f"v{number}", "vale-a") for number in range(4))]
    fixture = PickerFixture(*records)
    rates = {token_of("stock"): 40.0}
    assert fixture.picker.region_shares("stock") == {"serra": 1.0}
    for record in records[:4]:
        fixture.picker.rate_limits.update(record.process_id, RateLimit(2.0, announced_at=0.0))
    for now in range(1, 40):
        fixture.picker.update_region_shares(float(now), rates)
    shares = fixture.picker.region_shares("stock")
    assert 0.1 < shares["serra"] < 0.3 and 0.7 < shares["vale"] < 0.9


def test_leaving_evacuated_and_excluded_servers_are_not_chosen():
    """Guards against requests to servers that are stopping or have already failed the request."""
    fixture = PickerFixture(
        make_record("leaving", is_leaving=True),
        make_record("out", "serra-b"),
        make_record("good"),
        evacuated=["serra-b"],
    )
    for key in map(str, range(20)):
        assert fixture.pick(key=key).server.record.server_id == "good"
    assert isinstance(fixture.pick(excluded=frozenset({"good"})), PlacementRejection)


def test_home_regions_are_kept_when_they_are_full():
    """Guards against overflow to a region in which the route must not run."""
    home_route = Route(
        "r", "h", "/", RequestKind.SAFE, (WeightedService("stock", 1),), 0.8, 0.25, 2, 0, True,
        frozenset({"serra"}),
    )  # fmt: skip
    fixture = PickerFixture(make_record("near"), make_record("far", "vale-a"))
    fixture.start("near", 8)
    assert isinstance(fixture.pick(route=home_route), PlacementRejection)


def test_server_is_avoided_during_backoff_and_tried_again_afterwards():
    """Guards against requests to a server that was just lost, and against never using it again."""
    fixture = PickerFixture(*serra_records(2))
    first = fixture.pick().server.record.server_id
    fixture.loads.of(first).on_connection_loss(1.0)
    assert fixture.pick(now=1.1).server.record.server_id != first
    assert fixture.pick(now=1.4).server.record.server_id == first


def test_unresponsive_server_is_avoided():
    """Guards against requests to a server that accepts connections but does not respond."""
    fixture = PickerFixture(*serra_records(2))
    first = fixture.pick().server.record.server_id
    fixture.start(first, 1, now=1.0)
    assert fixture.pick(now=1.2).server.record.server_id == first
    assert fixture.pick(now=2.1).server.record.server_id != first


def test_server_with_timeouts_is_deprioritized_and_tried_again():
    """Guards against requests to a server that times out, and against never using it again."""
    fixture = PickerFixture(*serra_records(4))
    first = fixture.pick().server.record.server_id
    for number in range(4):
        fixture.start(f"s{number}", 3, now=1.9)
    for step in range(6):
        fixture.loads.of(first).on_timeout(1.0 + step / 10, 8.0)
    chosen = set()
    for _ in range(2):
        choice = fixture.pick(now=2.0)
        assert choice.is_cache_hit_expected
        chosen.add(choice.server.record.server_id)
        fixture.start(choice.server.record.server_id, 1, now=2.0)
    assert first not in chosen
    assert fixture.loads.of(first).measured_slowness(20.0) < 1.2


def test_no_server_is_deprioritized_when_most_are_slow():
    """Guards against placements without cache hits when the whole region is slow."""
    fixture = PickerFixture(*serra_records(4))
    for number in range(4):
        for _ in range(6):
            fixture.loads.of(f"s{number}").on_timeout(1.0, 8.0)
    first = fixture.pick(now=1.0, objective_left_s=2.0, time_left_s=2.0)
    assert isinstance(first, Placement) and first.is_cache_hit_expected


def test_slow_server_is_avoided():
    """Guards against placements that ignore the measured slowness."""
    fixture = PickerFixture(*serra_records(2))
    first = fixture.pick().server.record.server_id
    for _ in range(30):
        fixture.loads.of(first).on_response(0.0, 6.0, False, None)
    assert fixture.pick().server.record.server_id != first


def test_cold_server_is_rate_limited_and_used_only_from_its_region():
    """Guards against more requests to a cold server than it can process."""
    fixture = PickerFixture(make_record("cold", cold_left_s=3.0), make_record("full"))
    fixture.start("full", 8)
    admitted_count = 0
    for step in range(200):
        now = step * 0.005
        choice = fixture.pick(now=now, key=str(step))
        if isinstance(choice, Placement):
            assert choice.server.record.server_id == "cold"
            assert fixture.picker.try_admit(now, choice.server)
            admitted_count += 1
    assert 1 <= admitted_count <= 8
    far = PickerFixture(make_record("cold", "vale-a", cold_left_s=3.0))
    assert isinstance(far.pick(), PlacementRejection)


def test_another_region_is_used_when_the_own_one_has_no_servers():
    """Guards against rejections while another region has usable servers."""
    fixture = PickerFixture(make_record("far", "vale-a"))
    assert fixture.pick().server.record.server_id == "far"


def test_overflow_to_another_region_stays_rare():
    """Guards against overflow that moves more requests between regions than the limit allows."""
    fixture = PickerFixture(make_record("near"), make_record("far", "vale-a"))
    fixture.start("near", 8)
    for _ in range(5):
        fixture.picker.update_region_shares(0.0, {token_of("stock"): 1.0})
    rng = random.Random(1)
    keys = [str(rng.random()) for _ in range(100)]
    local_keys = [key for key in keys if _region(fixture, key) == "serra"]
    served = sum(isinstance(fixture.pick(key=key), Placement) for key in local_keys)
    assert served <= 3 + 0.05 * len(local_keys)


def _region(fixture, key):
    from hibiscushaven.placement.affinity import position_of

    share = fixture.picker.region_shares("stock").get("serra", 0.0)
    return "serra" if position_of(key) < share else "vale"


def test_caller_retry_is_queued_where_first_requests_are_rejected():
    """Guards against repeated rejection of a caller, and against queueing past its deadline."""
    fixture = PickerFixture(*serra_records(2))
    for name in ("s0", "s1"):
        fixture.start(name, 8)
    assert isinstance(fixture.pick(objective_left_s=0.2), PlacementRejection)
    assert isinstance(fixture.pick(time_left_s=1.6, is_caller_retry=True), Placement)
    assert isinstance(fixture.pick(time_left_s=0.2, is_caller_retry=True), PlacementRejection)


def test_slowness_reported_by_other_vms_expires():
    """Guards against outdated reports, and against reports of other VMs that are ignored."""
    fixture = PickerFixture(*serra_records(4))
    first = fixture.pick().server.record.server_id
    report = {token_of(first): (250, 0.02)}
    state = VmState("vm-2", 1, 1, "serra", "serra-a", "a:1", "b:1", slowness=report)
    fixture.view.on_state(0.0, state)
    assert fixture.pick(now=0.1).server.record.server_id != first
    assert fixture.pick(now=1.0).server.record.server_id == first


def test_objects_stay_on_their_servers_under_load():
    """Guards against cache misses that spread through the region under load."""
    fixture = PickerFixture(*serra_records(10))
    chosen = {fixture.pick(key="17").server.record.server_id}
    for number in range(10):
        fixture.start(f"s{number}", 3)
    home = set()
    for _ in range(4):
        choice = fixture.pick(key="17")
        home.add(choice.server.record.server_id)
        fixture.start(choice.server.record.server_id)
    assert chosen <= home and len(home) <= 2


def test_server_marked_cold_is_cold_in_the_next_placement():
    """Guards against cached groups that hide a change of a server's state."""
    fixture = PickerFixture(make_record("s0"))
    fixture.pick()
    fixture.registry.mark_server_cold("s0", 9.0)
    (server,) = fixture.picker.usable_servers("stock")["serra"]
    assert fixture.picker.is_cold(1.0, server)
