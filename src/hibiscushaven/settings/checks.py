"""Checks that settings of one VM and deployment files share."""

import re
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Any

from hibiscushaven.ini import IniProblem, Section

__all__ = ["check_ports", "check_titles"]

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def check_titles(sections: Iterable[Section], named: Collection[str]) -> Iterator[IniProblem]:
    """Report sections that lack a name, have a wrong one, or have one and should not.

    :param named: kinds of sections that have a name.
    """
    for section in sections:
        if section.kind not in named and section.name:
            yield IniProblem(section.title, "", section.title, f"[{section.kind}] without a name")
        if section.kind in named and not _NAME.fullmatch(section.name):
            allowed = f"[{section.kind} NAME] with letters, digits, '.', '_' and '-' in the name"
            yield IniProblem(section.title, "", section.title, allowed)


def check_ports(kind: str, values: Mapping[str, Any]) -> Iterator[IniProblem]:
    """Report that both interfaces of a VM are on one port."""
    if values and values["http_port"] == values["peer_port"]:
        port = str(values["peer_port"])
        yield IniProblem(kind, "peer_port", port, "a port other than http_port")
