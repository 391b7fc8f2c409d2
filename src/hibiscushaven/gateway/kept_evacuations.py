"""Evacuations that a restored store lacks until the operator has written them again."""

from collections.abc import Iterable

__all__ = ["KeptEvacuations"]


class KeptEvacuations:
    """Failure domains that stay evacuated for a grace period although the store lacks them.

    Explanation
    ===========

    A store that comes back from a copy lacks the evacuations that were set since the copy. The
    operator writes them again; one that is not back by the end of the grace period is over.

    Examples
    ========

    >>> kept = KeptEvacuations()
    >>> kept.keep(12.0, ["serra-a", "vale-a"])
    >>> kept.discard(["vale-a"])
    >>> sorted(kept.domains), kept.expire(11.9), kept.expire(12.0), sorted(kept.domains)
    (['serra-a'], False, True, [])

    """

    def __init__(self) -> None:
        self._ends_at: dict[str, float] = {}

    @property
    def domains(self) -> frozenset[str]:
        """Failure domains that are kept."""
        return frozenset(self._ends_at)

    def keep(self, until: float, domains: Iterable[str]) -> None:
        """Keep the evacuations of failure domains until a time."""
        self._ends_at.update(dict.fromkeys(domains, until))

    def discard(self, domains: Iterable[str]) -> None:
        """Keep these evacuations no longer, since the store lists them again."""
        for domain in domains:
            self._ends_at.pop(domain, None)

    def expire(self, now: float) -> bool:
        """Discard the evacuations whose grace period is over; return whether there were any."""
        expired = [domain for domain, ends_at in self._ends_at.items() if ends_at <= now]
        self.discard(expired)
        return bool(expired)
