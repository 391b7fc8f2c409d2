"""End-to-end invariants under two faults at a time, over 200 seeds."""

import pytest

from .mixed import run_two_faults

_SEEDS = 200
_SEEDS_PER_TEST = 20


@pytest.mark.parametrize("first", range(0, _SEEDS, _SEEDS_PER_TEST))
def test_two_faults_at_a_time(first):
    """Guards against two faults at a time that break an invariant.

    The invariants cover slots, runs per key, outcomes, revisions and complete responses.
    """
    failures = []
    for seed in range(first, first + _SEEDS_PER_TEST):
        try:
            run_two_faults(seed)
        except AssertionError as error:
            failures.append(str(error))
    assert not failures, f"{len(failures)} seeds failed\n" + "\n\n".join(failures)
