"""Dependencies of the operators' routes."""

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


def _discard_push(push: DocumentPush) -> None:
    return None


@dataclass(frozen=True, slots=True)
class OperatorContext:
    """The components of a VM that the operators' routes use.

    :ivar current_shares: returns the current share of a service's traffic by place.
    :ivar on_published: called with the message that pushes a new document to the peers.
    """

    publisher: DocumentPublisher
    distributor: DocumentDistributor
    catalog: DocumentCatalog
    teams: TeamDirectory
    current_shares: Callable[[str], Mapping[str, float]] = _no_shares
    on_published: Callable[[DocumentPush], None] = _discard_push
