"""What the logs of all VMs say about one request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

__all__ = ["Finding", "explain"]

# Messages that tell a change of what a VM believes.
BELIEFS = frozenset(
    {
        "backend servers changed",
        "gateway started",
        "gateway stopping",
        "operator state adopted",
        "store lost",
        "store regained",
        "VM is up",
        "VM went silent",
    }
)

_COMMON = frozenset({"asctime", "levelname", "name", "message", "vm", "request_id"})


@dataclass(frozen=True, slots=True)
class Finding:
    """One line of a log that explains a request.

    :ivar is_belief: whether it tells what the VM believed and not what it did.
    """

    time: str
    vm: str
    message: str
    fields: dict[str, Any]
    is_belief: bool

    def __str__(self) -> str:
        parts = [
            f"{key}={value!r}" for key, value in self.fields.items() if value not in ("", None)
        ]
        mark = "believed" if self.is_belief else "did"
        return f"{self.time}  {self.vm:<20} {mark:<9} {self.message}: {', '.join(parts)}"


def explain(request_id: str, lines: Iterable[str]) -> list[Finding]:
    """Return what was done with a request, each VM's latest beliefs before it first.

    :param lines: lines of any VMs, in the order of each VM; what is no record is skipped.

    Examples
    ========

    >>> lines = [
    ...     '{"asctime": "1", "vm": "a", "message": "store lost", "why": "status 503"}',
    ...     '{"asctime": "2", "vm": "a", "message": "request ended", "request_id": "x"}',
    ... ]
    >>> [finding.message for finding in explain("x", lines)]
    ['store lost', 'request ended']

    """
    beliefs: dict[tuple[str, str], Finding] = {}
    found: list[Finding] = []
    for record in _records(lines):
        message, vm = str(record.get("message", "")), str(record.get("vm", ""))
        if message in BELIEFS:
            beliefs[vm, message] = _finding(record, True)
        elif record.get("request_id") == request_id:
            known = [item for (name, _), item in beliefs.items() if name == vm]
            found += [item for item in known if item not in found]
            found.append(_finding(record, False))
    return sorted(found, key=lambda item: item.time)


def _finding(record: dict[str, Any], is_belief: bool) -> Finding:
    fields = {key: value for key, value in record.items() if key not in _COMMON}
    return Finding(
        str(record.get("asctime", "")),
        str(record.get("vm", "")),
        str(record["message"]),
        fields,
        is_belief,
    )


def _records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        # Collectors put the time and the VM before a line.
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "message" in record:
            yield record
