"""Transfer of the operator's state and of the known backend servers between VMs."""

from dataclasses import dataclass
from typing import Any

import msgpack

from hibiscushaven.discovery import KnownServer, RegistryUpdate, ServerRecord
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.routing import Configuration, OperatorState
from hibiscushaven.routing.codec import configuration_from_list, configuration_to_list

from .messages import LeavingReport, MessageError, decode, encode

__all__ = ["SyncResponse", "decode_sync_response", "encode_sync_response"]


@dataclass(frozen=True, slots=True)
class SyncResponse:
    """Newer versions for a VM that asked; ``None`` where it is up to date.

    Points in time are sent as remaining seconds, since the clocks of VMs cannot be compared.

    :ivar leaving: which of the servers leave although the store lists them as ready, if any do.
    """

    operator: OperatorState | None = None
    servers: RegistryUpdate | None = None
    leaving: LeavingReport | None = None


def encode_sync_response(now: float, response: SyncResponse) -> bytes:
    """Return a response as one message."""
    operator = response.operator
    configuration: Configuration | None = operator.configuration if operator else None
    operator_items = operator and [
        operator.version,
        configuration and configuration_to_list(configuration),
        sorted(operator.evacuated),
    ]
    servers = response.servers
    servers_items = servers and [
        servers.version,
        [_encode_server(now, server) for server in servers.servers.values()],
        servers.base_version,
        sorted(servers.removed),
        servers.checksum,
    ]
    items: list[Any] = [operator_items, servers_items]
    if response.leaving is not None:
        items.append(encode(response.leaving))
    return msgpack.packb(items)


def decode_sync_response(now: float, items: Any) -> SyncResponse:
    """Return the response in an unpacked message, without items that only later builds know.

    :raises MessageError: when the message is malformed.
    """
    try:
        operator_items, servers_items, *later_items = items
        operator = None
        if operator_items is not None:
            revision, configuration, evacuated, *_ = operator_items
            parsed = configuration_from_list(configuration) if configuration is not None else None
            operator = OperatorState(revision, parsed, frozenset(evacuated))
        servers = None
        if servers_items is not None:
            version, listed, base, removed, checksum, *_ = servers_items
            listed_servers = [_decode_server(now, item) for item in listed]
            by_id = {server.record.server_id: server for server in listed_servers}
            base = None if base is None else int(base)
            servers = RegistryUpdate(int(version), by_id, base, frozenset(removed), int(checksum))
        leaving = decode(later_items[0]) if later_items and later_items[0] is not None else None
        if not isinstance(leaving, LeavingReport | None):
            raise TypeError(f"{leaving!r} does not name servers that leave")
        return SyncResponse(operator, servers, leaving)
    except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError) as error:
        raise MessageError(f"malformed sync response: {error!r}") from error


def _encode_server(now: float, server: KnownServer) -> list[Any]:
    record = server.record
    expires_in_s = None if server.expires_at is None else max(0.0, server.expires_at - now)
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
        expires_in_s,
    ]


def _decode_server(now: float, items: list[Any]) -> KnownServer:
    (
        server_id,
        service,
        host,
        port,
        domain,
        slots,
        is_leaving,
        cold_left_s,
        started,
        cold_for_s,
        expires_in_s,
        *_,
    ) = items
    address = Endpoint(host, port)
    record = ServerRecord(
        server_id, service, address, domain, slots, is_leaving, cold_left_s, started
    )
    return KnownServer(
        record,
        now + cold_for_s if cold_for_s > 0 else 0.0,
        None if expires_in_s is None else now + expires_in_s,
    )
