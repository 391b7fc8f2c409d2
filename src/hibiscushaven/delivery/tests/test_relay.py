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
    pass_on,
)
from hibiscushaven.delivery.relay_messages import WINDOW_BYTES, RelayHead
from hibiscushaven.delivery.relay_watch import MAX_MISSED
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Lane, PeerHub, PeerLink
from hibiscushaven.standins import Direction, Forwarder

from .support import HOST, in_loop, relay_request, scene, soon, vms

INTERVAL_S = 0.02
# Leaves the end of a connection or handler as the only sign.
_NEVER_S = 3600.0
_BODY = bytes(range(256)) * 8192


class Owner:
    """Serves relayed requests by their target, and notes what became of them."""

    def __init__(self, hub: PeerHub, interval_s: float = INTERVAL_S) -> None:
        self.server = RelayServer(hub, self._serve, interval_s)
        self.requests: list[RelayRequest] = []
        self.cancelled = 0
        self.held = asyncio.Event()
        self._changed = asyncio.Event()

    async def until(self, is_reached: Callable[[], bool]) -> None:
        while not is_reached():
            await self._changed.wait()

    def notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, link: PeerLink, request: RelayRequest, responder: Responder) -> None:
        self.requests.append(request)
        self.notify()
        try:
            await self._answer(request.target, responder)
        except asyncio.CancelledError:
            self.cancelled += 1
            self.notify()
            raise

    async def _answer(self, target: str, responder: Responder) -> None:
        if target == "/refused":
            await responder.fail(Outcome.NOT_RUN, "queue full", 2.0)
        elif target == "/nothing":
            return
        elif target == "/broken":
            raise ValueError(target)
        elif target.startswith("/held"):
            await self.held.wait()
            await responder.head(200, ())
            await responder.chunk(target.encode())
            await responder.end()
        else:
            await responder.head(200, (("X", "1"),))
            await responder.chunk(_BODY)
            if target == "/truncated":
                await responder.fail(Outcome.UNKNOWN, "truncated")
            await responder.end()


class Pair:
    """A VM that asks and one that answers, with a forwarder between them."""

    def __init__(self, client: RelayClient, owner: Owner, forwarder: Forwarder) -> None:
        self.client = client
        self.owner = owner
        self.forwarder = forwarder

    async def ask(
        self, target: str, lane: Lane = Lane.SHORT, hops: int = 0, deadline_s: float = 10.0
    ) -> RelayResponse:
        endpoint = Endpoint(HOST, self.forwarder.port)
        request = relay_request(target, hops=hops)
        return await self.client.request(endpoint, lane, request, soon(deadline_s))

    async def fetch(self, target: str) -> bytes:
        return await (await self.ask(target)).read()

    async def fail(self, request: Awaitable[object]) -> RelayError:
        with pytest.raises(RelayError) as caught:
            await request
        return caught.value


@asynccontextmanager
async def pair(interval_s: float = INTERVAL_S) -> AsyncIterator[Pair]:
    async with vms(2) as (asking, serving):
        forwarder = Forwarder(HOST, serving.identity.peer_port)
        await forwarder.start()
        try:
            yield Pair(RelayClient(asking, interval_s), Owner(serving, interval_s), forwarder)
        finally:
            await forwarder.close()


@in_loop
async def test_chain_of_three_vms() -> None:
    """Guards against a response that changes, or a hop or time left that is not counted."""
    async with vms(3) as (origin, gateway, owner):
        serving = Owner(owner)
        onward = RelayClient(gateway)

        async def forward(link: PeerLink, request: RelayRequest, responder: Responder) -> None:
            at = owner.identity.endpoint
            async with await onward.request(at, Lane.BULK, request, responder.deadline) as found:
                await pass_on(found, responder)

        RelayServer(gateway, forward)
        client, at = RelayClient(origin), gateway.identity.endpoint
        request = relay_request("/a?b", headers=(("N", "v"),), body=b"x", attributes=(("k", "v"),))
        response = await client.request(at, Lane.SHORT, request, soon(5))
        assert (response.status, response.headers) == (200, (("X", "1"),))
        assert await response.read() == _BODY
        seen = serving.requests[0]
        assert (seen.target, seen.headers, seen.body) == ("/a?b", (("N", "v"),), b"x")
        assert (seen.hops, seen.attributes) == (2, (("k", "v"),))
        assert 0 < seen.remaining_ms < 5000
        response = await client.request(at, Lane.SHORT, relay_request("/truncated"), soon(5))
        with pytest.raises(RelayError):
            await response.read()
        # A caller that goes away cancels the work at the end of the chain.
        task = asyncio.create_task(client.request(at, Lane.SHORT, relay_request("/held"), soon(5)))
        await serving.until(lambda: len(serving.requests) == 3)
        task.cancel()
        await serving.until(lambda: serving.cancelled == 1)
        assert (client.in_progress, onward.in_progress) == (0, 0)


