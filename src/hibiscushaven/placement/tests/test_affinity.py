"""Replication of objects on simulated servers with LRU caches."""

import random
from collections import OrderedDict

import pytest

from hibiscushaven.placement.affinity import (
    MAX_REPLICATION_FACTOR,
    TARGET_HIT_RATE,
    RendezvousOrder,
    ReplicationFactor,
    position_of,
)
from hibiscushaven.placement.loads import ProcessingTimes


class LruServer:
    """Backend server with an LRU cache of objects."""

    def __init__(self, cache_size):
        self._capacity = cache_size
        self._cache = OrderedDict()

    def serve(self, key):
        """Serve an object, and return whether it was cached."""
        is_hit = key in self._cache
        self._cache[key] = True
        self._cache.move_to_end(key)
        if len(self._cache) > self._capacity:
            self._cache.popitem(last=False)
        return is_hit


def simulate(servers, cache_size, objects, factor, is_constant, requests=6000, per_s=100.0, seed=3):
    """Return the hit rate in the second half of the requests, and the final replication factor."""
    rng = random.Random(seed)
    names = tuple(f"s{number}" for number in range(servers))
    all_servers = {name: LruServer(cache_size) for name in names}
    order, hits, last_hits = RendezvousOrder(), [], 0
    for number in range(requests):
        key = str(rng.randrange(objects))
        # The first server of an object is busy for a quarter of its requests.
        rank = int(rng.random() < 0.25) % factor.replicas_at(position_of(key))
        is_hit = all_servers[order.servers_for(key, names)[rank]].serve(key)
        hits.append(is_hit)
        last_hits += is_hit and number >= requests / 2
        if number % 20 == 0 and not is_constant:
            recent = hits[-150:]
            factor.update(number / per_s, per_s, per_s * sum(recent) / len(recent))
    return last_hits / (requests / 2), factor.value


def constant_factor(value):
    factor = ReplicationFactor()
    factor.value = float(value)
    return factor


@pytest.mark.parametrize("servers, cache_size, objects", [(30, 8, 220), (12, 8, 80), (58, 6, 300)])
def test_objects_stay_on_one_server_when_caches_cannot_hold_them_twice(
    servers, cache_size, objects
):
    """Guards against a second server for objects that then evict each other from the caches."""
    hit_rate, factor = simulate(
        servers, cache_size, objects, ReplicationFactor(), is_constant=False
    )
    hit_rate_with_two, _ = simulate(
        servers, cache_size, objects, constant_factor(2), is_constant=True
    )
    assert hit_rate > hit_rate_with_two
    assert hit_rate > TARGET_HIT_RATE - 0.05
    assert factor < 1.7


@pytest.mark.parametrize("servers, cache_size, objects", [(8, 28, 81), (5, 17, 29)])
def test_objects_get_a_second_server_when_caches_can_hold_them_twice(servers, cache_size, objects):
    """Guards against requests that queue for one server while others have room in their caches."""
    hit_rate, factor = simulate(
        servers, cache_size, objects, ReplicationFactor(), is_constant=False
    )
    assert factor == MAX_REPLICATION_FACTOR
    assert hit_rate > 0.9


def test_factor_is_unchanged_at_low_lookup_rates():
    """Guards against a replication factor that follows the noise of a few responses."""
    factor = ReplicationFactor()
    factor.update(0.0, 1.0, 0.0)
    factor.update(10.0, 1.0, 0.0)
    assert factor.value == 1.0


def test_factor_follows_the_hit_rate_up_and_down():
    """Guards against a replication factor that does not recover when caches overflow."""
    factor = ReplicationFactor()
    for now in range(20):
        factor.update(float(now), 50.0, 50.0)
    assert factor.value == MAX_REPLICATION_FACTOR
    for now in range(20, 40):
        factor.update(float(now), 50.0, 25.0)
    assert factor.value == 1.0


def test_processing_times_adapt_to_first_samples_and_detect_cache_hits():
    """Guards against prior processing times that outweigh the first measurements."""
    times = ProcessingTimes(objective_s=0.9)
    assert times.is_cache_hit(0.27) and not times.is_cache_hit(1.05)
    for _ in range(10):
        times.record(True, 0.27)
        times.record(False, 1.05)
    assert 0.25 < times.hit_s < 0.32 and 1.0 < times.miss_s < 1.1
    assert 0.55 < times.mean_s < 0.75
    assert times.is_cache_hit(0.35) and not times.is_cache_hit(0.9)
