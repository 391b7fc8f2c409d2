"""Tests of the redaction of log records."""

import io
import json
import logging
import sys

import pytest

from hibiscushaven.logs import configure_logging


@pytest.fixture
def root():
    logger = logging.getLogger()
    before = logger.handlers[:], logger.level
    yield logger
    logger.handlers[:], level = before
    logger.setLevel(level)


@pytest.mark.parametrize("style", ["json", "text"])
def test_no_record_contains_a_bearer_token(root, monkeypatch, style):
    """Guards against leaked tokens in messages, arguments, fields, lists and tracebacks."""
    stream = io.StringIO()
    monkeypatch.setattr(sys, "stderr", stream)
    configure_logging("debug", style, "vm-1")
    log = logging.getLogger("test")
    log.info("sent Bearer secret1 on")
    log.info("sent %s", "authorization: bearer secret2")
    log.info("sent", extra={"header": "Bearer secret3"})
    log.info("sent", extra={"headers": [("Authorization", "Bearer secret4")]})
    log.info("sent", extra={"quoted": '{"Authorization": "Bearer secret5"}'})
    try:
        raise ValueError("refused 'Bearer secret6'")
    except ValueError:
        log.exception("failed")
    lines = stream.getvalue()
    assert "secret" not in lines
    assert lines.count("[redacted]") >= 6
    if style == "json":
        records = [json.loads(line) for line in lines.splitlines()]
        assert {item["vm"] for item in records} == {"vm-1"}
