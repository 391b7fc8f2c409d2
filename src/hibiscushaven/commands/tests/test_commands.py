"""Tests of the output and the exit codes of the commands."""

import gc
import json
import logging
import socket

import pytest
from click.testing import CliRunner

from hibiscushaven.commands import calls, document, main
from hibiscushaven.commands.client import EntryResponse

DOCUMENT = "examples/documents/estoque.ini"
PROBLEM_HEADERS = {"content-type": "application/problem+json", "request-outcome": "not-run"}
STATUS = {
    "vm": "vm-1",
    "region": "north",
    "failure_domain": "north-1",
    "state": "serving",
    "revisions": {"estoque": 3},
    "alarms": ["estoque: revision 4: wrong name"],
    "peers": [{"vm": "vm-2", "state": "up", "incarnation": "i2"}],
}
LOOKUP = {
    "service": "estoque",
    "revision": 3,
    "keep_s": 5.0,
    "entries": [
        {"address": "127.1.1.1", "port": 8080, "region": "serra", "failure_domain": "serra-1"},
        {"address": "::1", "port": 8080, "region": "serra", "failure_domain": "serra-2"},
    ],
}
HISTORY = {"entries": [{"revision": 3, "accepted_at": 0.0, "team": "a", "operator": "b"}]}
DOCUMENT_STATUS = {
    "revision": 3,
    "accepted_at": 0.0,
    "alarm": "revision 4: wrong name",
    "vms": [
        {"vm": "v1", "revision": 3, "delay_s": 0.5},
        {"vm": "v2", "revision": 2, "delay_s": None},
    ],
}


@pytest.fixture
def folder(monkeypatch, request):
    monkeypatch.chdir(request.path.parents[4])


@pytest.fixture
def run(monkeypatch, folder):
    """Run a command against a fake entry VM that always sends the same response."""

    def run_command(*arguments, status=200, body=b"", headers=None):
        sent = []

        def call_entry_vm(entry_url, token_file, method, path, data=None, extra=None):
            sent.append((method, path, data, extra))
            raw = body if isinstance(body, bytes) else json.dumps(body).encode()
            return EntryResponse(status, headers or {}, raw)

        monkeypatch.setattr(calls, "call_entry_vm", call_entry_vm)
        monkeypatch.setattr(document, "call_entry_vm", call_entry_vm)
        environment = {"HIBISCUSHAVEN_ENTRY": "http://127.0.0.1:1"}
        result = CliRunner().invoke(main, arguments, env=environment)
        assert result.exception is None or isinstance(result.exception, SystemExit), result.exc_info
        return result, sent

    return run_command


def test_every_command_has_help(run):
    """Guards against a command or an option without a help text."""

    def walk(command, path):
        text = run(*path, "--help")[0]
        assert text.exit_code == 0 and command.help, path
        for option in command.params:
            assert option.param_type_name == "argument" or option.help, (path, option.name)
        for name, child in getattr(command, "commands", {}).items():
            walk(child, (*path, name))

    walk(main, ())


def test_lookup_prints_addresses(run):
    """Guards against IPv6 addresses without brackets, whose port would be ambiguous."""
    result, _ = run("lookup", "estoque", body=LOOKUP)
    assert "127.1.1.1:8080" in result.stdout and "[::1]:8080" in result.stdout
    result, _ = run("lookup", "estoque", "--json", body=LOOKUP)
    assert json.loads(result.stdout) == LOOKUP


def test_status_shows_revisions_alarms_and_peers(run):
    """Guards against an alarm that is not shown to operators."""
    result, _ = run("status", body=STATUS)
    for expected in ("vm-1 (north, north-1): serving", "estoque: revision 3", "alarm: ", "vm-2"):
        assert expected in result.stdout
    result, _ = run("status", "--json", body=STATUS)
    assert json.loads(result.stdout) == STATUS


