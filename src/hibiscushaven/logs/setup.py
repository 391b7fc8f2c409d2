"""Set-up of ``logging`` from settings."""

import logging
import re
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["RedactingFilter", "configure_logs"]

_SECRET = re.compile(r"(?i)(bearer\s+)[^\s\"'\\]+")
_STANDARD = frozenset(vars(logging.makeLogRecord({})))
_TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class RedactingFilter(logging.Filter):
    """Removes bearer tokens from messages and fields, in case one ends up in an error text.

    Examples
    ========

    >>> record = logging.makeLogRecord({"msg": "sent Bearer abc"})
    >>> RedactingFilter().filter(record), record.msg
    (True, 'sent Bearer [redacted]')

    """

    def filter(self, record: logging.LogRecord) -> bool:
        record.msg = _redact(record.getMessage())
        record.args = ()
        for key, value in vars(record).items():
            if key not in _STANDARD and isinstance(value, str):
                setattr(record, key, _redact(value))
        return True


class _RedactingJsonFormatter(JsonFormatter):
    """Redacts whole lines, since fields may hold lists and tracebacks may hold values."""

    def format(self, record: logging.LogRecord) -> str:
        return _redact(super().format(record))


class _TextFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        fields = [
            f"{key}={value!r}"
            for key, value in vars(record).items()
            if key not in _STANDARD and key not in ("message", "asctime")
        ]
        return _redact(" ".join((super().format(record), *fields)))


def configure_logs(level: str, style: str, vm: str, handler: logging.Handler | None = None) -> None:
    """Send log records to standard error, or to a handler.

    :param level: lowest level that is logged.
    :param style: ``json`` or ``text``.
    :param vm: name of the VM, put on each JSON record.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    if style == "json":
        formatter: logging.Formatter = _RedactingJsonFormatter(
            "{asctime}{levelname}{name}{message}", style="{", static_fields={"vm": vm}
        )
    else:
        formatter = _TextFormatter(_TEXT_FORMAT)
    handler.setFormatter(formatter)
    handler.addFilter(RedactingFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def _redact(text: str) -> str:
    return _SECRET.sub(r"\1[redacted]", text)
