"""Headers of requests that one VM relays to another."""

import asyncio
from dataclasses import replace

import pytest

from hibiscushaven.delivery import AttemptRequest
from hibiscushaven.forwarding import RelayDialect, RelayedCallers
from hibiscushaven.forwarding.tests.support import (
    FixedLinks,
    Head,
    make_forwarder,
    make_request,
    make_route,
)
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.platform.dialects import PlatformCallers
from hibiscushaven.routing import Configuration, RequestKind


def test_peer_reads_time_and_attempts_from_the_relayed_request():
    """Guards against a peer that believes the headers of the caller."""
    headers = (("Host", "a.example"), ("Deadline-Ms", "5000"), ("Relay-Attempts-Left", "1"))
    sent = AttemptRequest(Endpoint("10.0.0.2", 1), "GET", "/x/1", "id-1", deadline=0.0)
    headers += RelayDialect().request_headers(sent, 700)
    request = RelayedCallers(PlatformCallers()).read(headers, "GET", "/x/1", "/x/1", b"", 1.0)
    assert (request.time_left_s, request.relayed_attempts) == (0.7, 1)
    assert request.headers == headers[:2]


@pytest.mark.parametrize("value", ["", "-1", "1.5", "many", "9" * 20])
def test_malformed_relay_headers_allow_one_attempt(value):
    """Guards against a peer of another build whose headers raise an exception."""
    headers = (("Relay-Attempts-Left", value), ("Relay-Time-Left-Ms", value))
    request = RelayedCallers(PlatformCallers()).read(headers, "GET", "/", "/", b"", 1.0)
    assert (request.time_left_s, request.relayed_attempts) == (None, 1)


class PeerClient:
    """Client that passes each relayed request on to the next of several forwarders."""

    def __init__(self, peers):
        self._peers = list(peers)

    async def attempt(self, request):
        headers = (*request.headers, *RelayDialect().request_headers(request, 700))
        target = request.target
        callers = RelayedCallers(PlatformCallers())
        received = callers.read(headers, request.method, target, target, b"", 1000.0)
        response = await self._peers.pop(0).handle(replace(received, host="a.example"))
        head = Head(response.status, response.body)
        head.headers = response.headers
        RelayDialect().check_response(head, request)
        return head


class StrayResponseClient:
    """Client that returns the same response to each relayed request.

    :param names_request: whether the response has the id of the transfer, or another one.
    """

    def __init__(self, status, names_request, **headers):
        self._status = status
        self._names_request = names_request
        self._headers = tuple((name.replace("_", "-"), value) for name, value in headers.items())
        self.requests = []

    async def attempt(self, request):
        self.requests.append(request)
        head = Head(self._status)
        head.headers = self._headers
        if self._names_request is not None:
            own = RelayDialect().request_headers(request, 700)
            relay_id = dict(own).get("Relay-Id", "") if self._names_request else "0" * 16
            head.headers += (("Relay-Id", relay_id),)
        RelayDialect().check_response(head, request)
        return head


def relay_to(client, kind=RequestKind.UNSAFE):
    """Return the response to a request that a VM without links relays with a client."""
    sender, clock, _, _ = make_forwarder([], make_route(kind), links=FixedLinks(is_isolated=True))
    sender._relay._client = client
    return asyncio.run(sender.handle(make_request(clock)))


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("headers", [{}, {"Relay_Refused": "1"}])
@pytest.mark.parametrize("names_request", [None, False])
def test_refusal_by_a_peer_that_does_not_name_the_request_is_no_proof_that_it_has_not_run(
    status, headers, names_request
):
    """Guards against a stray response of a peer that is taken for that to a relayed request."""
    client = StrayResponseClient(status, names_request, **headers)
    assert relay_to(client).status == 502 and len(client.requests) == 1


@pytest.mark.parametrize(("names_request", "status"), [(True, 200), (None, 200), (False, 502)])
def test_response_to_another_relayed_request_is_not_used(names_request, status):
    """Guards against the response to another request; peers of older builds name none."""
    assert relay_to(StrayResponseClient(200, names_request)).status == status


def test_rejection_by_a_peer_that_names_the_request_is_believed():
    """Guards against callers that do not learn that they may retry."""
    client = StrayResponseClient(503, True)
    assert relay_to(client).status == 503


@pytest.mark.parametrize("relay_id", ["", "0123", "x" * 16, "a" * 17])
def test_malformed_id_of_a_transfer_is_not_returned(relay_id):
    """Guards against headers of a response that another VM chooses freely."""
    forwarder, clock, _, _ = make_forwarder([Head()])
    callers = RelayedCallers(PlatformCallers())
    headers = (("Host", "a.example"), ("Relay-Id", relay_id))
    received = callers.read(headers, "GET", "/x/1", "/x/1", b"", clock.now())
    response = asyncio.run(forwarder.handle(received))
    assert response.status == 200 and "Relay-Id" not in dict(response.headers)


def make_versions(count, *peers_routes):
    """Return a VM without links, its clock and its peers, of which the last has the newest.

    :param count: number of requests that the last peer serves.
    :param peers_routes: routes in the configurations of the other peers.
    """
    sender, clock, _, _ = make_forwarder([], links=FixedLinks(is_isolated=True))
    newest, _, client, _ = make_forwarder([Head(body=b"newest")] * count)
    peers = [make_forwarder([Head(body=b"older")])[0] for _ in peers_routes]
    for peer, routes in zip(peers, peers_routes, strict=True):
        peer.set_configuration(Configuration(7, routes))
    for forwarder in (sender, newest):
        forwarder.set_configuration(Configuration(8, (make_route(),)))
    sender._relay._client = PeerClient([*peers, newest] * count)
    return sender, clock, client


@pytest.mark.parametrize("routes", [(), (make_route(),)])
def test_request_is_not_handled_by_an_older_configuration_of_a_peer(routes):
    """Guards against a 404, or an older service or region, for what the sender's routes allow."""
    sender, clock, client = make_versions(2, routes)
    for _ in range(2):
        response = asyncio.run(sender.handle(make_request(clock)))
        assert (response.status, response.body) == (200, b"newest")
    assert len(client.requests) == 2 and sender._relay._backoff_until == {}
