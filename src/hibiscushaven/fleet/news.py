"""Transfer of the operator's state and of the known backend servers between VMs."""

from dataclasses import dataclass
from typing import Any

import msgpack

from hibiscushaven.discovery import KnownServer, RegistryNews, ServerRecord
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.routing import Configuration, OperatorState
from hibiscushaven.routing.codec import configuration_from_list, configuration_to_list

from .messages import MessageError

__all__ = ["News", "decode_news", "encode_news"]


@dataclass(frozen=True, slots=True)
class News:
    """What a VM has that another one lacks; ``None`` where the other one is up to date.

    Times that remain are sent in seconds, since clocks of VMs cannot be compared.
    """

    operator: OperatorState | None = None
    servers: RegistryNews | None = None


def encode_news(now: float, news: News) -> bytes:
    """Return news as one message."""
    operator = news.operator
    configuration: Configuration | None = operator.configuration if operator else None
    plain_operator = operator and [
        operator.version,
        configuration and configuration_to_list(configuration),
        sorted(operator.evacuated),
    ]
    servers = news.servers
    plain_servers = servers and [
        servers.version,
        [_plain_server(now, server) for server in servers.servers.values()],
        servers.base,
        sorted(servers.removed),
        servers.checksum,
    ]
    return msgpack.packb([plain_operator, plain_servers])


def decode_news(now: float, items: Any) -> News:
    """Return the news of an unpacked message.

    :raises MessageError: when it is none.
    """
    try:
        plain_operator, plain_servers = items
        operator = None
        if plain_operator is not None:
            revision, configuration, evacuated = plain_operator
            parsed = configuration_from_list(configuration) if configuration is not None else None
            operator = OperatorState(revision, parsed, frozenset(evacuated))
        servers = None
        if plain_servers is not None:
            version, listed, base, removed, checksum = plain_servers
            known = [_server(now, item) for item in listed]
            by_id = {server.record.server_id: server for server in known}
            base = None if base is None else int(base)
            servers = RegistryNews(int(version), by_id, base, frozenset(removed), int(checksum))
        return News(operator, servers)
    except (TypeError, ValueError, AttributeError) as error:
        raise MessageError(f"news: {error!r}") from error


def _plain_server(now: float, server: KnownServer) -> list[Any]:
    record = server.record
    lapse_s = None if server.lapsed_until is None else max(0.0, server.lapsed_until - now)
    return [
        record.server_id,
        record.service,
        record.address.host,
        record.address.port,
        record.failure_domain,
        record.slots,
        record.is_leaving,
        record.cold_left_s,
        record.started_unix_ms,
        max(0.0, server.cold_until - now),
        lapse_s,
    ]


def _server(now: float, items: list[Any]) -> KnownServer:
    server_id, service, host, port, domain, slots, is_leaving, cold_s, started, left, lapse = items
    address = Endpoint(host, port)
    record = ServerRecord(server_id, service, address, domain, slots, is_leaving, cold_s, started)
    return KnownServer(
        record,
        now + left if left > 0 else 0.0,
        None if lapse is None else now + lapse,
    )
