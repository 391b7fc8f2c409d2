"""Publication of documents through conditional writes of table rows."""

import asyncio
import logging
import math
import uuid
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from hibiscushaven.ini import IniProblem
from hibiscushaven.tablestore import (
    ConflictError,
    OutcomeUnknownError,
    Row,
    Table,
    UnavailableError,
    Write,
)

from .diff import Difference, diff_documents
from .errors import (
    ForbiddenError,
    InvalidDocumentError,
    PublishError,
    PublishUnavailableError,
    PublishUnknownError,
    RevisionConflictError,
)
from .model import ServiceDocument
from .parser import parse_document
from .rows import (
    HEADS_KEY,
    DocumentRow,
    DocumentRowError,
    HistoryRow,
    Operator,
    decode_heads,
    document_key,
    encode_heads,
    history_key,
    history_prefix,
    team_key,
)

__all__ = ["MAX_DOCUMENT_BYTES", "DocumentPublisher", "HistoryEntry", "PublishedDocument"]

_LOG = logging.getLogger(__name__)

MAX_DOCUMENT_BYTES = 1024 * 1024
MAX_PLACES_IN_RAMP = 1024
# Publications of other services write the row 'heads' as well, and each such conflict costs an
# attempt.
MAX_ATTEMPTS = 24
# A stale read may return an older revision than the operator saw at another VM. After this many
# reads the edit is rejected as a conflict, which is harmless because nothing was written.
MAX_READS = 8
# Delay between attempts while it is unknown whether the edit took effect.
OUTCOME_POLL_DELAY_S = 0.25


@dataclass(frozen=True, slots=True)
class PublishedDocument:
    """A document that was accepted.

    :ivar operation: random id of the edit, as the history shows it.
    :ivar accepted_at: Unix time in seconds.
    :ivar row: value of the table row, to be put in force and pushed to peers.
    """

    service: str
    revision: int
    operation: str
    accepted_at: float
    row: bytes


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted edit.

    :ivar changes: differences from the previous revision, without credentials.
    """

    service: str
    revision: int
    operator: Operator
    accepted_at: float
    operation: str
    changes: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class _Edit:
    """An edit to be published.

    :ivar expected_revision: the revision that the edit is based on, 0 to create a document.
    """

    document: ServiceDocument
    text: str
    expected_revision: int
    operation: str
    operator: Operator
    ramp: Mapping[str, float]

    @property
    def service(self) -> str:
        return self.document.name

    @property
    def revision(self) -> int:
        return self.expected_revision + 1


class DocumentPublisher:
    """Publishes documents: of several edits based on one revision, exactly one is accepted.

    :param clock: returns Unix time in seconds.
    :param sleep: waits a number of seconds; used between attempts while the outcome is unknown.
    :param new_id: returns a random operation id.
    """

    def __init__(
        self,
        table: Table,
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._table = table
        self._clock = clock
        self._sleep = sleep
        self._new_id = new_id

    async def publish(
        self,
        service: str,
        text: str,
        expected_revision: int | None,
        operator: Operator,
        ramp: Mapping[str, float],
    ) -> Result[PublishedDocument, PublishError]:
        """Publish a document.

        :param expected_revision: revision that the edit is based on, or ``None`` to create a
            document.
        :param ramp: current share of the service's traffic by place.
        :raises ValueError: when the ramp has too many places or a share outside 0 to 1.
        """
        _check_ramp(ramp)
        problems, document = _parse_edit(service, text)
        if document is None:
            return Error(InvalidDocumentError(problems))
        edit = _Edit(document, text, expected_revision or 0, self._new_id(), operator, dict(ramp))
        result = await self._publish(edit)
        extra = {"service": service, "team": operator.team, "operator": operator.name}
        extra["result"] = type(result.error).__name__ if result.is_error() else "accepted"
        _LOG.info("document edit processed", extra=extra)
        return result

    async def history(
        self, service: str
    ) -> Result[tuple[HistoryEntry, ...], PublishUnavailableError]:
        """Return the accepted edits of a service, newest first."""
        try:
            rows = await self._table.read_prefix(history_prefix(service))
        except UnavailableError:
            return Error(PublishUnavailableError())
        entries = (_history_entry(row) for row in rows)
        valid_entries = [entry for entry in entries if entry is not None]
        return Ok(tuple(sorted(valid_entries, key=lambda entry: -entry.revision)))

    async def _publish(self, edit: _Edit) -> Result[PublishedDocument, PublishError]:
        is_outcome_unknown = False
        for _ in range(MAX_ATTEMPTS):
            try:
                if is_outcome_unknown:
                    accepted = await self._read_accepted(edit)
                    if accepted is not None and accepted.operation == edit.operation:
                        return Ok(_published_document(accepted))
                    is_outcome_unknown = accepted is None
                prepared = await self._prepare_writes(edit)
                if prepared.is_ok():
                    row, writes = prepared.ok
                    await self._table.transact(writes)
                    return Ok(_published_document(row))
                if not is_outcome_unknown:
                    return Error(prepared.error)
            except ConflictError:
                continue
            except UnavailableError:
                if not is_outcome_unknown:
                    return Error(PublishUnavailableError())
            except OutcomeUnknownError:
                is_outcome_unknown = True
            except DocumentRowError as error:
                _LOG.error("document row cannot be read", extra={"reason": str(error)})
                if not is_outcome_unknown:
                    return Error(PublishUnavailableError())
            await self._sleep(OUTCOME_POLL_DELAY_S)
        if is_outcome_unknown:
            return Error(PublishUnknownError(edit.operation, edit.revision))
        return Error(PublishUnavailableError())

    async def _read_accepted(self, edit: _Edit) -> DocumentRow | None:
        """Return the document accepted as the edit's revision, or ``None`` if none is found.

        A history row is written only once, so that a read that finds it always shows the
        accepted edit.
        """
        row = await self._table.read(history_key(edit.service, edit.revision))
        return None if row is None else HistoryRow.decode(row.value).document

    async def _prepare_writes(
        self, edit: _Edit
    ) -> Result[tuple[DocumentRow, tuple[Write, ...]], PublishError]:
        """Return the writes of an edit based on the stored rows, or why it is rejected."""
        stored = await self._read_document(edit)
        current = None if stored is None else DocumentRow.decode(stored.value)
        before = None if current is None else _parse_stored(current)
        rejection = await self._rejection_reason(edit, current, before)
        if rejection is not None:
            return Error(rejection)
        heads = await self._table.read(HEADS_KEY)
        revisions = decode_heads(None if heads is None else heads.value)
        document = DocumentRow(
            edit.service,
            edit.document.team,
            edit.text,
            edit.revision,
            edit.operation,
            edit.operator,
            self._clock(),
            edit.ramp,
        )
        history = HistoryRow(document, diff_documents(before, edit.document))
        newest = encode_heads({**revisions, edit.service: edit.revision})
        return Ok(
            (
                document,
                (
                    Write(document_key(edit.service), document.encode(), _stored_version(stored)),
                    Write(history_key(edit.service, edit.revision), history.encode(), 0),
                    Write(HEADS_KEY, newest, _stored_version(heads)),
                ),
            )
        )

    async def _read_document(self, edit: _Edit) -> Row | None:
        """Read the document's row until it has the expected revision, up to ``MAX_READS`` times."""
        row = None
        for _ in range(MAX_READS):
            row = await self._table.read(document_key(edit.service))
            revision = 0 if row is None else DocumentRow.decode(row.value).revision
            if revision >= edit.expected_revision:
                break
        return row

    async def _rejection_reason(
        self, edit: _Edit, current: DocumentRow | None, before: ServiceDocument | None
    ) -> PublishError | None:
        """Return why an edit is rejected, or ``None`` if it is valid.

        The write of the document row expects the version that this check was made on, so that a
        concurrent change of the owner makes the write conflict.
        """
        owner = edit.document.team if current is None else current.team
        if owner != edit.operator.team:
            return ForbiddenError(f"service {edit.service!r} belongs to another team")
        revision = 0 if current is None else current.revision
        if revision != edit.expected_revision:
            return RevisionConflictError(
                revision,
                None if current is None else current.operator,
                0.0 if current is None else current.accepted_at,
                diff_documents(before, edit.document),
            )
        is_new_owner = current is None or owner != edit.document.team
        if is_new_owner and not await self._has_token(edit.document.team):
            return ForbiddenError(f"team {edit.document.team!r} has no token")
        return None

    async def _has_token(self, team: str) -> bool:
        """Return whether a team has a row; repeated because a stale read may miss a new row."""
        for _ in range(MAX_READS):
            if await self._table.read(team_key(team)) is not None:
                return True
        return False


