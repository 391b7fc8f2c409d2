"""Tests of the settings of a VM: each mistake is reported as a problem, not as a traceback."""

import pytest

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.settings import load_settings, parse_settings

VALID_SETTINGS = """
[vm]
name = north-vm1
region = north
failure_domain = north-1
host = 127.0.0.1
[peers]
seeds = 127.0.0.2:7070 [::1]:7070
[platform]
url = http://127.0.0.1:7000
"""


def problems_of(source):
    result = parse_settings(source)
    return [str(item) for item in result.error] if result.is_error() else []


def test_settings_have_the_given_values_and_defaults():
    """Guards against keys that are parsed and then ignored."""
    settings = parse_settings(VALID_SETTINGS).ok
    assert settings.seeds == (Endpoint("127.0.0.2", 7070), Endpoint("::1", 7070))
    assert (settings.http_port, settings.peer_port, settings.log.format) == (8080, 7070, "json")


def test_all_problems_are_reported_at_once():
    """Guards against a parser that reports only the first mistake per start."""
    problems = problems_of(
        "[vm]\nname = a b\nregion = north\nhost = localhost\nhttp_port = 70000\ncolour = red\n"
        "[peers]\nseeds = nowhere 127.0.0.1:1 127.0.0.1:1\n[log]\nlevel = loud\n[extra]\n"
    )
    expected = [
        "[vm] name = 'a b': expected letters, digits, '.', '_' and '-'",
        "[vm] failure_domain: missing; expected letters, digits, '.', '_' and '-'",
        "[vm] host = 'localhost': expected an IP number",
        "[vm] http_port = '70000': expected an integer from 1 to 65535",
        "[log] level = 'loud': expected one of debug, info, warning, error",
        "[peers] seeds = 'nowhere': expected an IP number and a port, such as 127.0.0.1:8000",
        "[peers] seeds = '127.0.0.1:1': expected each address once",
        "[platform]: missing; expected this section",
    ]
    assert [item for item in expected if item not in problems] == []
    assert any(
        item.startswith("[vm] colour = 'red': expected one of the keys") for item in problems
    )
    assert any(
        item.startswith("[extra] = 'extra': expected a section of kind") for item in problems
    )


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("[vm]", "[vm north]", "[vm north] = 'vm north': expected [vm] without a name"),
        ("[peers]", "[peers x]", "[peers x] = 'peers x': expected [peers] without a name"),
        ("[peers]", "[vm ]\n[peers]", "expected each section once"),
        ("[peers]", "[vm]\n[peers]", "[vm] = 'line 7': expected each section once"),
        ("host =", "host = ::1\nhost =", "[vm] host = 'line 7': expected each key once"),
        ("[peers]", "peer_port = 8080\n[peers]", "[vm] peer_port = '8080': expected a port other"),
        ("[peers]", "peer_port = 7_0\n[peers]", "[vm] peer_port = '7_0': expected an integer"),
        ("http:", "ftp:", "[platform] url = 'ftp://127.0.0.1:7000': expected an address"),
        (":7000", ":70000", "[platform] url = 'http://127.0.0.1:70000': expected an address"),
        (":7000", ":0", "[platform] url = 'http://127.0.0.1:0': expected an address"),
        ("//127.0.0.1:7000", "//", "[platform] url = 'http://': expected an address"),
        (":7000", ":7000/x?y", "[platform] url = 'http://127.0.0.1:7000/x?y': expected"),
        ("[::1]:7070", "::1:7070", "[peers] seeds = '::1:7070': expected an IP number and a port"),
        ("[platform]", "[platform", "expected an INI file"),
    ],
)
def test_problems_name_section_key_value_and_allowed_values(old, new, expected):
    """Guards against mistakes that are ignored or reported without section and key."""
    assert expected in "\n".join(problems_of(VALID_SETTINGS.replace(old, new, 1)))


def test_duplicate_section_does_not_hide_other_problems():
    """Guards against a parser that stops at the first duplicate section."""
    problems = problems_of(VALID_SETTINGS.replace("[peers]", "colour = red\n[vm]\n[peers]"))
    assert [item for item in problems if "colour" in item]


@pytest.mark.parametrize("content", [None, b"[vm]\nname = \xff\n"])
def test_unreadable_file_is_a_problem(tmp_path, content):
    """Guards against a traceback for a missing file or one that is not UTF-8."""
    path = tmp_path / "vm.ini"
    if content is not None:
        path.write_bytes(content)
    (problem,) = load_settings(str(path)).error
    assert str(path) in str(problem) and "a text in UTF-8" in str(problem)
