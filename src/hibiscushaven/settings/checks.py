"""Checks shared by the settings files of a VM and of a deployment."""

import re
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Any

from hibiscushaven.ini import IniProblem, Section

__all__ = ["check_ports", "check_section_titles"]

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def check_section_titles(
    sections: Iterable[Section], named_kinds: Collection[str]
) -> Iterator[IniProblem]:
    """Report sections with a missing, malformed or superfluous name.

    :param named_kinds: kinds of sections whose title includes a name, such as ``[service NAME]``.
    """
    for section in sections:
        if section.kind not in named_kinds and section.name:
            yield IniProblem(section.title, "", section.title, f"[{section.kind}] without a name")
        if section.kind in named_kinds and not _NAME.fullmatch(section.name):
            allowed = f"[{section.kind} NAME] with letters, digits, '.', '_' and '-' in the name"
            yield IniProblem(section.title, "", section.title, allowed)


def check_ports(kind: str, values: Mapping[str, Any]) -> Iterator[IniProblem]:
    """Report that the HTTP and peer ports of a VM are equal.

    :param kind: kind of the section that sets the ports.
    :param values: values of the section; empty if it is missing.
    """
    if values and values["http_port"] == values["peer_port"]:
        port = str(values["peer_port"])
        yield IniProblem(kind, "peer_port", port, "a port other than http_port")
