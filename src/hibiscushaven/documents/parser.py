"""Parser of service documents, which reports all problems of a text together."""

from collections import Counter
from collections.abc import Callable, Iterator

from expression import Error, Ok, Result

from hibiscushaven.ini import (
    Field,
    IniProblem,
    Section,
    boolean,
    choice,
    digest,
    endpoint,
    integer,
    number,
    read_sections,
    text,
)

from .model import (
    AdminState,
    Caller,
    LinkCap,
    Place,
    RequestClass,
    RequestSize,
    Server,
    ServiceDocument,
)

__all__ = ["CHECKS", "check", "parse_document"]

Check = Callable[[tuple[Section, ...]], Iterator[IniProblem]]

CHECKS: list[Check] = []

_NAME = text()
_STATE = choice(*AdminState)

_SCHEMA = {
    "service": (
        Field("name", _NAME),
        Field("tenant", _NAME),
        Field("team", _NAME),
        Field("shift_cap", number(0.001, 1), 0.1, False),
        Field("shift_interval_s", number(0.1, 3600), 10.0, False),
        Field("lookup_ttl_s", number(0.1, 3600), 5.0, False),
        Field("retry_budget", number(0, 1), 0.1, False),
        Field("hedge_budget", number(0, 1), 0.05, False),
    ),
    "class": (
        Field("path", text(r"/\S*", "a path glob that begins with '/'")),
        Field("methods", text(r"[A-Z]+( [A-Z]+)*", "methods in capitals, such as GET HEAD")),
        Field("idempotent", boolean()),
        Field("size", choice(*RequestSize)),
        Field("deadline_ms", integer(1, 3_600_000)),
        Field("priority", integer(0, 9), 5, False),
    ),
    "place": (
        Field("region", _NAME),
        Field("failure_domain", _NAME),
        Field("capacity", integer(0, 1_000_000)),
        Field("weight", number(0, 1e6), 1.0, False),
        Field("state", _STATE, AdminState.ACTIVE, False),
    ),
    "server": (
        Field("place", _NAME),
        Field("address", endpoint()),
        Field("slots", integer(1, 10_000)),
        Field("connections", integer(1, 1_000_000), 800, False),
        Field("state", _STATE, AdminState.ACTIVE, False),
    ),
    "link": (Field("mbit_s", number(0.001, 1e9)),),
    "caller": (
        Field("token_sha256", digest()),
        Field("share", number(0.001, 1e6), 1.0, False),
    ),
}


def check(function: Check) -> Check:
    """Register a check that needs several sections of a document."""
    CHECKS.append(function)
    return function


def parse_document(source: str) -> Result[ServiceDocument, tuple[IniProblem, ...]]:
    """Parse a service document.

    :returns: the document, or all problems of the text.

    Examples
    ========

    >>> parse_document("[service]\\nname = stock").is_error()
    True

    """
    sections, problems = read_sections(source, _SCHEMA)
    if not problems:
        problems = tuple(problem for item in CHECKS for problem in item(sections))
    if problems:
        return Error(problems)
    return Ok(_build(sections))


def _of_kind(sections: tuple[Section, ...], kind: str) -> Iterator[Section]:
    return (section for section in sections if section.kind == kind)


@check
def _check_counts(sections: tuple[Section, ...]) -> Iterator[IniProblem]:
    counts = Counter(section.kind for section in sections)
    if counts["service"] != 1:
        yield IniProblem("service", "", None, "one [service] section")
    for kind in ("class", "place", "server"):
        if not counts[kind]:
            yield IniProblem(kind, "", None, f"at least one [{kind} NAME] section")


@check
def _check_names(sections: tuple[Section, ...]) -> Iterator[IniProblem]:
    for section in sections:
        words = len(section.name.split())
        expected_count = {"service": 0, "link": 2}.get(section.kind, 1)
        if words != expected_count:
            yield IniProblem(
                section.title, "", section.title, f"{expected_count} names in the title"
            )


@check
def _check_places(sections: tuple[Section, ...]) -> Iterator[IniProblem]:
    places = {section.name for section in _of_kind(sections, "place")}
    for section in _of_kind(sections, "server"):
        if section.values["place"] not in places:
            allowed = "one of the places " + ", ".join(sorted(places))
            yield IniProblem(section.title, "place", section.values["place"], allowed)
    domains = Counter(section.values["failure_domain"] for section in _of_kind(sections, "place"))
    for section in _of_kind(sections, "place"):
        domain = section.values["failure_domain"]
        if domains[domain] > 1:
            allowed = "a failure domain with one place of the service"
            yield IniProblem(section.title, "failure_domain", domain, allowed)


@check
def _check_addresses(sections: tuple[Section, ...]) -> Iterator[IniProblem]:
    counts = Counter(section.values["address"] for section in _of_kind(sections, "server"))
    for section in _of_kind(sections, "server"):
        address = section.values["address"]
        if counts[address] > 1:
            yield IniProblem(section.title, "address", str(address), "an address of its own")


@check
def _check_links(sections: tuple[Section, ...]) -> Iterator[IniProblem]:
    regions = {section.values["region"] for section in _of_kind(sections, "place")}
    seen = set()
    for section in _of_kind(sections, "link"):
        linked_regions = frozenset(section.name.split())
        if len(linked_regions) != 2 or not linked_regions <= regions or linked_regions in seen:
            allowed = "two different regions of the places, each pair once"
            yield IniProblem(section.title, "", section.name, allowed)
        seen.add(linked_regions)


@check
def _check_weights(sections: tuple[Section, ...]) -> Iterator[IniProblem]:
    places = list(_of_kind(sections, "place"))
    if places and not any(section.values["weight"] > 0 for section in places):
        yield IniProblem(places[0].title, "weight", "0", "a place with a weight over 0")


def _build(sections: tuple[Section, ...]) -> ServiceDocument:
    service = next(_of_kind(sections, "service")).values
    return ServiceDocument(
        **service,
        classes=tuple(_build_class(section) for section in _of_kind(sections, "class")),
        places=tuple(_build_place(section) for section in _of_kind(sections, "place")),
        servers=tuple(_build_server(section) for section in _of_kind(sections, "server")),
        links=tuple(
            LinkCap(frozenset(section.name.split()), section.values["mbit_s"])
            for section in _of_kind(sections, "link")
        ),
        callers=tuple(
            Caller(section.name, **section.values) for section in _of_kind(sections, "caller")
        ),
    )


def _build_class(section: Section) -> RequestClass:
    values = section.values
    return RequestClass(
        name=section.name,
        path=values["path"],
        methods=frozenset(values["methods"].split()),
        is_idempotent=values["idempotent"],
        size=RequestSize(values["size"]),
        deadline_ms=values["deadline_ms"],
        priority=values["priority"],
    )


def _build_place(section: Section) -> Place:
    values = {**section.values, "state": AdminState(section.values["state"])}
    return Place(section.name, **values)


def _build_server(section: Section) -> Server:
    values = {**section.values, "state": AdminState(section.values["state"])}
    return Server(section.name, **values)
