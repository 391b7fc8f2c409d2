"""Differences, publishing rules and distribution, one fault at a time."""

import asyncio

import pytest

from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.documents import (
    DocumentCatalog,
    DocumentDistributor,
    DocumentPublisher,
    DocumentPush,
    ForbiddenError,
    InvalidDocumentError,
    Operator,
    PublishUnavailableError,
    PublishUnknownError,
    RevisionConflictError,
    TeamRow,
    diff_documents,
    parse_document,
)
from hibiscushaven.peers import decode, encode
from hibiscushaven.tablestore import MemoryPlatform, Write

from .samples import document_text

OWNER = Operator("loja", "ana")
RIVAL = Operator("rival", "bea")


class Now:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.value = 100.0

    def __call__(self) -> float:
        return self.value


class Setup:
    def __init__(self) -> None:
        self.platform, self.now = MemoryPlatform(), Now()
        self.publisher = DocumentPublisher(self.platform, self.now)
        for team in ("loja", "rival"):
            row = TeamRow(team, ()).encode()
            run_virtual(self.platform.transact((Write(f"teams/{team}", row, 0),)))

    def vm(self, name: str) -> DocumentDistributor:
        return DocumentDistributor(self.platform, DocumentCatalog(), name, self.now)

    def publish(self, expected=None, operator=OWNER, service="estoque", ramp=None, **values):
        text = document_text(service, **values)
        return run_virtual(self.publisher.publish(service, text, expected, operator, ramp or {}))


def test_differences_name_sections_and_hide_credentials() -> None:
    """Guards against a credential's hash in an answer, a log or the history."""
    before = parse_document(document_text(weight=1, shop_a="a" * 64)).ok
    after = parse_document(document_text(weight=2, shop_a="b" * 64, shop_b="c" * 64)).ok
    found = diff_documents(before, after)
    shown = [str(item) for item in found]
    assert "[place serra-a] weight: '1' -> '2'" in shown
    assert "[caller shop_a] token_sha256: '(hidden)' -> '(hidden)'" in shown
    assert "[caller shop_b] added" in shown
    assert len(shown) == 5
    assert not any(letter * 64 in repr(found) for letter in "abc")
    assert diff_documents(before, before) == ()


def test_order_of_classes_is_a_difference() -> None:
    """Guards against an edit that changes which class applies and shows no difference."""
    text = document_text()
    section = text[text.index("[class") : text.index("[place")]
    bulk = section.replace("class orders", "class bulk")
    first = parse_document(text.replace(section, section + bulk)).ok
    second = parse_document(text.replace(section, bulk + section)).ok
    assert [item.after for item in diff_documents(first, second)] == ["bulk orders"]


def test_teams_own_their_documents() -> None:
    """Guards against a team that takes over a name, a document or another team's place."""
    setup = Setup()
    unknown = Operator("unknown", "x")
    assert isinstance(setup.publish(operator=unknown, team="unknown").error, ForbiddenError)
    assert isinstance(setup.publish(operator=RIVAL).error, ForbiddenError)
    assert setup.publish().is_ok()
    for expected in (None, 1):
        for team in ("loja", "rival"):
            result = setup.publish(expected, RIVAL, team=team)
            assert isinstance(result.error, ForbiddenError), (expected, team)
    assert isinstance(setup.publish(1, team="unknown").error, ForbiddenError)
    assert setup.publish(1, team="rival").is_ok()
    assert isinstance(setup.publish(2).error, ForbiddenError)
    assert setup.publish(2, RIVAL, team="rival").is_ok()


def test_conflict_shows_the_winner() -> None:
    """Guards against an editor who overwrites a revision that he did not see."""
    setup = Setup()
    setup.publish()
    setup.publish(1, weight=2)
    for expected in (None, 1, 7):
        error = setup.publish(expected, weight=3).error
        assert isinstance(error, RevisionConflictError)
        assert (error.revision, error.operator, error.accepted_at) == (2, OWNER, 100)
        assert [str(item) for item in error.differences] == ["[place serra-a] weight: '2' -> '3'"]
    changes = [entry.changes for entry in run_virtual(setup.publisher.history("estoque")).ok]
    assert [str(item) for item in changes[0]] == ["[place serra-a] weight: '1' -> '2'"]


def test_invalid_documents_list_every_problem() -> None:
    """Guards against errors that are found one at a time, and against wrong ramps."""
    setup = Setup()
    bad = document_text().replace("slots = 4", "slots = x").replace("methods = POST", "methods = 1")
    result = run_virtual(setup.publisher.publish("estoque", bad, None, OWNER, {}))
    assert isinstance(result.error, InvalidDocumentError)
    assert [item.key for item in result.error.problems] == ["methods", "slots"]
    other = run_virtual(setup.publisher.publish("pedidos", document_text(), None, OWNER, {}))
    assert isinstance(other.error, InvalidDocumentError)
    for ramp in ({"serra-a": 1.5}, {"serra-a": float("nan")}):
        with pytest.raises(ValueError, match="serra-a"):
            setup.publish(ramp=ramp)


