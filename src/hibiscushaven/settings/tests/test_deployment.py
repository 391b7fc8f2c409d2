"""Tests of deployment files: reported problems, and the current sizes of the examples."""

from pathlib import Path

import pytest

from hibiscushaven.documents import parse_document
from hibiscushaven.settings import load_deployment, load_settings, parse_deployment

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"

VALID_DEPLOYMENT = """
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


def test_valid_deployment_has_no_problems():
    """Guards against a parser that rejects everything, which the tests below would not detect."""
    assert problems_of(VALID_DEPLOYMENT) == ""


@pytest.mark.parametrize(
    ("old", "new", "expected"),
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
def test_problems_of_invalid_deployments_are_reported(old, new, expected):
    """Guards against VMs that share an address, and against tracebacks at the start of a demo."""
    assert expected in problems_of(VALID_DEPLOYMENT.replace(old, new, 1))


def test_unknown_vm_is_a_problem(tmp_path):
    """Guards against a VM that starts with the settings of another VM."""
    path = tmp_path / "deployment.ini"
    path.write_text(VALID_DEPLOYMENT)
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
def test_example_deployments_have_the_current_sizes(name, sizes):
    """Guards against measurements on deployments that are smaller than stated."""
    deployment = load_deployment(str(EXAMPLES / f"{name}.ini")).ok
    assert 20 <= len(deployment.vms) <= 23
    assert len(deployment.failure_domains) == 6
    assert len({domain.region for domain in deployment.failure_domains}) == 3
    assert len({(vm.host, vm.http_port) for vm in deployment.vms}) == len(deployment.vms)
    servers_and_slots = {}
    for service, path in deployment.documents.items():
        document = parse_document(path.read_text(encoding="utf-8")).ok
        (slots,) = {server.slots for server in document.servers}
        servers_and_slots[service] = (len(document.servers), slots)
        assert {place.failure_domain for place in document.places} == {
            domain.name for domain in deployment.failure_domains
        }
    assert servers_and_slots == sizes
