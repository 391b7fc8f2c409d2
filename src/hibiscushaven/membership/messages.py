"""Messages of the membership protocol, and what a node asks its daemon to send."""

from dataclasses import dataclass
from typing import Any

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Message, message

__all__ = ["Digest", "Heartbeat", "LinkReport", "MembershipUpdate", "OutgoingMessage"]


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send over the control lane."""

    endpoint: Endpoint
    message: Message


@message("heartbeat")
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Sent to each neighbour every 0.4 s.

    :ivar seq: rises with each heartbeat of an incarnation, so that a late one is ignored.
    :ivar acknowledged_incarnation: the receiver's incarnation that the sender hears, empty if none.
    :ivar attributes: the sender's parts, or ``None`` when unchanged since they were last sent.
    :ivar reports: some link reports, in rotation, to repair lost news.
    """

    seq: int
    acknowledged_incarnation: str
    is_leaving: bool
    attributes: dict[str, Any] | None = None
    reports: tuple[Any, ...] = ()


@message("membership-news")
@dataclass(frozen=True, slots=True)
class MembershipUpdate(Message):
    """Link reports that changed; also carries a VM's parts to relays that are not neighbours."""

    reports: tuple[Any, ...]
    attributes: dict[str, Any] | None = None


@message("digest")
@dataclass(frozen=True, slots=True)
class Digest(Message):
    """What a relay states about its failure domain.

    :ivar relay: incarnation of the relay; ``seq`` rises with each of its digests.
    :ivar age_s: time since the relay sent it.
    :ivar relays: host and port of the failure domain's relays.
    """

    domain: str
    relay: str
    seq: int
    age_s: float
    relays: tuple[tuple[str, int], ...]
    attributes: dict[str, Any]


@dataclass(frozen=True, slots=True)
class LinkReport:
    """What a VM of a large failure domain states about itself and its links.

    :ivar unreachable_neighbours: neighbours that it does not hear, or that do not hear it.
    """

    vm: str
    incarnation: str
    host: str
    peer_port: int
    seq: int
    is_leaving: bool
    unreachable_neighbours: tuple[str, ...]

    @property
    def packed(self) -> tuple[Any, ...]:
        return (
            self.vm,
            self.incarnation,
            self.host,
            self.peer_port,
            self.seq,
            self.is_leaving,
            self.unreachable_neighbours,
        )
