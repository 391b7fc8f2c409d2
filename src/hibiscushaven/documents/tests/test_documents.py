"""Tests of differences, publishing rules and distribution, with one fault at a time."""

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


class ManualClock:
    """A manually set clock."""

    def __init__(self) -> None:
        self.value = 100.0

    def __call__(self) -> float:
        return self.value


class PublishingFixture:
    """A platform with two teams, and a publisher."""

    def __init__(self) -> None:
        self.platform, self.now = MemoryPlatform(), ManualClock()
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
    """Guards against a credential's hash in a response, a log record or the history."""
    before = parse_document(document_text(weight=1, shop_a="a" * 64)).ok
    after = parse_document(document_text(weight=2, shop_a="b" * 64, shop_b="c" * 64)).ok
    differences = diff_documents(before, after)
    shown = [str(item) for item in differences]
    assert "[place serra-a] weight: '1' -> '2'" in shown
    assert "[caller shop_a] token_sha256: '(hidden)' -> '(hidden)'" in shown
    assert "[caller shop_b] added" in shown
    assert len(shown) == 5
    assert not any(letter * 64 in repr(differences) for letter in "abc")
    assert diff_documents(before, before) == ()


def test_order_of_classes_is_a_difference() -> None:
    """Guards against an edit that changes which class applies but shows no difference."""
    text = document_text()
    section = text[text.index("[class") : text.index("[place")]
    bulk = section.replace("class orders", "class bulk")
    first = parse_document(text.replace(section, section + bulk)).ok
    second = parse_document(text.replace(section, bulk + section)).ok
    assert [item.after for item in diff_documents(first, second)] == ["bulk orders"]


def test_only_the_owning_team_edits_a_document() -> None:
    """Guards against a team that takes over another's name or document, or has no token."""
    setup = PublishingFixture()
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


def test_conflict_shows_the_newest_revision() -> None:
    """Guards against an edit that overwrites a revision that its operator has not seen."""
    setup = PublishingFixture()
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
    """Guards against errors reported one at a time, and against invalid ramps."""
    setup = PublishingFixture()
    invalid_text = (
        document_text().replace("slots = 4", "slots = x").replace("methods = POST", "methods = 1")
    )
    result = run_virtual(setup.publisher.publish("estoque", invalid_text, None, OWNER, {}))
    assert isinstance(result.error, InvalidDocumentError)
    assert [item.key for item in result.error.problems] == ["methods", "slots"]
    other = run_virtual(setup.publisher.publish("pedidos", document_text(), None, OWNER, {}))
    assert isinstance(other.error, InvalidDocumentError)
    for ramp in ({"serra-a": 1.5}, {"serra-a": float("nan")}):
        with pytest.raises(ValueError, match="serra-a"):
            setup.publish(ramp=ramp)


def test_lost_answers_are_settled() -> None:
    """Guards against a repeated or rejected edit after a write whose response was lost."""
    setup = PublishingFixture()
    setup.platform.faults.lost_answers = 1
    assert setup.publish().ok.revision == 1
    setup.platform.faults.is_down = True
    assert isinstance(setup.publish(1).error, PublishUnavailableError)
    setup.platform.faults.is_down = False
    assert setup.publish(1).ok.revision == 2


def test_unknown_outcome_is_reported() -> None:
    """Guards against an edit reported as rejected although it took effect."""
    setup = PublishingFixture()

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


def test_poll_reads_only_newer_documents() -> None:
    """Guards against polls that read every document every second."""
    setup = PublishingFixture()
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


def test_pushes_are_forwarded_once_and_never_revert() -> None:
    """Guards against push storms, and old or invalid pushes that replace a document in force."""
    setup = PublishingFixture()
    first, second, broken = (
        setup.publish(revision, weight=revision or 9).ok for revision in (None, 1, 2)
    )
    invalid_row = broken.row.replace(b"slots = 4", b"slots = x")
    vm = setup.vm("a")
    pushes = [(second, second.row), (second, second.row), (first, first.row), (broken, invalid_row)]
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
    """Guards against a VM without documents, or with old ones, while the table is down."""
    setup = PublishingFixture()
    old, new = setup.vm("a"), setup.vm("b")
    setup.publish()
    run_virtual(old.poll())
    setup.publish(1, weight=2)
    setup.platform.faults.is_down = True
    assert not run_virtual(new.poll()).is_successful
    assert not new.is_loaded
    for message in map(encode, old.snapshot()):
        assert new.on_snapshot(decode(message)) == ("estoque",)
    assert new.is_loaded
    setup.platform.faults.is_down = False
    assert run_virtual(new.poll()).changed == ("estoque",)
    assert [new.on_snapshot(message) for message in old.snapshot()] == [()]
    assert new._catalog.revisions == {"estoque": 2}


def test_status_shows_the_delay_of_each_vm() -> None:
    """Guards against a change that reaches a VM late or never and is not visible as such."""
    setup = PublishingFixture()
    vm = setup.vm("a")
    vm.apply_published("estoque", setup.publish().ok.row)
    setup.now.value = 103
    assert vm.record_peer_revisions("b", {"estoque": 1}) == ()
    push = DocumentPush("estoque", 1, vm.push_message("estoque").row)
    assert vm.record_peer_revisions("c", {}) == (push,)
    assert vm.record_peer_revisions("c", {}) == ()
    setup.now.value = 106
    assert vm.record_peer_revisions("c", {}) == (push,)
    vm.record_peer_revisions("b", {})
    vm.record_peer_revisions("b", {"estoque": 1})
    delays = {item.vm: item.delay_s for item in vm.status("estoque").vms}
    assert delays == {"a": 0, "b": 3, "c": None}
    vm.remove_peer("c")
    assert len(vm.status("estoque").vms) == 2
    assert vm.status("unknown") is None


def test_alarms_contain_no_values() -> None:
    """Guards against a token in the status after it was pasted in place of its hash."""
    catalog = DocumentCatalog()
    catalog.update("estoque", 1, document_text(shop="my-token"))
    catalog.update("pedidos", 1, "token_sha256 my-token")
    assert len(catalog.alarms) == 2
    assert "my-token" not in repr(catalog.alarms)
