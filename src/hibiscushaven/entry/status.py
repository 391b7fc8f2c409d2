"""HTTP interface for health, status and metrics of one VM."""

from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from hibiscushaven.metrics import to_json, to_text

from .node import EntryNode

__all__ = ["StatusInterface"]


class StatusInterface:
    """HTTP routes that report the state of this VM; their responses contain no secrets."""

    def __init__(self, node: EntryNode) -> None:
        self._node = node
        self._is_leaving = False

    @property
    def routes(self) -> list[Route]:
        return [
            Route("/healthz", self._health),
            Route("/v1/status", self._status),
            Route("/v1/metrics", self._metrics),
        ]

    def set_leaving(self) -> None:
        self._is_leaving = True

    async def _health(self, request: Request) -> Response:
        if self._is_leaving:
            return PlainTextResponse("leaving\n", 503)
        if not self._node.is_ready:
            return PlainTextResponse("starting: no documents yet\n", 503)
        return PlainTextResponse("ok\n")

    async def _status(self, request: Request) -> Response:
        node = self._node
        identity = node.identity
        members = node.membership.view.members.values()
        shards = node.owners.runners
        return JSONResponse(
            {
                "vm": identity.vm,
                "incarnation": identity.incarnation,
                "region": identity.region,
                "failure_domain": identity.failure_domain,
                "state": "leaving" if self._is_leaving else "serving",
                "is_roster_member": node.roster.is_member,
                "roster_version": node.slots.roster.version,
                "is_fenced": node.slots.is_fenced,
                "revisions": node.catalog.revisions,
                "alarms": [f"{name}: {text}" for name, text in node.catalog.alarms.items()],
                "shards": {str(shard): runner.describe() for shard, runner in shards.items()},
                "shares": {
                    entry.document.name: dict(node.steering.shares(entry.document.name))
                    for entry in node.catalog.entries
                },
                "failure_domains": sorted(node.topology.reachable_domains()),
                "peers": [
                    {"vm": item.vm, "state": item.state.value, "incarnation": item.incarnation}
                    for item in members
                    if item.vm != identity.vm
                ],
            }
        )

    async def _metrics(self, request: Request) -> Response:
        if request.query_params.get("format") == "json":
            return Response(to_json(self._node.metrics), media_type="application/json")
        return PlainTextResponse(to_text(self._node.metrics))
