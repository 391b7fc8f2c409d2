"""Requests relayed between VMs over loopback sockets."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from hibiscushaven.delivery import (
    Outcome,
    RelayClient,
    RelayError,
    RelayRequest,
    RelayResponse,
    RelayServer,
    Responder,
    forward_response,
)
from hibiscushaven.delivery.relay_keepalive import MAX_MISSED_TICKS
from hibiscushaven.delivery.relay_messages import WINDOW_BYTES, RelayHead
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Channel, PeerConnection, PeerHub
from hibiscushaven.process import BudgetLimits, ConnectionBudget
from hibiscushaven.standins import Direction, Forwarder

from .support import HOST, backend_env, deadline_in, in_loop, relay_request, vms

INTERVAL_S = 0.02
# Disables keep-alives, so only the end of a connection or handler is detected.
_NEVER_S = 3600.0
_BODY = bytes(range(256)) * 8192


class Owner:
    """Serves relayed requests as their target says, and records requests and cancellations."""

    def __init__(self, hub: PeerHub, interval_s: float = INTERVAL_S) -> None:
        self.server = RelayServer(hub, self._handle, interval_s)
        self.requests: list[RelayRequest] = []
        self.cancelled = 0
        self.released = asyncio.Event()
        self._changed = asyncio.Event()

    async def until(self, is_reached: Callable[[], bool]) -> None:
        while not is_reached():
            await self._changed.wait()

    def notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, connection: PeerConnection, request: RelayRequest, responder: Responder
    ) -> None:
        self.requests.append(request)
        self.notify()
        try:
            await self._respond(request.target, responder)
        except asyncio.CancelledError:
            self.cancelled += 1
            self.notify()
            raise

    async def _respond(self, target: str, responder: Responder) -> None:
        if target == "/refused":
            await responder.send_failure(Outcome.NOT_RUN, "queue full", 2.0)
        elif target == "/nothing":
            return
        elif target == "/broken":
            raise ValueError(target)
        elif target.startswith("/held"):
            await self.released.wait()
            await responder.send_head(200, ())
            await responder.send_chunk(target.encode())
            await responder.send_end()
        else:
            await responder.send_head(200, (("X", "1"),))
            await responder.send_chunk(_BODY)
            if target == "/truncated":
                await responder.send_failure(Outcome.UNKNOWN, "truncated")
            await responder.send_end()


class RelayEnv:
    """A requesting and a serving VM, with a forwarder between them."""

    def __init__(self, client: RelayClient, owner: Owner, forwarder: Forwarder) -> None:
        self.client = client
        self.owner = owner
        self.forwarder = forwarder

    async def request(
        self, target: str, channel: Channel = Channel.SHORT, hops: int = 0, deadline_s: float = 10.0
    ) -> RelayResponse:
        endpoint = Endpoint(HOST, self.forwarder.port)
        request = relay_request(target, hops=hops)
        return await self.client.request(endpoint, channel, request, deadline_in(deadline_s))

    async def fetch(self, target: str) -> bytes:
        return await (await self.request(target)).read()

    async def expect_error(self, request: Awaitable[object]) -> RelayError:
        with pytest.raises(RelayError) as caught:
            await request
        return caught.value


@asynccontextmanager
async def relay_env(interval_s: float = INTERVAL_S) -> AsyncIterator[RelayEnv]:
    async with vms(2) as (requesting, serving):
        forwarder = Forwarder(HOST, serving.identity.peer_port)
        await forwarder.start()
        try:
            yield RelayEnv(
                RelayClient(requesting, interval_s), Owner(serving, interval_s), forwarder
            )
        finally:
            await forwarder.close()


@in_loop
async def test_relay_through_three_vms() -> None:
    """Guards against altered requests or responses, uncounted hops and lost cancellations."""
    async with vms(3) as (origin, gateway, owner):
        serving = Owner(owner)
        gateway_client = RelayClient(gateway)

        async def forward(
            connection: PeerConnection, request: RelayRequest, responder: Responder
        ) -> None:
            endpoint = owner.identity.endpoint
            async with await gateway_client.request(
                endpoint, Channel.BULK, request, responder.deadline
            ) as response:
                await forward_response(response, responder)

        RelayServer(gateway, forward)
        client, endpoint = RelayClient(origin), gateway.identity.endpoint
        request = relay_request("/a?b", headers=(("N", "v"),), body=b"x", attributes=(("k", "v"),))
        response = await client.request(endpoint, Channel.SHORT, request, deadline_in(5))
        assert (response.status, response.headers) == (200, (("X", "1"),))
        assert await response.read() == _BODY
        request = serving.requests[0]
        assert (request.target, request.headers, request.body) == ("/a?b", (("N", "v"),), b"x")
        assert (request.hops, request.attributes) == (2, (("k", "v"),))
        assert 0 < request.remaining_ms < 5000
        response = await client.request(
            endpoint, Channel.SHORT, relay_request("/truncated"), deadline_in(5)
        )
        with pytest.raises(RelayError):
            await response.read()
        # Cancelling the request at the origin cancels the handler at the last VM.
        task = asyncio.create_task(
            client.request(endpoint, Channel.SHORT, relay_request("/held"), deadline_in(5))
        )
        await serving.until(lambda: len(serving.requests) == 3)
        task.cancel()
        await serving.until(lambda: serving.cancelled == 1)
        assert (client.in_progress, gateway_client.in_progress) == (0, 0)


@in_loop
async def test_refused_and_unsent_requests_give_not_run() -> None:
    """Guards against reporting an unknown outcome for requests that were certainly not run."""
    async with relay_env() as env:
        error = await env.expect_error(env.request("/refused"))
        assert (error.outcome, error.reason, error.retry_after_s) == (
            Outcome.NOT_RUN,
            "queue full",
            2.0,
        )
        error = await env.expect_error(env.request("/a", hops=3))
        assert (error.outcome, error.reason) == (Outcome.NOT_RUN, "relayed 3 times already")
        await env.forwarder.close()
        assert (await env.expect_error(env.request("/a", Channel.BULK))).outcome is Outcome.NOT_RUN
        assert len(env.owner.requests) == 1


@pytest.mark.parametrize(
    ("target", "reason"), [("/nothing", "no response"), ("/broken", "internal error")]
)
@in_loop
async def test_handler_without_response_gives_unknown(target: str, reason: str) -> None:
    """Guards against waiting for the deadline after the handler failed."""
    async with relay_env(_NEVER_S) as env:
        error = await env.expect_error(env.request(target))
        assert (error.outcome, error.reason) == (Outcome.UNKNOWN, reason)


@in_loop
async def test_lost_connection_gives_unknown() -> None:
    """Guards against reporting ``not-run`` for a request that may be running."""
    async with relay_env(_NEVER_S) as env:
        task = asyncio.create_task(env.request("/held"))
        await env.owner.until(lambda: len(env.owner.requests) == 1)
        env.forwarder.reset()
        error = await env.expect_error(task)
        assert (error.outcome, error.reason) == (Outcome.UNKNOWN, "the connection ended")
        await env.owner.until(lambda: env.owner.cancelled == 1)
        assert await env.fetch("/a") == _BODY


@pytest.mark.parametrize("direction", [Direction.BOTH, Direction.TO_SERVER, Direction.TO_CLIENT])
@in_loop
async def test_silent_connection_is_detected_and_replaced(direction: Direction) -> None:
    """Guards against requests that hang when the network drops either or both directions."""
    async with relay_env() as env:
        download = await env.request("/a", Channel.BULK)
        task = asyncio.create_task(env.request("/held"))
        await env.owner.until(lambda: len(env.owner.requests) == 2)
        env.forwarder.block(direction)
        assert (await env.expect_error(task)).outcome is Outcome.UNKNOWN
        with pytest.raises(RelayError):
            await download.read()
        assert await env.fetch("/a") == _BODY


@in_loop
async def test_request_lost_in_the_network_is_detected() -> None:
    """Guards against waiting for a request that never reached the serving VM."""
    async with relay_env() as env:
        await env.fetch("/a")
        env.forwarder.block(Direction.TO_SERVER)
        assert (await env.expect_error(env.request("/b"))).reason == "the connection was silent"
        assert len(env.owner.requests) == 1


@pytest.mark.parametrize("direction", [Direction.TO_SERVER, Direction.TO_CLIENT])
@in_loop
async def test_silence_is_detected_across_requests_with_short_deadlines(
    direction: Direction,
) -> None:
    """Guards against missing silence when every request ends before the detection time."""
    async with relay_env(_NEVER_S) as env:
        await env.fetch("/a")
        env.client._keep_alive.tick()
        env.forwarder.block(direction)
        for _ in range(MAX_MISSED_TICKS):
            assert env.forwarder.accepted_connections == 1
            await env.expect_error(env.request("/held", deadline_s=0.01))
            env.client._keep_alive.tick()
        assert await env.fetch("/a") == _BODY
        assert env.forwarder.accepted_connections == 2


@in_loop
async def test_requests_past_their_deadlines_keep_the_connection() -> None:
    """Guards against dropping a healthy connection on which every request times out."""
    async with relay_env(_NEVER_S) as env:
        for _ in range(1, 2 * MAX_MISSED_TICKS):
            requests_before = len(env.owner.requests)
            while len(env.owner.requests) == requests_before:
                # A request whose deadline passes before it is written never reaches the owner.
                await env.expect_error(env.request("/held", deadline_s=0.01))
            await env.owner.until(lambda: env.owner.cancelled == len(env.owner.requests))
            while env.owner.server.in_progress:
                await asyncio.sleep(0)
            before = env.forwarder.bytes_to_client
            env.owner.server._keep_alive.tick()
            await env.forwarder.wait_until(
                lambda forwarder, before=before: forwarder.bytes_to_client > before
            )
            env.client._keep_alive.tick()
        assert await env.fetch("/a") == _BODY
        assert env.forwarder.accepted_connections == 1


@in_loop
async def test_request_unknown_to_the_server_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against waiting for a request that the server lost while another is in progress."""
    async with relay_env() as env:
        held = asyncio.create_task(env.request("/held"))
        await env.owner.until(lambda: len(env.owner.requests) == 1)
        monkeypatch.setattr(env.owner.server, "_start", lambda connection, request: None)
        assert (await env.expect_error(env.request("/lost"))).reason == "the connection was silent"
        assert (await env.expect_error(held)).outcome is Outcome.UNKNOWN


