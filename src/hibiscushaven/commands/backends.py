"""Stand-ins of the backend servers that documents name."""

import asyncio
from collections.abc import Iterator

from hibiscushaven.documents import Server, ServiceDocument
from hibiscushaven.standins import BackendConfig, BackendStandIn

__all__ = ["close_backends", "run_document_backends", "start_backends"]

_SHORT_MS = 5.0
_LONG_MS = 50.0
_SHORT_BYTES = 256
_LONG_BYTES = 1024 * 1024


async def run_document_backends(
    documents: tuple[ServiceDocument, ...], failure_domain: str | None = None
) -> None:
    """Serve the backend servers of documents until cancelled."""
    stand_ins = await start_backends(documents, failure_domain)
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        await close_backends(stand_ins)


async def start_backends(
    documents: tuple[ServiceDocument, ...], failure_domain: str | None = None
) -> dict[str, BackendStandIn]:
    """Start the backend servers of documents and return them by name.

    :param failure_domain: only the servers of this one, all if ``None``.
    """
    stand_ins = {}
    for document in documents:
        for server in _servers(document, failure_domain):
            stand_in = BackendStandIn(_config(document, server))
            await stand_in.start(server.address.host, server.address.port)
            stand_ins[server.name] = stand_in
    return stand_ins


async def close_backends(stand_ins: dict[str, BackendStandIn]) -> None:
    """Stop backend servers."""
    for stand_in in stand_ins.values():
        await stand_in.close()


def _servers(document: ServiceDocument, failure_domain: str | None) -> Iterator[Server]:
    for server in document.servers:
        place = document.places_by_name[server.place]
        if failure_domain in (None, place.failure_domain):
            yield server


def _config(document: ServiceDocument, server: Server) -> BackendConfig:
    # A service that has both sizes is short here; a request may ask for more, as in
    # /manifests/1?bytes=1048576&ms=50.
    is_long = all(item.is_long for item in document.classes)
    return BackendConfig(
        slots=server.slots,
        connections=server.connections,
        service_ms=_LONG_MS if is_long else _SHORT_MS,
        body_bytes=_LONG_BYTES if is_long else _SHORT_BYTES,
    )
