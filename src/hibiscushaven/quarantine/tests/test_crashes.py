"""Attribution of crashes of backend servers to requests."""

from dataclasses import replace
from itertools import permutations

import pytest

from hibiscushaven.discovery import ServerRecord
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.metrics import Metrics
from hibiscushaven.quarantine import CrashDetector, CrashLedger


def test_crash_confirmed_after_the_retry_counts_with_the_crash_of_the_retry():
    """Guards against crashes that are dated by their confirmation and so never add up."""
    ledger = CrashLedger()
    detector = CrashDetector(ledger, Metrics())
    detector.on_connection_loss(1.0, "a", "x", sent_at=0.9)
    detector.on_connection_loss(1.2, "b", "x", sent_at=1.0)
    detector.on_unreachable(1.3, "a")
    detector.on_unreachable(1.4, "b")
    assert ledger.is_quarantined(1.5, "x")


@pytest.mark.parametrize("order", list(permutations(range(3))))
def test_crashes_count_in_any_order_of_arrival(order):
    """Guards against a quarantine that depends on which of two crashes becomes known first."""
    ledger = CrashLedger()
    crashes = [(1.0, "a", 0.9), (1.05, "b", 0.95), (2.0, "c", 1.5)]
    for index in order:
        crashed_at, server, sent_at = crashes[index]
        ledger.record(crashed_at, server, {"x": sent_at})
    assert ledger.is_quarantined(2.1, "x")


def test_server_that_started_again_under_its_id_counts_as_another_one():
    """Guards against a request that crashes the same server again and again."""
    first = ServerRecord("s1", "stock", Endpoint("10.0.0.9", 80), "serra-a", 4, started_unix_ms=1)
    second = replace(first, started_unix_ms=2)
    ledger = CrashLedger()
    ledger.record(1.0, first.process_id, {"x": 0.9})
    ledger.record(9.0, second.process_id, {"x": 8.9})
    assert ledger.is_quarantined(9.1, "x")
