"""Relaying of requests to another VM, which reaches the backend servers."""

import asyncio
import re
import secrets
from collections.abc import Callable, Sequence
from dataclasses import replace

from hibiscushaven.delivery import (
    AttemptError,
    AttemptRequest,
    AttemptResponse,
    BackendClient,
    FailureKind,
    Headers,
    find_header,
)
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.metrics import Metrics

from .bodies import buffer_body
from .context import RequestContext
from .messages import CallerDialect, CallerRequest, CallerResponse, rejection_response
from .refusals import NOT_RUN_STATUSES, Refusal, RefusalSource

__all__ = [
    "PeerRelay",
    "RelayDialect",
    "RelayedCallers",
    "is_relay_refusal",
    "name_server",
    "name_transfer",
    "relay_refusal",
]

# Names of the headers between VMs.
TIME_LEFT_HEADER = "Relay-Time-Left-Ms"
ATTEMPTS_HEADER = "Relay-Attempts-Left"
REFUSAL_HEADER = "Relay-Refused"
SERVER_HEADER = "Relay-Server"
CONFIGURATION_HEADER = "Relay-Configuration"
ID_HEADER = "Relay-Id"

# Value of the refusal header if the peer may take other requests, or this one soon.
TEMPORARY_REFUSAL = "old"

# Peers that are asked to take one request.
MAX_PEERS = 3

# Time for which a peer is not asked after it has refused a connection or a request.
PEER_BACKOFF_S = 0.5

_RELAY_HEADERS = frozenset(
    name.lower()
    for name in (
        TIME_LEFT_HEADER,
        ATTEMPTS_HEADER,
        REFUSAL_HEADER,
        SERVER_HEADER,
        CONFIGURATION_HEADER,
        ID_HEADER,
    )
)
_COUNT = re.compile(r"[0-9]{1,9}")
_RELAY_ID = re.compile(r"[0-9a-f]{16}")
_RELAY_ID_BYTES = 8


class RelayDialect:
    """Headers of relayed requests, as seen by the VM that sends them.

    Explanation
    ===========

    A peer returns the id of the transfer with its response. Peers of older builds return none.
    Their responses are used unless they say that the request has not run, since nothing proves
    that they belong to it.
    """

    own_headers = frozenset({TIME_LEFT_HEADER.lower(), ID_HEADER.lower()})
    id_header = ID_HEADER

    def request_headers(self, request: AttemptRequest, remaining_ms: int) -> Headers:
        return (
            (TIME_LEFT_HEADER, str(max(1, remaining_ms))),
            (ID_HEADER, request.attempt_id),
        )

    def check_response(self, response: AttemptResponse, request: AttemptRequest) -> None:
        returned_id = find_header(response.headers, ID_HEADER)
        if returned_id is not None and returned_id != request.attempt_id:
            detail = f"{request.server} answered {returned_id!r} to {request.attempt_id!r}"
            raise AttemptError(FailureKind.WRONG_ATTEMPT_ID, detail)
        is_refused = is_relay_refusal(response.headers)
        if returned_id is None and (is_refused or response.status in NOT_RUN_STATUSES):
            detail = f"{request.server} answered {response.status} and names no request"
            raise AttemptError(FailureKind.UNNAMED_REFUSAL, detail, status=response.status)
        if is_refused:
            raise AttemptError(
                FailureKind.REFUSED,
                f"{request.server} did not take the request",
                headers=response.headers,
                status=response.status,
                names_request=True,
            )


class RelayedCallers:
    """Requests that a peer relays, as seen by the VM that receives them.

    :param callers: format of the callers' own headers.
    """

    def __init__(self, callers: CallerDialect) -> None:
        self._callers = callers
        self.id_header = callers.id_header

    def read(
        self, headers: Headers, method: str, path: str, target: str, body: bytes, now: float
    ) -> CallerRequest:
        own_headers = _without_relay_headers(headers)
        request = self._callers.read(own_headers, method, path, target, body, now)
        time_left_ms = _count(headers, TIME_LEFT_HEADER)
        attempts = _count(headers, ATTEMPTS_HEADER)
        return replace(
            request,
            time_left_s=request.time_left_s if time_left_ms is None else time_left_ms / 1000,
            relayed_attempts=1 if attempts is None else attempts,
            relay_id=_relay_id(headers),
            min_configuration=_count(headers, CONFIGURATION_HEADER) or 0,
        )


def relay_refusal(reason: str, is_temporary: bool = False) -> CallerResponse:
    """Return the response to a relayed request that this VM cannot serve either.

    :param is_temporary: whether this VM may take the next request.
    """
    response = rejection_response(reason, None)
    value = TEMPORARY_REFUSAL if is_temporary else "1"
    return replace(response, headers=(*response.headers, (REFUSAL_HEADER, value)))


