"""Log fields that tell why a request counts as not run."""

import asyncio

import pytest

from hibiscushaven.delivery import AttemptError, FailureKind
from hibiscushaven.forwarding import RetryBudgetOptions

from .support import FixedLinks, Head, make_forwarder, make_request

NO_RETRIES = RetryBudgetOptions(10.0, 0.0, 0.0)
NAMED = AttemptError(FailureKind.REFUSED, "busy", status=503, names_request=True)
OTHER_SERVER = AttemptError(FailureKind.MISDIRECTED, "moved", status=421)
PEER_REFUSAL = AttemptError(FailureKind.REFUSED, "no links", status=503, names_request=True)


@pytest.mark.parametrize(
    ("steps", "relayed", "is_isolated", "source", "refusals"),
    [
        ([NAMED], (), False, "server", [("server", 503, True)]),
        ([OTHER_SERVER], (), False, "server", [("server", 421, False)]),
        ([FailureKind.NOT_CONNECTED] * 3, (), False, "vm", []),
        ((), [PEER_REFUSAL, Head(503)], True, "peer", [("peer", 503, True)] * 2),
        ([FailureKind.CONNECTION_LOST], (), False, None, []),
        ([Head()], (), False, None, []),
    ],
)
def test_log_tells_who_said_that_a_request_has_not_run(
    caplog, steps, relayed, is_isolated, source, refusals
):
    """Guards against refusals whose sender can only be guessed from the log."""
    caplog.set_level("INFO")
    links = FixedLinks(is_isolated=is_isolated)
    forwarder, clock, _, _ = make_forwarder(steps, budget=NO_RETRIES, links=links, relayed=relayed)
    asyncio.run(forwarder.handle(make_request(clock)))
    line = next(item for item in caplog.records if item.msg == "request ended")
    assert getattr(line, "not_run_by", None) == source
    logged = [
        (item["by"], item["status"], item["names_request"])
        for item in getattr(line, "refusals", [])
    ]
    assert logged == refusals


def test_log_tells_that_a_vm_without_a_configuration_rejected_a_request(caplog):
    """Guards against rejections before routing that look like those of a backend server."""
    caplog.set_level("INFO")
    forwarder, clock, client, _ = make_forwarder([])
    forwarder._route_table = None
    assert asyncio.run(forwarder.handle(make_request(clock))).status == 503
    line = next(item for item in caplog.records if item.msg == "request ended")
    assert line.not_run_by == "vm" and not client.requests


def test_log_of_a_failed_attempt_tells_whether_its_response_named_the_request(caplog):
    """Guards against responses that are taken for proof without a trace of why."""
    caplog.set_level("INFO")
    forwarder, clock, _, _ = make_forwarder([NAMED, OTHER_SERVER])
    asyncio.run(forwarder.handle(make_request(clock)))
    lines = [item for item in caplog.records if item.msg == "attempt failed"]
    assert [(item.status, item.names_request, item.outcome) for item in lines] == [
        (503, True, "not-run"),
        (421, False, "not-run"),
    ]
