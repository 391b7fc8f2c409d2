"""Tests of the ``gateway`` and ``explain`` commands."""

import json
import signal

from click.testing import CliRunner

from hibiscushaven.commands import main
from hibiscushaven.gateway import settings
from hibiscushaven.gateway.settings import load_gateway_settings
from hibiscushaven.gateway.tests.test_settings import VALID_SETTINGS


def run(*arguments):
    return CliRunner().invoke(main, arguments)


def test_gateway_ignores_hangups_until_it_has_read_its_settings(tmp_path, monkeypatch):
    """Guards against a process that ends since its settings change during its start."""
    dispositions = []

    def load(path):
        dispositions.append(signal.getsignal(signal.SIGHUP))
        return load_gateway_settings(path)

    monkeypatch.setattr(settings, "load_gateway_settings", load)
    previous = signal.getsignal(signal.SIGHUP)
    try:
        run("gateway", "--settings", str(tmp_path / "missing.ini"))
    finally:
        signal.signal(signal.SIGHUP, previous)
    assert dispositions == [signal.SIG_IGN]


def test_help_lists_every_command():
    """Guards against a command that is missing from the help."""
    output = run("--help").output
    for name in ("demo", "document", "entry", "explain", "gateway", "lookup", "request"):
        assert name in output
    assert run("nonsense").exit_code == 2


def test_settings_are_checked(tmp_path):
    """Guards against invalid settings that pass ``--check``."""
    path = tmp_path / "gateway.ini"
    path.write_text(VALID_SETTINGS)
    assert run("gateway", "--settings", str(path), "--check").exit_code == 0
    path.write_text(VALID_SETTINGS.replace("grace = 6s", "grace = soon"))
    result = run("gateway", "--settings", str(path), "--check")
    assert result.exit_code == 2 and "grace = 'soon'" in result.output


def test_request_is_explained_across_files(tmp_path):
    """Guards against missing lines of the request, and lines of other requests or VMs."""
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("noise\n" + _line("a", "store lost", why="status 503"))
    second.write_text(
        "  1.2 b " + _line("b", "attempt failed", request_id="x", stop="refused")
        + _line("b", "request ended", request_id="x", status=503)
        + _line("b", "request ended", request_id="y", status=200)
    )  # fmt: skip
    output = run("explain", "x", str(first), str(second)).output
    assert "stop='refused'" in output and "status=503" in output
    assert "status=200" not in output and "store lost" not in output
    missing = run("explain", "z", str(first))
    assert missing.exit_code == 1 and "'z'" in missing.output


def _line(vm, message, **fields):
    return json.dumps({"asctime": "1", "vm": vm, "message": message, **fields}) + "\n"