def name_server(headers: Headers, process_id: str) -> Headers:
    """Return the headers of a response to another VM, with the server that it is from.

    Headers by which the server could speak for this VM are removed.
    """
    return (*_without_relay_headers(headers), (SERVER_HEADER, process_id))


def name_transfer(response: CallerResponse, request: CallerRequest) -> CallerResponse:
    """Return a response with the id by which the VM that relayed its request recognizes it."""
    if not request.relay_id:
        return response
    return replace(response, headers=(*response.headers, (ID_HEADER, request.relay_id)))


def is_relay_refusal(headers: Headers) -> bool:
    """Return whether a response says that the peer did not take the request."""
    return find_header(headers, REFUSAL_HEADER) is not None


def _is_temporary_refusal(error: AttemptError) -> bool:
    headers = error.headers or ()
    return find_header(headers, REFUSAL_HEADER) == TEMPORARY_REFUSAL


def _without_relay_headers(headers: Headers) -> Headers:
    return tuple(item for item in headers if item[0].lower() not in _RELAY_HEADERS)


def _relay_id(headers: Headers) -> str:
    value = find_header(headers, ID_HEADER)
    return value if value is not None and _RELAY_ID.fullmatch(value) else ""


def _count(headers: Headers, name: str) -> int | None:
    value = find_header(headers, name)
    return int(value) if value is not None and _COUNT.fullmatch(value) else None


class PeerRelay:
    """Sends requests that this VM cannot serve to peers that may.

    Explanation
    ===========

    The peer routes the request as one of its own callers', within the time and the attempts that
    are left, and does not relay it again. It refuses the request if its configuration is older than
    the one by which this VM routed it. Any other response is final, also a rejection.

    A request that a peer may have received counts as one that may have run, unless the peer
    refused it.

    :param client: client with a ``RelayDialect``.
    :param peers: returns the addresses to which a request may be relayed, given its home regions,
        in the order in which they should be tried.
    """

    def __init__(
        self,
        client: BackendClient,
        peers: Callable[[frozenset[str]], Sequence[Endpoint]],
        metrics: Metrics,
        now: Callable[[], float],
    ) -> None:
        self._client = client
        self._peers = peers
        self._metrics = metrics
        self._now = now
        self._backoff_until: dict[Endpoint, float] = {}

    async def send(self, context: RequestContext, attempts_left: int) -> CallerResponse | None:
        """Return the response of a peer, or ``None`` if none took the request.

        :raises AttemptError: when a peer may have received the request and did not respond.
        """
        for peer in self._candidates(context.route.home_regions)[:MAX_PEERS]:
            try:
                head = await self._client.attempt(self._request(context, peer, attempts_left))
                body, body_stream = await buffer_body(head, context.request.try_hold_response)
            except AttemptError as error:
                context.last_error = f"relay to {peer}: {error}"
                self._count(error.kind.value)
                if not (error.kind.is_before_sending or error.kind is FailureKind.REFUSED):
                    raise
                if error.kind is FailureKind.REFUSED:
                    self._record_refusal(context, peer, error.status)
                if not _is_temporary_refusal(error):
                    self._backoff_until[peer] = self._now() + PEER_BACKOFF_S
                continue
            self._count("answered")
            if head.status in NOT_RUN_STATUSES:
                self._record_refusal(context, peer, head.status)
            context.relayed_to = str(peer)
            context.relayed_server = find_header(head.headers, SERVER_HEADER)
            headers = _without_relay_headers(head.headers)
            return CallerResponse(head.status, headers, body, body_stream, head.content_length)
        return None

    def _record_refusal(self, context: RequestContext, peer: Endpoint, status: int) -> None:
        # The dialect accepts no refusal without the id.
        context.refusals.append(Refusal(RefusalSource.PEER, str(peer), status, True))

    def _candidates(self, home_regions: frozenset[str]) -> list[Endpoint]:
        now = self._now()
        self._backoff_until = {
            peer: until for peer, until in self._backoff_until.items() if until > now
        }
        return [peer for peer in self._peers(home_regions) if peer not in self._backoff_until]

    def _count(self, outcome: str) -> None:
        self._metrics.counter("relays_total", request_class=outcome).add()

    def _request(
        self, context: RequestContext, peer: Endpoint, attempts_left: int
    ) -> AttemptRequest:
        request = context.request
        left_s = context.deadline - self._now()
        own_headers = (
            (ATTEMPTS_HEADER, str(attempts_left)),
            (CONFIGURATION_HEADER, str(context.configuration_version)),
        )
        return AttemptRequest(
            server=peer,
            method=request.method,
            target=request.target,
            attempt_id=secrets.token_hex(_RELAY_ID_BYTES),
            deadline=asyncio.get_running_loop().time() + left_s,
            headers=(*_without_relay_headers(request.headers), *own_headers),
            body=request.body,
            head_timeout_s=left_s,
        )
