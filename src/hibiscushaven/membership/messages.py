"""Messages of the membership protocol and the envelope of messages to send."""

from dataclasses import dataclass
from typing import Any

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Message, message

__all__ = ["Digest", "Heartbeat", "LinkReport", "MembershipUpdate", "OutgoingMessage"]


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send over the control channel, and its destination."""

    endpoint: Endpoint
    message: Message


@message("heartbeat")
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Sent to each heartbeat peer every 0.4 s.

    :ivar seq: increases with each heartbeat of an incarnation, so that a late one is ignored.
    :ivar acknowledged_incarnation: the receiver's incarnation from which the sender receives
        heartbeats, empty if there is none.
    :ivar attributes: the sender's attributes, or ``None`` if unchanged since they were last
        sent.
    :ivar reports: some link reports, in rotation, to make up for lost updates.
    """

    seq: int
    acknowledged_incarnation: str
    is_leaving: bool
    attributes: dict[str, Any] | None = None
    reports: tuple[Any, ...] = ()


@message("membership-news")
@dataclass(frozen=True, slots=True)
class MembershipUpdate(Message):
    """Changed link reports, or a VM's attributes for relays that are not its heartbeat peers."""

    reports: tuple[Any, ...]
    attributes: dict[str, Any] | None = None


@message("digest")
@dataclass(frozen=True, slots=True)
class Digest(Message):
    """Summary of a failure domain that its relays send to the other failure domains.

    :ivar relay: incarnation of the sending relay; ``seq`` increases with each of its digests.
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
    """State of a VM and of its links, in a failure domain too large for a full mesh.

    :ivar unreachable_peers: heartbeat peers to or from which heartbeats are lost.
    """

    vm: str
    incarnation: str
    host: str
    peer_port: int
    seq: int
    is_leaving: bool
    unreachable_peers: tuple[str, ...]

    @property
    def packed(self) -> tuple[Any, ...]:
        """The field values in order, as messages carry them."""
        return (
            self.vm,
            self.incarnation,
            self.host,
            self.peer_port,
            self.seq,
            self.is_leaving,
            self.unreachable_peers,
        )
