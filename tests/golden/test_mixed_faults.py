"""Guards the invariants end to end against two faults at a time, over 200 seeds."""

import pytest

from .mixed import run_mixed

_SEEDS = 200
_BLOCK = 20


@pytest.mark.parametrize("first", range(0, _SEEDS, _BLOCK))
def test_two_faults_at_a_time(first):
    """Guards slots, runs per key, outcomes, revisions and whole answers in every session."""
    failures = []
    for seed in range(first, first + _BLOCK):
        try:
            run_mixed(seed)
        except AssertionError as error:
            failures.append(str(error))
    assert not failures, f"{len(failures)} seeds failed\n" + "\n\n".join(failures)
