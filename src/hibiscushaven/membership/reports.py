"""Link reports of a failure domain too large for a full mesh, and reachability by them."""

from collections import deque
from collections.abc import Iterable

from .mesh import heartbeat_peers_of
from .messages import LinkReport

__all__ = ["ReportTable"]


class ReportTable:
    """The newest link report of each VM.

    Explanation
    ===========

    A VM is reachable if a path of links leads to it, none of which is reported down by either
    of its ends. So a dead VM, or the other side of a partitioned failure domain, is
    unreachable as soon as the VMs at this side's ends of its links have reported.
    """

    def __init__(self, own_vm: str) -> None:
        self._own_vm = own_vm
        self._reports: dict[str, LinkReport] = {}
        self._rotation: deque[str] = deque()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Number that increases with each change of the table."""
        return self._revision

    @property
    def reports(self) -> dict[str, LinkReport]:
        return self._reports

    def update(self, report: LinkReport) -> bool:
        """Store a report if it is newer than the stored one; return whether it is.

        A new incarnation that receives a report of an old one continues its sequence numbers,
        so these order the reports of all incarnations of a VM.
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
        """Return the next reports in rotation, at most ``count``."""
        count = min(count, len(self._rotation))
        chosen = tuple(self._reports[self._rotation[index]] for index in range(count))
        self._rotation.rotate(-count)
        return chosen

    def reachable(self, names: frozenset[str], alive_peers: Iterable[str]) -> frozenset[str]:
        """Return the VMs reachable from this one.

        :param alive_peers: heartbeat peers that are alive by this VM's direct links.
        """
        links = heartbeat_peers_of(names)
        seen = set(alive_peers)
        queue = deque(seen)
        while queue:
            vm = queue.popleft()
            for other in links.get(vm, ()):
                if other not in seen and other != self._own_vm and self._is_link_up(vm, other):
                    seen.add(other)
                    queue.append(other)
        return frozenset(seen)

    def _is_link_up(self, vm: str, other: str) -> bool:
        report, other_report = self._reports.get(vm), self._reports.get(other)
        if report is None or other_report is None:
            return False
        return other not in report.unreachable_peers and vm not in other_report.unreachable_peers


def _version(report: LinkReport) -> tuple[int, str]:
    return report.seq, report.incarnation
