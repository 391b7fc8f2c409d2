"""Forwards requests to the owners of shards, and serves requests relayed by other VMs."""

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
from .link_budgets import LinkBudgets, LinkFullError, MeteredBody
from .owners import ShardOwners
from .problems import Problem
from .requests import CallerResponse, ClassifiedRequest
from .resuming import run_with_resumption
from .steering import Steering
from .topology import Topology

__all__ = ["RequestForwarder"]

_OWNER_CHANGED = "owner-changed"
_NO_OWNER = "no-owner"
_NO_GATEWAY = "no-gateway"
_NO_OWNER_RETRY_AFTER_S = 1.0
_LINK_FULL_RETRY_AFTER_S = 1.0


class RequestForwarder:
    """Runs requests on owned shards, or relays them to the VMs that own the shards."""

    def __init__(
        self,
        catalog: DocumentCatalog,
        topology: Topology,
        owners: ShardOwners,
        steering: Steering,
        relay_client: RelayClient,
        rng: random.Random,
        clock: Clock,
        link_budgets: LinkBudgets,
    ) -> None:
        self._link_budgets = link_budgets
        self._clock = clock
        self._catalog = catalog
        self._topology = topology
        self._owners = owners
        self._steering = steering
        self._relay_client = relay_client
        self._rng = rng

    def choose_domain(self, classified: ClassifiedRequest, is_last: bool = False) -> str | None:
        """Return the failure domain whose place serves a request, or ``None`` to refuse it.

        A rerouted request is steered by the shares again, so that a failed route shifts little
        more traffic than the shift cap allows. The last attempt goes to the own place: requests
        that fail twice are a small part of the traffic, and a failure domain that was just cut
        off then serves its own callers before it has detected the failure.

        :param is_last: whether no further attempt follows.
        """
        document = classified.entry.document
        own = document.places_by_domain.get(self._topology.domain)
        if is_last and own is not None and not own.is_leaving:
            return self._topology.domain
        return self._steering.choose_domain(classified.request.service)

    def record_arrival(self, classified: ClassifiedRequest) -> None:
        """Count a caller's request in the arrival rate of its service."""
        self._steering.record_arrival(classified.request.service)

    def no_place_problem(self, classified: ClassifiedRequest) -> Problem:
        """Return the problem for a request that no place may accept at the moment."""
        retry_after_s = self._steering.retry_after_s(classified.request.service)
        return Problem(
            503,
            "no place may take the request",
            "traffic is still moving between places",
            "not-run",
            retry_after_s,
        )

    async def send(self, classified: ClassifiedRequest, domain: str) -> CallerResponse:
        """Run a request in a failure domain and return its response.

        :raises RouteError: when there is no response.
        """
        request, request_class = classified.request, classified.request_class
        relayed = RelayRequest(
            service=request.service,
            place=domain,
            tenant=classified.entry.document.tenant,
            caller=classified.caller_name,
            request_id=request.id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            attributes=(("class", request_class.name), ("from", self._topology.domain)),
        )
        is_long = request_class.is_long
        try:
            reservation = self._link_budgets.reserve(
                classified.entry.document, request_class.name, is_long, domain
            )
        except LinkFullError as error:
            raise RouteError(Outcome.NOT_RUN, str(error), _LINK_FULL_RETRY_AFTER_S) from error
        if reservation is None:
            return await self._forward(relayed, classified.deadline, is_long)
        size = len(request.body)
        with reservation.closed_on_failure(size):
            response = await self._forward(relayed, classified.deadline, is_long)
        body = MeteredBody(response, reservation, size)
        return replace(response, body=body, close=body.close)

    async def serve(
        self, connection: PeerConnection, request: RelayRequest, responder: Responder
    ) -> None:
        """Serve a relayed request: run it if this VM owns the shard, otherwise relay it again."""
        loop = asyncio.get_running_loop()
        deadline = self._clock.now() + responder.deadline - loop.time()
        try:
            response = await self._forward(
                request, deadline, is_long=connection.channel is Channel.BULK
            )
        except RouteError as error:
            # A refusal always has a retry time. Without one, the sender treats the failure as a
            # route failure and not as a refusal by the shard.
            retry_after_s = None if error.is_route_failure else error.retry_after_s or 1.0
            await responder.send_failure(error.outcome, error.reason, retry_after_s)
            return
        try:
            await responder.send_head(response.status, response.headers)
            async for chunk in response.body:
                await responder.send_chunk(chunk)
        except (AttemptError, RelayError) as error:
            await responder.send_failure(Outcome.UNKNOWN, str(error), 1.0)
            return
        finally:
            await response.close()
        await responder.send_end()

    async def _forward(
        self, request: RelayRequest, deadline: float, is_long: bool
    ) -> CallerResponse:
        if request.place == self._topology.domain:
            shard = self._owners.pick_shard(request.service, self._rng)
            runner = self._owners.runner(shard)
            if runner is not None:
                return await self._run_on_own_shard(request, deadline)
            endpoint = self._owners.owner_endpoint(shard)
            if endpoint == self._topology.own_endpoint:
                # This VM has just become the owner; the runner starts with the next tick.
                raise RouteError(Outcome.NOT_RUN, _OWNER_CHANGED, _NO_OWNER_RETRY_AFTER_S)
        else:
            endpoint = self._topology.pick_relay(request.place, self._rng)
            if endpoint is None:
                raise RouteError(Outcome.NOT_RUN, _NO_GATEWAY, None, is_route_failure=True)
        if endpoint is None:
            raise RouteError(Outcome.NOT_RUN, _NO_OWNER, _NO_OWNER_RETRY_AFTER_S)
        return await self._relay_to(endpoint, request, deadline, is_long)

    async def _relay_to(
        self, endpoint: Endpoint, request: RelayRequest, deadline: float, is_long: bool
    ) -> CallerResponse:
        channel = Channel.BULK if is_long else Channel.SHORT
        loop_deadline = asyncio.get_running_loop().time() + deadline - self._clock.now()
        try:
            response = await self._relay_client.request(endpoint, channel, request, loop_deadline)
        except RelayError as error:
            is_route_failure = error.retry_after_s is None
            if is_route_failure:
                self._topology.mark_unreachable(endpoint)
            raise RouteError(
                error.outcome, error.reason, error.retry_after_s, is_route_failure
            ) from error
        return CallerResponse(response.status, response.headers, response, close=response.close)

    async def _run_on_own_shard(self, request: RelayRequest, deadline: float) -> CallerResponse:
        shard = self._owners.pick_owned_shard(request.service, self._rng)
        runner = self._owners.runner(shard)
        work = self._work_item(request, deadline)
        if runner is None or work is None:
            raise RouteError(Outcome.NOT_RUN, _OWNER_CHANGED, None, is_route_failure=True)
        if work.is_foreign and not self._steering.admit_foreign(request.service):
            raise RouteError(Outcome.NOT_RUN, "share-of-place", 1.0)
        job = Job(work, request.method, request.target, request.headers, request.body)
        try:
            response = await run_with_resumption(runner, job)
        except WorkRefusedError as error:
            is_route_failure = error.reason == _OWNER_CHANGED
            raise RouteError(
                error.outcome, error.reason, error.retry_after_s, is_route_failure
            ) from error
        return CallerResponse(response.status, response.headers, response, close=response.close)

    def _work_item(self, request: RelayRequest, deadline: float) -> WorkItem | None:
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
            is_foreign=attributes.get("from") != self._topology.domain,
            path=request.target.partition("?")[0],
        )