def test_lost_answers_are_settled() -> None:
    """Guards against a second edit, or a refusal, after a write that took effect."""
    setup = Setup()
    setup.platform.faults.lost_answers = 1
    assert setup.publish().ok.revision == 1
    setup.platform.faults.is_down = True
    assert isinstance(setup.publish(1).error, PublishUnavailableError)
    setup.platform.faults.is_down = False
    assert setup.publish(1).ok.revision == 2


def test_unsettled_edit_is_reported_as_unknown() -> None:
    """Guards against an edit reported as refused although it took effect."""
    setup = Setup()

    async def run():
        setup.platform.faults.lost_answers = 1
        text = document_text()
        task = asyncio.ensure_future(setup.publisher.publish("estoque", text, None, OWNER, {}))
        while setup.platform.faults.lost_answers:
            await asyncio.sleep(0)
        setup.platform.faults.is_down = True
        return await task

    error = run_virtual(run()).error
    setup.platform.faults.is_down = False
    history = run_virtual(setup.publisher.history("estoque")).ok
    assert isinstance(error, PublishUnknownError)
    assert [entry.operation for entry in history] == [error.operation]


def test_poll_reads_only_what_is_newer() -> None:
    """Guards against polls that read every document every second."""
    setup = Setup()
    for service in ("estoque", "pedidos"):
        setup.publish(service=service, ramp={"serra-a": 0.5})
    vm = setup.vm("a")
    counts = []
    for edit in (False, False, True):
        if edit:
            setup.publish(1, weight=2)
        before = setup.platform.usage.reads
        run_virtual(vm.poll())
        counts.append(setup.platform.usage.reads - before)
    assert counts == [3, 1, 2]
    assert vm._catalog.get("pedidos").ramp == {"serra-a": 0.5}


def test_pushes_are_forwarded_once_and_never_go_back() -> None:
    """Guards against push storms, and old or broken pushes that change what is in force."""
    setup = Setup()
    first, second, broken = (
        setup.publish(revision, weight=revision or 9).ok for revision in (None, 1, 2)
    )
    bad = broken.row.replace(b"slots = 4", b"slots = x")
    vm = setup.vm("a")
    pushes = [(second, second.row), (second, second.row), (first, first.row), (broken, bad)]
    pushes = [decode(encode(DocumentPush("estoque", item.revision, row))) for item, row in pushes]
    assert [vm.on_push(push) for push in (*pushes, pushes[-1])] == [True, False, False, True, False]
    assert vm._catalog.revisions == {"estoque": 2}
    assert not vm.on_push(DocumentPush("estoque", 9, b"garbage"))
    misnamed = setup.vm("b")
    assert not misnamed.on_push(DocumentPush("other", 9, second.row))
    assert misnamed._catalog.revisions == {}
    status = vm.status("estoque")
    assert (status.revision, status.newest) == (2, 3)
    assert "slots" in status.alarm


def test_starting_vm_takes_documents_from_a_peer() -> None:
    """Guards against a VM that serves nothing, or old documents, while the table is down."""
    setup = Setup()
    old, new = setup.vm("a"), setup.vm("b")
    setup.publish()
    run_virtual(old.poll())
    setup.publish(1, weight=2)
    setup.platform.faults.is_down = True
    assert not run_virtual(new.poll()).is_reached
    assert not new.is_loaded
    for part in map(encode, old.snapshot()):
        assert new.on_snapshot(decode(part)) == ("estoque",)
    assert new.is_loaded
    setup.platform.faults.is_down = False
    assert run_virtual(new.poll()).changed == ("estoque",)
    assert [new.on_snapshot(part) for part in old.snapshot()] == [()]
    assert new._catalog.revisions == {"estoque": 2}


def test_status_shows_when_each_vm_had_the_change() -> None:
    """Guards against a change that reaches a VM late or never without being seen."""
    setup = Setup()
    vm = setup.vm("a")
    vm.accept("estoque", setup.publish().ok.row)
    setup.now.value = 103
    assert vm.note_peer("b", {"estoque": 1}) == ()
    push = DocumentPush("estoque", 1, vm.push_message("estoque").row)
    assert vm.note_peer("c", {}) == (push,)
    assert vm.note_peer("c", {}) == ()
    setup.now.value = 106
    assert vm.note_peer("c", {}) == (push,)
    vm.note_peer("b", {})
    vm.note_peer("b", {"estoque": 1})
    delays = {item.vm: item.delay_s for item in vm.status("estoque").vms}
    assert delays == {"a": 0, "b": 3, "c": None}
    vm.forget_peer("c")
    assert len(vm.status("estoque").vms) == 2
    assert vm.status("unknown") is None


def test_alarms_show_no_values() -> None:
    """Guards against a token that was pasted in place of its hash and shows in a status."""
    catalog = DocumentCatalog()
    catalog.offer("estoque", 1, document_text(shop="my-token"))
    catalog.offer("pedidos", 1, "token_sha256 my-token")
    assert len(catalog.alarms) == 2
    assert "my-token" not in repr(catalog.alarms)
