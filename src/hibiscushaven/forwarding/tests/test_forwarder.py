"""Retries, rejections and failures of requests, and the responses to their callers."""

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.delivery import FailureKind
from hibiscushaven.forwarding import RetryBudgetOptions
from hibiscushaven.forwarding.forwarder import CONFIGURATION_RETRY_S, STOPPING_RETRY_S
from hibiscushaven.placement.admission import PlacementRequest, is_admissible
from hibiscushaven.routing import RequestKind

from .support import Head, make_forwarder, make_request, make_route

NOT_RUN = (FailureKind.REFUSED, FailureKind.MISDIRECTED)
NOT_RUN_STATUSES = {408, 421, 429, 503}


def serve(steps, kind=RequestKind.SAFE, **fields):
    """Forward one request, and return its response and the attempts that were made."""
    route = make_route(kind, fields.pop("attempts", 2))
    forwarder, clock, client, loads = make_forwarder(steps, route, **fields)
    response = asyncio.run(forwarder.handle(make_request(clock)))
    assert not loads.in_progress()
    return response, client.requests


@pytest.mark.parametrize("failure_kind", NOT_RUN)
@pytest.mark.parametrize("kind", RequestKind)
def test_request_that_was_not_run_is_retried_on_another_server(failure_kind, kind):
    """Guards against retries on the server that refused the request."""
    response, requests = serve([failure_kind, Head()], kind)
    assert response.status == 200
    assert len({request.server for request in requests}) == 2


@pytest.mark.parametrize(
    "failure_kind", [FailureKind.CONNECTION_LOST, FailureKind.TRUNCATED, FailureKind.MALFORMED]
)
def test_request_that_may_have_run_is_retried_only_if_idempotent(failure_kind):
    """Guards against unsafe requests that run twice."""
    response, requests = serve([failure_kind, Head()], RequestKind.DOWNLOAD)
    assert response.status == 200 and len(requests) == 2
    response, requests = serve([failure_kind, Head()], RequestKind.UNSAFE)
    assert response.status == 502 and len(requests) == 1


def test_failed_connection_does_not_count_as_an_attempt():
    """Guards against requests that fail although nothing of them was sent."""
    response, requests = serve([FailureKind.NOT_CONNECTED, Head()], RequestKind.UNSAFE, attempts=1)
    assert response.status == 200 and len(requests) == 2


def test_max_attempts_of_the_route_limits_the_attempts():
    """Guards against more attempts than the route allows."""
    response, requests = serve([FailureKind.REFUSED] * 5, attempts=2)
    assert response.status == 503 and len(requests) == 2
    assert dict(response.headers)["Request-Outcome"] == "not-run"
    assert float(dict(response.headers)["Retry-After"]) > 0


def test_retry_budget_limits_the_attempts():
    """Guards against retries beyond the budget of the service."""
    response, requests = serve(
        [FailureKind.REFUSED] * 5, attempts=4, budget=RetryBudgetOptions(10.0, 0.0, 1.0)
    )
    assert response.status == 503 and len(requests) == 1


def test_server_error_is_returned_when_no_retry_succeeds():
    """Guards against a server's error response that is replaced by a less specific one."""
    response, _ = serve([Head(500, b"no"), Head(500, b"no")])
    assert (response.status, response.body) == (500, b"no")
    response, requests = serve([Head(500, b"no"), Head()])
    assert response.status == 200 and len(requests) == 2
    response, requests = serve([Head(500, b"no")], RequestKind.UNSAFE)
    assert response.status == 500 and len(requests) == 1


def test_timeout_of_a_retry_is_the_time_left():
    """Guards against retries that outlast the caller's deadline."""
    _, requests = serve([FailureKind.REFUSED, Head()], step_s=0.2)
    first, second = requests
    assert second.head_timeout_s == pytest.approx(first.head_timeout_s - 0.2)
    assert first.head_timeout_s == pytest.approx(0.8)


