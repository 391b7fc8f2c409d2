"""Log records as JSON or text, without secrets."""

from .setup import RedactingFilter, configure_logs

__all__ = ["RedactingFilter", "configure_logs"]
