"""Configuration of ``logging``, with redaction of bearer tokens."""

import logging
import re
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["RedactingFilter", "configure_logging"]

_BEARER_TOKEN = re.compile(r"(?i)(bearer\s+)[^\s\"'\\]+")
_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({})))
_TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class RedactingFilter(logging.Filter):
    """Redacts bearer tokens in messages and fields, in case an error text contains one.

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
            if key not in _STANDARD_ATTRIBUTES and isinstance(value, str):
                setattr(record, key, _redact(value))
        return True


class _RedactingJsonFormatter(JsonFormatter):
    """Redacts the formatted line, since lists in fields and tracebacks may contain tokens too."""

    def format(self, record: logging.LogRecord) -> str:
        return _redact(super().format(record))


class _TextFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        fields = [
            f"{key}={value!r}"
            for key, value in vars(record).items()
            if key not in _STANDARD_ATTRIBUTES and key not in ("message", "asctime")
        ]
        return _redact(" ".join((super().format(record), *fields)))


def configure_logging(
    level: str, style: str, vm: str, handler: logging.Handler | None = None
) -> None:
    """Configure the root logger to write to standard error or to a handler.

    :param level: lowest level that is logged.
    :param style: ``json`` or ``text``.
    :param vm: name of the VM, which is added to each JSON record.
    :param handler: handler to use; ``None`` for standard error.
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
    return _BEARER_TOKEN.sub(r"\1[redacted]", text)