def test_request_is_not_retried_without_time_left():
    """Guards against attempts that no server can answer before the deadline."""
    response, requests = serve([FailureKind.REFUSED, Head()], step_s=0.79)
    assert response.status == 503 and len(requests) == 1


def test_retry_is_queued_where_a_first_attempt_would_be_rejected():
    """Guards against retries that are rejected since the first attempt used up their objective."""
    forwarder, clock, client, loads = make_forwarder(
        [FailureKind.CONNECTION_LOST, Head()], servers=3
    )
    for number in range(3):
        for attempt in range(5):
            loads.of(f"s{number}").start_times[-attempt - 1] = clock.now()
    client.step_s = 0.1
    response = asyncio.run(forwarder.handle(make_request(clock)))
    assert response.status == 200 and len(client.requests) == 2


def test_timeout_increases_the_slowness_of_the_server():
    """Guards against timeouts that leave the estimated speed of the server unchanged."""
    forwarder, clock, _, loads = make_forwarder([FailureKind.DEADLINE], servers=1, step_s=0.8)
    assert asyncio.run(forwarder.handle(make_request(clock))).status == 504
    assert loads.of("s0").measured_slowness(clock.now()) > 1.5


def test_unknown_route_and_missing_configuration_are_rejected():
    """Guards against requests that are forwarded or never answered without a route."""
    forwarder, clock, _, _ = make_forwarder([])
    assert asyncio.run(forwarder.handle(make_request(clock, "/y/1"))).status == 404
    forwarder._route_table = None
    response = asyncio.run(forwarder.handle(make_request(clock, "/y/1")))
    assert response.status == 503 and "Retry-After" in dict(response.headers)


def test_route_unknown_to_an_old_configuration_is_not_denied():
    """Guards against a final 404 for a route that a newer configuration has added."""
    forwarder, clock, client, _ = make_forwarder([Head()])
    forwarder._is_configuration_old = lambda: True
    response = asyncio.run(forwarder.handle(make_request(clock, "/y/1")))
    assert response.status == 503
    assert dict(response.headers)["Retry-After"] == f"{CONFIGURATION_RETRY_S:.3g}"
    assert client.requests == []
    assert asyncio.run(forwarder.handle(make_request(clock))).status == 200


def test_request_that_crashed_two_servers_is_rejected():
    """Guards against a request that crashes one backend server after another."""
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
    request_count = len(client.requests)
    forwarder._crashes.record(clock.now(), "s9", {_fingerprint(forwarder, clock): clock.now()})
    assert asyncio.run(forwarder.handle(make_request(clock))).status == 503
    assert len(client.requests) == request_count


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
def test_suspect_is_not_retried_before_its_crash_is_confirmed(kind):
    """Guards against a retry that crashes one more server while the second crash is confirmed."""
    forwarder, clock, client, _ = make_forwarder(
        [FailureKind.CONNECTION_LOST, Head()], make_route(kind)
    )
    client.are_servers_down = True
    fingerprint = _fingerprint(forwarder, clock)
    forwarder._crashes.record(clock.now() - 1.0, "s9", {fingerprint: clock.now() - 1.1})
    assert asyncio.run(forwarder.handle(make_request(clock))).status == 502
    assert len(client.requests) == 1
    assert asyncio.run(forwarder.handle(make_request(clock))).status == 503


def test_repeat_with_another_cookie_has_the_same_fingerprint():
    """Guards against a quarantine that a caller's next session evades."""
    forwarder, clock, _, _ = make_forwarder([])
    request = make_request(clock, body=b"order")
    other_cookie = replace(request, object_key=None, headers=(("Cookie", "lang=en"),))
    other_body = replace(request, body=b"another order")
    fingerprints = [
        forwarder._prepare(item).fingerprint for item in (request, other_cookie, other_body)
    ]
    assert fingerprints[0] == fingerprints[1] != fingerprints[2]


