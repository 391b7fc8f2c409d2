"""Servers that tell a VM to send them nothing."""

import pytest

from hibiscushaven.placement import ServerNotice, ServerNotices
from hibiscushaven.placement.notices import MAX_PAUSE_S

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


def test_server_is_reluctant_from_its_pause_until_it_serves_a_request():
    """Guards against a pause that a response to an earlier request ends."""
    table = ServerNotices()
    table.record(0.0, "s/1", pause(2.0))
    table.record_served(1.0, "s/1")
    assert table.is_excluded(1.9, "s/1") and table.is_reluctant("s/1")
    assert not table.is_excluded(2.0, "s/1") and table.is_reluctant("s/1")
    table.record_served(2.1, "s/1")
    assert not table.is_reluctant("s/1") and not table.is_reluctant("s/2")


def test_pauses_that_several_requests_hear_at_once_do_not_grow():
    """Guards against requests in progress whose rejections add up."""
    table = ServerNotices()
    for number in range(8):
        table.record(0.01 * number, "s/1", pause(0.2))
    assert table.pause_left_s(0.07, "s/1") == pytest.approx(0.2)


def test_long_pause_holds_as_it_is():
    table = ServerNotices()
    for now in (0.0, 20.0):
        table.record(now, "s/1", pause(20.0))
    assert table.pause_left_s(20.0, "s/1") == pytest.approx(20.0)