def test_document_history_and_status(run):
    """Guards against an outdated VM that is shown as up to date."""
    result, _ = run("document", "history", "estoque", body=HISTORY)
    assert "1970-01-01T00:00:00.000+00:00" in result.stdout and "a/b" in result.stdout
    result, _ = run("document", "status", "estoque", body=DOCUMENT_STATUS)
    assert "0.50" in result.stdout and "pending" in result.stdout and "alarm" in result.stdout
    for command in ("history", "status"):
        result, _ = run("document", command, "estoque", "--json", body=DOCUMENT_STATUS)
        assert json.loads(result.stdout) == DOCUMENT_STATUS


def test_document_get_parses_the_etag_of_a_redacted_document(run):
    """Guards against a traceback for the weak ETag that other teams receive."""
    for tag in ('"3"', 'W/"3"'):
        result, _ = run("document", "get", "estoque", "--json", body=b"x", headers={"etag": tag})
        assert json.loads(result.stdout) == {"revision": 3, "text": "x"}
    result, _ = run("document", "get", "estoque", body=b"x")
    assert (result.exit_code, result.stdout) == (1, "")


def test_document_put_sends_the_base_revision(run):
    """Guards against an edit that overwrites the edit of another operator."""
    arguments = ("document", "put", "estoque", DOCUMENT, "--if-revision", "3")
    result, sent = run(*arguments, headers={"etag": '"4"'})
    assert result.stdout == "accepted as revision 4\n"
    assert sent[0][0] == "PUT" and sent[0][3] == {"If-Match": '"3"'}
    change = {"section": "place a", "key": "weight", "before": "1", "after": "2"}
    conflict = {"title": "not the newest revision", "differences": [change]}
    result, _ = run(*arguments, status=412, body=conflict)
    assert result.exit_code == 1
    assert "status 412" in result.stderr and "weight" in result.stderr


def test_invalid_documents_are_not_sent(run, tmp_path):
    """Guards against a traceback, and against a PUT that is certain to be refused."""
    wrong = tmp_path / "wrong.ini"
    wrong.write_text("[service]\nname = estoque\n")
    binary = tmp_path / "binary.ini"
    binary.write_bytes(b"\xff")
    for path, code in ((wrong, 1), (binary, 2), (tmp_path / "none.ini", 2)):
        for command in (("check",), ("put", "estoque"), ("diff", "estoque")):
            result, sent = run("document", *command, str(path))
            assert (result.exit_code, sent) == (code, []), (command, result.stderr)
            assert path.name in result.stderr
    assert run("document", "check", DOCUMENT)[0].stdout == "ok\n"


def test_document_diff_shows_changed_keys(run, tmp_path):
    """Guards against an edit whose effect is visible only after publication."""
    with open(DOCUMENT, encoding="utf-8") as file:
        text = file.read()
    changed = tmp_path / "changed.ini"
    changed.write_text(text.replace("shift_cap = 0.1", "shift_cap = 0.2"))
    result, _ = run("document", "diff", "estoque", str(changed), body=text.encode())
    assert result.exit_code == 0 and "shift_cap" in result.stdout
    assert len(result.stdout.splitlines()) == 1


def test_request_prints_the_response_or_the_outcome_of_a_refusal(run):
    """Guards against a refusal that looks like the response of the service."""
    options = ("--method", "post", "--data", "one", "--key", "k1", "--timeout-ms", "50")
    result, sent = run("request", "estoque", "/stock/1", *options, body=b"ok")
    assert (result.exit_code, result.stdout) == (0, "ok")
    expected = {"Idempotency-Key": "k1", "Request-Timeout": "50"}
    assert sent == [("POST", "/v1/services/estoque/stock/1", b"one", expected)]
    refusal = {"title": "request refused", "detail": "queue-too-long"}
    result, _ = run("request", "estoque", "/x", status=503, body=refusal, headers=PROBLEM_HEADERS)
    assert (result.exit_code, result.stdout) == (1, "")
    assert "queue-too-long" in result.stderr and "outcome: not-run" in result.stderr
    assert run("request", "estoque", "/x", "--data", "@/none")[0].exit_code == 2


