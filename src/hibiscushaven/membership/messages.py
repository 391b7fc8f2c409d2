"""Messages of the membership protocol, and what a node asks its daemon to send."""

from dataclasses import dataclass
from typing import Any

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import Message, message

__all__ = ["Digest", "Heartbeat", "News", "Outgoing", "Report"]


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send over the control lane."""

    endpoint: Endpoint
    message: Message


@message("heartbeat")
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Sent to each neighbour every 0.4 s.

    :ivar seq: rises with each heartbeat of an incarnation, so that a late one is ignored.
    :ivar heard: the receiver's incarnation that the sender hears, empty if none.
    :ivar parts: the sender's parts, or ``None`` when unchanged since they were last sent.
    :ivar reports: some link reports, in rotation, to repair lost news.
    """

    seq: int
    heard: str
    is_leaving: bool
    parts: dict[str, Any] | None = None
    reports: tuple[Any, ...] = ()


@message("membership-news")
@dataclass(frozen=True, slots=True)
class News(Message):
    """Link reports that changed; also carries a VM's parts to relays that are not neighbours."""

    reports: tuple[Any, ...]
    parts: dict[str, Any] | None = None


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
    parts: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Report:
    """What a VM of a large failure domain states about itself and its links.

    :ivar missing: neighbours that it does not hear, or that do not hear it.
    """

    vm: str
    incarnation: str
    host: str
    peer_port: int
    seq: int
    is_leaving: bool
    missing: tuple[str, ...]

    @property
    def packed(self) -> tuple[Any, ...]:
        return (
            self.vm,
            self.incarnation,
            self.host,
            self.peer_port,
            self.seq,
            self.is_leaving,
            self.missing,
        )
