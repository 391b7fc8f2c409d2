"""Tests of a simulated failure domain with one or two faults at a time, by seed."""

import itertools

import pytest

from .faults import END_S, FAULTS, inject
from .simulation import World

SEEDS = 200
# One value exceeds the wait for short work. With shorter requests only, lending a long token again
# too early would not be detected.
LONGEST_S = (1.5, 5.0, 1.5)
CHUNKS = 10

# Detection that a VM is down, loan term, margin and a renewal after the last fault ended; the
# longest deadline is added.
TOKEN_RETURN_S = 2.0 + 2.0 + 0.5 + 0.4
# Joining, two loan terms, margin and queries after a VM was replaced; the longest deadline is
# added.
SETTLE_S = 1.0 + 4.0 + 0.5 + 0.8
# Detection that a VM is down, removal delay of an unlisted VM, and a step of a roster manager.
REMOVAL_S = 2.0 + 10.0 + 2.0
TOLERANCE_S = 1.5

REJOIN_FAULTS = {"replacement", "paused_replacement", "table_down", "lost_answers", "list_lag"}
# Renewals of a crashed borrower arrive late, or a paused lender does not expire its loans.
LATE_RENEWAL_FAULTS = {"delay", "duplicates", "pause", "paused_replacement"}
CASES = [
    *((name,) for name in FAULTS),
    *itertools.combinations(FAULTS, 2),
]


def faults_of(seed: int) -> tuple[str, ...]:
    """Return the one or two faults of a seed; consecutive seeds cover all combinations."""
    return CASES[seed % len(CASES)]


def run_seed(seed: int) -> World:
    """Run faults and recovery; the limits are asserted at each start of a request."""
    names = faults_of(seed)
    longest_s = LONGEST_S[seed % len(LONGEST_S)]
    world = World(seed, is_encoded=seed % 10 == 0, capacity=8 - 2 * (seed % 2), longest_s=longest_s)
    world.run(2.0)
    inject(world, names)
    if not LATE_RENEWAL_FAULTS & {*names}:
        for step in range(8):
            world.at(END_S + step, world.check_accounts)
    return_s, settle_s = TOKEN_RETURN_S + longest_s, SETTLE_S + longest_s
    quiet_s = max(return_s, settle_s) if REJOIN_FAULTS & {*names} else return_s
    if "paused_replacement" in names:
        quiet_s = return_s + settle_s  # the paused incarnation comes back after END_S
    if "crash" in names:
        quiet_s = max(quiet_s, REMOVAL_S + settle_s - (END_S - 4.0))
    if {"crash", "paused_replacement"} <= {*names}:
        quiet_s += 10.0  # heartbeats of the paused incarnation delay its removal
    end = END_S + quiet_s + TOLERANCE_S
    world.run(end - longest_s)
    world.load = 0.0
    world.run(end)
    return world


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_limits_hold_and_tokens_return(chunk: int) -> None:
    """Guards against exceeding slots or capacity, and tokens that are lost or kept too long."""
    for seed in range(chunk, SEEDS, CHUNKS):
        world = run_seed(seed)
        case = f"seed {seed}, {faults_of(seed)}"
        assert world.starts > 5, case
        assert len(world.owners()) == 1, case
        assert world.free_tokens() == (4, world.capacity), case
