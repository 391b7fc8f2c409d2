"""Tests of the operators' routes through the ASGI interface."""

import hashlib
import json
import logging
from dataclasses import dataclass

import pytest
from starlette.applications import Starlette

from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.documents import (
    MAX_DOCUMENT_BYTES,
    DocumentCatalog,
    DocumentDistributor,
    DocumentPublisher,
    TeamRow,
    TeamToken,
)
from hibiscushaven.documents.tests.samples import document_text
from hibiscushaven.operators import OperatorContext, TeamDirectory, operator_routes
from hibiscushaven.tablestore import MemoryPlatform, OutcomeUnknownError, Write

PATH = "/v1/documents/estoque"
DIGEST = "d" * 64
OWNER, COLLEAGUE, RIVAL = "owner-token", "colleague-token", "rival-token"


@dataclass
class HttpResponse:
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict:
        return json.loads(self.body)


def team_write(team: str, **tokens: str) -> Write:
    pairs = (
        TeamToken(name, hashlib.sha256(token.encode()).hexdigest())
        for name, token in tokens.items()
    )
    return Write(f"teams/{team}", TeamRow(team, tuple(pairs)).encode())


class Vm:
    """The routes of a VM on an in-memory platform, with a manually set clock."""

    def __init__(self) -> None:
        self.platform, self.now, self.pushed = MemoryPlatform(), 100.0, []
        self.write(team_write("loja", ana=OWNER, caio=COLLEAGUE), team_write("rival", bea=RIVAL))
        catalog = DocumentCatalog()
        context = OperatorContext(
            DocumentPublisher(self.platform, lambda: self.now),
            DocumentDistributor(self.platform, catalog, "vm-a", lambda: self.now),
            catalog,
            TeamDirectory(self.platform, lambda: self.now),
            lambda service: {"serra-a": 0.25},
            self.pushed.append,
        )
        self.app = Starlette(routes=operator_routes(context))

    def write(self, *writes: Write) -> None:
        run_virtual(self.platform.transact(writes))

    def call(self, method="GET", path=PATH, token=OWNER, body=b"", if_match=None, chunk=1 << 18):
        headers = [(b"authorization", f"Bearer {token}".encode())] if token else []
        if if_match:
            headers.append((b"if-match", if_match.encode()))
        chunks = [body[start : start + chunk] for start in range(0, len(body), chunk)] or [b""]
        sent = []

        async def receive():
            chunk_body = chunks.pop(0)
            return {"type": "http.request", "body": chunk_body, "more_body": bool(chunks)}

        async def send(item):
            sent.append(item)

        scope = {"type": "http", "method": method, "path": path, "headers": headers}
        scope |= {"query_string": b"", "root_path": "", "http_version": "1.1"}
        run_virtual(self.app(scope, receive, send))
        raw = {name.decode(): value.decode() for name, value in sent[0]["headers"]}
        return HttpResponse(
            sent[0]["status"], raw, b"".join(item.get("body", b"") for item in sent[1:])
        )

    def put(self, if_match=None, token=OWNER, **values):
        body = document_text(shop=DIGEST, **values).encode()
        return self.call("PUT", token=token, body=body, if_match=if_match)


def test_edit_requires_the_current_etag() -> None:
    """Guards against an edit that overwrites a revision that its operator has not seen."""
    vm = Vm()
    assert vm.call().status == 404
    created = vm.put()
    assert (created.status, created.headers["etag"]) == (201, '"1"')
    shown = vm.call()
    assert (shown.status, shown.headers["etag"]) == (200, '"1"')
    assert shown.body.decode() == document_text(shop=DIGEST)
    assert vm.put('"1"', COLLEAGUE, weight=2).json["revision"] == 2
    for if_match in (None, '"1"', '"9"'):
        conflict = vm.put(if_match, weight=3)
        assert (conflict.status, conflict.headers["etag"]) == (412, '"2"')
        assert (conflict.json["revision"], conflict.json["operator"]) == (2, "caio")
        assert [item["after"] for item in conflict.json["differences"]] == ["3"]
    for if_match in ('W/"2"', "2", "*", '"2", "3"'):
        assert vm.put(if_match).status == 400
    assert [push.revision for push in vm.pushed] == [1, 2]


def test_history_shows_operator_time_and_changes() -> None:
    """Guards against a history that does not show who changed what and when."""
    vm = Vm()
    vm.put()
    vm.now = 200.0
    vm.put('"1"', COLLEAGUE, weight=2)
    newest, first = vm.call(path=PATH + "/history", token=RIVAL).json["entries"]
    assert (newest["operator"], newest["team"], newest["accepted_at"]) == ("caio", "loja", 200)
    assert [item["key"] for item in newest["changes"]] == ["weight"]
    assert (first["revision"], first["operator"]) == (1, "ana")
    status = vm.call(path=PATH + "/status").json
    assert status["vms"] == [{"vm": "vm-a", "revision": 2, "delay_s": 0}]
    assert vm.call(path="/v1/documents/other/history").status == 404
    assert vm.call(path="/v1/documents/other/status").status == 404