def _check_ramp(ramp: Mapping[str, float]) -> None:
    if len(ramp) > MAX_PLACES_IN_RAMP:
        raise ValueError(f"a ramp of {len(ramp)} places exceeds {MAX_PLACES_IN_RAMP}")
    for place, share in ramp.items():
        if not (math.isfinite(share) and 0 <= share <= 1):
            raise ValueError(f"the share of place {place!r} is {share}, not from 0 to 1")


def _parse_edit(service: str, text: str) -> tuple[tuple[IniProblem, ...], ServiceDocument | None]:
    """Return the problems of a text and its document, which is ``None`` if there are any."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        return (IniProblem("file", "", None, f"at most {MAX_DOCUMENT_BYTES} bytes"),), None
    result = parse_document(text)
    if result.is_error():
        return result.error, None
    if result.ok.name != service:
        problem = IniProblem("service", "name", result.ok.name, f"the service's name, {service}")
        return (problem,), None
    return (), result.ok


def _parse_stored(row: DocumentRow) -> ServiceDocument | None:
    """Return the document of a stored row, or ``None`` if this version cannot parse it."""
    result = parse_document(row.text)
    return None if result.is_error() else result.ok


def _published_document(row: DocumentRow) -> PublishedDocument:
    return PublishedDocument(
        row.service, row.revision, row.operation, row.accepted_at, row.encode()
    )


def _stored_version(row: Row | None) -> int:
    return 0 if row is None else row.version


def _history_entry(row: Row) -> HistoryEntry | None:
    try:
        history_row = HistoryRow.decode(row.value)
    except DocumentRowError as error:
        _LOG.error("history row cannot be read", extra={"row": row.key, "reason": str(error)})
        return None
    document = history_row.document
    return HistoryEntry(
        document.service,
        document.revision,
        document.operator,
        document.accepted_at,
        document.operation,
        history_row.changes,
    )