@in_loop
async def test_refused_and_unsent_are_not_run() -> None:
    """Guards against giving up on requests that nobody ran."""
    async with pair() as it:
        error = await it.fail(it.ask("/refused"))
        assert (error.outcome, error.reason, error.retry_after_s) == (
            Outcome.NOT_RUN,
            "queue full",
            2.0,
        )
        error = await it.fail(it.ask("/a", hops=3))
        assert (error.outcome, error.reason) == (Outcome.NOT_RUN, "relayed 3 times already")
        await it.forwarder.close()
        assert (await it.fail(it.ask("/a", Lane.BULK))).outcome is Outcome.NOT_RUN
        assert len(it.owner.requests) == 1


@pytest.mark.parametrize(
    ("target", "reason"), [("/nothing", "no response"), ("/broken", "internal error")]
)
@in_loop
async def test_handler_without_response_gives_unknown(target: str, reason: str) -> None:
    """Guards against a request that waits for its deadline after a fault of the handler."""
    async with pair(_NEVER_S) as it:
        error = await it.fail(it.ask(target))
        assert (error.outcome, error.reason) == (Outcome.UNKNOWN, reason)


@in_loop
async def test_lost_connection_gives_unknown() -> None:
    """Guards against calling a request not run that may be running."""
    async with pair(_NEVER_S) as it:
        task = asyncio.create_task(it.ask("/held"))
        await it.owner.until(lambda: len(it.owner.requests) == 1)
        it.forwarder.reset()
        error = await it.fail(task)
        assert (error.outcome, error.reason) == (Outcome.UNKNOWN, "the connection ended")
        await it.owner.until(lambda: it.owner.cancelled == 1)
        assert await it.fetch("/a") == _BODY


@pytest.mark.parametrize("direction", [Direction.BOTH, Direction.TO_SERVER, Direction.TO_CLIENT])
@in_loop
async def test_silent_connection_is_noticed_and_replaced(direction: Direction) -> None:
    """Guards against requests that hang on a connection which lost its path either way."""
    async with pair() as it:
        download = await it.ask("/a", Lane.BULK)
        task = asyncio.create_task(it.ask("/held"))
        await it.owner.until(lambda: len(it.owner.requests) == 2)
        it.forwarder.block(direction)
        assert (await it.fail(task)).outcome is Outcome.UNKNOWN
        with pytest.raises(RelayError):
            await download.read()
        assert await it.fetch("/a") == _BODY


@in_loop
async def test_request_that_was_never_received_is_noticed() -> None:
    """Guards against a keep-alive for other requests that hides a lost one."""
    async with pair() as it:
        await it.fetch("/a")
        it.forwarder.block(Direction.TO_SERVER)
        assert (await it.fail(it.ask("/b"))).reason == "the connection was silent"
        assert len(it.owner.requests) == 1


@pytest.mark.parametrize("direction", [Direction.TO_SERVER, Direction.TO_CLIENT])
@in_loop
async def test_silence_is_noticed_by_requests_with_short_deadlines(direction: Direction) -> None:
    """Guards against a silent connection that no single request outlives."""
    async with pair(_NEVER_S) as it:
        await it.fetch("/a")
        it.client._keep_alive.tick()
        it.forwarder.block(direction)
        for _ in range(MAX_MISSED):
            assert it.forwarder.accepted_connections == 1
            await it.fail(it.ask("/held", deadline_s=0.01))
            it.client._keep_alive.tick()
        assert await it.fetch("/a") == _BODY
        assert it.forwarder.accepted_connections == 2


@in_loop
async def test_slow_work_with_short_deadlines_keeps_the_connection() -> None:
    """Guards against dropping a healthy connection because no request on it ends in time."""
    async with pair(_NEVER_S) as it:
        for _ in range(1, 2 * MAX_MISSED):
            asked = len(it.owner.requests)
            while len(it.owner.requests) == asked:
                # One whose time is over before it was written never reaches the owner.
                await it.fail(it.ask("/held", deadline_s=0.01))
            await it.owner.until(lambda: it.owner.cancelled == len(it.owner.requests))
            while it.owner.server.in_progress:
                await asyncio.sleep(0)
            before = it.forwarder.bytes_to_client
            it.owner.server._keep_alive.tick()
            await it.forwarder.wait_until(lambda f, before=before: f.bytes_to_client > before)
            it.client._keep_alive.tick()
        assert await it.fetch("/a") == _BODY
        assert it.forwarder.accepted_connections == 1


