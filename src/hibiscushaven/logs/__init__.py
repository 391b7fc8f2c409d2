"""Log records as JSON or text, without secrets."""

from .bounded import BoundedHandler
from .setup import RedactingFilter, configure_logs

__all__ = ["BoundedHandler", "RedactingFilter", "configure_logs"]
