"""What the operators' routes work with."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from hibiscushaven.documents import (
    DocumentCatalog,
    DocumentDistributor,
    DocumentPublisher,
    DocumentPush,
)

from .teams import TeamDirectory

__all__ = ["OperatorContext"]


def _no_shares(service: str) -> Mapping[str, float]:
    return {}


def _send_nothing(push: DocumentPush) -> None:
    return None


@dataclass(frozen=True, slots=True)
class OperatorContext:
    """The parts of a VM that operators reach.

    :ivar current_shares: returns the share of a service's traffic by place, as it is now.
    :ivar on_published: called with the message that takes a new document to the peers.
    """

    publisher: DocumentPublisher
    distributor: DocumentDistributor
    catalog: DocumentCatalog
    teams: TeamDirectory
    current_shares: Callable[[str], Mapping[str, float]] = _no_shares
    on_published: Callable[[DocumentPush], None] = _send_nothing
