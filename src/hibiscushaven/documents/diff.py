"""Differences between two documents, by section and key."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from .model import ServiceDocument

__all__ = ["HIDDEN", "Difference", "diff_documents"]

HIDDEN = "(hidden)"

_CREDENTIALS = frozenset({"token_sha256"})
_SECTION_FIELDS = frozenset({"classes", "places", "servers", "links", "callers"})
# Keys of the document whose attribute of the data class has another name.
_KEY_BY_ATTRIBUTE = {"is_idempotent": "idempotent"}


@dataclass(frozen=True, slots=True)
class Difference:
    """A difference in one key, or a section that was added or removed.

    :ivar section: title of the section, such as ``place serra-a``.
    :ivar key: the key, or empty for a whole section.
    :ivar before: value in the first document, or ``None`` if it has none.
    :ivar after: value in the second document, or ``None`` if it has none.

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


def diff_documents(
    old_document: ServiceDocument | None, new_document: ServiceDocument | None
) -> tuple[Difference, ...]:
    """Return the differences between two documents, in the order of their sections.

    Values of credentials are replaced by :data:`HIDDEN`. The order of classes is compared as
    well, because the first class that matches a request applies.

    :param old_document: the first document, or ``None`` for no document.
    """
    before, after = _sections_by_title(old_document), _sections_by_title(new_document)
    titles = [*before, *(title for title in after if title not in before)]
    differences = (item for title in titles for item in _diff_section(title, before, after))
    return (*differences, *_diff_class_order(old_document, new_document))


def _diff_section(
    title: str, before: Mapping[str, Mapping[str, Any]], after: Mapping[str, Mapping[str, Any]]
) -> Iterator[Difference]:
    if title not in after:
        yield Difference(title, "", "present", None)
        return
    if title not in before:
        yield Difference(title, "", None, "present")
    old_values, new_values = before.get(title, {}), after[title]
    for key in new_values:
        if key in old_values and old_values[key] == new_values[key]:
            continue
        yield Difference(
            title, key, _format_value(key, old_values.get(key)), _format_value(key, new_values[key])
        )


def _diff_class_order(
    old_document: ServiceDocument | None, new_document: ServiceDocument | None
) -> Iterator[Difference]:
    """Compare the order of the classes that both documents have."""
    if old_document is None or new_document is None:
        return
    common = {item.name for item in old_document.classes} & {
        item.name for item in new_document.classes
    }
    old_order, new_order = (
        " ".join(item.name for item in document.classes if item.name in common)
        for document in (old_document, new_document)
    )
    if old_order != new_order:
        yield Difference("class", "order", old_order, new_order)


def _sections_by_title(document: ServiceDocument | None) -> dict[str, dict[str, Any]]:
    if document is None:
        return {}
    sections = {"service": _values_by_key(document, _SECTION_FIELDS)}
    kinds = {"class": document.classes, "place": document.places, "server": document.servers}
    for kind, items in {**kinds, "caller": document.callers}.items():
        sections.update((f"{kind} {item.name}", _values_by_key(item, {"name"})) for item in items)
    for link in document.links:
        title = " ".join(("link", *sorted(link.regions)))
        sections[title] = _values_by_key(link, {"regions"})
    return sections


def _values_by_key(item: Any, excluded: frozenset[str] | set[str]) -> dict[str, Any]:
    names = [field.name for field in fields(item) if field.name not in excluded]
    return {_KEY_BY_ATTRIBUTE.get(name, name): getattr(item, name) for name in names}


def _format_value(key: str, value: Any) -> str | None:
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
