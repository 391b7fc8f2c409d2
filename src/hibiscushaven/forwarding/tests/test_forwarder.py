"""When a request is sent again, refused or failed, and what the caller is told."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.delivery import FailureKind
from hibiscushaven.forwarding import BudgetOptions
from hibiscushaven.routing import RequestKind

from .support import Head, make_forwarder, make_request, make_route

NOT_RUN = (FailureKind.REFUSED, FailureKind.MISDIRECTED)
PROMISES = {408, 421, 429, 503}


def serve(steps, kind=RequestKind.SAFE, **fields):
    """Return the answer to one request, and the attempts that were made."""
    route = make_route(kind, fields.pop("attempts", 2))
    forwarder, clock, client, loads = make_forwarder(steps, route, **fields)
    answer = asyncio.run(forwarder.handle(make_request(clock)))
    assert not loads.busy()
    return answer, client.requests


@pytest.mark.parametrize("stop", NOT_RUN)
@pytest.mark.parametrize("kind", RequestKind)
def test_request_that_was_not_run_goes_to_another_server(stop, kind):
    answer, requests = serve([stop, Head()], kind)
    assert answer.status == 200
    assert len({request.server for request in requests}) == 2


@pytest.mark.parametrize(
    "stop", [FailureKind.CONNECTION_LOST, FailureKind.TRUNCATED, FailureKind.MALFORMED]
)
def test_only_idempotent_requests_that_may_have_run_are_sent_again(stop):
    answer, requests = serve([stop, Head()], RequestKind.DOWNLOAD)
    assert answer.status == 200 and len(requests) == 2
    answer, requests = serve([stop, Head()], RequestKind.UNSAFE)
    assert answer.status == 502 and len(requests) == 1


def test_server_that_cannot_be_reached_costs_no_attempt():
    answer, requests = serve([FailureKind.NOT_CONNECTED, Head()], RequestKind.UNSAFE, attempts=1)
    assert answer.status == 200 and len(requests) == 2


def test_attempts_of_the_route_bound_the_sends():
    answer, requests = serve([FailureKind.REFUSED] * 5, attempts=2)
    assert answer.status == 503 and len(requests) == 2
    assert dict(answer.headers)["Request-Outcome"] == "not-run"
    assert float(dict(answer.headers)["Retry-After"]) > 0


def test_budget_bounds_the_sends():
    answer, requests = serve(
        [FailureKind.REFUSED] * 5, attempts=4, budget=BudgetOptions(10.0, 0.0, 1.0)
    )
    assert answer.status == 503 and len(requests) == 1


def test_failure_of_the_server_is_passed_on_when_nothing_better_comes():
    answer, _ = serve([Head(500, b"no"), Head(500, b"no")])
    assert (answer.status, answer.body) == (500, b"no")
    answer, requests = serve([Head(500, b"no"), Head()])
    assert answer.status == 200 and len(requests) == 2
    answer, requests = serve([Head(500, b"no")], RequestKind.UNSAFE)
    assert answer.status == 500 and len(requests) == 1


def test_time_limit_shrinks_with_each_send():
    _, requests = serve([FailureKind.REFUSED, Head()], step_s=0.2)
    first, second = requests
    assert second.head_timeout_s == pytest.approx(first.head_timeout_s - 0.2)
    assert first.head_timeout_s == pytest.approx(0.8)


def test_nothing_is_sent_with_no_time_left():
    answer, requests = serve([FailureKind.REFUSED, Head()], step_s=0.79)
    assert answer.status == 503 and len(requests) == 1


def test_repeat_may_wait_where_a_first_send_would_be_refused():
    forwarder, clock, client, loads = make_forwarder(
        [FailureKind.CONNECTION_LOST, Head()], servers=3
    )
    for number in range(3):
        for attempt in range(5):
            loads.of(f"s{number}").started[-attempt - 1] = clock.now()
    client.step_s = 0.1
    answer = asyncio.run(forwarder.handle(make_request(clock)))
    assert answer.status == 200 and len(client.requests) == 2


def test_attempt_that_ends_at_its_limit_counts_against_its_server():
    forwarder, clock, _, loads = make_forwarder([FailureKind.DEADLINE], servers=1, step_s=0.8)
    assert asyncio.run(forwarder.handle(make_request(clock))).status == 504
    assert loads.of("s0").measured_slowness(clock.now()) > 1.5


def test_unknown_route_and_missing_configuration():
    forwarder, clock, _, _ = make_forwarder([])
    assert asyncio.run(forwarder.handle(make_request(clock, "/y/1"))).status == 404
    forwarder._table = None
    answer = asyncio.run(forwarder.handle(make_request(clock, "/y/1")))
    assert answer.status == 503 and "Retry-After" in dict(answer.headers)


def test_request_that_crashed_two_servers_is_refused():
    steps = [
        FailureKind.CONNECTION_LOST,
        FailureKind.NOT_CONNECTED,
        FailureKind.CONNECTION_LOST,
        FailureKind.NOT_CONNECTED,
    ]
    forwarder, clock, client, _ = make_forwarder(steps, servers=1)

    async def crash():
        for _ in range(2):
            await forwarder.handle(make_request(clock))
            clock.time += 0.3

    asyncio.run(crash())
    sent = len(client.requests)
    forwarder._crashes.record(clock.now(), "s9", {_fingerprint(forwarder, clock): clock.now()})
    assert asyncio.run(forwarder.handle(make_request(clock))).status == 503
    assert len(client.requests) == sent


def _fingerprint(forwarder, clock):
    return forwarder._begin(make_request(clock)).fingerprint


stops = st.sampled_from([stop for stop in FailureKind if stop is not FailureKind.INVALID])
steps = st.lists(
    stops | st.sampled_from([200, 404, 408, 429, 500, 503, 504]), min_size=8, max_size=8
)


@given(steps, st.sampled_from(RequestKind), st.integers(1, 4))
def test_promises_are_true_and_unsafe_requests_run_once(script, kind, attempts):
    heads = [item if isinstance(item, FailureKind) else Head(item) for item in script]
    answer, requests = serve(heads, kind, attempts=attempts)
    used = script[: len(requests)]
    may_have_run = [
        not isinstance(item, FailureKind) or not (item.is_before_sending or item in NOT_RUN)
        for item in used
    ]
    sent = [item for item in used if not (isinstance(item, FailureKind) and item.is_before_sending)]
    assert len(sent) <= attempts
    if kind is RequestKind.UNSAFE:
        assert sum(may_have_run) <= 1
    if answer.status in PROMISES:
        assert not any(may_have_run)
