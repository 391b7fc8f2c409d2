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
from hibiscushaven.routing import Configuration


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