@in_loop
async def test_slow_reader_buffers_one_window_and_blocks_no_other_request() -> None:
    """Guards against memory use proportional to the body, and head-of-line blocking."""
    async with relay_env() as env:
        slow = await env.request("/slow")
        (responder,) = env.owner.server._active_responders()
        for _ in range(3):
            assert await env.fetch("/quick") == _BODY
        assert slow.buffered_bytes == responder._sent_bytes == WINDOW_BYTES
        assert env.owner.server.in_progress == 1
        assert await slow.read() == _BODY


@in_loop
async def test_peer_that_exceeds_the_window_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a peer that ignores flow control and exhausts this VM's memory."""
    monkeypatch.setattr("hibiscushaven.delivery.relay_server.WINDOW_BYTES", len(_BODY))
    async with relay_env() as env:
        response = await env.request("/slow")
        while not response._exchange.is_ended:
            await asyncio.sleep(0)
        assert response.buffered_bytes <= WINDOW_BYTES
        with pytest.raises(RelayError, match="more than it may"):
            await response.read()


@in_loop
async def test_concurrent_responses_reach_their_callers() -> None:
    """Guards against assigning responses to requests in the order of arrival."""
    async with relay_env() as env:
        tasks = [asyncio.create_task(env.fetch(f"/held/{number}")) for number in range(20)]
        await env.owner.until(lambda: len(env.owner.requests) == 20)
        env.owner.released.set()
        assert await asyncio.gather(*tasks) == [f"/held/{number}".encode() for number in range(20)]


