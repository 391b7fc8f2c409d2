"""Table rows of documents and teams: ``documents/``, ``history/``, ``heads`` and ``teams/``."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgpack

from .diff import Difference

__all__ = [
    "HEADS_KEY",
    "TEAMS_PREFIX",
    "DocumentRow",
    "DocumentRowError",
    "HistoryRow",
    "Operator",
    "TeamRow",
    "TeamToken",
    "decode_heads",
    "document_key",
    "encode_heads",
    "history_key",
    "history_prefix",
    "team_key",
]

# Row with the newest revision of every service, so that a poll reads one row if nothing changed.
HEADS_KEY = "heads"
TEAMS_PREFIX = "teams/"


class DocumentRowError(Exception):
    """A value in the table cannot be decoded by this version."""


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator, identified by a team and the name of one of its tokens."""

    team: str
    name: str


@dataclass(frozen=True, slots=True)
class DocumentRow:
    """Value of the row ``documents/{service}``, which VMs also send to each other.

    :ivar team: the team that owns the service.
    :ivar operation: random id of the edit, which shows whether it took effect after its response
        was lost.
    :ivar accepted_at: Unix time in seconds at which the edit was sent to the table.
    :ivar ramp: share of the service's traffic by place at ``accepted_at``.
    """

    service: str
    team: str
    text: str
    revision: int
    operation: str
    operator: Operator
    accepted_at: float
    ramp: Mapping[str, float] = field(default_factory=dict)

    def encode(self) -> bytes:
        return msgpack.packb(
            {
                "service": self.service,
                "team": self.team,
                "text": self.text,
                "revision": self.revision,
                "operation": self.operation,
                "operator": [self.operator.team, self.operator.name],
                "accepted_at": self.accepted_at,
                "ramp": dict(self.ramp),
            }
        )

    @classmethod
    def decode(cls, value: bytes) -> "DocumentRow":
        """Decode the value of a row.

        :raises DocumentRowError: when the value is not a document row.
        """
        raw = _unpack(value)
        try:
            names = ("service", "team", "text", "revision", "operation", "accepted_at", "ramp")
            return cls(operator=Operator(*raw["operator"]), **{name: raw[name] for name in names})
        except (TypeError, KeyError) as error:
            raise DocumentRowError(f"not a document row: {len(value)} bytes") from error


@dataclass(frozen=True, slots=True)
class HistoryRow:
    """Value of the row ``history/{service}/{revision}``, written once.

    :ivar changes: differences from the previous revision, without credentials.
    """

    document: DocumentRow
    changes: tuple[Difference, ...]

    def encode(self) -> bytes:
        changes = [[item.section, item.key, item.before, item.after] for item in self.changes]
        return msgpack.packb({"document": self.document.encode(), "changes": changes})

    @classmethod
    def decode(cls, value: bytes) -> "HistoryRow":
        """Decode the value of a row.

        :raises DocumentRowError: when the value is not a history row.
        """
        raw = _unpack(value)
        try:
            changes = tuple(Difference(*item) for item in raw["changes"])
            return cls(DocumentRow.decode(raw["document"]), changes)
        except (TypeError, KeyError) as error:
            raise DocumentRowError(f"not a history row: {len(value)} bytes") from error


@dataclass(frozen=True, slots=True)
class TeamToken:
    """A credential of a team; the history shows its name as the operator's."""

    name: str
    sha256: str


@dataclass(frozen=True, slots=True)
class TeamRow:
    """Value of the row ``teams/{team}``."""

    team: str
    tokens: tuple[TeamToken, ...]

    def encode(self) -> bytes:
        return msgpack.packb(
            {"team": self.team, "tokens": [[item.name, item.sha256] for item in self.tokens]}
        )

    @classmethod
    def decode(cls, value: bytes) -> "TeamRow":
        """Decode the value of a row.

        :raises DocumentRowError: when the value is not a team row.
        """
        raw = _unpack(value)
        try:
            return cls(raw["team"], tuple(TeamToken(*item) for item in raw["tokens"]))
        except (TypeError, KeyError) as error:
            raise DocumentRowError(f"not a team row: {len(value)} bytes") from error


def document_key(service: str) -> str:
    return f"documents/{service}"


def history_prefix(service: str) -> str:
    return f"history/{service}/"


def history_key(service: str, revision: int) -> str:
    return f"{history_prefix(service)}{revision}"


def team_key(team: str) -> str:
    return TEAMS_PREFIX + team


def encode_heads(heads: Mapping[str, int]) -> bytes:
    """Return the value of the row ``heads``: the newest revision by service."""
    return msgpack.packb(dict(heads))


def decode_heads(value: bytes | None) -> dict[str, int]:
    """Return the newest revision by service, empty if the row does not exist.

    :raises DocumentRowError: when the value is not a map of revisions.
    """
    heads = {} if value is None else _unpack(value)
    if not all(isinstance(revision, int) for revision in heads.values()):
        raise DocumentRowError("the row 'heads' contains a revision that is not an integer")
    return heads


def _unpack(value: bytes) -> dict:
    try:
        raw = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException) as error:
        raise DocumentRowError(f"not msgpack: {len(value)} bytes") from error
    if not isinstance(raw, dict):
        raise DocumentRowError(f"not a map: {len(value)} bytes")
    return raw
