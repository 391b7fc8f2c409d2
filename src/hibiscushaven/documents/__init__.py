"""Service documents: data model, parser, differences, publishing and distribution."""

from .catalog import CatalogEntry, DocumentCatalog
from .diff import Difference, diff_documents
from .distribution import (
    DocumentDistributor,
    DocumentPush,
    DocumentSnapshot,
    DocumentSnapshotRequest,
    DocumentStatus,
    PollResult,
    VmRevision,
)
from .errors import (
    ForbiddenError,
    InvalidDocumentError,
    PublishError,
    PublishUnavailableError,
    PublishUnknownError,
    RevisionConflictError,
)
from .model import (
    AdminState,
    Caller,
    LinkCap,
    Place,
    RequestClass,
    RequestSize,
    Server,
    ServiceDocument,
)
from .parser import parse_document
from .publishing import MAX_DOCUMENT_BYTES, DocumentPublisher, HistoryEntry, PublishedDocument
from .rows import TEAMS_PREFIX, DocumentRow, DocumentRowError, Operator, TeamRow, TeamToken

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "TEAMS_PREFIX",
    "AdminState",
    "Caller",
    "CatalogEntry",
    "Difference",
    "DocumentCatalog",
    "DocumentDistributor",
    "DocumentPublisher",
    "DocumentPush",
    "DocumentRow",
    "DocumentRowError",
    "DocumentSnapshot",
    "DocumentSnapshotRequest",
    "DocumentStatus",
    "ForbiddenError",
    "HistoryEntry",
    "InvalidDocumentError",
    "LinkCap",
    "Operator",
    "Place",
    "PollResult",
    "PublishError",
    "PublishUnavailableError",
    "PublishUnknownError",
    "PublishedDocument",
    "RequestClass",
    "RequestSize",
    "RevisionConflictError",
    "Server",
    "ServiceDocument",
    "TeamRow",
    "TeamToken",
    "VmRevision",
    "diff_documents",
    "parse_document",
]
