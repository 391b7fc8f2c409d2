"""Reports of the backend servers that get no requests."""

import logging

from hibiscushaven.gateway import ServerListing
from hibiscushaven.metrics import Metrics
from hibiscushaven.placement import ServerNotice
from hibiscushaven.process.tests.support import VirtualClock

from .support import make_node, make_record
from .test_node import run_in_loop


def test_servers_without_requests_are_counted_by_reason(caplog):
    """Guards against servers that get no requests for a reason that operators cannot see."""

    def scenario():
        clock, metrics = VirtualClock(), Metrics()
        node = make_node(clock=clock, metrics=metrics)
        records = [make_record(f"s{number}", started_unix_ms=7) for number in range(4)]
        records[0] = make_record("s0", started_unix_ms=7, is_leaving=True)
        node._on_listing(ServerListing(5, tuple(records)), 0.5)
        notices = node.picker.notices
        notices.record(clock.now(), records[1].process_id, ServerNotice(is_leaving=True))
        notices.record(clock.now(), records[2].process_id, ServerNotice(pause_s=2.0))

        def counts():
            node._step(clock.now())
            return [
                metrics.gauge("servers_left_out", request_class=reason).value
                for reason in ("record", "leaving", "pause")
            ]

        assert counts() == [1, 1, 1]
        clock.time += 2.0
        assert counts() == [1, 1, 0]

    with caplog.at_level(logging.INFO):
        run_in_loop(scenario)
    lines = [item for item in caplog.records if item.msg == "backend server gets requests again"]
    assert [(line.server, line.reason, line.elapsed_s) for line in lines] == [
        ("s2/7", "pause", 2.0)
    ]
