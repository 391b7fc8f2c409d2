"""What a backend server says of itself."""

from dataclasses import dataclass

from hibiscushaven.ini.fields import Endpoint

__all__ = ["ServerRecord"]


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A backend server as it registered itself.

    :ivar server_id: identity that requests name, so that another server on the same address
        does not run them.
    :ivar started_unix_ms: start of the server; a server that starts again may keep its id.
    :ivar slots: requests that it runs at the same time.
    :ivar is_leaving: whether it must get no new requests.
    :ivar cold_left_s: time for which it was still cold when it wrote the record.
    """

    server_id: str
    service: str
    address: Endpoint
    failure_domain: str
    slots: int
    is_leaving: bool = False
    cold_left_s: float = 0.0
    started_unix_ms: int = 0

    def is_same_run(self, other: "ServerRecord") -> bool:
        """Return whether both records are of the same start of the same server."""
        return (
            self.server_id == other.server_id
            and self.started_unix_ms == other.started_unix_ms
            and self.address == other.address
        )
