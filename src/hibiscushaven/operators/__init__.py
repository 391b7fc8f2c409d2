"""HTTP interface for operators: documents, and their history and status."""

from .context import OperatorContext
from .routes import operator_routes
from .teams import TeamDirectory, TeamsUnavailableError, UnauthorizedError

__all__ = [
    "OperatorContext",
    "TeamDirectory",
    "TeamsUnavailableError",
    "UnauthorizedError",
    "operator_routes",
]