def test_metrics_are_printed_unchanged(run):
    """Guards against a format that scrapers cannot parse."""
    assert run("metrics", body=b"a 1\n")[0].stdout == "a 1\n"
    assert run("metrics", "--json")[1][0][1] == "/v1/metrics?format=json"


def test_response_of_another_server_is_reported(run):
    """Guards against a traceback if the address is not that of an entry VM."""
    for arguments in (("status",), ("lookup", "estoque"), ("document", "status", "estoque")):
        result, _ = run(*arguments, body=b"<html>")
        assert result.exit_code == 1 and "no JSON" in result.stderr
        assert run(*arguments, status=500, body=b"[]")[0].exit_code == 1


def test_bad_usage_exits_with_2(folder, tmp_path):
    """Guards against scripts that mistake bad usage for a refused request."""
    token = tmp_path / "token"
    token.write_text("two\nlines")
    for arguments in (
        ("lookup", "estoque"),
        ("lookup", "estoque", "--entry", "127.0.0.1:8080"),
        ("lookup", "estoque", "--entry", "http://127.0.0.1:1", "--token-file", str(token)),
        ("entry", "--settings", str(tmp_path / "none.ini"), "--check"),
        ("entry", "--settings", "examples/retalho_sul.ini", "--check"),
        ("entry", "--settings", "examples/retalho_sul.ini", "--vm", "none", "--check"),
        ("standin", "backend", "--document", DOCUMENT, "--failure-domain", "none"),
        ("standin", "load"),
    ):
        result = CliRunner().invoke(main, arguments)
        assert (result.exit_code, type(result.exception)) == (2, SystemExit), arguments
        assert result.stderr, arguments


def test_check_of_settings_does_not_start_the_daemon(folder):
    """Guards against a check that starts to listen on the VM's addresses."""
    arguments = ("entry", "--settings", "examples/szovetseg.ini", "--vm", "kozep-magyar-1-vm1")
    result = CliRunner().invoke(main, (*arguments, "--check"))
    assert (result.exit_code, result.output) == (0, "examples/szovetseg.ini: ok\n")


def write_entry_settings(path, http_port, peer_port):
    path.write_text(
        "[vm]\nname = vm-1\nregion = r\nfailure_domain = d\nhost = 127.0.0.1\n"
        f"http_port = {http_port}\npeer_port = {peer_port}\n"
        "[platform]\nurl = http://127.0.0.1:1\n[log]\nlevel = error\n"
    )


def test_entry_that_cannot_start_closes_its_connections(tmp_path, caplog):
    """Guards against a second error, about a session that nothing has closed."""
    settings = tmp_path / "entry.ini"
    gc.collect()
    caplog.clear()
    with socket.create_server(("127.0.0.1", 0)) as free_socket:
        free_port = free_socket.getsockname()[1]
    with socket.create_server(("127.0.0.1", 0)) as used_socket:
        port = used_socket.getsockname()[1]
        write_entry_settings(settings, port, free_port)
        assert_one_line_error("entry", "--settings", str(settings), port=port)
    gc.collect()
    assert [record.getMessage() for record in caplog.records] == []


def test_address_in_use_is_reported_in_one_line(tmp_path):
    """Guards against a traceback if a process is started twice."""
    with (
        socket.create_server(("127.0.0.1", 0)) as used_socket,
        socket.create_server(("127.0.0.1", 0)) as free_socket,
    ):
        port, free_port = used_socket.getsockname()[1], free_socket.getsockname()[1]
        free_socket.close()
        for name, http, peer in (("http", port, free_port), ("peer", free_port, port)):
            settings = tmp_path / f"{name}.ini"
            write_entry_settings(settings, http, peer)
            assert_one_line_error("entry", "--settings", str(settings), port=port)
        assert_one_line_error("standin", "platform", "--port", str(port), port=port)


def assert_one_line_error(*arguments, port):
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    try:
        result = CliRunner().invoke(main, arguments)
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
    assert result.exit_code == 1, result.output
    (line,) = result.stderr.splitlines()
    assert line.startswith("error: ") and "in use" in line and str(port) in line