@in_loop
async def test_forgotten_request_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that only the asking side knows, beside one in progress."""
    async with pair() as it:
        held = asyncio.create_task(it.ask("/held"))
        await it.owner.until(lambda: len(it.owner.requests) == 1)
        monkeypatch.setattr(it.owner.server, "_start", lambda link, request: None)
        assert (await it.fail(it.ask("/lost"))).reason == "the connection was silent"
        assert (await it.fail(held)).outcome is Outcome.UNKNOWN


@in_loop
async def test_slow_reader_holds_a_window_and_blocks_nobody() -> None:
    """Guards against memory growing with the body, and against short work behind it."""
    async with pair() as it:
        slow = await it.ask("/slow")
        (responder,) = it.owner.server._responders()
        for _ in range(3):
            assert await it.fetch("/quick") == _BODY
        assert slow.buffered_bytes == responder._sent == WINDOW_BYTES
        assert it.owner.server.in_progress == 1
        assert await slow.read() == _BODY


@in_loop
async def test_peer_that_exceeds_the_window_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a peer without flow control that fills this VM's memory."""
    monkeypatch.setattr("hibiscushaven.delivery.relay_server.WINDOW_BYTES", len(_BODY))
    async with pair() as it:
        response = await it.ask("/slow")
        while not response._exchange.is_ended:
            await asyncio.sleep(0)
        assert response.buffered_bytes <= WINDOW_BYTES
        with pytest.raises(RelayError, match="more than it may"):
            await response.read()


@in_loop
async def test_crossed_answers_reach_their_callers() -> None:
    """Guards against answers given in the order of arrival."""
    async with pair() as it:
        tasks = [asyncio.create_task(it.fetch(f"/held/{n}")) for n in range(20)]
        await it.owner.until(lambda: len(it.owner.requests) == 20)
        it.owner.held.set()
        assert await asyncio.gather(*tasks) == [f"/held/{n}".encode() for n in range(20)]


@in_loop
async def test_answer_on_another_connection_is_ignored() -> None:
    """Guards against a late or forged answer that carries a number in use."""
    async with pair() as it:
        task = asyncio.create_task(it.ask("/held"))
        await it.owner.until(lambda: len(it.owner.requests) == 1)
        number = it.owner.requests[0].exchange
        endpoint = Endpoint(HOST, it.forwarder.port)
        other = await it.client._hub.link(endpoint, Lane.BULK)
        await it.client._receive(other, RelayHead(number, 500, ()))
        it.owner.held.set()
        response = await task
        assert response.status == 200
        assert await response.read() == b"/held"
        # Nor does one that comes after the end of its request.
        await it.client._receive(other, RelayHead(number, 500, ()))
        assert it.client.in_progress == 0


@in_loop
async def test_deadline_cancels_at_the_peer() -> None:
    """Guards against work that goes on for a caller who was already answered."""
    async with pair() as it:
        error = await it.fail(it.ask("/held", deadline_s=0.05))
        assert error.outcome is Outcome.UNKNOWN
        await it.owner.until(lambda: it.owner.cancelled == 1)


@in_loop
async def test_unread_response_survives_keep_alives() -> None:
    """Guards against dropping the connection of a caller who reads late."""
    async with pair() as it:
        it.owner.held.set()
        late = await it.ask("/held/late")
        before = it.forwarder.bytes_to_client
        waiting = asyncio.create_task(it.ask("/slow"))
        # Wait for more keep-alives than a silent exchange would survive.
        await it.forwarder.wait_until(lambda f: f.bytes_to_client > before + WINDOW_BYTES + 200)
        assert await late.read() == b"/held/late"
        assert await (await waiting).read() == _BODY


@in_loop
async def test_attempt_that_breaks_off_is_passed_on_as_failure() -> None:
    """Guards against a truncated body that looks complete beyond the next VM."""
    async with scene() as backend, vms(2) as (asking, serving):

        async def serve(link: PeerLink, request: RelayRequest, responder: Responder) -> None:
            await pass_on(await backend.head(request.target), responder)

        RelayServer(serving, serve)
        client, at = RelayClient(asking), serving.identity.endpoint
        for target, is_whole in (("/a/bytes-9", True), ("/a/bytes-9?stop=reset&stop_at=5", False)):
            response = await client.request(at, Lane.SHORT, relay_request(target), soon())
            if is_whole:
                assert len(await response.read()) == 9
            else:
                with pytest.raises(RelayError):
                    await response.read()
