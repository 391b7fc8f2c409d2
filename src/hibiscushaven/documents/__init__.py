"""Service documents: model, parser, differences, publishing and distribution."""

from .catalog import CatalogEntry, DocumentCatalog
from .diff import Difference, diff_documents
from .distribution import (
    DocumentDistributor,
    DocumentPush,
    DocumentSnapshot,
    DocumentSnapshotRequest,
    DocumentStatus,
    Poll,
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
    Caller,
    LinkCap,
    Place,
    RequestClass,
    Server,
    ServiceDocument,
    Size,
    State,
)
from .parser import parse_document
from .publishing import MAX_DOCUMENT_BYTES, DocumentPublisher, HistoryEntry, Published
from .rows import TEAMS_PREFIX, DocumentRow, DocumentRowError, Operator, TeamRow, TeamToken

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "TEAMS_PREFIX",
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
    "Poll",
    "PublishError",
    "PublishUnavailableError",
    "PublishUnknownError",
    "Published",
    "RequestClass",
    "RevisionConflictError",
    "Server",
    "ServiceDocument",
    "Size",
    "State",
    "TeamRow",
    "TeamToken",
    "VmRevision",
    "diff_documents",
    "parse_document",
]
