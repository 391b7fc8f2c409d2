"""Responses by which a request counts as not run."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["NOT_RUN_STATUSES", "Refusal", "RefusalSource", "deciding_source"]

# Statuses that tell a caller that its request has not run and will not.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class RefusalSource(StrEnum):
    """Who said that a request has not run."""

    SERVER = "server"
    PEER = "peer"
    VM = "vm"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A response that says that a request has not run.

    :ivar sender: id of the backend server, or address of the peer.
    :ivar names_request: whether the response names the request.
    """

    source: RefusalSource
    sender: str
    status: int
    names_request: bool

    def to_log(self) -> dict[str, object]:
        """Return the refusal as a value of a log line.

        Examples
        ========

        >>> Refusal(RefusalSource.SERVER, "i-1", 503, True).to_log()
        {'by': 'server', 'sender': 'i-1', 'status': 503, 'names_request': True}

        """
        return {
            "by": self.source.value,
            "sender": self.sender,
            "status": self.status,
            "names_request": self.names_request,
        }


def deciding_source(status: int, refusals: list[Refusal]) -> RefusalSource | None:
    """Return who said that a request has not run, ``None`` if nobody did.

    Explanation
    ===========

    The latest refusal decides. Without any, the VM has sent the request to nobody.

    :param status: status of the response to the caller.

    Examples
    ========

    >>> refusal = Refusal(RefusalSource.SERVER, "i-1", 503, True)
    >>> deciding_source(503, [refusal]).value, deciding_source(503, []).value
    ('server', 'vm')
    >>> deciding_source(200, [refusal]) is None
    True

    """
    if status not in NOT_RUN_STATUSES:
        return None
    return refusals[-1].source if refusals else RefusalSource.VM
