"""Tests of request validation, problem responses, combiners and the HTTP server."""

import asyncio
import json
import socket

import pytest
from starlette.applications import Starlette

from hibiscushaven.entry.attributes import MAX_REPORTED_VMS, combine_crashes, combine_revisions
from hibiscushaven.entry.classify import classify
from hibiscushaven.entry.problems import Problem, problem_response
from hibiscushaven.entry.requests import CallerRequest
from hibiscushaven.process import HttpServer

from .support import DOCUMENT, TOKEN, TOKEN_SHA256, make_catalog

WITH_CALLER = f"{DOCUMENT}[caller shop]\ntoken_sha256 = {TOKEN_SHA256}\n"


def classified(method="GET", path="/items/1", text=DOCUMENT, service="stock", **values):
    request = CallerRequest("r1", service, method, path, path, (), b"", **values)
    return classify(make_catalog(text), request, 100.0)


@pytest.mark.parametrize(
    "path",
    [
        "/-/health",
        "/-",
        "/%2d/health",
        "/%2D/load",
        "/%252d/health",
        "-/health",
        "//-/health",
        "/;a/../-/health",
        "/-;x/health",
        "/a/../-/health",
        "/a/%2e%2e/-/health",
        "/%2e/-/health",
        "/a/..%2f-/health",
        "/a\\..\\-\\health",
        "/a%5c..%5c-%5chealth",
        "/./items",
        "/%2f-/health",
    ],
)
def test_paths_to_control_endpoints_are_refused(path):
    """Guards against callers that cancel other callers' attempts on a backend server."""
    problem = classified(path=path).error
    assert (problem.status, problem.outcome) == (400, "not-run")


def test_similar_paths_are_allowed():
    """Guards against a check that refuses ordinary paths."""
    for path in ("/items/-", "/items/-/health", "/a-b", "/--", "/a..b", "/items/%20", "/"):
        assert classified(path=path).is_ok(), path


def test_callers_need_their_token():
    """Guards against requests that are sent in another caller's name."""
    assert classified(text=WITH_CALLER, token=TOKEN).ok.caller_name == "shop"
    for token in (None, "", "other", TOKEN_SHA256):
        assert classified(text=WITH_CALLER, token=token).error.status == 401
    assert classified(token="anything").ok.caller_name == "anonymous"


def test_unknown_services_and_classes_are_named():
    """Guards against a refusal that does not name the unknown service or path."""
    assert "'none'" in classified(service="none").error.detail
    problem = classified("DELETE").error
    assert (problem.status, problem.detail) == (404, "no class matches DELETE '/items/1'")


def test_non_idempotent_requests_need_a_key_of_bounded_length():
    """Guards against repeated orders that cannot be recognized as duplicates."""
    assert classified("POST", "/orders").error.title == "Idempotency-Key required"
    assert classified("POST", "/orders", key="").error.status == 400
    assert classified("POST", "/orders", key="k" * 256).error.title == "Idempotency-Key too long"
    assert classified("POST", "/orders", key="k" * 255).is_ok()


@pytest.mark.parametrize(("timeout_ms", "deadline"), [(None, 103), (500, 100.5), (9000, 103)])
def test_request_timeout_only_shortens_the_deadline(timeout_ms, deadline):
    """Guards against callers that extend the deadline beyond the document's."""
    assert classified(timeout_ms=timeout_ms).ok.deadline == deadline


def test_retry_after_is_rounded_up():
    """Guards against callers that retry before there is capacity."""
    for seconds, header in ((0.1, "1"), (1.0, "1"), (1.01, "2")):
        response = problem_response(Problem(503, "busy", retry_after_s=seconds), "r1")
        assert response.headers["retry-after"] == header
    body = json.loads(response.body)
    assert (body["request_id"], body["outcome"], body["status"]) == ("r1", "not-run", 503)
    assert "retry-after" not in problem_response(Problem(404, "none"), "r1").headers


def test_revisions_of_vms_that_are_behind_are_kept():
    """Guards against a digest that grows with the failure domain or omits VMs that are behind."""
    values = [{f"vm-{number:03}": {"stock": number}} for number in range(100)]
    assert list(combine_revisions(values)) == [f"vm-{n:03}" for n in range(MAX_REPORTED_VMS)]


def test_quarantine_with_the_longest_remaining_time_applies():
    """Guards against a quarantine that ends early because one VM's report is older."""
    values = [{"stock": {"f1": 5.0, "f2": 1.0}}, {"stock": {"f1": 3.0}, "orders": {"f1": 1.0}}]
    assert combine_crashes(values) == {"stock": {"f1": 5.0, "f2": 1.0}, "orders": {"f1": 1.0}}


def test_port_in_use_raises_os_error_with_the_address():
    """Guards against a process that exits inside uvicorn with a traceback."""

    async def start(port):
        server = HttpServer(Starlette(), "127.0.0.1", port)
        with pytest.raises(OSError, match=f"cannot listen on 127.0.0.1:{port}: Address already"):
            await server.start()

    with socket.create_server(("127.0.0.1", 0)) as occupied:
        asyncio.run(start(occupied.getsockname()[1]))
