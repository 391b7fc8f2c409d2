"""Tests of a VM's settings, of deployments and of the examples."""

from pathlib import Path

import pytest

from hibiscushaven.documents import Size, parse_document
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.settings import (
    LogFormat,
    UnknownVmError,
    load_deployment,
    load_settings,
    settings_for,
)

EXAMPLES = Path(__file__).parents[4] / "examples"

SMALLEST = """
[vm]
name = serra-1-1
region = serra
failure_domain = serra-1
[platform]
url = http://127.0.0.1:8500
"""

DEPLOYMENT = """
[deployment]
name = test
[platform]
url = http://127.0.0.1:8500
[failure_domain a1]
region = a
entry_vms = 3
addresses = 127.9.1.1
[failure_domain b1]
region = b
entry_vms = 2
addresses = 127.9.2.1
[service stock]
document = stock.ini
"""

DOCUMENT = """
[service]
name = stock
tenant = t
team = t
[class all]
path = /*
methods = GET
idempotent = yes
size = short
deadline_ms = 1000
[place a1]
region = a
failure_domain = a1
capacity = 8
[server a1-1]
place = a1
address = 127.9.3.1:9000
slots = 8
"""


def problems_of(tmp_path: Path, source: str, load=load_settings) -> list[tuple[str, str]]:
    path = tmp_path / "file.ini"
    path.write_text(source, encoding="utf-8")
    result = load(path)
    assert result.is_error(), source
    assert all(problem.allowed for problem in result.error)
    assert all(str(problem).startswith(f"{problem.file}: [") for problem in result.error)
    return [(problem.section, problem.key) for problem in result.error]


def test_smallest_file_gets_defaults(tmp_path: Path) -> None:
    """Guards against settings that have to be given although a default would do."""
    (tmp_path / "vm.ini").write_text(SMALLEST + "[peers]\nseeds = 127.0.0.2:81 [::1]:82\n")
    settings = load_settings(str(tmp_path / "vm.ini")).ok
    assert settings.vm.http_endpoint == Endpoint("127.0.0.1", 8080)
    assert settings.vm.peer_endpoint == Endpoint("127.0.0.1", 8081)
    assert settings.peers.seeds == (Endpoint("127.0.0.2", 81), Endpoint("::1", 82))
    assert settings.platform.timeout_s == 2.0
    assert settings.log.format is LogFormat.JSON
    assert settings.limits.max_body_bytes == 1024 * 1024


def test_all_problems_are_reported_at_once(tmp_path: Path) -> None:
    """Guards against an operator who finds one problem with each start."""
    source = """
[vm]
name = bad name
region = serra
http_port = 0
host = localhost
colour = red
[peers]
seeds = 127.0.0.1:1 127.0.0.1:1
[log]
format = xml
[limits]
max_body_bytes = 9999999
max_callers = nan
[extra]
a = 1
"""
    assert sorted(problems_of(tmp_path, source)) == [
        ("extra", ""),
        ("limits", "max_body_bytes"),
        ("limits", "max_callers"),
        ("log", "format"),
        ("peers", "seeds"),
        ("platform", "url"),
        ("vm", "colour"),
        ("vm", "failure_domain"),
        ("vm", "host"),
        ("vm", "http_port"),
        ("vm", "name"),
    ]


@pytest.mark.parametrize(
    ("old", "new", "problem"),
    [
        ("[vm]", "[vm x]", ("vm x", "")),
        ("name =", "peer_port = 8080\nname =", ("vm", "peer_port")),
        ("http://127.0.0.1:8500", "ftp://127.0.0.1", ("platform", "url")),
        ("http://127.0.0.1:8500", "http://127.0.0.1:99999", ("platform", "url")),
        ("[platform]", "[vm]\n[platform]", ("file", "")),
    ],
)
def test_wrong_settings_are_named(tmp_path: Path, old: str, new: str, problem: tuple) -> None:
    """Guards against a daemon that fails on its first use of a wrong setting."""
    assert problem in problems_of(tmp_path, SMALLEST.replace(old, new))


def test_unreadable_file_is_a_problem(tmp_path: Path) -> None:
    """Guards against a traceback in place of a message."""
    (tmp_path / "file.ini").write_bytes(b"[vm]\nname = \xff")
    for path in (tmp_path / "file.ini", tmp_path / "missing.ini"):
        assert load_settings(path).error[0].file == str(path)
        assert load_deployment(path).error[0].section == "file"