@in_loop
async def test_response_on_another_connection_is_ignored() -> None:
    """Guards against a late or forged response with the number of a request in progress."""
    async with relay_env() as env:
        task = asyncio.create_task(env.request("/held"))
        await env.owner.until(lambda: len(env.owner.requests) == 1)
        number = env.owner.requests[0].exchange
        endpoint = Endpoint(HOST, env.forwarder.port)
        other_connection = await env.client._hub.connection(endpoint, Channel.BULK)
        await env.client._receive(other_connection, RelayHead(number, 500, ()))
        env.owner.released.set()
        response = await task
        assert response.status == 200
        assert await response.read() == b"/held"
        # A response after the end of its request is ignored as well.
        await env.client._receive(other_connection, RelayHead(number, 500, ()))
        assert env.client.in_progress == 0


@in_loop
async def test_status_outside_of_the_classes_of_http_is_no_response() -> None:
    """Guards against an answer whose status tells the caller nothing."""
    async with relay_env() as env:
        task = asyncio.create_task(env.expect_error(env.request("/held")))
        await env.owner.until(lambda: len(env.owner.requests) == 1)
        number = env.owner.requests[0].exchange
        exchange = env.client._exchanges[number]
        await env.client._receive(exchange.connection, RelayHead(number, 0, ()))
        assert (await task).outcome is Outcome.UNKNOWN
        env.owner.released.set()


