"""Stand-ins for the backend servers of service documents."""

import asyncio
from collections.abc import Iterator

from hibiscushaven.documents import Server, ServiceDocument
from hibiscushaven.standins import BackendConfig, BackendStandIn

__all__ = ["close_backends", "run_document_backends", "start_backends"]

_SHORT_SERVICE_MS = 5.0
_LONG_SERVICE_MS = 50.0
_SHORT_BODY_BYTES = 256
_LONG_BODY_BYTES = 1024 * 1024


async def run_document_backends(
    documents: tuple[ServiceDocument, ...], failure_domain: str | None = None
) -> None:
    """Run stand-ins for the backend servers of documents until cancelled."""
    stand_ins = await start_backends(documents, failure_domain)
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        await close_backends(stand_ins)


async def start_backends(
    documents: tuple[ServiceDocument, ...], failure_domain: str | None = None
) -> dict[str, BackendStandIn]:
    """Start stand-ins for the backend servers of documents and return them by server name.

    :param failure_domain: failure domain whose servers are started; ``None`` for all.
    """
    stand_ins = {}
    for document in documents:
        for server in _selected_servers(document, failure_domain):
            stand_in = BackendStandIn(_backend_config(document, server))
            await stand_in.start(server.address.host, server.address.port)
            stand_ins[server.name] = stand_in
    return stand_ins


async def close_backends(stand_ins: dict[str, BackendStandIn]) -> None:
    """Stop stand-ins for backend servers."""
    for stand_in in stand_ins.values():
        await stand_in.close()


def _selected_servers(document: ServiceDocument, failure_domain: str | None) -> Iterator[Server]:
    for server in document.servers:
        place = document.places_by_name[server.place]
        if failure_domain in (None, place.failure_domain):
            yield server


def _backend_config(document: ServiceDocument, server: Server) -> BackendConfig:
    # A service with both short and long requests gets the values for short ones; the query of a
    # request can ask for more, as in /manifests/1?bytes=1048576&ms=50.
    is_long = all(item.is_long for item in document.classes)
    return BackendConfig(
        slots=server.slots,
        connections=server.connections,
        service_ms=_LONG_SERVICE_MS if is_long else _SHORT_SERVICE_MS,
        body_bytes=_LONG_BODY_BYTES if is_long else _SHORT_BODY_BYTES,
    )
