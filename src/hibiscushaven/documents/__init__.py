"""Service documents: model, parser and distribution."""

from .catalog import CatalogEntry, DocumentCatalog
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

__all__ = [
    "Caller",
    "CatalogEntry",
    "DocumentCatalog",
    "LinkCap",
    "Place",
    "RequestClass",
    "Server",
    "ServiceDocument",
    "Size",
    "State",
    "parse_document",
]
