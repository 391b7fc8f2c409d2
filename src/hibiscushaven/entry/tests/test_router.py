"""Guards the outcome that a caller is told when a request went several ways."""

import asyncio
from types import SimpleNamespace

import pytest

from hibiscushaven.delivery import Outcome
from hibiscushaven.entry.errors import RouteError
from hibiscushaven.entry.problems import Problem
from hibiscushaven.entry.router import RequestRouter

_ITEM = SimpleNamespace(
    request=SimpleNamespace(id="r1"),
    request_class=SimpleNamespace(is_idempotent=True),
    deadline=10.0,
)
_CLOCK = SimpleNamespace(now=lambda: 0.0)


class _Routes:
    """Fails with the given errors in turn; ``None`` stands for no place."""

    def __init__(self, *errors: RouteError | None) -> None:
        self._errors = list(errors)

    def note_arrival(self, item) -> None:
        return None

    def choose_domain(self, item, is_last=False) -> str | None:
        return "domain" if self._errors[0] is not None else None

    def no_place(self, item) -> Problem:
        return Problem(503, "no place may take the request")

    async def send(self, item, domain: str):
        raise self._errors.pop(0)


def _lost(outcome: Outcome) -> RouteError:
    return RouteError(outcome, "the connection was silent", None, is_route_lost=True)


@pytest.mark.parametrize(
    ("errors", "outcome"),
    [
        ((_lost(Outcome.UNKNOWN), RouteError(Outcome.NOT_RUN, "no-server", 1.0)), "unknown"),
        ((_lost(Outcome.UNKNOWN), None), "unknown"),
        ((_lost(Outcome.UNKNOWN), *[_lost(Outcome.NOT_RUN)] * 2), "unknown"),
        ((_lost(Outcome.NOT_RUN), RouteError(Outcome.NOT_RUN, "no-server", 1.0)), "not-run"),
        ((_lost(Outcome.NOT_RUN), None), "not-run"),
    ],
)
def test_refusal_after_a_lost_way_is_no_proof(errors, outcome):
    """A refusal of the second way must not hide that the first may have run the request."""
    router = RequestRouter(None, _Routes(*errors), _CLOCK)
    result = asyncio.run(router.handle(_ITEM))
    assert result.error.outcome == outcome