@pytest.mark.parametrize(
    ("old", "new", "problem"),
    [
        ("127.9.2.1", "127.9.1.3", ("failure_domain b1", "addresses")),
        ("127.9.2.1", "255.255.255.255", ("failure_domain b1", "addresses")),
        ("[failure_domain b1]", "[failure_domain]", ("failure_domain", "")),
        ("[service stock]\ndocument = stock.ini", "", ("service", "")),
        ("name = test", "name = test\npeer_port = 8080", ("deployment", "peer_port")),
        ("[service stock]", "[service other]", ("service", "name")),
        ("stock.ini", "missing.ini", ("file", "")),
        ("capacity = 8", "capacity = x", ("place a1", "capacity")),
        ("failure_domain = a1", "failure_domain = z9", ("place a1", "failure_domain")),
        ("failure_domain = a1", "failure_domain = b1", ("place a1", "region")),
        ("127.9.3.1:9000", "127.9.1.1:9000", ("server a1-1", "address")),
    ],
)
def test_wrong_deployments_are_named(tmp_path: Path, old: str, new: str, problem: tuple) -> None:
    """Guards against VMs or backend servers that share an address, and documents that differ."""
    assert old in DEPLOYMENT + DOCUMENT
    (tmp_path / "stock.ini").write_text(DOCUMENT.replace(old, new))
    found = problems_of(tmp_path, DEPLOYMENT.replace(old, new), load_deployment)
    assert problem in found


def test_settings_of_each_vm_follow_the_deployment(tmp_path: Path) -> None:
    """Guards against VMs that start without a peer, or with themselves as the only one."""
    (tmp_path / "stock.ini").write_text(DOCUMENT)
    (tmp_path / "all.ini").write_text(DEPLOYMENT)
    deployment = load_deployment(tmp_path / "all.ini").ok
    settings = settings_for(deployment, "a1-2")
    assert (settings.vm.host, settings.vm.failure_domain) == ("127.9.1.2", "a1")
    assert [seed.host for seed in settings.peers.seeds] == ["127.9.1.1", "127.9.1.3", "127.9.2.1"]
    with pytest.raises(UnknownVmError, match="a1-9"):
        settings_for(deployment, "a1-9")


@pytest.mark.parametrize(
    ("name", "vms", "slots"),
    [
        ("retalho_sul", 23, {"estoque": 80, "pedidos": 48, "romaneio": 36}),
        ("szovetseg", 20, {"adatkereso": 144, "bejegyzo": 96, "letolto": 36}),
    ],
)
def test_examples_have_the_sizes_of_today(name: str, vms: int, slots: dict[str, int]) -> None:
    """Guards against examples that no longer parse or have lost a kind of request."""
    result = load_deployment(EXAMPLES / f"{name}.ini")
    assert result.is_ok(), [str(problem) for problem in result.error]
    deployment = result.ok
    assert len(deployment.vms) == vms
    assert len(deployment.failure_domains) == 6
    for vm in deployment.vms:
        assert len(settings_for(deployment, vm).peers.seeds) == 7
    documents = {
        service: parse_document(path.read_text(encoding="utf-8")).ok
        for service, path in deployment.documents.items()
    }
    assert {
        service: sum(server.slots for server in document.servers)
        for service, document in documents.items()
    } == slots
    kinds = {(item.is_idempotent, item.size) for doc in documents.values() for item in doc.classes}
    assert kinds == {(True, Size.SHORT), (False, Size.SHORT), (True, Size.LONG)}
    addresses = [server.address for doc in documents.values() for server in doc.servers]
    assert len(set(addresses)) == len(addresses)
    assert all(len(doc.places) == 6 and len(doc.links) == 3 for doc in documents.values())


def test_every_example_is_checked() -> None:
    """Guards against an example file that no deployment uses."""
    used = {path for name in ("retalho_sul", "szovetseg") for path in _documents(name)}
    assert used == set((EXAMPLES / "documents").glob("*.ini"))
    assert {path.stem for path in EXAMPLES.glob("*.ini")} == {"retalho_sul", "szovetseg"}


def _documents(name: str) -> list[Path]:
    return list(load_deployment(EXAMPLES / f"{name}.ini").ok.documents.values())
