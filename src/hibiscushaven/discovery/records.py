"""Registration record of a backend server."""

from dataclasses import dataclass

from hibiscushaven.ini.fields import Endpoint

__all__ = ["ServerRecord", "server_id_of"]


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A backend server as it registered itself.

    :ivar server_id: identity that requests name, so that another server on the same address
        does not run them.
    :ivar slots: number of requests that it runs concurrently.
    :ivar is_leaving: whether it must get no new requests.
    :ivar cold_left_s: remaining warm-up time when it wrote the record.
    :ivar started_unix_ms: start time of the server, which tells two starts under one id apart.
    """

    server_id: str
    service: str
    address: Endpoint
    failure_domain: str
    slots: int
    is_leaving: bool = False
    cold_left_s: float = 0.0
    started_unix_ms: int = 0

    @property
    def process_id(self) -> str:
        """Identity of this start of the server, since a server may start again under its id."""
        return f"{self.server_id}/{self.started_unix_ms}"

    def is_same_process(self, other: "ServerRecord") -> bool:
        """Return whether both records are of the same start of the same server."""
        return (
            self.server_id == other.server_id
            and self.started_unix_ms == other.started_unix_ms
            and self.address == other.address
        )


def server_id_of(process_id: str) -> str:
    """Return the id of the server of which a ``process_id`` names one start.

    Examples
    ========

    >>> server_id_of(ServerRecord("i-1", "stock", Endpoint("10.0.0.1", 80), "a", 4).process_id)
    'i-1'

    """
    return process_id.rpartition("/")[0]
