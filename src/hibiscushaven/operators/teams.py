"""Which operator a bearer token belongs to."""

import asyncio
import hashlib
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result

from hibiscushaven.documents import (
    TEAMS_PREFIX,
    DocumentRowError,
    Operator,
    TeamRow,
)
from hibiscushaven.tablestore import Row, Table, UnavailableError

__all__ = ["TeamDirectory", "TeamsError", "TeamsUnavailableError", "UnauthorizedError"]

_LOG = logging.getLogger(__name__)

# Longest time that a withdrawn token still works while the table is up.
MAX_AGE_S = 10.0
# Unknown tokens cause no more reads than this; it also spaces tries during an outage.
MIN_AGE_S = 1.0


@dataclass(frozen=True, slots=True)
class TeamsError:
    """Base of the reasons why an operator is not known; a value, never raised."""


@dataclass(frozen=True, slots=True)
class UnauthorizedError(TeamsError):
    """No team has the token."""


@dataclass(frozen=True, slots=True)
class TeamsUnavailableError(TeamsError):
    """The table is unavailable and the token is not in the cache."""


class TeamDirectory:
    """Cached hashes of the rows ``teams/{team}``.

    Explanation
    ===========

    The cache stays in use while the table is down, so that operators can still read. Tokens are
    random, so that a plain SHA-256 digest of one reveals nothing.

    :param clock: returns seconds.
    """

    def __init__(self, table: Table, clock: Callable[[], float]) -> None:
        self._table = table
        self._clock = clock
        self._operators: dict[str, Operator] = {}
        self._read_at = float("-inf")
        self._tried_at = float("-inf")
        self._lock = asyncio.Lock()

    async def identify(self, token: str) -> Result[Operator, TeamsError]:
        """Return the operator of a token."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        await self._refresh(MAX_AGE_S)
        if digest not in self._operators:
            await self._refresh(MIN_AGE_S)
        operator = self._operators.get(digest)
        if operator is not None:
            return Ok(operator)
        if self._tried_at > self._read_at:
            return Error(TeamsUnavailableError())
        return Error(UnauthorizedError())

    async def _refresh(self, max_age_s: float) -> None:
        async with self._lock:
            now = self._clock()
            if now - self._read_at < max_age_s or now - self._tried_at < MIN_AGE_S:
                return
            self._tried_at = now
            try:
                rows = await self._table.read_prefix(TEAMS_PREFIX)
            except UnavailableError as error:
                _LOG.warning("teams cannot be read", extra={"reason": str(error)})
                return
            self._read_at = now
            self._operators = _by_digest(rows)


def _by_digest(rows: tuple[Row, ...]) -> dict[str, Operator]:
    """Return the operators by digest, without tokens that several teams have."""
    found: dict[str, Operator] = {}
    shared: set[str] = set()
    for digest, operator in _pairs(rows):
        if found.setdefault(digest, operator).team != operator.team:
            _LOG.error("a token is in two teams", extra={"team": operator.team})
            shared.add(digest)
    return {digest: operator for digest, operator in found.items() if digest not in shared}


def _pairs(rows: tuple[Row, ...]) -> Iterator[tuple[str, Operator]]:
    for row in rows:
        team = row.key.removeprefix(TEAMS_PREFIX)
        try:
            tokens = TeamRow.decode(row.value).tokens
        except DocumentRowError as error:
            _LOG.error("team row cannot be read", extra={"team": team, "reason": str(error)})
            continue
        for token in tokens:
            yield token.sha256, Operator(team, token.name)
