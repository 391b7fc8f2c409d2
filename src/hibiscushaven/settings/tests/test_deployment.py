"""Deployment files: wrong ones are explained, and the examples have today's sizes."""

from pathlib import Path

import pytest

from hibiscushaven.documents import parse_document
from hibiscushaven.settings import load_deployment, load_settings, parse_deployment

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"

GOOD = """
[deployment]
name = test
platform_region = north
[platform]
url = http://127.0.0.1:7000
[failure_domain north-1]
region = north
entry_vms = 3
first_host = 127.0.1.1
[failure_domain south-1]
region = south
entry_vms = 2
first_host = 127.0.2.1
"""


def problems_of(source):
    result = parse_deployment(source, EXAMPLES)
    return "\n".join(map(str, result.error)) if result.is_error() else ""


def test_good_deployment_has_no_problems():
    """Guards against tests below that pass because everything is refused."""
    assert problems_of(GOOD) == ""


@pytest.mark.parametrize(
    ("old", "new", "wanted"),
    [
        ("127.0.2.1", "127.0.1.3", "expected 2 addresses that [failure_domain north-1] does not"),
        ("127.0.2.1", "255.255.255.255", "[failure_domain south-1] first_host = '255.255.255.255'"),
        ("127.0.2.1", "south.example", "first_host = 'south.example': expected an IP number"),
        ("entry_vms = 2", "entry_vms = 0", "entry_vms = '0': expected an integer from 1 to 200"),
        ("= test", "= test\npeer_port = 8080", "[deployment] peer_port = '8080': expected a port"),
        ("= north\n", "= west\n", "[deployment] platform_region = 'west': expected a region of a"),
        ("[platform]", "[delay moon]\none_way_ms = 1\n[platform]", "expected one of [delay fail"),
        ("[failure_domain south-1]", "[failure_domain]", "expected [failure_domain NAME] with"),
        ("south-1", "south 1", "[failure_domain south 1] = 'failure_domain south 1': expected"),
        ("[platform]", "[platform x]", "[platform x] = 'platform x': expected [platform] without"),
        (
            "[platform]",
            "[service estoque]\ndocument = none.ini\n[platform]",
            "[service estoque] document = 'none.ini': expected a document that can be read (No",
        ),
        (
            "[platform]",
            "[service stock]\ndocument = documents/estoque.ini\n[platform]",
            "expected a document of 'stock', not of 'estoque'",
        ),
        (
            "[platform]",
            "[service stock]\ndocument = retalho_sul.ini\n[platform]",
            "expected a document without problems",
        ),
    ],
)
def test_wrong_deployments_are_explained(old, new, wanted):
    """Guards against two VMs on one address, and against tracebacks at the start of a demo."""
    assert wanted in problems_of(GOOD.replace(old, new, 1))


def test_unknown_vm_is_a_problem(tmp_path):
    """Guards against a VM that starts with another's settings."""
    path = tmp_path / "deployment.ini"
    path.write_text(GOOD)
    assert load_settings(str(path), "south-1-vm2").ok.host == "127.0.2.2"
    (problem,) = load_settings(str(path), "south-1-vm3").error
    assert str(problem).startswith("[vm] name = 'south-1-vm3': expected one of north-1-vm1, ")
    assert load_settings(str(path)).is_error()


@pytest.mark.parametrize(
    ("name", "sizes"),
    [
        ("retalho_sul", {"estoque": (20, 4), "pedidos": (12, 4), "romaneio": (12, 3)}),
        ("szovetseg", {"adatkereso": (16, 9), "bejegyzo": (12, 8), "letolto": (12, 3)}),
    ],
)
def test_examples_have_the_sizes_of_today(name, sizes):
    """Guards against measurements on deployments that are smaller than they claim."""
    deployment = load_deployment(str(EXAMPLES / f"{name}.ini")).ok
    assert 20 <= len(deployment.vms) <= 23
    assert len(deployment.failure_domains) == 6
    assert len({domain.region for domain in deployment.failure_domains}) == 3
    assert len({(vm.host, vm.http_port) for vm in deployment.vms}) == len(deployment.vms)
    found = {}
    for service, path in deployment.documents.items():
        document = parse_document(path.read_text(encoding="utf-8")).ok
        (slots,) = {server.slots for server in document.servers}
        found[service] = (len(document.servers), slots)
        assert {place.failure_domain for place in document.places} == {
            domain.name for domain in deployment.failure_domains
        }
    assert found == sizes
