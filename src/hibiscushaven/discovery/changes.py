"""Log of the registry versions at which backend servers changed."""

from collections import OrderedDict
from collections.abc import Iterable

__all__ = ["ChangeLog"]

# Servers whose latest change is remembered, which covers some minutes at the usual rate of
# changes. A VM that is further behind gets a full list.
MAX_CHANGED_SERVERS = 512


class ChangeLog:
    """Version of the latest change of each backend server, in order of change.

    Examples
    ========

    >>> log = ChangeLog()
    >>> log.reset(10)
    >>> log.record(11, ["s1", "s2"])
    >>> log.record(12, ["s1"])
    >>> sorted(log.since(11)), sorted(log.since(10)), log.since(9)
    (['s1'], ['s1', 's2'], None)

    """

    def __init__(self) -> None:
        self._versions: OrderedDict[str, int] = OrderedDict()
        self._complete_since = 0

    def reset(self, version: int) -> None:
        """Clear the log; changes up to ``version`` are unknown."""
        self._versions.clear()
        self._complete_since = version

    def record(self, version: int, server_ids: Iterable[str]) -> None:
        """Record that servers changed or were removed in a version."""
        for server_id in server_ids:
            self._versions[server_id] = version
            self._versions.move_to_end(server_id)
        while len(self._versions) > MAX_CHANGED_SERVERS:
            _, self._complete_since = self._versions.popitem(last=False)

    def since(self, version: int) -> frozenset[str] | None:
        """Return the servers that changed after a version, ``None`` if the log is incomplete."""
        if version < self._complete_since:
            return None
        changed = set()
        for server_id in reversed(self._versions):
            if self._versions[server_id] <= version:
                break
            changed.add(server_id)
        return frozenset(changed)
