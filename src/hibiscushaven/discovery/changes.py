"""Which backend servers changed with which version."""

from collections import OrderedDict
from collections.abc import Iterable

__all__ = ["ChangeLog"]

# Changes that are remembered: some minutes of them at today's rates. Who is further behind
# takes the whole list.
CHANGES_KEPT = 512


class ChangeLog:
    """The latest change of each backend server, oldest first.

    Examples
    ========

    >>> log = ChangeLog()
    >>> log.restart(10)
    >>> log.note(11, ["s1", "s2"])
    >>> log.note(12, ["s1"])
    >>> sorted(log.since(11)), sorted(log.since(10)), log.since(9)
    (['s1'], ['s1', 's2'], None)

    """

    def __init__(self) -> None:
        self._versions: OrderedDict[str, int] = OrderedDict()
        self._complete_since = 0

    def restart(self, version: int) -> None:
        """Forget everything up to a version, since what came before it is not known."""
        self._versions.clear()
        self._complete_since = version

    def note(self, version: int, server_ids: Iterable[str]) -> None:
        """Remember that servers changed, or are gone, with a version."""
        for server_id in server_ids:
            self._versions[server_id] = version
            self._versions.move_to_end(server_id)
        while len(self._versions) > CHANGES_KEPT:
            _, self._complete_since = self._versions.popitem(last=False)

    def since(self, version: int) -> frozenset[str] | None:
        """Return the servers that changed after a version, or ``None`` if that is not known."""
        if version < self._complete_since:
            return None
        found = set()
        for server_id in reversed(self._versions):
            if self._versions[server_id] <= version:
                break
            found.add(server_id)
        return frozenset(found)
