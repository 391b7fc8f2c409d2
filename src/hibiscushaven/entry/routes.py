"""Ways from this VM to the owner of a shard, and the serving end of relayed requests."""

import asyncio
import random
from dataclasses import replace

from hibiscushaven.delivery import (
    AttemptError,
    Outcome,
    RelayClient,
    RelayError,
    RelayRequest,
    Responder,
)
from hibiscushaven.dispatch import WorkItem
from hibiscushaven.documents import DocumentCatalog
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Channel, PeerConnection
from hibiscushaven.process import Clock

from .errors import RouteError
from .jobs import Job, WorkRefusedError
from .link_desk import LinkDesk, LinkFullError, MeteredBody
from .neighbours import Neighbours
from .owners import ShardOwners
from .problems import Problem
from .requests import CallerAnswer, ClassifiedRequest
from .resuming import run_complete
from .steering import Steering

__all__ = ["Routes"]

_OWNER_CHANGED = "owner-changed"
_NO_OWNER = "no-owner"
_NO_GATEWAY = "no-gateway"
_RETRY_NO_OWNER_S = 1.0
_RETRY_LINK_FULL_S = 1.0


class Routes:
    """Sends requests to owners, here or on other VMs."""

    def __init__(
        self,
        catalog: DocumentCatalog,
        neighbours: Neighbours,
        owners: ShardOwners,
        steering: Steering,
        relay: RelayClient,
        rng: random.Random,
        clock: Clock,
        links: LinkDesk,
    ) -> None:
        self._links = links
        self._clock = clock
        self._catalog = catalog
        self._neighbours = neighbours
        self._owners = owners
        self._steering = steering
        self._relay = relay
        self._rng = rng

    def choose_domain(self, item: ClassifiedRequest, is_last: bool = False) -> str | None:
        """Return the failure domain whose place takes a request, or ``None``.

        A request that is sent another way follows the shares again, so that a lost way moves
        little more traffic than the shift cap allows. The last way is the own place: what is
        lost twice is a small part of the traffic, and a failure domain that has just been
        cut off serves its own callers before it knows.
        """
        document = item.entry.document
        own = document.places_by_domain.get(self._neighbours.domain)
        if is_last and own is not None and not own.is_leaving:
            return self._neighbours.domain
        return self._steering.choose(item.request.service)

    def note_arrival(self, item: ClassifiedRequest) -> None:
        """Count a caller's request."""
        self._steering.note_arrival(item.request.service)

    def no_place(self, item: ClassifiedRequest) -> Problem:
        """Return the refusal of a request that no place may take now."""
        retry_after_s = self._steering.retry_after_s(item.request.service)
        return Problem(
            503,
            "no place may take the request",
            "traffic is still moving between places",
            "not-run",
            retry_after_s,
        )

    async def send(self, item: ClassifiedRequest, domain: str) -> CallerAnswer:
        """Run a request in a failure domain and return its answer.

        :raises RouteError: when there is none.
        """
        request, request_class = item.request, item.request_class
        relayed = RelayRequest(
            service=request.service,
            place=domain,
            tenant=item.entry.document.tenant,
            caller=item.caller_name,
            request_id=request.id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            attributes=(("class", request_class.name), ("from", self._neighbours.domain)),
        )
        is_long = request_class.is_long
        try:
            link = self._links.enter(item.entry.document, request_class.name, is_long, domain)
        except LinkFullError as error:
            raise RouteError(Outcome.NOT_RUN, str(error), _RETRY_LINK_FULL_S) from error
        if link is None:
            return await self._pass(relayed, item.deadline, is_long)
        size = len(request.body)
        with link.closed_on_failure(size):
            answer = await self._pass(relayed, item.deadline, is_long)
        body = MeteredBody(answer, link, size)
        return replace(answer, body=body, close=body.close)

    async def serve(
        self, link: PeerConnection, request: RelayRequest, responder: Responder
    ) -> None:
        """Serve a relayed request: run it here if this VM owns a shard, else send it on."""
        loop = asyncio.get_running_loop()
        deadline = self._clock.now() + responder.deadline - loop.time()
        try:
            answer = await self._pass(request, deadline, is_long=link.channel is Channel.BULK)
        except RouteError as error:
            # A refusal has a time to come back; its absence tells the sender that the way
            # failed and not the shard.
            retry_after_s = None if error.is_route_lost else error.retry_after_s or 1.0
            await responder.send_failure(error.outcome, error.reason, retry_after_s)
            return
        try:
            await responder.send_head(answer.status, answer.headers)
            async for chunk in answer.body:
                await responder.send_chunk(chunk)
        except (AttemptError, RelayError) as error:
            await responder.send_failure(Outcome.UNKNOWN, str(error), 1.0)
            return
        finally:
            await answer.close()
        await responder.send_end()

    async def _pass(self, request: RelayRequest, deadline: float, is_long: bool) -> CallerAnswer:
        if request.place == self._neighbours.domain:
            shard = self._owners.pick_shard(request.service, self._rng)
            runner = self._owners.runner(shard)
            if runner is not None:
                return await self._run(request, deadline)
            endpoint = self._owners.owner_endpoint(shard)
            if endpoint == self._neighbours.own_endpoint:
                # Ownership has just come here; the runner starts with the next tick.
                raise RouteError(Outcome.NOT_RUN, _OWNER_CHANGED, _RETRY_NO_OWNER_S)
        else:
            endpoint = self._neighbours.gateway(request.place, self._rng)
            if endpoint is None:
                raise RouteError(Outcome.NOT_RUN, _NO_GATEWAY, None, is_route_lost=True)
        if endpoint is None:
            raise RouteError(Outcome.NOT_RUN, _NO_OWNER, _RETRY_NO_OWNER_S)
        return await self._send_on(endpoint, request, deadline, is_long)

    async def _send_on(
        self, endpoint: Endpoint, request: RelayRequest, deadline: float, is_long: bool
    ) -> CallerAnswer:
        lane = Channel.BULK if is_long else Channel.SHORT
        loop_deadline = asyncio.get_running_loop().time() + deadline - self._clock.now()
        try:
            response = await self._relay.request(endpoint, lane, request, loop_deadline)
        except RelayError as error:
            is_lost = error.retry_after_s is None
            if is_lost:
                self._neighbours.note_unreachable(endpoint)
            raise RouteError(error.outcome, error.reason, error.retry_after_s, is_lost) from error
        return CallerAnswer(response.status, response.headers, response, close=response.close)

    async def _run(self, request: RelayRequest, deadline: float) -> CallerAnswer:
        shard = self._owners.pick_owned_shard(request.service, self._rng)
        runner = self._owners.runner(shard)
        work = self._work(request, deadline)
        if runner is None or work is None:
            raise RouteError(Outcome.NOT_RUN, _OWNER_CHANGED, None, is_route_lost=True)
        if work.is_foreign and not self._steering.admit_foreign(request.service):
            raise RouteError(Outcome.NOT_RUN, "share-of-place", 1.0)
        job = Job(work, request.method, request.target, request.headers, request.body)
        try:
            answer = await run_complete(runner, job)
        except WorkRefusedError as error:
            is_lost = error.reason == _OWNER_CHANGED
            raise RouteError(error.outcome, error.reason, error.retry_after_s, is_lost) from error
        return CallerAnswer(answer.status, answer.headers, answer, close=answer.close)

    def _work(self, request: RelayRequest, deadline: float) -> WorkItem | None:
        entry = self._catalog.get(request.service)
        attributes = dict(request.attributes)
        request_class = entry and entry.document.class_named(attributes.get("class", ""))
        if request_class is None:
            return None
        shares = {caller.name: caller.share for caller in entry.document.callers}
        return WorkItem(
            id=request.request_id,
            service=request.service,
            tenant=request.tenant,
            caller=request.caller,
            caller_share=shares.get(request.caller, 1.0),
            request_class=request_class,
            deadline=min(deadline, self._clock.now() + request_class.deadline_ms / 1000),
            fingerprint=self._owners.fingerprint(request),
            is_foreign=attributes.get("from") != self._neighbours.domain,
            path=request.target.partition("?")[0],
        )
