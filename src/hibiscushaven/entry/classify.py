"""Validates a caller's request against the document in force."""

import hashlib
import hmac
from urllib.parse import unquote

from expression import Error, Ok, Result

from hibiscushaven.documents import Caller, CatalogEntry, DocumentCatalog, RequestClass

from .problems import Problem
from .requests import CallerRequest, ClassifiedRequest

__all__ = ["classify"]

_MAX_KEY_LENGTH = 255
_MAX_DECODINGS = 4


def classify(
    catalog: DocumentCatalog, request: CallerRequest, now: float
) -> Result[ClassifiedRequest, Problem]:
    """Return the request with its caller, class and deadline, or the problem to refuse it with.

    :param now: time on the daemon's clock at which the request was received.
    """
    entry = catalog.get(request.service)
    if entry is None:
        detail = f"no document of service {request.service!r} is in force"
        return Error(Problem(404, "no such service", detail))
    if _is_reserved(request.path):
        detail = f"path {request.path!r} is reserved or not normalized"
        return Error(Problem(400, "bad path", detail))
    caller = _find_caller(entry, request.token)
    if caller is None and entry.document.callers:
        return Error(Problem(401, "unknown caller", "a bearer token of a caller is required"))
    request_class = entry.document.classify(request.method, request.path)
    if request_class is None:
        detail = f"no class matches {request.method} {request.path!r}"
        return Error(Problem(404, "no such request class", detail))
    problem = _check_idempotency_key(request, request_class)
    if problem is not None:
        return Error(problem)
    timeout_ms = request_class.deadline_ms
    if request.timeout_ms is not None:
        timeout_ms = min(timeout_ms, request.timeout_ms)
    return Ok(ClassifiedRequest(request, entry, caller, request_class, now + timeout_ms / 1000))


def _is_reserved(path: str) -> bool:
    """Return whether a path may be interpreted as a control endpoint of a backend server.

    Backend servers differ in how they decode and normalize paths. A path is refused if any
    common decoding or normalization leads to a control endpoint.
    """
    decoded = path
    for _ in range(_MAX_DECODINGS):
        path, decoded = decoded, unquote(decoded)
    if decoded != path or "\\" in decoded:
        return True
    # Some servers strip path parameters, and most merge repeated slashes.
    segments = [segment.partition(";")[0] for segment in decoded.split("/")]
    nonempty = [segment for segment in segments if segment]
    return nonempty[:1] == ["-"] or any(segment in (".", "..") for segment in nonempty)


def _find_caller(entry: CatalogEntry, token: str | None) -> Caller | None:
    if token is None:
        return None
    digest = hashlib.sha256(token.encode()).hexdigest()
    found = None
    for caller in entry.document.callers:
        if hmac.compare_digest(caller.token_sha256, digest):
            found = caller
    return found


def _check_idempotency_key(request: CallerRequest, request_class: RequestClass) -> Problem | None:
    if request_class.is_idempotent:
        return None
    if not request.key:
        detail = f"class {request_class.name!r} is not idempotent"
        return Problem(400, "Idempotency-Key required", detail)
    if len(request.key) > _MAX_KEY_LENGTH:
        detail = f"{len(request.key)} characters, at most {_MAX_KEY_LENGTH} are allowed"
        return Problem(400, "Idempotency-Key too long", detail)
    return None
