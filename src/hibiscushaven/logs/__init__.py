"""Log records as JSON or text, with bearer tokens redacted."""

from .bounded import BoundedHandler
from .setup import RedactingFilter, configure_logging

__all__ = ["BoundedHandler", "RedactingFilter", "configure_logging"]
