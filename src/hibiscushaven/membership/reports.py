"""Link reports of a failure domain too large for a full mesh, and who is reachable by them."""

from collections import deque
from collections.abc import Iterable

from .mesh import neighbours_of
from .messages import LinkReport

__all__ = ["ReportTable"]


class ReportTable:
    """The newest report of each VM.

    Explanation
    ===========

    A VM is reachable when a chain of links leads to it, none of which is reported missing by
    either of its ends. So a dead VM, or the far half of a divided failure domain, is
    unreachable as soon as the near ends of its links have reported.
    """

    def __init__(self, own_vm: str) -> None:
        self._own_vm = own_vm
        self._reports: dict[str, LinkReport] = {}
        self._rotation: deque[str] = deque()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Rises with each change."""
        return self._revision

    @property
    def reports(self) -> dict[str, LinkReport]:
        return self._reports

    def update(self, report: LinkReport) -> bool:
        """Take a report; return whether it is news.

        A new incarnation that sees a report of an old one continues from its number, so
        numbers order the reports of all incarnations of a VM.
        """
        known = self._reports.get(report.vm)
        if known is not None and _version(report) <= _version(known):
            return False
        if known is None:
            self._rotation.append(report.vm)
        self._reports[report.vm] = report
        self._revision += 1
        return True

    def remove(self, vm: str) -> None:
        if self._reports.pop(vm, None) is not None:
            self._rotation.remove(vm)
            self._revision += 1

    def next_reports(self, count: int) -> tuple[LinkReport, ...]:
        """Return the next few reports in turn."""
        count = min(count, len(self._rotation))
        chosen = tuple(self._reports[self._rotation[index]] for index in range(count))
        self._rotation.rotate(-count)
        return chosen

    def reachable(self, names: frozenset[str], direct: Iterable[str]) -> frozenset[str]:
        """Return the VMs reachable from this one.

        :param direct: neighbours that this VM and its own links hold to be alive.
        """
        links = neighbours_of(names)
        seen = set(direct)
        queue = deque(seen)
        while queue:
            vm = queue.popleft()
            for other in links.get(vm, ()):
                if other not in seen and other != self._own_vm and self._is_link_up(vm, other):
                    seen.add(other)
                    queue.append(other)
        return frozenset(seen)

    def _is_link_up(self, left: str, right: str) -> bool:
        first, second = self._reports.get(left), self._reports.get(right)
        if first is None or second is None:
            return False
        return (
            right not in first.unreachable_neighbours and left not in second.unreachable_neighbours
        )


def _version(report: LinkReport) -> tuple[int, str]:
    return report.seq, report.incarnation
