"""Backend servers whose removal a restored store does not know."""

from collections.abc import Set

from hibiscushaven.discovery import EXPIRY_GRACE_S, RENEWAL_INTERVAL_S

__all__ = ["RemovedServers"]

# Renewals that a server misses before its record expires.
MISSED_RENEWALS = 3

# Time for which a removal is remembered; the copy that a store is restored from is younger.
MEMORY_S = 60.0


class RemovedServers:
    """Processes of backend servers whose records were removed a short time ago.

    Explanation
    ===========

    A store that comes back from a copy lists the servers that were removed since the copy, until
    their records expire. They must get no requests meanwhile. A server that had only lost contact
    with the store keeps its record, and is used again after ``return_delay_s``.

    :param renewal_interval_s: interval at which backend servers renew their records.
    :ivar return_delay_s: time after a restore in which a record that came back with the copy
        expires, unless its server runs and renews it.

    Examples
    ========

    >>> removed = RemovedServers()
    >>> removed.on_listing(10.0, 1, {"s1/7", "s2/7"})
    frozenset()
    >>> removed.on_listing(11.0, 1, {"s1/7"})
    frozenset()
    >>> removed.on_listing(12.0, 2, {"s1/7", "s2/7"})
    frozenset({'s2/7'})
    >>> removed.on_listing(14.0, 3, {"s1/7", "s2/7"})
    frozenset({'s2/7'})
    >>> RemovedServers(renewal_interval_s=4.0).return_delay_s
    14.0

    """

    def __init__(self, renewal_interval_s: float = RENEWAL_INTERVAL_S) -> None:
        self.return_delay_s = MISSED_RENEWALS * renewal_interval_s + EXPIRY_GRACE_S
        self._era = 0
        self._listed: frozenset[str] = frozenset()
        self._removed_at: dict[str, float] = {}

    def on_listing(self, now: float, era: int, process_ids: Set[str]) -> frozenset[str]:
        """Record the processes that are listed; return those that a copy of the store brought back.

        :param era: era of the store that lists them.
        """
        listed = frozenset(process_ids)
        is_restored = era > self._era
        remembered = {key for key, at in self._removed_at.items() if now - at <= MEMORY_S}
        returned = listed & remembered if is_restored else frozenset()
        # A process that appears without a restore has registered again, so that it runs.
        registered = frozenset() if is_restored else listed - self._listed
        self._removed_at = {
            key: self._removed_at.get(key, now)
            for key in (remembered - registered) | (self._listed - listed)
        }
        self._era, self._listed = era, listed
        return returned
