"""Which servers know which objects, with servers that forget."""

import random
from collections import OrderedDict

import pytest

from hibiscushaven.placement.affinity import (
    HIT_TARGET,
    MOST_COPIES,
    CopyLevel,
    ObjectOrder,
    position_of,
)
from hibiscushaven.placement.loads import WorkTimes


class ForgettingServer:
    """Knows the objects that it served last."""

    def __init__(self, keeps):
        self._keeps = keeps
        self._known = OrderedDict()

    def serve(self, key):
        """Serve an object; return whether it was known."""
        is_known = key in self._known
        self._known[key] = True
        self._known.move_to_end(key)
        if len(self._known) > self._keeps:
            self._known.popitem(last=False)
        return is_known


def play(servers, keeps, objects, level, is_fixed, requests=6000, per_s=100.0, seed=3):
    """Play requests; return the part of known objects among the last half, and the level."""
    rng = random.Random(seed)
    names = tuple(f"s{number}" for number in range(servers))
    all_servers = {name: ForgettingServer(keeps) for name in names}
    order, hits, last_hits = ObjectOrder(), [], 0
    for number in range(requests):
        key = str(rng.randrange(objects))
        # The first server of an object is busy one time in four.
        place = int(rng.random() < 0.25) % level.copies_at(position_of(key))
        is_hit = all_servers[order.of(key, names)[place]].serve(key)
        hits.append(is_hit)
        last_hits += is_hit and number >= requests / 2
        if number % 20 == 0 and not is_fixed:
            recent = hits[-150:]
            level.move(number / per_s, per_s, per_s * sum(recent) / len(recent))
    return last_hits / (requests / 2), level.level


def fixed(copies):
    level = CopyLevel()
    level.level = float(copies)
    return level


@pytest.mark.parametrize("servers, keeps, objects", [(30, 8, 220), (12, 8, 80), (58, 6, 300)])
def test_objects_that_do_not_fit_twice_stay_at_one_server(servers, keeps, objects):
    part, level = play(servers, keeps, objects, CopyLevel(), is_fixed=False)
    twice, _ = play(servers, keeps, objects, fixed(2), is_fixed=True)
    assert part > twice
    assert part > HIT_TARGET - 0.05
    assert level < 1.7


@pytest.mark.parametrize("servers, keeps, objects", [(8, 28, 81), (5, 17, 29)])
def test_objects_that_fit_twice_get_a_second_server(servers, keeps, objects):
    part, level = play(servers, keeps, objects, CopyLevel(), is_fixed=False)
    assert level == MOST_COPIES
    assert part > 0.9


def test_level_stays_without_enough_answers():
    level = CopyLevel()
    level.move(0.0, 1.0, 0.0)
    level.move(10.0, 1.0, 0.0)
    assert level.level == 1.0


def test_level_falls_as_it_grew():
    level = CopyLevel()
    for now in range(20):
        level.move(float(now), 50.0, 50.0)
    assert level.level == MOST_COPIES
    for now in range(20, 40):
        level.move(float(now), 50.0, 25.0)
    assert level.level == 1.0


def test_work_times_follow_the_first_answers_and_tell_known_objects():
    times = WorkTimes(objective_s=0.9)
    assert times.is_hit(0.27) and not times.is_hit(1.05)
    for _ in range(10):
        times.record(True, 0.27)
        times.record(False, 1.05)
    assert 0.25 < times.known_s < 0.32 and 1.0 < times.unknown_s < 1.1
    assert 0.55 < times.mean_s < 0.75
    assert times.is_hit(0.35) and not times.is_hit(0.9)
