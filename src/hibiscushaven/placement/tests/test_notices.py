"""Servers that tell a VM to send them nothing."""

import pytest

from hibiscushaven.placement import ServerNotice, ServerNotices
from hibiscushaven.placement.notices import MAX_GROWN_PAUSE_S, MAX_PAUSE_S, RELUCTANCE_S

LEAVING = ServerNotice(is_leaving=True)
PLAIN = ServerNotice()


def pause(seconds):
    return ServerNotice(pause_s=seconds)


@pytest.mark.parametrize(
    "notices, excluded_until",
    [
        ([(0.0, pause(2.0)), (0.5, pause(1.0))], 2.0),
        ([(0.0, pause(1.0)), (0.5, pause(2.0))], 2.5),
        ([(0.0, pause(1.0)), (0.5, PLAIN)], 1.0),
        ([(0.0, pause(86400.0))], MAX_PAUSE_S),
    ],
)
def test_later_end_of_two_pauses_holds(notices, excluded_until):
    """Guards against a pause that another response of the same process shortens."""
    table = ServerNotices()
    for now, notice in notices:
        table.record(now, "s/1", notice)
    assert table.is_excluded(excluded_until - 0.01, "s/1")
    assert not table.is_excluded(excluded_until, "s/1")


@pytest.mark.parametrize("later", [PLAIN, pause(0.1)])
def test_process_that_leaves_does_so_for_good(later):
    """Guards against requests to a leaving server of which an older record comes back."""
    table = ServerNotices()
    assert table.record(0.0, "s/1", LEAVING)
    assert not table.record(1.0, "s/1", later)
    table.retain_only(frozenset())
    assert table.is_excluded(9999.0, "s/1")
    assert not table.is_excluded(9999.0, "s/2")


def test_pause_of_no_length_excludes_nothing():
    table = ServerNotices()
    assert not table.record(0.0, "s/1", pause(0.0), spread=1.0)


def test_pause_is_prolonged_by_a_part_of_it():
    """Guards against all VMs that return to a server at the same moment."""
    table = ServerNotices()
    table.record(0.0, "s/1", pause(2.0), spread=1.0)
    assert table.is_excluded(2.1, "s/1") and not table.is_excluded(2.3, "s/1")


def test_pauses_grow_until_the_server_serves_a_request():
    """Guards against a request that is lost at the end of each short pause."""
    table, now = ServerNotices(), 0.0
    lengths = []
    for _ in range(6):
        table.record(now, "s/1", pause(0.2))
        lengths.append(table.pause_left_s(now, "s/1"))
        now += lengths[-1]
    assert lengths == pytest.approx([0.2, 0.4, 0.8, 1.6, MAX_GROWN_PAUSE_S, MAX_GROWN_PAUSE_S])
    assert table.is_reluctant(now, "s/1")
    assert not table.is_reluctant(now + RELUCTANCE_S, "s/1")
    table.record_served("s/1")
    assert not table.is_reluctant(now, "s/1")
    table.record(now, "s/1", pause(0.2))
    assert table.pause_left_s(now, "s/1") == pytest.approx(0.2)


def test_pauses_that_several_requests_hear_at_once_do_not_grow():
    """Guards against requests in progress that count as repeated refusals."""
    table = ServerNotices()
    for number in range(8):
        table.record(0.01 * number, "s/1", pause(0.2))
    assert table.pause_left_s(0.07, "s/1") == pytest.approx(0.2)


def test_long_pause_holds_as_it_is():
    table = ServerNotices()
    for now in (0.0, 20.0):
        table.record(now, "s/1", pause(20.0))
    assert table.pause_left_s(20.0, "s/1") == pytest.approx(20.0)


def test_server_that_pauses_for_hours_raises_no_error():
    """Guards against a number of pauses whose power of two is too large."""
    table, now = ServerNotices(), 0.0
    for _ in range(2000):
        table.record(now, "s/1", pause(0.5))
        now += table.pause_left_s(now, "s/1")
    assert now < 2000 * (MAX_GROWN_PAUSE_S + 0.01)
