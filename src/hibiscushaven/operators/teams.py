"""Authentication of operators by the bearer tokens of their teams."""

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

__all__ = ["AuthenticationError", "TeamDirectory", "TeamsUnavailableError", "UnauthorizedError"]

_LOG = logging.getLogger(__name__)

# A revoked token is still accepted for at most this time while the table is available.
MAX_CACHE_AGE_S = 10.0
# Limits the reads that unknown tokens cause, and the attempts during an outage of the table.
MIN_REFRESH_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class AuthenticationError:
    """Base class of the reasons why authentication failed; returned as a value, never raised."""


@dataclass(frozen=True, slots=True)
class UnauthorizedError(AuthenticationError):
    """The token belongs to no team, or to several."""


@dataclass(frozen=True, slots=True)
class TeamsUnavailableError(AuthenticationError):
    """The table is unavailable and the token is not in the cache."""


class TeamDirectory:
    """Cache of the token digests in the rows ``teams/{team}``.

    Explanation
    ===========

    The cache is used beyond its maximum age while the table is down, so that operators can still
    read documents. Tokens are random, so that an unsalted SHA-256 digest reveals nothing about
    them.

    :param clock: returns a time in seconds.
    """

    def __init__(self, table: Table, clock: Callable[[], float]) -> None:
        self._table = table
        self._clock = clock
        self._operators: dict[str, Operator] = {}
        self._read_at = float("-inf")
        self._attempted_at = float("-inf")
        self._lock = asyncio.Lock()

    async def authenticate(self, token: str) -> Result[Operator, AuthenticationError]:
        """Return the operator whom a token identifies."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        await self._refresh(MAX_CACHE_AGE_S)
        if digest not in self._operators:
            await self._refresh(MIN_REFRESH_INTERVAL_S)
        operator = self._operators.get(digest)
        if operator is not None:
            return Ok(operator)
        if self._attempted_at > self._read_at:
            return Error(TeamsUnavailableError())
        return Error(UnauthorizedError())

    async def _refresh(self, max_age_s: float) -> None:
        """Read the teams if the cache has reached an age and the last attempt is not too recent."""
        async with self._lock:
            now = self._clock()
            if now - self._read_at < max_age_s or now - self._attempted_at < MIN_REFRESH_INTERVAL_S:
                return
            self._attempted_at = now
            try:
                rows = await self._table.read_prefix(TEAMS_PREFIX)
            except UnavailableError as error:
                _LOG.warning("teams cannot be read", extra={"reason": str(error)})
                return
            self._read_at = now
            self._operators = _operators_by_digest(rows)


def _operators_by_digest(rows: tuple[Row, ...]) -> dict[str, Operator]:
    """Return the operators by token digest, without the tokens that several teams have."""
    operators: dict[str, Operator] = {}
    shared: set[str] = set()
    for digest, operator in _iterate_tokens(rows):
        if operators.setdefault(digest, operator).team != operator.team:
            _LOG.error("a token is in two teams", extra={"team": operator.team})
            shared.add(digest)
    return {digest: operator for digest, operator in operators.items() if digest not in shared}


def _iterate_tokens(rows: tuple[Row, ...]) -> Iterator[tuple[str, Operator]]:
    for row in rows:
        team = row.key.removeprefix(TEAMS_PREFIX)
        try:
            tokens = TeamRow.decode(row.value).tokens
        except DocumentRowError as error:
            _LOG.error("team row cannot be read", extra={"team": team, "reason": str(error)})
            continue
        for token in tokens:
            yield token.sha256, Operator(team, token.name)
