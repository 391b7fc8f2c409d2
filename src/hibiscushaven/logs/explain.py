"""Extraction of the log lines that explain a request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

__all__ = ["LogEntry", "explain"]

# Messages that report a change of a VM's state or of its view of the system.
STATE_MESSAGES = frozenset(
    {
        "backend servers changed",
        "cannot fetch changes from VM",
        "changes are late, will read the store",
        "gateway started",
        "gateway stopping",
        "operator state adopted",
        "store lost",
        "store regained",
        "VM is up",
        "VM went silent",
    }
)

_COMMON_KEYS = frozenset({"asctime", "levelname", "name", "message", "vm", "request_id"})


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A log record that helps to explain a request.

    :ivar time: time stamp as text, as logged.
    :ivar fields: remaining keys of the record, such as ``why``.
    :ivar is_state: whether the record reports the VM's state or view (printed as ``believed``)
        instead of an action on the request (printed as ``did``).
    """

    time: str
    vm: str
    message: str
    fields: dict[str, Any]
    is_state: bool

    def __str__(self) -> str:
        parts = [
            f"{key}={value!r}" for key, value in self.fields.items() if value not in ("", None)
        ]
        label = "believed" if self.is_state else "did"
        return f"{self.time}  {self.vm:<20} {label:<9} {self.message}: {', '.join(parts)}"


def explain(request_id: str, lines: Iterable[str]) -> list[LogEntry]:
    """Return the records of a request and the latest state records of its VMs before them.

    :param lines: log lines of any VMs, in chronological order for each VM; lines that are no
        JSON records are skipped.
    :returns: the records, sorted by time.

    Examples
    ========

    >>> lines = [
    ...     '{"asctime": "1", "vm": "a", "message": "store lost", "why": "status 503"}',
    ...     '{"asctime": "2", "vm": "a", "message": "request ended", "request_id": "x"}',
    ... ]
    >>> [entry.message for entry in explain("x", lines)]
    ['store lost', 'request ended']

    """
    latest_states: dict[tuple[str, str], LogEntry] = {}
    entries: list[LogEntry] = []
    for record in _parse_records(lines):
        message, vm = str(record.get("message", "")), str(record.get("vm", ""))
        if message in STATE_MESSAGES:
            latest_states[vm, message] = _log_entry(record, True)
        elif record.get("request_id") == request_id:
            vm_states = [item for (name, _), item in latest_states.items() if name == vm]
            entries += [item for item in vm_states if item not in entries]
            entries.append(_log_entry(record, False))
    return sorted(entries, key=lambda item: item.time)


def _log_entry(record: dict[str, Any], is_state: bool) -> LogEntry:
    fields = {key: value for key, value in record.items() if key not in _COMMON_KEYS}
    return LogEntry(
        str(record.get("asctime", "")),
        str(record.get("vm", "")),
        str(record["message"]),
        fields,
        is_state,
    )


def _parse_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        # Log collectors put the time and the VM's name before each line.
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "message" in record:
            yield record
