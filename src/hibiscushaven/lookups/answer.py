"""The answer to a look-up and its JSON form."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from .ordering import EntryVm

__all__ = ["AnswerError", "AnswerVm", "LookupAnswer", "make_answer"]


class AnswerError(Exception):
    """A text is not the JSON form of a look-up answer."""


@dataclass(frozen=True, slots=True)
class AnswerVm:
    """An entry VM that a caller may use."""

    address: str
    port: int
    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Entry VMs in the order in which a caller should try them.

    :ivar keep_s: time that the caller may cache the answer, in seconds.
    :ivar revision: revision of the service's document.
    """

    service: str
    entries: tuple[AnswerVm, ...]
    keep_s: float
    revision: int

    def to_json(self) -> str:
        """Return the JSON form.

        Examples
        ========

        >>> answer = LookupAnswer("stock", (AnswerVm("127.0.0.1", 80, "a", "a1"),), 5.0, 7)
        >>> LookupAnswer.from_json(answer.to_json()) == answer
        True

        """
        return json.dumps(asdict(self), separators=(",", ":"))

    @classmethod
    def from_json(cls, text: str | bytes) -> "LookupAnswer":
        """Parse an answer; keys that a newer version added are ignored.

        :raises AnswerError: when the text is not an answer.
        """
        try:
            return cls._from_values(json.loads(text))
        except (KeyError, TypeError, ValueError) as error:
            raise AnswerError(f"not a look-up answer: {text[:80]!r}: {error!r}") from error

    @classmethod
    def _from_values(cls, values: Any) -> "LookupAnswer":
        entries = tuple(
            AnswerVm(
                str(item["address"]),
                int(item["port"]),
                str(item["region"]),
                str(item["failure_domain"]),
            )
            for item in values["entries"]
        )
        keep_s, revision = float(values["keep_s"]), int(values["revision"])
        return cls(str(values["service"]), entries, keep_s, revision)


def make_answer(service: str, vms: Iterable[EntryVm], keep_s: float, revision: int) -> LookupAnswer:
    """Return the answer that lists some entry VMs in their order."""
    entries = tuple(AnswerVm(vm.host, vm.port, vm.region, vm.failure_domain) for vm in vms)
    return LookupAnswer(service, entries, keep_s, revision)