def test_other_teams_neither_edit_nor_see_credentials() -> None:
    """Guards against another team that edits a document or reads the hashes in it."""
    vm = Vm()
    vm.put()
    for team in ("loja", "rival"):
        assert vm.put('"1"', RIVAL, team=team).status == 403
        assert vm.put(None, RIVAL, team=team).status == 403
    for path in (PATH, PATH + "/history", PATH + "/status"):
        response = vm.call(path=path, token=RIVAL)
        assert response.status == 200
        assert DIGEST.encode() not in response.body
    assert vm.call(token=RIVAL).headers["etag"] == 'W/"1"'


@pytest.mark.parametrize("path", [PATH, PATH + "/history", PATH + "/status"])
def test_every_path_requires_a_token(path: str) -> None:
    """Guards against a route that is served without authentication."""
    vm = Vm()
    vm.put()
    for token in (None, "wrong", " "):
        response = vm.call(path=path, token=token)
        assert (response.status, response.headers["www-authenticate"]) == (401, "Bearer")
    assert vm.put('"1"', "wrong").status == 401


def test_tokens_are_cached_and_revoked() -> None:
    """Guards against failed reads in an outage, read storms, and revoked tokens that still work."""
    vm = Vm()
    vm.put()
    vm.platform.faults.is_down = True
    vm.now += 3600
    assert vm.call().status == 200
    assert vm.call(token="new").status == 503
    response = vm.put('"1"')
    assert (response.status, response.headers["retry-after"]) == (503, "2")
    assert vm.call(path=PATH + "/history").status == 503
    vm.platform.faults.is_down = False
    vm.now += 1
    vm.write(team_write("loja", ana=OWNER, dora="new"))
    assert vm.call(token="new").status == 200
    assert vm.call(token=COLLEAGUE).status == 401
    reads = vm.platform.usage.reads
    assert {vm.call(token=f"guess-{number}").status for number in range(50)} == {401}
    assert vm.platform.usage.reads == reads
    vm.write(team_write("loja", ana="rotated"))
    vm.now += 10
    assert vm.call().status == 401


def test_token_of_two_teams_is_refused() -> None:
    """Guards against a team that registers another team's token as its own."""
    vm = Vm()
    vm.write(team_write("a-team", x=OWNER))
    assert vm.call().status == 401


def test_invalid_bodies_are_rejected() -> None:
    """Guards against errors reported one at a time, unbounded bodies and echoed tokens."""
    vm = Vm()
    invalid_body = document_text(shop="pasted-token").replace("slots = 4", "slots = x").encode()
    response = vm.call("PUT", body=invalid_body)
    assert response.status == 422
    assert response.headers["content-type"] == "application/problem+json"
    assert [item["key"] for item in response.json["problems"]] == ["slots", "token_sha256"]
    assert b"pasted-token" not in response.body
    assert vm.call("PUT", body=b"\xff").status == 422
    assert vm.call("PUT", body=b"x" * (MAX_DOCUMENT_BYTES + 1)).status == 413
    assert vm.call("PUT", body=b"x" * MAX_DOCUMENT_BYTES).status == 422
    assert vm.call("PUT", path="/v1/documents/other", body=document_text().encode()).status == 422
    assert vm.call(path="/v1/documents/..").status == 404


def test_no_credential_is_logged(caplog) -> None:
    """Guards against tokens and their hashes in the log."""
    caplog.set_level(logging.DEBUG)
    vm = Vm()
    vm.put()
    vm.put('"1"', RIVAL)
    vm.call("PUT", body=document_text(shop="pasted-token").encode())
    vm.platform.faults.is_down = True
    vm.now += 60
    vm.call()
    logged = "".join(repr(record.__dict__) for record in caplog.records)
    assert "document edit" in logged
    for secret in (OWNER, RIVAL, DIGEST, "pasted-token"):
        assert secret not in logged


def test_unknown_outcome_contains_the_operation() -> None:
    """Guards against a write with a lost response that is reported as rejected."""
    vm = Vm()
    vm.call()
    write = vm.platform.transact

    async def transact(writes):
        await write(writes)
        vm.platform.faults.is_down = True
        raise OutcomeUnknownError("lost")

    vm.platform.transact = transact
    response = vm.put()
    assert (response.status, response.json["outcome"]) == (504, "unknown")
    vm.platform.faults.is_down = False
    (entry,) = vm.call(path=PATH + "/history").json["entries"]
    assert entry["operation"] == response.json["operation"]
