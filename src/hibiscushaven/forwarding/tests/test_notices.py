"""Requests after a backend server has told the VM to send it nothing."""

import asyncio
from dataclasses import replace

import pytest

from hibiscushaven.delivery import AttemptError, FailureKind, find_header
from hibiscushaven.forwarding import RetryBudgetOptions
from hibiscushaven.placement import ServerNotice

from .support import FixedLinks, Head, make_forwarder, make_request

DRAIN_S = 2.5


class HeaderNoticeReader:
    """Reads a notice from headers of the tests."""

    def read_notice(self, status, headers):
        pause = find_header(headers, "Pause")
        return ServerNotice(
            is_leaving=find_header(headers, "Leaving") is not None,
            pause_s=float(pause) if pause is not None else None,
        )


def make_head(status=200, **headers):
    head = Head(status)
    head.headers = tuple(headers.items())
    return head


class Served:
    """Requests of one forwarder with two servers."""

    def __init__(self, steps, **options):
        self.forwarder, self.clock, self.client, _ = make_forwarder(
            steps, notice_reader=HeaderNoticeReader(), servers=2, **options
        )

    def request(self, **fields):
        request = replace(make_request(self.clock), **fields)
        return asyncio.run(self.forwarder.handle(request))

    @property
    def servers(self):
        return [request.server_id for request in self.client.requests]


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_server_gets_no_more_requests(status):
    """Guards against requests to a server that says in its responses that it leaves."""
    served = Served([make_head(status, Leaving="1"), *[Head() for _ in range(9)]])
    served.request()
    served.clock.time += DRAIN_S
    for _ in range(8):
        served.request()
    first, *others = served.servers
    assert first not in others


def test_paused_server_gets_requests_again_after_the_pause():
    """Guards against requests within the time in which a server wants none, or never again."""
    served = Served([make_head(503, Pause="2"), *[Head() for _ in range(30)]])
    served.request()
    first = served.servers[0]
    for _ in range(8):
        served.request()
    assert first not in served.servers[1:]
    served.clock.time += 2.2
    for _ in range(8):
        served.request()
    assert first in served.servers[9:]


def test_server_that_only_paused_gets_nothing_while_a_rejection_could_not_be_retried():
    """Guards against rejections that use up the retries of other requests."""
    steps = [make_head(503, Pause="0.2"), *[Head() for _ in range(41)]]
    served = Served(steps, budget=RetryBudgetOptions(10.0, 0.0, 2.5))
    served.request()
    first = served.servers[0]
    served.clock.time += 0.5
    for _ in range(20):
        served.request()
    assert first not in served.servers[1:]
    served.clock.time += 10.5
    for _ in range(20):
        served.request()
    assert first in served.servers[22:]


def test_request_is_refused_at_once_while_all_servers_pause():
    """Guards against requests that wait or try for servers which want none."""
    served = Served([make_head(503, Pause="0.4"), make_head(503, Pause="0.6")])
    served.request()
    response = served.request()
    assert response.status == 503 and len(served.servers) == 2
    assert 0.3 < float(find_header(response.headers, "Retry-After")) <= 0.45


def test_refusal_with_a_pause_is_read():
    """Guards against a pause that is missed since the server has not run the request."""
    refusal = AttemptError(FailureKind.REFUSED, "busy", headers=(("Pause", "2"),), status=503)
    served = Served([refusal, Head(), Head()])
    served.request()
    served.request()
    assert served.servers[0] not in served.servers[1:]


def test_notice_in_a_relayed_response_is_kept_from_the_caller_and_read():
    """Guards against requests to a leaving server of which the VM heard from another one."""
    links = FixedLinks(is_isolated=True)
    relayed = make_head(Leaving="1", **{"Relay-Server": "s1/0"})
    served = Served([Head() for _ in range(8)], links=links, relayed=[relayed])
    response = served.request()
    assert response.status == 200 and find_header(response.headers, "Relay-Server") is None
    links.is_isolated = False
    for _ in range(8):
        served.request()
    assert "s1" not in served.servers


def test_relayed_response_names_its_server():
    """Guards against a VM that cannot tell which server a relayed response is from."""
    served = Served([Head(), Head()])
    relayed = served.request(relayed_attempts=2)
    own = served.request()
    assert find_header(relayed.headers, "Relay-Server") == f"{served.servers[0]}/0"
    assert find_header(own.headers, "Relay-Server") is None
