"""What forwarding needs to know about the links of its VM to the backend servers."""

from typing import Protocol

__all__ = ["IntactLinks", "Links"]


class Links(Protocol):
    """Port to what is known about this VM's links to the backend servers.

    :ivar is_isolated: whether this VM reaches no backend server, although other VMs do.
    """

    is_isolated: bool

    def has_failing_paths(self) -> bool:
        """Return whether servers that respond to other VMs accept no connections of this one."""

    def on_response(self, server_id: str) -> None:
        """Record a response of a server."""

    def on_failure(self, server_id: str) -> None:
        """Record a connection to a server that failed or broke."""


class IntactLinks:
    """Links that never fail, for a VM without others."""

    is_isolated = False

    def has_failing_paths(self) -> bool:
        return False

    def on_response(self, server_id: str) -> None:
        pass

    def on_failure(self, server_id: str) -> None:
        pass