@in_loop
async def test_deadline_cancels_at_the_peer() -> None:
    """Guards against a handler that continues after the request has timed out."""
    async with relay_env() as env:
        error = await env.expect_error(env.request("/held", deadline_s=0.05))
        assert error.outcome is Outcome.UNKNOWN
        await env.owner.until(lambda: env.owner.cancelled == 1)


@in_loop
async def test_unread_response_survives_keep_alives() -> None:
    """Guards against dropping the connection of a caller that reads the body late."""
    async with relay_env() as env:
        env.owner.released.set()
        late = await env.request("/held/late")
        before = env.forwarder.bytes_to_client
        waiting = asyncio.create_task(env.request("/slow"))
        # Wait for more keep-alives than are needed to detect a silent exchange.
        await env.forwarder.wait_until(
            lambda forwarder: forwarder.bytes_to_client > before + WINDOW_BYTES + 200
        )
        assert await late.read() == b"/held/late"
        assert await (await waiting).read() == _BODY


@in_loop
async def test_relayed_requests_beyond_the_budget_have_not_run() -> None:
    """Guards against requests of other VMs that hold memory which no budget accounts for."""
    budget = ConnectionBudget(BudgetLimits(memory_bytes=2**20, connections=100))
    async with vms(2, budget) as (requesting, serving):
        owner = Owner(serving)
        client, endpoint = RelayClient(requesting), serving.identity.endpoint

        async def send(target: str) -> bytes:
            request = relay_request(target, body=bytes(200_000))
            response = await client.request(endpoint, Channel.SHORT, request, deadline_in())
            return await response.read()

        held = asyncio.create_task(send("/held/1"))
        await owner.until(lambda: owner.requests)
        with pytest.raises(RelayError) as caught:
            await send("/held/2")
        assert caught.value.outcome is Outcome.NOT_RUN
        owner.released.set()
        assert await held == b"/held/1"
        assert await send("/held/3") == b"/held/3"
        assert [request.target for request in owner.requests] == ["/held/1", "/held/3"]
    assert budget.connections == budget.total_bytes == 0


@in_loop
async def test_truncated_attempt_is_relayed_as_failure() -> None:
    """Guards against a truncated body that appears complete at the relaying VM."""
    async with backend_env() as backend, vms(2) as (requesting, serving):

        async def serve(
            connection: PeerConnection, request: RelayRequest, responder: Responder
        ) -> None:
            await forward_response(await backend.send(request.target), responder)

        RelayServer(serving, serve)
        client, endpoint = RelayClient(requesting), serving.identity.endpoint
        for target, is_complete in (
            ("/a/bytes-9", True),
            ("/a/bytes-9?stop=reset&stop_at=5", False),
        ):
            response = await client.request(
                endpoint, Channel.SHORT, relay_request(target), deadline_in()
            )
            if is_complete:
                assert len(await response.read()) == 9
            else:
                with pytest.raises(RelayError):
                    await response.read()
