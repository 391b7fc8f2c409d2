"""Tests of the outcome that is reported for a request sent over several routes."""

import asyncio
from types import SimpleNamespace

import pytest

from hibiscushaven.delivery import Outcome
from hibiscushaven.entry.errors import RouteError
from hibiscushaven.entry.problems import Problem
from hibiscushaven.entry.router import RequestRouter

_CLASSIFIED = SimpleNamespace(
    request=SimpleNamespace(id="r1"),
    request_class=SimpleNamespace(is_idempotent=True),
    deadline=10.0,
)
_CLOCK = SimpleNamespace(now=lambda: 0.0)


class _Forwarder:
    """Fails with the given errors in turn; ``None`` means that no place is available."""

    def __init__(self, *errors: RouteError | None) -> None:
        self._errors = list(errors)

    def record_arrival(self, classified) -> None:
        return None

    def choose_domain(self, classified, is_last=False) -> str | None:
        return "domain" if self._errors[0] is not None else None

    def no_place_problem(self, classified) -> Problem:
        return Problem(503, "no place may take the request")

    async def send(self, classified, domain: str):
        raise self._errors.pop(0)


def _route_failure(outcome: Outcome) -> RouteError:
    return RouteError(outcome, "the connection was silent", None, is_route_failure=True)


@pytest.mark.parametrize(
    ("errors", "outcome"),
    [
        (
            (_route_failure(Outcome.UNKNOWN), RouteError(Outcome.NOT_RUN, "no-server", 1.0)),
            "unknown",
        ),
        ((_route_failure(Outcome.UNKNOWN), None), "unknown"),
        ((_route_failure(Outcome.UNKNOWN), *[_route_failure(Outcome.NOT_RUN)] * 2), "unknown"),
        (
            (_route_failure(Outcome.NOT_RUN), RouteError(Outcome.NOT_RUN, "no-server", 1.0)),
            "not-run",
        ),
        ((_route_failure(Outcome.NOT_RUN), None), "not-run"),
    ],
)
def test_refusal_after_a_failed_route_keeps_the_unknown_outcome(errors, outcome):
    """Guards against reporting "not-run" although an earlier route may have run the request."""
    router = RequestRouter(None, _Forwarder(*errors), _CLOCK)
    result = asyncio.run(router.handle(_CLASSIFIED))
    assert result.error.outcome == outcome