def _fingerprint(forwarder, clock):
    return forwarder._prepare(make_request(clock)).fingerprint


failure_kinds = st.sampled_from([kind for kind in FailureKind if kind is not FailureKind.INVALID])
steps = st.lists(
    failure_kinds | st.sampled_from([200, 404, 408, 429, 500, 503, 504]), min_size=8, max_size=8
)


@given(steps, st.sampled_from(RequestKind), st.integers(1, 4))
def test_not_run_statuses_are_true_and_unsafe_requests_run_at_most_once(script, kind, attempts):
    """Guards against responses that deny a run that may have happened, and against second runs."""
    heads = [item if isinstance(item, FailureKind) else Head(item) for item in script]
    response, requests = serve(heads, kind, attempts=attempts)
    results = script[: len(requests)]
    possible_runs = [
        not isinstance(item, FailureKind) or not (item.is_before_sending or item in NOT_RUN)
        for item in results
    ]
    sent = [
        item for item in results if not (isinstance(item, FailureKind) and item.is_before_sending)
    ]
    assert len(sent) <= attempts
    if kind is RequestKind.UNSAFE:
        assert sum(possible_runs) <= 1
    if response.status in NOT_RUN_STATUSES:
        assert not any(possible_runs)


@pytest.mark.parametrize("kind", [FailureKind.MALFORMED, FailureKind.WRONG_ATTEMPT_ID])
def test_bytes_that_are_no_response_count_as_a_failure_of_the_server(kind):
    """Guards against a server that sends garbage and stays as attractive as the others."""
    forwarder, clock, client, loads = make_forwarder([kind, Head()])
    asyncio.run(forwarder.handle(make_request(clock)))
    assert loads.of(client.requests[0].server_id).failure_rate > 0


@pytest.mark.parametrize(("left_s", "status"), [(0.05, 503), (5.0, 200)])
def test_request_that_would_not_end_before_the_stop_is_rejected_at_once(left_s, status):
    """Guards against requests of a stopping VM that are cut off while a server works on them."""
    forwarder, clock, client, _ = make_forwarder([Head()])
    forwarder.ends_at = clock.now() + left_s
    response = asyncio.run(forwarder.handle(make_request(clock)))
    assert response.status == status and len(client.requests) == (status == 200)
    if status == 503:
        assert dict(response.headers)["Request-Outcome"] == "not-run"
        assert float(dict(response.headers)["Retry-After"]) <= STOPPING_RETRY_S


def test_stopping_vm_rejects_requests_that_arrive_too_late():
    """Guards against requests whose body arrives when they can only be cut off."""
    forwarder, clock, client, _ = make_forwarder([Head()])
    request = make_request(clock, body=b"order")
    forwarder.accepts_until = clock.time = clock.time + 0.1
    response = asyncio.run(forwarder.handle(request))
    assert response.status == 503 and client.requests == []
    assert dict(response.headers)["Request-Outcome"] == "not-run"


def test_queued_request_is_admitted_only_if_it_ends_in_time():
    """Guards against a place in a queue for a request whose deadline comes before its objective."""
    request = PlacementRequest(make_route(), "stock", None, objective_left_s=0.25, time_left_s=0.1)
    assert not is_admissible(4, 4, 0.2, request)
    assert is_admissible(4, 4, 0.2, replace(request, time_left_s=0.25))


def test_log_names_the_configuration_that_routed_a_request(caplog):
    """Guards against a log that names a configuration adopted while the request was in progress."""
    caplog.set_level("INFO")
    forwarder, clock, client, _ = make_forwarder([Head()])
    attempt = client.attempt

    async def adopt_and_attempt(request):
        forwarder.set_configuration(replace(forwarder._picker.configuration, version=9))
        return await attempt(request)

    client.attempt = adopt_and_attempt
    assert asyncio.run(forwarder.handle(make_request(clock))).status == 200
    assert [item.configuration for item in caplog.records if item.msg == "request ended"] == [1]
