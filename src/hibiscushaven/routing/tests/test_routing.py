"""Lookup of routes, traffic splitting by weight, and conversion of configurations to lists."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.routing import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    RouteTable,
    ServiceOptions,
    SplitChooser,
    WeightedService,
)
from hibiscushaven.routing.codec import configuration_from_list, configuration_to_list


def make_route(name="r", host="a.example", prefix="/", split=(("stock", 1.0),), homes=()):
    weighted_services = tuple(WeightedService(*pair) for pair in split)
    return Route(
        name,
        host,
        prefix,
        RequestKind.SAFE,
        weighted_services,
        1.0,
        0.2,
        home_regions=frozenset(homes),
    )


segments = st.lists(st.sampled_from(["a", "b", "c"]), max_size=4)


@given(st.sets(segments.map(tuple), max_size=8), segments, st.booleans())
def test_longest_matching_prefix_is_used(prefixes, path, has_slash):
    """Guards against a lookup that differs from a search through all routes of the host."""
    routes = [
        make_route("/".join(prefix), prefix="/" + "".join(f"{segment}/" for segment in prefix))
        for prefix in prefixes
    ]
    table = RouteTable(Configuration(1, tuple(routes)))
    text = "/" + "/".join(path) + ("/" if has_slash and path else "")
    route_found = table.find("a.example", text)
    matching = [route for route in routes if text.startswith(route.prefix)]
    assert route_found == max(matching, key=lambda route: len(route.prefix), default=None)


def test_routes_match_only_their_host():
    """Guards against routes that match other hosts, or miss their own over case or port."""
    table = RouteTable(Configuration(1, (make_route(),)))
    assert table.find("b.example", "/") is None
    assert table.find("A.EXAMPLE:8080", "/x") is not None


def test_home_regions_of_a_host_combine_those_of_its_routes():
    """Guards against restricting a host although one of its routes allows all regions."""
    restricted = make_route("x", prefix="/x/", homes=("serra",))
    other = make_route("y", prefix="/y/", homes=("vale",))
    assert RouteTable(Configuration(1, (restricted, other))).home_regions("a.example") == {
        "serra",
        "vale",
    }
    unrestricted = make_route("z", prefix="/z/")
    assert (
        RouteTable(Configuration(1, (restricted, unrestricted))).home_regions("a.example")
        == frozenset()
    )


@given(st.lists(st.integers(1, 100), min_size=2, max_size=4), st.integers(1, 300))
def test_split_keeps_proportions_in_every_sequence(weights, count):
    """Guards against short sequences of requests that depart from the weights."""
    split = tuple((f"s{index}", float(weight)) for index, weight in enumerate(weights))
    route = make_route(split=split)
    chooser = SplitChooser()
    chosen = Counter(chooser.choose(route) for _ in range(count))
    for name, weight in split:
        assert abs(chosen[name] - count * weight / sum(weights)) <= len(split)


def test_changed_weights_reset_the_split():
    """Guards against current weights that are carried over to a route's new weights."""
    chooser = SplitChooser()
    for _ in range(7):
        chooser.choose(make_route(split=(("a", 9.0), ("b", 1.0))))
    changed = make_route(split=(("a", 1.0), ("b", 9.0)))
    chosen = Counter(chooser.choose(changed) for _ in range(10))
    assert chosen == {"a": 1, "b": 9}


def test_configuration_survives_conversion_to_a_list():
    """Guards against fields that are lost or reordered in messages between VMs."""
    configuration = Configuration(
        7,
        (make_route(split=(("a", 90.0), ("b", 10.0)), homes=("serra",)),),
        {"a": ServiceOptions("a", "/health", 815, 3.0, 9.5)},
        CallerLimits(1000, 2000, 3.0, 4.0),
    )
    assert configuration_from_list(configuration_to_list(configuration)) == configuration
