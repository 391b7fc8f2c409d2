"""State of a request while it is being forwarded."""

from dataclasses import dataclass, field

import xxhash

from hibiscushaven.placement import Placement, PlacementRejection
from hibiscushaven.routing import Route

from .messages import CallerRequest, CallerResponse
from .refusals import Refusal

__all__ = ["RequestContext"]


@dataclass(slots=True)
class RequestContext:
    """A request with its route, its deadline and the results of its attempts so far.

    :ivar configuration_version: version of the configuration that its route is from.
    :ivar is_caller_retry: whether its caller probably retries after a refusal.
    :ivar excluded: backend servers that must not receive it again.
    :ivar sent_attempts: number of attempts of which at least one byte may have been sent.
    :ivar attempt_started_at: start time of the latest attempt.
    :ivar connect_failures: number of attempts that ended before anything was sent.
    :ivar may_have_run: whether a backend server may have run it.
    :ivar refusals: responses of backend servers and peers that say that it has not run.
    :ivar last_error: reason why the latest attempt or placement failed.
    :ivar placement: placement of the latest attempt.
    :ivar rejection: latest rejection by the picker.
    :ivar fallback_response: error response of a backend server, which is returned if no later
        attempt succeeds.
    :ivar was_relayed: whether this VM has tried to relay it to others.
    :ivar relayed_to: address of the VM that took it.
    :ivar relayed_server: process id of the server that responded to that VM.
    """

    request: CallerRequest
    route: Route
    service: str
    deadline: float
    configuration_version: int
    is_caller_retry: bool
    excluded: set[str] = field(default_factory=set)
    sent_attempts: int = 0
    attempt_started_at: float = 0.0
    connect_failures: int = 0
    may_have_run: bool = False
    refusals: list[Refusal] = field(default_factory=list)
    last_error: str = ""
    placement: Placement | None = None
    rejection: PlacementRejection | None = None
    fallback_response: CallerResponse | None = None
    was_relayed: bool = False
    relayed_to: str | None = None
    relayed_server: str | None = None

    @property
    def is_relayed(self) -> bool:
        """Whether another VM relayed the request to this one."""
        return self.request.relayed_attempts is not None

    @property
    def attempts_left(self) -> int:
        """Number of attempts that may still be sent."""
        attempts = self.route.max_attempts
        if self.request.relayed_attempts is not None:
            attempts = min(attempts, self.request.relayed_attempts)
        return attempts - self.sent_attempts

    @property
    def fingerprint(self) -> str:
        """Hash that identifies equal requests for the crash quarantine.

        Headers are left out: a caller that repeats a request may send other cookies.
        """
        request = self.request
        digest = xxhash.xxh64(request.target.encode())
        digest.update(f"\n{request.host}\n".encode())
        digest.update(request.body)
        return digest.hexdigest()
