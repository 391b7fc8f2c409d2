"""State of one request on its way to an answer."""

from dataclasses import dataclass, field

import xxhash

from hibiscushaven.placement import NoRoom, Placement
from hibiscushaven.routing import Route

from .messages import Answer, CallerRequest

__all__ = ["Course"]


@dataclass(slots=True)
class Course:
    """What has happened to one request so far.

    :ivar tried: backend servers that must not get it again.
    :ivar sent: attempts of which a byte may have left.
    :ivar sent_at: start of the latest attempt.
    :ivar connects: attempts that ended before anything was sent.
    :ivar may_have_run: whether a backend server may have run it.
    :ivar last: why the latest attempt or choice failed.
    :ivar placement: latest choice of a backend server.
    :ivar no_room: latest refusal to choose one.
    :ivar answer: failure of a backend server, kept in case nothing better comes.
    """

    request: CallerRequest
    route: Route
    service: str
    deadline: float
    is_return: bool
    tried: set[str] = field(default_factory=set)
    sent: int = 0
    sent_at: float = 0.0
    connects: int = 0
    may_have_run: bool = False
    last: str = ""
    placement: Placement | None = None
    no_room: NoRoom | None = None
    answer: Answer | None = None

    @property
    def fingerprint(self) -> str:
        request = self.request
        digest = xxhash.xxh64(request.target.encode())
        digest.update(f"\n{request.host}\n{request.object_key}\n".encode())
        digest.update(request.body)
        return digest.hexdigest()
