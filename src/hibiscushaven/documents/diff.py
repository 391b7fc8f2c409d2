"""Differences between two documents, section by section."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from .model import ServiceDocument

__all__ = ["HIDDEN", "Difference", "diff_documents"]

HIDDEN = "(hidden)"

_CREDENTIALS = frozenset({"token_sha256"})
_PARTS = frozenset({"classes", "places", "servers", "links", "callers"})
# Keys whose name in a document differs from the attribute's.
_KEYS = {"is_idempotent": "idempotent"}


@dataclass(frozen=True, slots=True)
class Difference:
    """One key, or one whole section, that differs.

    :ivar key: the key, or empty for a section that was added or removed.
    :ivar before: the first document's value, ``None`` where there is none.
    :ivar after: the second document's value, ``None`` where there is none.

    Examples
    ========

    >>> str(Difference("place serra-a", "state", "active", "leaving"))
    "[place serra-a] state: 'active' -> 'leaving'"
    >>> str(Difference("server s1", "", None, "present"))
    '[server s1] added'

    """

    section: str
    key: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if not self.key:
            return f"[{self.section}] " + ("added" if self.before is None else "removed")
        return f"[{self.section}] {self.key}: {self.before!r} -> {self.after!r}"


def diff_documents(a: ServiceDocument | None, b: ServiceDocument | None) -> tuple[Difference, ...]:
    """Return what differs between two documents, in the order of their sections.

    The values of credentials are hidden: only that they differ is shown. The order of classes
    is compared as well, because the first class that matches a request applies.

    :param a: the first document, or ``None`` for no document.
    """
    before, after = _sections(a), _sections(b)
    titles = [*before, *(title for title in after if title not in before)]
    found = (item for title in titles for item in _compare(title, before, after))
    return (*found, *_compare_order(a, b))


def _compare(
    title: str, before: Mapping[str, Mapping[str, Any]], after: Mapping[str, Mapping[str, Any]]
) -> Iterator[Difference]:
    if title not in after:
        yield Difference(title, "", "present", None)
        return
    if title not in before:
        yield Difference(title, "", None, "present")
    old, new = before.get(title, {}), after[title]
    for key in new:
        if key in old and old[key] == new[key]:
            continue
        yield Difference(title, key, _show(key, old.get(key)), _show(key, new[key]))


def _compare_order(a: ServiceDocument | None, b: ServiceDocument | None) -> Iterator[Difference]:
    if a is None or b is None:
        return
    common = {item.name for item in a.classes} & {item.name for item in b.classes}
    old, new = (
        " ".join(item.name for item in document.classes if item.name in common)
        for document in (a, b)
    )
    if old != new:
        yield Difference("class", "order", old, new)


def _sections(document: ServiceDocument | None) -> dict[str, dict[str, Any]]:
    if document is None:
        return {}
    sections = {"service": _values(document, _PARTS)}
    kinds = {"class": document.classes, "place": document.places, "server": document.servers}
    for kind, items in {**kinds, "caller": document.callers}.items():
        sections.update((f"{kind} {item.name}", _values(item, {"name"})) for item in items)
    for link in document.links:
        title = " ".join(("link", *sorted(link.regions)))
        sections[title] = _values(link, {"regions"})
    return sections


def _values(item: Any, left_out: frozenset[str] | set[str]) -> dict[str, Any]:
    names = [field.name for field in fields(item) if field.name not in left_out]
    return {_KEYS.get(name, name): getattr(item, name) for name in names}


def _show(key: str, value: Any) -> str | None:
    if value is None:
        return None
    if key in _CREDENTIALS:
        return HIDDEN
    match value:
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case frozenset():
            return " ".join(sorted(value))
        case StrEnum():
            return value.value
    return str(value)
