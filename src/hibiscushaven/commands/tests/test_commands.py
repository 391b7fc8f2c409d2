"""Commands: what they print, and how they end."""

import json
import logging
import socket

import pytest
from click.testing import CliRunner

from hibiscushaven.commands import calls, document, main
from hibiscushaven.commands.client import Answer

DOCUMENT = "examples/documents/estoque.ini"
PROBLEM = {"content-type": "application/problem+json", "request-outcome": "not-run"}
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
IN_FORCE = {
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
    """Run a command against an entry VM that gives one answer."""

    def run_command(*arguments, status=200, body=b"", headers=None):
        sent = []

        def call(entry_url, token_file, method, path, data=None, extra=None):
            sent.append((method, path, data, extra))
            raw = body if isinstance(body, bytes) else json.dumps(body).encode()
            return Answer(status, headers or {}, raw)

        monkeypatch.setattr(calls, "call", call)
        monkeypatch.setattr(document, "call", call)
        environment = {"HIBISCUSHAVEN_ENTRY": "http://127.0.0.1:1"}
        result = CliRunner().invoke(main, arguments, env=environment)
        assert result.exception is None or isinstance(result.exception, SystemExit), result.exc_info
        return result, sent

    return run_command


def test_every_command_explains_itself(run):
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
    """Guards against IPv6 addresses that cannot be told from their ports."""
    result, _ = run("lookup", "estoque", body=LOOKUP)
    assert "127.1.1.1:8080" in result.stdout and "[::1]:8080" in result.stdout
    result, _ = run("lookup", "estoque", "--json", body=LOOKUP)
    assert json.loads(result.stdout) == LOOKUP


def test_status_shows_revisions_alarms_and_peers(run):
    """Guards against an alarm that operators do not see."""
    result, _ = run("status", body=STATUS)
    for wanted in ("vm-1 (north, north-1): serving", "estoque: revision 3", "alarm: ", "vm-2"):
        assert wanted in result.stdout
    result, _ = run("status", "--json", body=STATUS)
    assert json.loads(result.stdout) == STATUS


def test_document_history_and_status(run):
    """Guards against a VM that is behind and shown as up to date."""
    result, _ = run("document", "history", "estoque", body=HISTORY)
    assert "1970-01-01T00:00:00.000+00:00" in result.stdout and "a/b" in result.stdout
    result, _ = run("document", "status", "estoque", body=IN_FORCE)
    assert "0.50" in result.stdout and "pending" in result.stdout and "alarm" in result.stdout
    for command in ("history", "status"):
        result, _ = run("document", command, "estoque", "--json", body=IN_FORCE)
        assert json.loads(result.stdout) == IN_FORCE


def test_document_get_knows_the_revision_of_a_redacted_text(run):
    """Guards against a traceback for the weak ETag that other teams get."""
    for tag in ('"3"', 'W/"3"'):
        result, _ = run("document", "get", "estoque", "--json", body=b"x", headers={"etag": tag})
        assert json.loads(result.stdout) == {"revision": 3, "text": "x"}
    result, _ = run("document", "get", "estoque", body=b"x")
    assert (result.exit_code, result.stdout) == (1, "")


def test_document_put_sends_the_revision_that_it_is_based_on(run):
    """Guards against an edit that overwrites another operator's."""
    arguments = ("document", "put", "estoque", DOCUMENT, "--if-revision", "3")
    result, sent = run(*arguments, headers={"etag": '"4"'})
    assert result.stdout == "accepted as revision 4\n"
    assert sent[0][0] == "PUT" and sent[0][3] == {"If-Match": '"3"'}
    change = {"section": "place a", "key": "weight", "before": "1", "after": "2"}
    lost = {"title": "not the newest revision", "differences": [change]}
    result, _ = run(*arguments, status=412, body=lost)
    assert result.exit_code == 1
    assert "status 412" in result.stderr and "weight" in result.stderr


def test_wrong_documents_are_not_sent(run, tmp_path):
    """Guards against a traceback, and against a PUT that cannot succeed."""
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


def test_document_diff_names_what_changed(run, tmp_path):
    """Guards against an edit whose effect is only seen afterwards."""
    with open(DOCUMENT, encoding="utf-8") as file:
        text = file.read()
    changed = tmp_path / "changed.ini"
    changed.write_text(text.replace("shift_cap = 0.1", "shift_cap = 0.2"))
    result, _ = run("document", "diff", "estoque", str(changed), body=text.encode())
    assert result.exit_code == 0 and "shift_cap" in result.stdout
    assert len(result.stdout.splitlines()) == 1


def test_request_prints_the_answer_and_the_outcome_of_a_refusal(run):
    """Guards against a refusal that passes for an answer."""
    options = ("--method", "post", "--data", "one", "--key", "k1", "--timeout-ms", "50")
    result, sent = run("request", "estoque", "/stock/1", *options, body=b"ok")
    assert (result.exit_code, result.stdout) == (0, "ok")
    wanted = {"Idempotency-Key": "k1", "Request-Timeout": "50"}
    assert sent == [("POST", "/v1/services/estoque/stock/1", b"one", wanted)]
    refusal = {"title": "request refused", "detail": "queue-too-long"}
    result, _ = run("request", "estoque", "/x", status=503, body=refusal, headers=PROBLEM)
    assert (result.exit_code, result.stdout) == (1, "")
    assert "queue-too-long" in result.stderr and "outcome: not-run" in result.stderr
    assert run("request", "estoque", "/x", "--data", "@/none")[0].exit_code == 2


def test_metrics_are_printed_as_they_are(run):
    """Guards against a format that scrapers cannot read."""
    assert run("metrics", body=b"a 1\n")[0].stdout == "a 1\n"
    assert run("metrics", "--json")[1][0][1] == "/v1/metrics?format=json"


def test_answer_that_is_no_entry_vms_is_explained(run):
    """Guards against a traceback when the address is another server's."""
    for arguments in (("status",), ("lookup", "estoque"), ("document", "status", "estoque")):
        result, _ = run(*arguments, body=b"<html>")
        assert result.exit_code == 1 and "no JSON" in result.stderr
        assert run(*arguments, status=500, body=b"[]")[0].exit_code == 1


def test_bad_usage_ends_with_2(folder, tmp_path):
    """Guards against scripts that take bad usage for a refusal."""
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
    """Guards against a check that listens on the VM's addresses."""
    arguments = ("entry", "--settings", "examples/szovetseg.ini", "--vm", "kozep-magyar-1-vm1")
    result = CliRunner().invoke(main, (*arguments, "--check"))
    assert (result.exit_code, result.output) == (0, "examples/szovetseg.ini: ok\n")


def test_address_in_use_is_one_line(tmp_path):
    """Guards against a traceback when a process is started twice."""
    with (
        socket.create_server(("127.0.0.1", 0)) as taken,
        socket.create_server(("127.0.0.1", 0)) as free,
    ):
        port, other = taken.getsockname()[1], free.getsockname()[1]
        free.close()
        for name, http, peer in (("http", port, other), ("peer", other, port)):
            settings = tmp_path / f"{name}.ini"
            settings.write_text(
                "[vm]\nname = vm-1\nregion = r\nfailure_domain = d\nhost = 127.0.0.1\n"
                f"http_port = {http}\npeer_port = {peer}\n"
                "[platform]\nurl = http://127.0.0.1:1\n[log]\nlevel = error\n"
            )
            check_one_line("entry", "--settings", str(settings), port=port)
        check_one_line("standin", "platform", "--port", str(port), port=port)


def check_one_line(*arguments, port):
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
